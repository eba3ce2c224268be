package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// mostProbeBytes bounds what is read of the body of a probe's response, which is
// not used.
const mostProbeBytes = 4 << 10

// Probe asks the endpoint at an address for its load report, for at most within.
// It uses the connections of requests, so that a request often follows a probe on
// the same one.
func (c *Client) Probe(ctx context.Context, addr, path string, within time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	target, err := url.Parse("http://" + addr + path)
	if err != nil {
		return Report{}, fmt.Errorf("upstream: probe path: %w", err)
	}
	r := &http.Request{Method: http.MethodGet, URL: target, Host: addr, Header: http.Header{"User-Agent": {""}}}
	sent := time.Now()
	response, err := c.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return Report{}, fmt.Errorf("upstream: probe: %w", err)
	}
	heard := time.Now()
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostProbeBytes)); err != nil {
		return Report{}, fmt.Errorf("upstream: probe: %w", err)
	}
	return c.reader.Read(response.StatusCode, response.Header, sent, heard), nil
}
