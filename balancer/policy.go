package balancer

import (
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/upstream"
)

// Policy is how a handler treats callers and endpoints beyond what the routes
// say. The zero value is the product's own.
type Policy struct {
	Dialect upstream.Dialect // the zero value stands for the product's own
	// HoldBytes is the size up to which an answer is read whole before the
	// caller sees any of it, so that one that is cut short can be repeated; 0
	// for none.
	HoldBytes int
	// RepeatErrors: a repeatable request is sent again after any answer of
	// status 500 and above.
	RepeatErrors bool
	// FreshConnections: a request that is not repeatable never goes out on a
	// connection that was used before, whose end could leave it in doubt.
	FreshConnections bool
	// OwnRefusals: an endpoint's refusal is never passed on; the balancer
	// answers in its own name, with when to come back.
	OwnRefusals bool
	// HideCaller: endpoints are not told the caller's address in headers.
	HideCaller bool
	// AnyPath: paths with dot segments go through as they are.
	AnyPath bool
	// Repeats bounds repeats in a sliding window; nil for a token bucket.
	Repeats *retry.WindowLimit
	// DialTimeout and IdleUpstream are those of connections to endpoints; 0
	// for the defaults.
	DialTimeout  time.Duration
	IdleUpstream time.Duration
	// Client sends repeatable requests of all services; nil for a client for
	// each service.
	Client *upstream.Client
}

func (p Policy) withDefaults() Policy {
	if p.Dialect.RequestID == "" {
		p.Dialect = upstream.Native()
	}
	return p
}

// repeats is a service's budget of repeats.
type repeats interface {
	retry.Covering
	withRequest(now time.Time) repeats
	withRepeat(now time.Time) repeats
}

// bucketRepeats earns repeats with requests.
type bucketRepeats struct{ retry.Budget }

func (b bucketRepeats) withRequest(time.Time) repeats { return bucketRepeats{b.Deposit()} }
func (b bucketRepeats) withRepeat(time.Time) repeats  { return bucketRepeats{b.Withdraw()} }

// windowRepeats bounds repeats in a sliding window.
type windowRepeats struct{ retry.Window }

func (w windowRepeats) withRequest(now time.Time) repeats {
	return windowRepeats{w.WithRequest(now)}
}

func (w windowRepeats) withRepeat(now time.Time) repeats {
	return windowRepeats{w.WithRepeat(now)}
}

// budget returns a service's budget; b.mu is held.
func (b *Balancer) budget(service string) repeats {
	budget, ok := b.budgets[service]
	limit := b.repeats.Load()
	switch {
	case ok:
		return budget
	case limit != nil:
		return windowRepeats{retry.NewWindow(*limit)}
	}
	return bucketRepeats{retry.NewBudget(retryPercent, retryLimit)}
}

// requestID returns the name under which a request goes to endpoints.
func (b *Balancer) requestID(r *http.Request) string {
	d := &b.cfg.Policy.Dialect
	if d.CallerRequestID {
		if id := r.Header.Get(d.RequestID); id != "" {
			return id
		}
	}
	return b.cfg.Fleet.NextID()
}
