package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// probe asks the most promising endpoints for their load, all at once, and
// waits for the answers a short while. It returns how many it asked.
func (f *Chooser) probe(ctx context.Context, a placement.Request, list *ranking) int {
	path := f.probePath(a.Service)
	if path == "" {
		return 0
	}
	chosen := f.probed(list)
	if len(chosen) == 0 {
		return 0
	}
	answers := make(chan struct{}, len(chosen))
	for _, t := range chosen {
		go func() {
			f.ask(context.WithoutCancel(ctx), t, path)
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

func (f *Chooser) probePath(service string) string {
	cfg := f.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return ""
	}
	return cfg.Services[serviceOf(service)].ProbePath
}

// target is an endpoint to ask. A question may outlast the ranking that it came
// from.
type target struct {
	known *endpoint
	id    string
	addr  string
}

// probed returns the candidates to ask: the best ones whose last report is not
// fresh, as far as their budget of probes goes.
func (f *Chooser) probed(list *ranking) []target {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var chosen []target
	for i := range list.list {
		if len(chosen) == f.opts.ProbeCount {
			break
		}
		c := list.at(i)
		if c.known.load.Age(now) > f.opts.ProbeFresh && f.mayProbe(c.known, now) {
			chosen = append(chosen, target{known: c.known, id: c.entry.VM, addr: c.entry.Addr})
		}
	}
	return chosen
}

// mayProbe takes a token of an endpoint's budget of probes; f.mu is held.
func (f *Chooser) mayProbe(k *endpoint, now time.Time) bool {
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
func (f *Chooser) ask(ctx context.Context, t target, path string) {
	f.probes.Inc(1)
	answer, err := f.cfg.Client.Probe(ctx, t.addr, path, f.opts.ProbeLimit)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		t.known.unheard++
		return
	}
	t.known.heard, t.known.unheard = now, 0
	t.known.load = withLoad(t.known.load, answer.Load, now)
	if answer.Instance != "" && answer.Instance != t.id && f.cfg.Directory.MarkLeaving(t.id, now) {
		f.cfg.Log.Info("endpoint", "id", t.id, "state", "leaving", "why", "a probe found another instance", "instance", answer.Instance)
	}
}
