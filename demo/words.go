package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Behind the balancers on the platform a service has four endpoints. After a second one says in its
// answers that it leaves, of which the store knows nothing, and another one refuses all requests and
// asks for two seconds without any. The others serve.

const (
	spokenKind      = "spoken"
	spokenService   = "spoken"
	spokenPath      = "/spoken/"
	spokenEndpoints = 4
	spokenRate      = 40 // requests a second, of callers
	spokenAfter     = time.Second
	spokenBackoff   = "2"
	// leavingWithin is after which nothing more goes to an endpoint that leaves.
	leavingWithin = time.Second
)

// startSpoken starts the endpoints.
func (r *run) startSpoken(f *crashFleet) error {
	for i := range spokenEndpoints {
		e := platformtest.NewEndpoint(fmt.Sprintf("spoken-%d", i), platformtest.Behavior{ServiceTime: serviceTime})
		addr, err := r.serve(e)
		if err != nil {
			return err
		}
		f.spoken = append(f.spoken, e)
		f.store.PutServer(e.ID, platformtest.Server{Address: addr, Service: spokenService, Zone: "medina", Slots: 3})
	}
	return nil
}

// speak has two of them say something.
func (f *crashFleet) speak(ctx context.Context) {
	pause.For(ctx, spokenAfter)
	f.spoken[0].Set(func(b *platformtest.Behavior) { b.Leaving = true })
	f.spoken[1].Set(func(b *platformtest.Behavior) { b.Refuse, b.RetryAfter = true, spokenBackoff })
}

// spokenPlan is what callers ask of these endpoints.
func spokenPlan(check func(string, load.Answer)) load.Plan {
	return load.Plan{Name: spokenKind, Path: spokenPath + "1", Rate: spokenRate, Check: check}
}

// spokenViolations compares what they got with what they had said. Which balancer a request came from
// they do not know: what one was told all should know.
func (f *crashFleet) spokenViolations() []audit.Violation {
	return audit.SentAfterLeaving(f.spoken[0].Arrivals(), leavingWithin, func(a audit.Arrival, told time.Time) bool {
		return f.pace.used(told, a.At) <= leavingWithin
	})
}
