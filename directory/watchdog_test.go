package directory

import (
	"errors"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/freshness"
	"gotest.tools/v3/assert"
)

// step is one cheap check and the advice expected after it.
type step struct {
	after    time.Duration
	revision uint64
	at       uint64
	batching bool // no watch waits, because changes are being batched
	err      error
	want     advice
}

var errNoAnswer = errors.New("no answer")

// TestWatchdog checks which observations count as signs that a watch misses changes.
func TestWatchdog(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		steps []step
	}{
		{"no change", []step{{0, 5, 5, false, nil, trustWatch}, {800 * ms, 5, 5, false, nil, trustWatch}}},
		{"a change that the watch brings in time", []step{{0, 6, 5, false, nil, trustWatch}, {800 * ms, 6, 6, false, nil, trustWatch}}},
		{"a change that the watch does not bring", []step{{0, 6, 5, false, nil, trustWatch}, {800 * ms, 6, 5, false, nil, readAgain}}},
		{"the same, seen once before the reads lag", []step{{0, 6, 5, false, nil, trustWatch}, {800 * ms, 5, 5, false, nil, readAgain}}},
		{"no watch waits while changes are batched", []step{{0, 6, 5, true, nil, trustWatch}, {800 * ms, 6, 5, true, nil, trustWatch}}},
		{"the store answers again", []step{{0, 0, 5, false, errNoAnswer, trustWatch}, {800 * ms, 5, 5, false, nil, watchAgain}, {800 * ms, 5, 5, false, nil, trustWatch}}},
		{"reads return an older revision", []step{{0, 5, 5, false, nil, trustWatch}, {800 * ms, 4, 5, false, nil, checkExactly}}},
		{"reads keep lagging", []step{
			{0, 5, 5, false, nil, trustWatch},
			{800 * ms, 4, 5, false, nil, checkExactly},
			{800 * ms, 4, 5, false, nil, trustWatch},
			{800 * ms, 4, 5, false, nil, checkExactly},
		}},
	}
	for _, c := range cases {
		w := watchdog{stuckAfter: 550 * ms, exactEvery: time.Second}
		now := time.Unix(1000, 0)
		for i, s := range c.steps {
			now = now.Add(s.after)
			assert.Equal(t, w.observe(now, s.revision, s.at, !s.batching, s.err), s.want, "%s: step %d", c.name, i)
		}
	}
}

// TestHigherExactRevisionCausesFullRead checks that an exact revision above the one up to which
// all changes are known leads to a full read.
func TestHigherExactRevisionCausesFullRead(t *testing.T) {
	var w watchdog
	assert.Equal(t, w.observeExact(7, 7), trustWatch)
	assert.Equal(t, w.observeExact(8, 7), readAgain)
}

// TestStuckWatchIsCheckedSooner checks that after a revision that the watch has not brought, the
// next check comes earlier than usual.
func TestStuckWatchIsCheckedSooner(t *testing.T) {
	w := watchdog{stuckAfter: 5, exactEvery: 50, checkEvery: 100, budget: freshness.Budget{Within: 1000}}
	now := time.Unix(1000, 0)
	next := func() time.Duration {
		at, _ := w.nextCheck(now)
		return at.Sub(now)
	}
	assert.Equal(t, next(), time.Duration(100))
	w.observe(now, 6, 5, true, nil)
	assert.Equal(t, next(), time.Duration(5))
	w.observe(now, 6, 6, true, nil)
	assert.Equal(t, next(), time.Duration(100))
}
