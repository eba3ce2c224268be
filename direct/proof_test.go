package direct_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"gotest.tools/v3/assert"
)

// TestIdleEndpointsServeWhateverProbesTake guards against requests that are refused although all endpoints are
// warm and idle: because the responses to probes are later than a request waits for them, or failed to come
// for a while where nobody grants permits.
func TestIdleEndpointsServeWhateverProbesTake(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 11 * time.Millisecond, 13 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond} {
		for _, silent := range []time.Duration{0, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				const endpoints = 20
				r := newFixtureWithWarmups(endpoints, &fakeWarmups{})
				r.prober.setDelay(time.Second) // above the time-out of probes
				refused, served := 0, 0
				send := func() {
					request := newRequest()
					request.Target = 500 * time.Millisecond
					g, refusal := r.Acquire(t.Context(), request)
					if refusal != nil {
						refused++
						return
					}
					served++
					r.Complete(g, placement.Result{Outcome: placement.Completed, Took: 50 * time.Millisecond})
				}
				for end := time.Now().Add(silent); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					send()
				}
				r.prober.setDelay(delay)
				for range 100 {
					send() // the endpoints are heard again
				}
				refused, served = 0, 0
				for range 200 {
					send()
					time.Sleep(20 * time.Millisecond)
				}
				name := fmt.Sprintf("responses after %v, none for %v", delay, silent)
				t.Logf("%s: %d served, %d refused", name, served, refused)
				assert.Check(t, refused <= 2, "%s: %d refused", name, refused)
				time.Sleep(2 * time.Second) // probes in flight end
			})
		}
	}
}
