package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/tally"
)

// TestRefreshIfStale checks which requests wait for a fresh snapshot.
func TestRefreshIfStale(t *testing.T) {
	small, large := Limit{Rate: 8, Burst: 8}, Limit{Rate: 800, Burst: 800}
	limitOf := func(team string) (Limit, bool) { return map[string]Limit{"small": small, "large": large}[team], true }
	relay, follower := NewLimiter("relay", "medina", 1), NewLimiter("follower", "medina", 2)
	relay.SetRelay(true, simStart)
	for i := range 30 { // balancers that report to the relay
		relay.HandleReport(tally.Report{From: fmt.Sprint(i), Zone: "medina", Life: 1, Number: 1}, limitOf, simStart)
	}
	now := simStart
	exchange := func() {
		r := follower.Report(now)
		follower.ReportAnswered(r, relay.HandleReport(r, limitOf, now), now)
	}
	assert.Assert(t, follower.RefreshIfStale("small", small, now) && follower.RefreshIfStale("large", large, now), "the number of balancers is unknown")
	assert.Assert(t, !follower.RefreshIfStale("none", Limit{}, now), "the team has no quota")
	exchange()
	assert.Assert(t, !follower.RefreshIfStale("small", small, now), "the snapshot is fresh")
	now = now.Add(freshFor)
	assert.Assert(t, !follower.RefreshIfStale("large", large, now), "each balancer's share is many requests")
	assert.Assert(t, follower.RefreshIfStale("small", small, now))
	due, ok := follower.Due(now)
	assert.Assert(t, ok && !due.After(now), "the report is due at once")

	pending := follower.Report(now)
	now = now.Add(MaxRefreshWait)
	assert.Assert(t, follower.RefreshIfStale("small", small, now))
	now = now.Add(time.Millisecond)
	assert.Assert(t, !follower.RefreshIfStale("small", small, now), "the relay does not answer")
	follower.ReportFailed(now)
	assert.Assert(t, !follower.RefreshIfStale("small", small, now.Add(time.Second)), "the relay is unreachable")
	follower.ReportAnswered(pending, relay.HandleReport(pending, limitOf, now), now)
	assert.Assert(t, follower.RefreshIfStale("small", small, now.Add(freshFor)), "the relay answers again")
	assert.Assert(t, !relay.RefreshIfStale("small", small, now.Add(time.Second)), "a relay needs no snapshot")
}
