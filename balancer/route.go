package balancer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/lotuswing/lotuswing/coord/reason"
)

const (
	// maxTimeout is the longest timeout that a caller may request; the text of reason.BadTimeout
	// states it.
	maxTimeout = 24 * time.Hour
	// defaultNotReadyRetryAfter is the Retry-After of a balancer that is not ready yet, without
	// Config.NotReadyRetryAfter.
	defaultNotReadyRetryAfter = time.Second
)

// findRoute finds the team and kind of the request.
func (b *Balancer) findRoute(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		if ok, why := b.cfg.Chooser.Ready(); !ok && !b.awaitReady(ctx) {
			return nil, refusal{reason: reason.NotReady, message: why, retryAfter: b.notReadyRetryAfter()}
		}
		if err := validateRequest(x.r, b.cfg.Policy.AllowDotSegments); err != nil {
			return nil, refusal{reason: reason.BadRequest, message: err.Error()}
		}
		host := x.r.Host
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		route, code := b.cfg.Chooser.Route(host, x.r.Method, x.r.URL.EscapedPath())
		if code != "" {
			return nil, refusal{reason: code, message: fmt.Sprintf("host %q, %s %s", host, x.r.Method, x.r.URL.Path)}
		}
		x.route = route
		if route.Kind.Fault != "" {
			return nil, refusal{reason: reason.ConfigUnusable, message: route.Kind.Fault}
		}
		return next(ctx, x)
	}
}

// awaitReady waits as Config.AwaitReady says.
func (b *Balancer) awaitReady(ctx context.Context) bool {
	return b.cfg.AwaitReady != nil && b.cfg.AwaitReady(ctx)
}

// notReadyRetryAfter returns the Retry-After of a balancer that is not ready yet.
func (b *Balancer) notReadyRetryAfter() time.Duration {
	if b.cfg.NotReadyRetryAfter == nil {
		return defaultNotReadyRetryAfter
	}
	return b.cfg.NotReadyRetryAfter()
}

// validateRequest rejects requests that an endpoint may parse differently from this balancer.
// anyPath permits dot segments.
func validateRequest(r *http.Request, anyPath bool) error {
	path := r.URL.EscapedPath()
	switch {
	case !anyPath && hasDotSegment(path):
		return fmt.Errorf("path %q has a dot segment", path)
	case !strings.HasPrefix(path, "/"):
		return fmt.Errorf("path %q does not start with /", path)
	case r.Method == http.MethodConnect:
		return fmt.Errorf("method CONNECT is not served")
	case r.ProtoMajor == 1 && len(r.Header.Values("Content-Length")) > 1:
		return fmt.Errorf("Content-Length stands more than once")
	}
	return nil
}

// hasDotSegment reports whether a segment of an escaped path is "." or "..", percent-encoded or
// not.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		plain := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if plain == "." || plain == ".." {
			return true
		}
	}
	return false
}

// setDeadline sets the time by which the response must be over, or have begun if it switches protocols.
func (b *Balancer) setDeadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		timeout, err := b.effectiveTimeout(x)
		if err != nil {
			return nil, err
		}
		x.deadline = x.accepted.Add(timeout)
		x.logAdmitted(timeout)
		return next(ctx, x)
	}
}

// effectiveTimeout returns the kind's timeout or the caller's, whichever is shorter. It records the
// caller's in the exchange.
func (b *Balancer) effectiveTimeout(x *exchange) (time.Duration, error) {
	dialect := &b.cfg.Policy.Dialect
	text := x.r.Header.Get(dialect.Timeout)
	if text == "" {
		return x.route.Kind.Timeout, nil
	}
	d, err := dialect.ParseTimeout(text)
	if err != nil || d <= 0 || d > maxTimeout {
		return 0, refusal{reason: reason.BadTimeout, message: fmt.Sprintf("%s is %q", dialect.Timeout, text)}
	}
	x.callerWait = d
	return min(x.route.Kind.Timeout, d), nil
}
