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

// mostProbeBytes is how much of a probe's answer is read.
const mostProbeBytes = 4 << 10

// ProbeAnswer is what an endpoint says of itself.
type ProbeAnswer struct {
	Status   int
	Instance string // identity of the incarnation; empty where it is not told
	Load     placement.LoadReport
}

// Probe asks the endpoint at an address for its load. It uses the connections of
// requests, so that a request often follows a probe on the same one.
func (c *Client) Probe(ctx context.Context, addr, path string, within time.Duration) (ProbeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	target, err := url.Parse("http://" + addr + path)
	if err != nil {
		return ProbeAnswer{}, fmt.Errorf("upstream: probe path: %w", err)
	}
	r := &http.Request{Method: http.MethodGet, URL: target, Host: addr, Header: http.Header{"User-Agent": {""}}}
	answer, err := c.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return ProbeAnswer{}, fmt.Errorf("upstream: probe: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, mostProbeBytes)); err != nil {
		return ProbeAnswer{}, fmt.Errorf("upstream: probe: %w", err)
	}
	d := c.dialect
	out := ProbeAnswer{Status: answer.StatusCode, Load: d.ParseLoad(answer.Header.Get(d.Load))}
	if d.InstanceID != "" {
		out.Instance = answer.Header.Get(d.InstanceID)
	}
	return out, nil
}
