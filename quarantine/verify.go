package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// Attempt is one that broke off without a response.
type Attempt struct {
	Request
	Endpoint string // its identity
	Start    int64  // which start of it, as it is listed
	Addr     string
	Trial    bool // the request was on trial
	Alone    bool // the endpoint held nothing else by its own report, just asked for
}

const (
	// probeWithin bounds one look whether an endpoint lives: as long as a connection to it
	// may take.
	probeWithin = 300 * time.Millisecond
	// watchFor is how long an endpoint is watched that still answers, or does not answer at
	// all: its entry ends with its lease, after three heartbeats.
	watchFor = 8 * time.Second
	// mostWatched bounds how many are watched at once; of more than that nothing is learnt.
	mostWatched = 256
)

// probeAfter are the pauses before the looks at an endpoint that broke off. A connection
// that broke with the process may still be the one that the first look goes out on.
var probeAfter = []time.Duration{0, 5 * time.Millisecond, 25 * time.Millisecond}

// Broke finds out whether the endpoint of an attempt has ended, and tells everybody if so.
// The channel is closed once the endpoint itself has shown it, either way.
func (k *Keeper) Broke(a Attempt) <-chan struct{} {
	shown := make(chan struct{})
	if !k.beginWatch() {
		k.cfg.Log.Warn("endpoint not watched", "id", a.Endpoint, "request", a.ID, "watched", mostWatched)
		close(shown)
		return shown
	}
	go func() {
		defer k.endWatch()
		ctx := k.running()
		why := k.probe(ctx, a)
		if why != "" {
			k.ended(a, why)
		}
		k.Over(a.Request) // of one that showed nothing
		close(shown)
		if why == "" {
			if why = k.watch(ctx, a); why != "" {
				k.ended(a, why)
			}
		}
	}()
	return shown
}

func (k *Keeper) beginWatch() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.watched >= mostWatched {
		return false
	}
	k.watched++
	return true
}

func (k *Keeper) endWatch() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watched--
}

// probe asks the endpoint whether it lives, and returns what shows that it does not: its
// address refuses connections, or another incarnation answers there.
func (k *Keeper) probe(ctx context.Context, a Attempt) string {
	path := k.probePath(a.Service)
	if path == "" {
		return ""
	}
	for _, after := range probeAfter {
		pause.For(ctx, after)
		if k.cfg.Willing != nil && !k.cfg.Willing(a.Endpoint) {
			return ""
		}
		result, err := k.cfg.Prober.Probe(ctx, a.Addr, path, probeWithin)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return "its address refuses connections"
		case err == nil && result.OfAnother(a.Endpoint):
			return "another instance answers at its address"
		case err == nil:
			return "" // it lives, or has started again: its entry will tell
		}
	}
	return ""
}

// probePath returns where a service's endpoints tell their load; empty where they do not.
func (k *Keeper) probePath(service string) string {
	config := k.cfg.Endpoints.Snapshot().Config
	if config == nil {
		return ""
	}
	return config.Services[service].ProbePath
}

// watch waits until the store tells that the endpoint has ended: its entry went without a
// word of leaving, or tells of another start.
func (k *Keeper) watch(ctx context.Context, a Attempt) string {
	for until := k.opts.Now().Add(watchFor); k.opts.Now().Before(until) && ctx.Err() == nil; {
		pause.For(ctx, k.opts.LookEvery)
		e, known := k.cfg.Endpoints.Endpoint(a.Endpoint)
		switch {
		case known && e.Start != a.Start:
			return "its entry tells of another start"
		case known && e.State == directory.Missing:
			return "its entry is gone"
		}
	}
	return ""
}

// ended notes that an endpoint ended under a request, and tells everybody.
func (k *Keeper) ended(a Attempt, why string) {
	now := k.opts.Now()
	k.endTrial(a.Request)
	k.ends.Inc(1)
	k.cfg.Log.Info("endpoint ended", "id", a.Endpoint, "start", a.Start, "why", why, "request", a.ID,
		"fingerprint", string(a.Prints.Exact), "service", a.Service, "kind", a.Kind, "trial", a.Trial, "alone", a.Alone)
	e := crash.End{Endpoint: a.Endpoint, Start: a.Start, At: now, SeenBy: k.cfg.ID, Trial: a.Trial, Alone: a.Alone, Of: a.Prints.Exact}
	k.noteEnd(a.Prints, a.Service, a.Kind, e, now)
	k.tell(note{What: noteEnd, Exact: a.Prints.Exact, Wide: a.Prints.Wide, Service: a.Service, Kind: a.Kind, End: toldEnd(e)})
	k.record(a.Prints.Exact)
	k.record(a.Prints.Wide)
}

// noteEnd adds an end to the cases of a request.
func (k *Keeper) noteEnd(p crash.Prints, service, kind string, e crash.End, now time.Time) {
	k.changeBoth(p, now, func(known *entry) {
		known.service, known.kind, known.told = service, kind, true
		known.is = known.is.WithEnd(e)
		if e.Trial {
			known.endTrial()
		}
	})
}

// Ran notes that an endpoint ran a request to an end, which shows that it crashes nobody.
func (k *Keeper) Ran(r Request) {
	if !k.suspected(r.Prints) {
		k.Over(r) // others may have told that it ran meanwhile
		return
	}
	now := k.opts.Now()
	k.endTrial(r)
	f, is, _, _ := k.look(r.Prints, now)
	k.cfg.Log.Info("suspected request ran", "fingerprint", string(f), "request", r.ID, "evidence", evidence(is, now))
	k.noteRun(r.Prints, now)
	k.tell(note{What: noteRun, Exact: r.Prints.Exact, Wide: r.Prints.Wide})
	k.withdraw(r.Prints.Exact)
	k.withdraw(r.Prints.Wide)
}

// noteRun notes that a request was run to an end.
func (k *Keeper) noteRun(p crash.Prints, at time.Time) {
	k.changeBoth(p, k.opts.Now(), func(known *entry) {
		known.is = known.is.WithRun(at)
		known.endTrial()
	})
}
