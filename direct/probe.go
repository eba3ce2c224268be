package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/node"
)

// probe asks the most promising endpoints for their load, all at once, and
// waits for the answers a short while. It returns how many it asked.
func (f *Fleet) probe(ctx context.Context, a node.Ask, list []candidate) int {
	path := f.probePath(a.Service)
	if path == "" {
		return 0
	}
	chosen := f.probed(list)
	if len(chosen) == 0 {
		return 0
	}
	answers := make(chan struct{}, len(chosen))
	for _, c := range chosen {
		go func() {
			f.ask(context.WithoutCancel(ctx), c, path)
			answers <- struct{}{}
		}()
	}
	timer := time.NewTimer(f.opts.ProbeWait)
	defer timer.Stop()
	for range chosen {
		select {
		case <-answers:
		case <-timer.C:
			return len(chosen)
		case <-ctx.Done():
			return len(chosen)
		}
	}
	return len(chosen)
}

func (f *Fleet) probePath(service string) string {
	cfg := f.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return ""
	}
	return cfg.Services[serviceOf(service)].ProbePath
}

// probed returns the candidates to ask: the best ones whose last report is not
// fresh, as far as their budget of probes goes.
func (f *Fleet) probed(list []candidate) []candidate {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var chosen []candidate
	for _, c := range list {
		if len(chosen) == f.opts.ProbeCount {
			break
		}
		if c.known.load.Age(now) > f.opts.ProbeFresh && f.mayProbe(c.known, now) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

// mayProbe takes a token of an endpoint's budget of probes; f.mu is held.
func (f *Fleet) mayProbe(k *endpoint, now time.Time) bool {
	if !k.refilled.IsZero() {
		k.probed = min(f.opts.ProbeBurst, k.probed+f.opts.ProbeRate*now.Sub(k.refilled).Seconds())
	}
	k.refilled = now
	if k.probed < 1 {
		return false
	}
	k.probed--
	return true
}

// ask probes one endpoint and takes in its answer.
func (f *Fleet) ask(ctx context.Context, c candidate, path string) {
	f.probes.Inc(1)
	answer, err := f.cfg.Client.Probe(ctx, c.Addr, path, f.opts.ProbeLimit)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		c.known.unheard++
		return
	}
	c.known.heard, c.known.unheard = now, 0
	c.known.load = withLoad(c.known.load, answer.Load, now)
	if answer.Instance != "" && answer.Instance != c.VM && f.cfg.Directory.MarkLeaving(c.VM, now) {
		f.cfg.Log.Info("endpoint", "id", c.VM, "state", "leaving", "why", "a probe found another instance", "instance", answer.Instance)
	}
}
