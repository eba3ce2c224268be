package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// mostProbeBytes bounds what is read of the body of a probe's response, which is
// not used.
const mostProbeBytes = 4 << 10

// ProbeResult is what an endpoint says of itself.
type ProbeResult struct {
	Instance string // identity of the incarnation; empty where it is not told
	Load     placement.LoadReport
	Warmup   Warmup
	Limit    limit.Answer
}

// Warmup is how much longer an endpoint is slow from its start, as it says itself.
type Warmup struct {
	Told bool
	Left time.Duration
}

// warmup reads what a response to a probe tells of the endpoint's warm-up. One that
// cannot be read is not told.
func (d *Dialect) warmup(h http.Header) Warmup {
	if d.Warmup == "" {
		return Warmup{}
	}
	ms, err := strconv.ParseInt(h.Get(d.Warmup), 10, 64)
	if err != nil || ms < 0 || ms > mostWarmupMs {
		return Warmup{}
	}
	return Warmup{Told: true, Left: time.Duration(ms) * time.Millisecond}
}

// mostWarmupMs bounds what is believed of a warm-up, in milliseconds: an hour.
const mostWarmupMs = 3_600_000

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
	sent := time.Now()
	response, err := c.transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return ProbeResult{}, fmt.Errorf("upstream: probe: %w", err)
	}
	d, heard := c.dialect, time.Now()
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, mostProbeBytes)); err != nil {
		return ProbeResult{}, fmt.Errorf("upstream: probe: %w", err)
	}
	out := ProbeResult{
		Load: d.ParseLoad(response.Header.Get(d.Load)), Warmup: d.warmup(response.Header), Limit: d.LimitOf(response.Header, sent, heard),
	}
	if d.InstanceID != "" {
		out.Instance = response.Header.Get(d.InstanceID)
	}
	return out, nil
}
