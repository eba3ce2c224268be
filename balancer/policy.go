package balancer

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/upstream"
)

// Policy controls how a Balancer treats callers and endpoints beyond what the routes configure.
// Two policies are in use: the zero value, which is the product's default, and the one for the
// operators' platform (platform.Policy).
type Policy struct {
	Dialect upstream.Dialect // the zero value stands for upstream.Native

	// How requests are sent.

	// FreshConnections sends each non-repeatable request on a new connection. If a reused
	// connection closes, it may be unknown whether the request ran.
	FreshConnections bool
	// MaxProbeConnectionAge is an exception to FreshConnections: a non-repeatable request may reuse
	// a connection of Client if the endpoint's load report is more recent than this and the
	// connection has been idle for at most this long; 0 for never.
	MaxProbeConnectionAge time.Duration
	// HideCallerAddress keeps the caller's address out of the headers that endpoints get.
	HideCallerAddress bool
	// AllowDotSegments accepts paths with dot segments and forwards them unchanged.
	AllowDotSegments bool
	// Client sends the repeatable requests of all services; nil for a separate client for each
	// service.
	Client *upstream.Client
	// DialTimeout and IdleTimeout apply to connections to endpoints; 0 for the defaults of package
	// upstream.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// Dial opens connections to endpoints; nil for the default of package upstream.
	Dial upstream.DialFunc
	// Paths says how endpoints are reached; nil for always directly.
	Paths upstream.Paths

	// How responses are evaluated.

	// BufferBytes is the size up to which a response is read whole before it is forwarded, so that
	// a truncated response can be retried; 0 for no buffering.
	BufferBytes int
	// RetryServerErrors retries a repeatable request after any response with status 500 or above,
	// not only after 502, 503 and 504.
	RetryServerErrors bool
	// ReplaceRefusals replaces an endpoint's refusal by the balancer's own response, which carries
	// Retry-After.
	ReplaceRefusals bool
	// Retries limits retries in a sliding window; nil for a token bucket.
	Retries *retry.WindowLimit
}

func (p Policy) withDefaults() Policy {
	if p.Dialect.RequestID == "" {
		p.Dialect = upstream.Native()
	}
	return p
}

// WithDial returns the policy with another way to open connections to endpoints.
func (p Policy) WithDial(dial upstream.DialFunc) Policy {
	p.Dial = dial
	if p.Client != nil {
		p.Client = p.Client.WithDial(dial)
	}
	return p
}

// WithPaths returns the policy with another way to reach endpoints.
func (p Policy) WithPaths(paths upstream.Paths) Policy {
	p.Paths = paths
	if p.Client != nil {
		p.Client = p.Client.WithPaths(paths)
	}
	return p
}
