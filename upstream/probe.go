package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/lotuswing/lotuswing/internal/brief"
)

// maxProbeBytes is how much is read of the body of a response to a probe. The body is not used.
const maxProbeBytes = 4 << 10

// Probe sends a GET request for path to the endpoint at addr and returns what the response says
// about the endpoint, whatever its status. It fails if the response is not complete within the
// timeout, and with ErrReset if the endpoint closes the connection instead of responding. Probes and
// requests share connections, so that a request often follows a probe on the same one.
func (c *Client) Probe(ctx context.Context, addr, path string, timeout time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch paths := c.opts.Paths; {
	case paths == nil:
		return c.probeOver(ctx, c.transport, addr, path, &connTracker{})
	case paths.Detoured(addr):
		return c.probeOver(ctx, c.detours, addr, path, &connTracker{})
	default:
		return c.probeChecked(ctx, addr, path)
	}
}

// probeOver sends a probe over a transport and records its connection in tracker.
func (c *Client) probeOver(ctx context.Context, transport *http.Transport, addr, path string, tracker *connTracker) (Report, error) {
	target, err := url.Parse("http://" + addr + path)
	if err != nil {
		return Report{}, fmt.Errorf("upstream: probe path: %w", err)
	}
	// The empty User-Agent keeps net/http from sending its own.
	r := &http.Request{Method: http.MethodGet, URL: target, Host: addr, Header: http.Header{"User-Agent": {""}}}
	ctx = httptrace.WithClientTrace(ctx, tracker.trace(Request{}))
	sent := time.Now()
	response, err := transport.RoundTrip(r.WithContext(ctx))
	for tries := 1; err != nil && tracker.isDraining() && tries < maxDrainingTries && ctx.Err() == nil; tries++ {
		response, err = transport.RoundTrip(r.WithContext(ctx))
	}
	err = brief.Error(err)
	if err != nil && ctx.Err() == nil && isReset(tracker.connection(), err) {
		return Report{}, fmt.Errorf("%w: probe: %w", ErrReset, err)
	}
	if err != nil {
		return Report{}, fmt.Errorf("upstream: probe: %w", err)
	}
	heard := time.Now()
	if c.opts.Paths != nil {
		c.opts.Paths.Responded(addr, transport == c.detours)
	}
	defer func() { _ = response.Body.Close() }()
	if why := headFault(response, r.Header, c.http2); why != "" {
		return Report{}, fmt.Errorf("upstream: probe: answer with %s", why)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes)); err != nil {
		return Report{}, fmt.Errorf("upstream: probe: %w", err)
	}
	return c.reader.Read(response.StatusCode, response.Header, sent, heard), nil
}
