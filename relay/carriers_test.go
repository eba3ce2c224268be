package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"gotest.tools/v3/poll"
)

// TestCarriersHavePaths: balancers of all zones are named as carriers, but none that has lost its own
// paths to endpoints, and no balancer to itself.
func TestCarriersHavePaths(t *testing.T) {
	store := platformtest.NewStore()
	var all []*testBalancer
	for _, zone := range []string{"a", "a", "a", "b"} {
		all = append(all, startBalancerWith(t, store, zone, listen(t), timing{readSpread: 10 * short, ttl: shortTTL}))
	}
	var followers []*testBalancer // in zone a
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		followers = slices.DeleteFunc(slices.Clone(all[:3]), func(m *testBalancer) bool { return m.group.ServesAsRelay() })
		if len(followers) != 2 || !all[3].group.ServesAsRelay() {
			return poll.Continue("not one relay in each zone")
		}
		return poll.Success()
	}, poll.WithTimeout(long), poll.WithDelay(10*time.Millisecond))
	lost, asker := followers[0], followers[1]
	lost.pathsLost.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var named []string
		for _, c := range asker.group.Carriers(t.Context()) {
			named = append(named, c.Addr)
		}
		slices.Sort(named)
		var want []string
		for _, m := range all {
			if m != lost && m != asker {
				want = append(want, m.addr)
			}
		}
		slices.Sort(want)
		if !slices.Equal(named, want) {
			return poll.Continue("named %v, want %v", named, want)
		}
		return poll.Success()
	}, poll.WithTimeout(long), poll.WithDelay(10*time.Millisecond))
	lost.pathsLost.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(asker.group.Carriers(t.Context())) != 3 {
			return poll.Continue("the balancer whose paths work again is not named")
		}
		return poll.Success()
	}, poll.WithTimeout(long), poll.WithDelay(10*time.Millisecond))
}
