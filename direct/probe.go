package direct

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/tenant"
)

const (
	// probeWait is how long a request waits for the response to a probe. A later response still
	// updates the endpoint's state.
	probeWait = 12 * time.Millisecond
	// probeTimeout is the time after which a probe is abandoned.
	probeTimeout = 250 * time.Millisecond
)

// probeNext probes the next endpoint for its load and waits for the response at most as long as
// probeWait. It returns false if no endpoint may be probed.
func (c *Chooser) probeNext(ctx context.Context, s *search, now time.Time) bool {
	path := c.probePath(s.service)
	if path == "" {
		return false
	}
	next, ok := c.nextProbeTarget(s, now)
	if !ok {
		return false
	}
	if s.responses == nil {
		s.responses = &probeResponses{arrived: make(chan struct{}, 1)}
	}
	done := make(chan struct{})
	governed, responses, service := s.learned.WarmupPermits, s.responses, s.service
	go func() {
		c.probeEndpoint(context.WithoutCancel(ctx), next, path)
		close(done)
		if governed {
			c.announceProof(responses, service)
		}
	}()
	if !governed {
		pause.Until(ctx, done, probeWait)
		return true
	}
	// A proof soon expires, so the response to any earlier probe of the search ends the wait, too.
	s.responses.awaited.Store(true)
	pause.Until(ctx, s.responses.arrived, probeWait)
	s.responses.awaited.Store(false)
	return true
}

// probeResponses tells a search of the responses to its probes.
type probeResponses struct {
	arrived chan struct{} // has a buffer of one
	awaited atomic.Bool   // the search waits for one
}

// announceProof wakes the search that sent a probe which has been responded to or, if that does not wait for
// a response any more, a request that waits for an endpoint of the service.
func (c *Chooser) announceProof(responses *probeResponses, service string) {
	if responses.awaited.Load() {
		select {
		case responses.arrived <- struct{}{}:
		default:
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeNext(service)
}

// probePath returns the path at which a service's endpoints report their load; empty if they do
// not.
func (c *Chooser) probePath(service string) string {
	return c.serviceConfig(service).ProbePath
}

// serviceConfig returns the configuration of a service; zero if there is none.
func (c *Chooser) serviceConfig(service string) tenant.Service {
	cfg := c.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Service{}
	}
	return cfg.Services[service]
}

// probeTarget is an endpoint to probe, and its state when the probe was sent. The response may
// arrive after that state was dropped from the Chooser. It then updates the dropped state, and so
// does not bring it back.
type probeTarget struct {
	listed directory.Endpoint
	state  *endpointState
}

// nextProbeTarget returns the endpoint to probe next, and charges the probe to the budgets of the
// endpoint and, if its probes are limited, of the service.
func (c *Chooser) nextProbeTarget(s *search, now time.Time) (probeTarget, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, ok := c.opts.NextProbe(&s.ranking, func(index int) (may bool) {
		e := c.state(&s.listed[index])
		e.probes, may = e.probes.WithProbe(c.opts, now)
		return may
	})
	if !ok {
		return probeTarget{}, false
	}
	s.lastProbed = index
	return probeTarget{listed: s.listed[index], state: c.state(&s.listed[index])}, true
}

// errSuspended is the error of a probe during which the VM was suspended. The response is not used,
// since it may have arrived before the suspension and be outdated.
var errSuspended = errors.New("direct: VM was suspended during the probe")

// probeEndpoint probes one endpoint and updates its state from the response.
func (c *Chooser) probeEndpoint(ctx context.Context, t probeTarget, path string) {
	c.probes.Inc(1)
	id, e := t.listed.VM, t.state
	suspensionBefore := c.cfg.Suspensions.Check()
	answer, err := c.cfg.Client.Probe(ctx, t.listed.Addr, path, probeTimeout)
	if suspensionBefore != c.cfg.Suspensions.Check() {
		err = cmp.Or(err, errSuspended)
	}
	now := time.Now()
	if err == nil {
		c.observeProbe(limitsEndpoint(&t.listed), answer)
		answer.Load = c.plausible(answer.Load, limitsEndpoint(&t.listed), t.listed.Slots)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unanswered.Inc(1)
		c.cfg.Log.Debug("probe failed", "id", id, "error", err)
		e.observed = e.observed.WithUnansweredProbe()
		c.recordFailedProbe(t, err, now)
		return
	}
	c.recordPressure(t.listed.Service, answer.Load, now)
	e.observed = e.observed.WithProbe(answer.Load, now)
	if answer.Warmup.Known {
		e.observed = e.observed.WithWarmup(answer.Warmup.Remaining, answer.SentAt, now)
	} else {
		e.observed = e.observed.WithoutWarmupReport(answer.Warmup.Doubtful, answer.SentAt, now)
	}
	if answer.NamesOtherInstance(id) && c.cfg.Directory.MarkLeaving(id, t.listed.Start, now) {
		c.cfg.Log.Info("endpoint", "id", id, "state", "leaving", "why", "a probe found another instance", "instance", answer.Instance)
	}
}
