package rollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
)

// Names of the counters of a version, as parts of keys.
const (
	askedCount  = "asked"
	failedCount = "failed"
	slowCount   = "slow"
)

// Names of the two versions, as parts of keys.
const (
	newerVersion = "new"
	olderVersion = "old"
)

// keyPrefix returns the prefix of the keys of one order. In a key it is followed by the version,
// the counter and the request kind, separated by slashes. The request kind may contain slashes.
func keyPrefix(service string, order uint64) string {
	return fmt.Sprintf("rollout/%s/%d/", service, order)
}

// RecordOutcome counts the result of a request at the old or the new version of a service during
// its rollout.
func (c *Controller) RecordOutcome(t direct.RolloutOutcome, now time.Time) {
	r, ok := findRollout(c.cfg.Directory.Snapshot(), t.Service)
	if !ok || !r.Started() {
		return
	}
	version := olderVersion
	if t.NewVersion {
		version = newerVersion
	}
	key := func(count string) string {
		return keyPrefix(t.Service, r.Order.ID()) + version + "/" + count + "/" + t.Kind
	}
	c.cfg.Counts.Add(key(askedCount), 1, now)
	if t.Failed {
		c.cfg.Counts.Add(key(failedCount), 1, now)
	}
	if t.Slow {
		c.cfg.Counts.Add(key(slowCount), 1, now)
	}
}

// findRollout returns the rollout of a service, if there is one.
func findRollout(s *directory.Snapshot, service string) (directory.Rollout, bool) {
	for _, r := range s.Rollouts {
		if r.Order.Service == service {
			return r, true
		}
	}
	return directory.Rollout{}, false
}

// versionSamples are the counts of one request kind at both versions.
type versionSamples struct{ newer, older rollout.Sample }

// samplesByKind returns the samples by request kind. sums are the summed counters of an order, by
// the part of the key after keyPrefix. Malformed keys are skipped.
func samplesByKind(sums map[string]int64) map[string]versionSamples {
	all := map[string]versionSamples{}
	for rest, n := range sums {
		parts := strings.SplitN(rest, "/", 3)
		if len(parts) != 3 {
			continue // written by another version of this program
		}
		s := all[parts[2]]
		sample := &s.older
		if parts[0] == newerVersion {
			sample = &s.newer
		}
		switch parts[1] {
		case askedCount:
			sample.Asked = n
		case failedCount:
			sample.Failed = n
		case slowCount:
			sample.Slow = n
		}
		all[parts[2]] = s
	}
	return all
}

// evaluate updates the tests of the new version from the sums of its order's keys. It reports
// whether the version is bad, for all request kinds together or for any one kind, and whether it is
// proved for all kinds together.
func (t *rolloutState) evaluate(sums map[string]int64) (bad, proved bool) {
	all := samplesByKind(sums)
	var total versionSamples
	for name, s := range all {
		t.update(name, s)
		total.newer = total.newer.Plus(s.newer)
		total.older = total.older.Plus(s.older)
	}
	t.update(allKinds, total)
	for _, k := range t.kinds {
		bad = bad || k.test.Bad()
	}
	return bad, t.kinds[allKinds].test.Proved()
}

// allKinds is the key of the test over all request kinds together; no kind has an empty name.
const allKinds = ""

// update updates the test of one request kind. s are the kind's total counts so far.
func (t *rolloutState) update(kind string, s versionSamples) {
	k, ok := t.kinds[kind]
	if !ok {
		k = &kindEvidence{}
		t.kinds[kind] = k
	}
	newer, older := s.newer.Minus(k.newer), s.older.Minus(k.older)
	k.test = k.test.With(newer, older)
	k.newer, k.older = s.newer, s.older
}
