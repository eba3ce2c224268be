package balancer

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/upstream"
)

// Policy is how a handler treats callers and endpoints beyond what the routes say.
// There are two: the zero value, which is the product's own, and that of the
// operators' platform (platform.Policy).
type Policy struct {
	Dialect upstream.Dialect // the zero value stands for the product's own

	// How requests are sent.

	// FreshConnections: a request that is not repeatable never goes out on a
	// connection that was used before, whose end could leave it in doubt.
	FreshConnections bool
	// ProvedAlive: for so long after the endpoint's last sign of life on it a connection
	// counts as unused in this; 0 for never.
	ProvedAlive time.Duration
	// HideCaller: endpoints are not told the caller's address in headers.
	HideCaller bool
	// AnyPath: paths with dot segments go through as they are.
	AnyPath bool
	// Client sends repeatable requests of all services; nil for a client for each
	// service.
	Client *upstream.Client
	// DialTimeout and IdleTimeout are those of connections to endpoints; 0 for the
	// defaults of package upstream.
	DialTimeout time.Duration
	IdleTimeout time.Duration

	// How responses are judged.

	// BufferBytes is the size up to which a response is read whole before the
	// caller sees any of it, so that one that is cut short can be retried; 0 for
	// none.
	BufferBytes int
	// RetryServerErrors: a repeatable request is sent again after any response of
	// status 500 and above, not only after 502, 503 and 504.
	RetryServerErrors bool
	// OwnRefusals: an endpoint's refusal is never passed on; the balancer answers in
	// its own name, with when to come back.
	OwnRefusals bool
	// Retries bounds retries in a sliding window; nil for a token bucket.
	Retries *retry.WindowLimit
}

func (p Policy) withDefaults() Policy {
	if p.Dialect.RequestID == "" {
		p.Dialect = upstream.Native()
	}
	return p
}
