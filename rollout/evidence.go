package rollout

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
)

// What is counted of a request, in the names of keys.
const (
	askedCount  = "asked"
	failedCount = "failed"
	slowCount   = "slow"
)

// Versions in the names of keys.
const (
	newerVersion = "new"
	olderVersion = "old"
)

// prefixOf begins the keys of one order: the version, the count and the request kind follow,
// the last one whatever it is.
func prefixOf(service string, order uint64) string {
	return fmt.Sprintf("rollout/%s/%d/", service, order)
}

// Note counts what became of a request at either version of a service.
func (k *Keeper) Note(t direct.Trial, now time.Time) {
	r, ok := find(k.cfg.Directory.Snapshot(), t.Service)
	if !ok || !r.Begun() {
		return
	}
	version := olderVersion
	if t.Newer {
		version = newerVersion
	}
	key := func(count string) string {
		return prefixOf(t.Service, r.Order.Revision) + version + "/" + count + "/" + t.Kind
	}
	k.cfg.Counts.Add(key(askedCount), 1, now)
	if t.Failed {
		k.cfg.Counts.Add(key(failedCount), 1, now)
	}
	if t.Slow {
		k.cfg.Counts.Add(key(slowCount), 1, now)
	}
}

// find returns the roll-out of a service.
func find(s *directory.Snapshot, service string) (directory.Rollout, bool) {
	for _, r := range s.Rollouts {
		if r.Order.Service == service {
			return r, true
		}
	}
	return directory.Rollout{}, false
}

// samples are those of one request kind at both versions.
type samples struct{ newer, older rollout.Sample }

// readSums returns the samples of each request kind from the sums of an order's keys.
func readSums(sums map[string]int64) map[string]samples {
	all := map[string]samples{}
	for rest, n := range sums {
		parts := strings.SplitN(rest, "/", 3)
		if len(parts) != 3 {
			continue // of another version of this program
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

// judge brings what is held against a version up to date, and returns whether it is bad and
// whether it is proved: by all kinds together, and bad for one kind alone as well.
func (t *trial) judge(sums map[string]int64) (bad, proved bool) {
	all := readSums(sums)
	var total samples
	for name, s := range all {
		t.with(name, s)
		total.newer = total.newer.Plus(s.newer)
		total.older = total.older.Plus(s.older)
	}
	t.with(allKinds, total)
	for _, k := range t.kinds {
		bad = bad || k.test.Bad()
	}
	return bad, t.kinds[allKinds].test.Proved()
}

// allKinds stands for all request kinds together; no kind has an empty name.
const allKinds = ""

// with notes the samples of one kind so far.
func (t *trial) with(name string, s samples) {
	k, ok := t.kinds[name]
	if !ok {
		k = &kind{}
		t.kinds[name] = k
	}
	newer, older := s.newer.Minus(k.newer), s.older.Minus(k.older)
	k.test = k.test.With(newer, older)
	k.newer, k.older = s.newer, s.older
}
