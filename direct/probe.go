package direct

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/tenant"
)

const (
	// probeWait is how long a request waits for the response to a probe. A later
	// one still counts for other requests.
	probeWait = 12 * time.Millisecond
	// probeLimit is after which a probe is given up.
	probeLimit = 250 * time.Millisecond
)

// probe asks the next endpoint for its load and waits for the response a short
// while. It returns false if none may be asked.
func (c *Chooser) probe(ctx context.Context, s *search, now time.Time) bool {
	path := c.probePath(s.service)
	if path == "" {
		return false
	}
	next, ok := c.nextProbe(s, now)
	if !ok {
		return false
	}
	done := make(chan struct{})
	go func() {
		c.ask(context.WithoutCancel(ctx), next, path)
		close(done)
	}()
	pause.Until(ctx, done, probeWait)
	return true
}

// probePath returns where a service's endpoints tell their load; empty where they
// do not.
func (c *Chooser) probePath(service string) string {
	return c.serviceOf(service).ProbePath
}

// warmupRate returns how many requests a second an endpoint of a service bears while it
// warms up; 0 where that is not known.
func (c *Chooser) warmupRate(service string) float64 { return c.serviceOf(service).WarmupRate }

// serviceOf returns a service as it is configured, a zero one where it is not.
func (c *Chooser) serviceOf(service string) tenant.Service {
	cfg := c.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Service{}
	}
	return cfg.Services[service]
}

// target is an endpoint to ask. A probe may outlast the search that it was sent for,
// and then what is remembered of the endpoint: its response brings nothing back.
type target struct {
	listed directory.Endpoint
	known  *endpoint
}

// nextProbe returns the endpoint to ask, and takes the probe from its budget.
func (c *Chooser) nextProbe(s *search, now time.Time) (target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.opts.NextProbe(&s.ranking, func(index int) (may bool) {
		e := c.known(&s.listed[index])
		e.probes, may = e.probes.WithProbe(c.opts, now)
		return may
	})
	if !ok {
		return target{}, false
	}
	s.probed = index
	return target{listed: s.listed[index], known: c.known(&s.listed[index])}, true
}

// errSuspended says that a response may be as old as a suspension of the VM was long.
var errSuspended = errors.New("direct: suspended meanwhile")

// ask probes one endpoint and remembers the response.
func (c *Chooser) ask(ctx context.Context, t target, path string) {
	c.probes.Inc(1)
	id, e := t.listed.VM, t.known
	slept := c.cfg.Suspensions.Check()
	answer, err := c.cfg.Client.Probe(ctx, t.listed.Addr, path, probeLimit)
	if slept != c.cfg.Suspensions.Check() {
		err = cmp.Or(err, errSuspended)
	}
	now := time.Now()
	if err == nil {
		c.hearProbe(limited(&t.listed), answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cfg.Log.Debug("probe failed", "id", id, "error", err)
		e.state = e.state.WithoutProbe()
		return
	}
	e.state = e.state.WithProbe(answer.Load, now)
	if answer.Warmup.Told {
		e.state = e.state.WithWarmup(answer.Warmup.Left, now)
	}
	if answer.OfAnother(id) && c.cfg.Directory.MarkLeaving(id, t.listed.Start, now) {
		c.cfg.Log.Info("endpoint", "id", id, "state", "leaving", "why", "a probe found another instance", "instance", answer.Instance)
	}
}
