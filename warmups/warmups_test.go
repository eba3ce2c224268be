package warmups_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/warmups"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// suspendedTransport grants permits as the owner of the zone, and checks for suspensions as package relay does.
type suspendedTransport struct {
	keeper   *warmups.Keeper
	detector *suspend.Detector
	asked    func() // called while an ask is in flight
}

func (t *suspendedTransport) Tenure(string) warmup.Tenure {
	t.detector.Check()
	return warmup.Tenure{Since: time.Unix(0, 0), Until: time.Now().Add(time.Hour)}
}

func (t *suspendedTransport) AskWarmup(_ context.Context, a warmup.Ask) (warmup.Reply, error) {
	r := t.keeper.HandleAsk(a)
	t.asked()
	return r, nil
}

// TestSuspensionDropsPermits guards against an owner that locks up after a suspension of its VM, and against
// permits that outlive one.
func TestSuspensionDropsPermits(t *testing.T) {
	for _, suspends := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var suspended atomic.Int64
			k := warmups.New(warmups.Config{Rate: func(string) float64 { return 5 }, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
			d := suspend.New(func() time.Duration { return time.Duration(suspended.Load()) })
			d.OnResume(func(time.Duration) { k.Resume() })
			tr := &suspendedTransport{keeper: k, detector: d, asked: func() {}}
			k.SetTransport(tr)
			e := warmups.Endpoint{Target: warmup.Target{ID: "i-1"}, Group: warmup.Group{Service: "s", Zone: "z"}}
			ask := func() bool {
				k.RequestPermits(t.Context(), []warmups.Endpoint{e}, 1, time.Second)
				_, ok := k.TakePermit(e, time.Now())
				return ok
			}
			assert.Assert(t, !ask(), "the bucket begins in debt")
			time.Sleep(10 * time.Second)
			assert.Assert(t, ask())
			time.Sleep(10 * time.Second)
			tr.asked = func() {
				if suspends {
					suspended.Add(int64(time.Minute))
					d.Check()
				}
			}
			assert.Equal(t, ask(), !suspends)
			suspended.Add(int64(time.Minute))
			assert.Assert(t, k.HandleAsk(warmup.Ask{}).Owner)
			assert.Assert(t, k.Status("z", time.Now()).Owner)
		})
	}
}
