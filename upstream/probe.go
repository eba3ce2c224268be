package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// mostProbeBytes bounds what is read of the body of a probe's response, which is
// not used.
const mostProbeBytes = 4 << 10

// ProbeResult is what an endpoint says of itself.
type ProbeResult struct {
	Instance string // identity of the incarnation; empty where it is not told
	Load     placement.LoadReport
}

// Probe asks the endpoint at an address for its load report, for at most within.
// It uses the connections of requests, so that a request often follows a probe on
// the same one.
func (c *Client) Probe(ctx context.Context, addr, path string, within time.Duration) (ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	target, err := url.Parse("http://" + addr + path)
	if err != nil {
		return ProbeResult{}, fmt.Errorf("upstream: probe path: %w", err)
	}
	r := &http.Request{Method: http.MethodGet, URL: target, Host: addr, Header: http.Header{"User-Agent": {""}}}
	response, err := c.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return ProbeResult{}, fmt.Errorf("upstream: probe: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostProbeBytes)); err != nil {
		return ProbeResult{}, fmt.Errorf("upstream: probe: %w", err)
	}
	d := c.dialect
	out := ProbeResult{Load: d.ParseLoad(response.Header.Get(d.Load))}
	if d.InstanceID != "" {
		out.Instance = response.Header.Get(d.InstanceID)
	}
	return out, nil
}
