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

// Attempt is an attempt to send a request that broke without a response.
type Attempt struct {
	Request
	Endpoint string // ID of the endpoint
	Start    int64  // identifies its incarnation, as listed in the directory
	Addr     string
	Trial    bool // the request was on trial
	Alone    bool // by its own recent load report, the endpoint was processing nothing else
}

const (
	// probeTimeout bounds one probe of an endpoint. It is as long as opening a connection to it may
	// take.
	probeTimeout = 300 * time.Millisecond
	// watchDuration is how long the directory entry of an endpoint is watched if the probes showed
	// no crash. The entry of a crashed endpoint ends with its lease, after three heartbeats.
	watchDuration = 8 * time.Second
	// maxChecks bounds the broken attempts whose endpoints are checked at once. Further ones are not
	// checked.
	maxChecks = 256
)

// probeDelays are the pauses before each probe of an endpoint. The first probe may still go out on
// a connection that broke with the process.
var probeDelays = []time.Duration{0, 5 * time.Millisecond, 25 * time.Millisecond}

// CheckEndpoint finds out, in the background, whether the endpoint of a broken attempt has crashed, and
// notifies all balancers if so. The channel is closed after the probes, whether or not they showed
// a crash, or at once if too many checks are in progress.
func (k *Tracker) CheckEndpoint(a Attempt) <-chan struct{} {
	probed := make(chan struct{})
	if !k.reserveCheck() {
		k.cfg.Log.Warn("endpoint not checked for a crash: too many checks in progress", "id", a.Endpoint, "request", a.ID, "watched", maxChecks)
		close(probed)
		return probed
	}
	go func() {
		defer k.releaseCheck()
		ctx := k.runContext()
		why := k.probe(ctx, a)
		if why != "" {
			k.reportCrash(a, why)
		}
		k.EndTrial(a.Request) // ends the trial if the probes showed no crash
		close(probed)
		if why == "" {
			if why = k.watch(ctx, a); why != "" {
				k.reportCrash(a, why)
			}
		}
	}()
	return probed
}

// reserveCheck counts one more running check. It returns false if maxChecks are running already.
func (k *Tracker) reserveCheck() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runningChecks >= maxChecks {
		return false
	}
	k.runningChecks++
	return true
}

// releaseCheck ends a check that reserveCheck counted.
func (k *Tracker) releaseCheck() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runningChecks--
}

// probe checks whether the endpoint is still running. It returns the evidence of a crash: its
// address refuses connections, or another instance answers there. Without such evidence it returns
// an empty text.
func (k *Tracker) probe(ctx context.Context, a Attempt) string {
	path := k.probePath(a.Service)
	if path == "" {
		return ""
	}
	for _, after := range probeDelays {
		pause.For(ctx, after)
		if k.cfg.MayProbe != nil && !k.cfg.MayProbe(a.Endpoint) {
			return ""
		}
		result, err := k.cfg.Prober.Probe(ctx, a.Addr, path, probeTimeout)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return "its address refuses connections"
		case err == nil && result.NamesOtherInstance(a.Endpoint):
			return "another instance answers at its address"
		case err == nil:
			return "" // it is running, or has restarted, which its directory entry will show
		}
	}
	return ""
}

// probePath returns the path of the load reports of a service's endpoints; empty if they have none.
func (k *Tracker) probePath(service string) string {
	config := k.cfg.Endpoints.Snapshot().Config
	if config == nil {
		return ""
	}
	return config.Services[service].ProbePath
}

// watch watches the directory for up to watchDuration. It returns the evidence of a crash: the
// endpoint's entry ended without a notice of leaving, or has another start. Without such evidence
// it returns an empty text.
func (k *Tracker) watch(ctx context.Context, a Attempt) string {
	for until := k.opts.Now().Add(watchDuration); k.opts.Now().Before(until) && ctx.Err() == nil; {
		pause.For(ctx, k.opts.LookEvery)
		e, found := k.cfg.Endpoints.Endpoint(a.Endpoint)
		switch {
		case found && e.Start != a.Start:
			return "its entry has another start"
		case found && e.State == directory.Missing:
			return "its entry is gone"
		}
	}
	return ""
}

// reportCrash records that the endpoint of an attempt crashed, notifies all balancers, and records
// the refusal in the store if there is one now.
func (k *Tracker) reportCrash(a Attempt, why string) {
	now := k.opts.Now()
	k.endOwnTrial(a.Request)
	k.crashes.Inc(1)
	k.cfg.Log.Info("endpoint crashed during a request", "id", a.Endpoint, "start", a.Start, "why", why, "request", a.ID,
		"fingerprint", string(a.Fingerprints.Exact), "service", a.Service, "kind", a.Kind, "trial", a.Trial, "alone", a.Alone)
	e := crash.Event{Endpoint: a.Endpoint, Start: a.Start, At: now, SeenBy: k.cfg.ID, Trial: a.Trial, Alone: a.Alone, RequestFingerprint: a.Fingerprints.Exact}
	k.addCrash(a.Fingerprints, a.Service, a.Kind, e, now)
	k.broadcast(note{What: noteCrashed, Exact: a.Fingerprints.Exact, AnyQuery: a.Fingerprints.AnyQuery, Service: a.Service, Kind: a.Kind, Crash: newCrashData(e)})
	k.startRefusalWrite(a.Fingerprints.Exact)
	k.startRefusalWrite(a.Fingerprints.AnyQuery)
}

// addCrash adds a crash to both histories of a request.
func (k *Tracker) addCrash(p crash.Fingerprints, service, kind string, e crash.Event, now time.Time) {
	k.updateBoth(p, now, func(ent *entry) {
		ent.service, ent.kind, ent.crashReported = service, kind, true
		ent.history = ent.history.WithCrash(e)
		if e.Trial {
			ent.clearTrial()
		}
	})
}

// Completed records that an endpoint completed a request, which shows that it does not cause crashes, and
// notifies all balancers if it was suspected.
func (k *Tracker) Completed(r Request) {
	if !k.suspected(r.Fingerprints) {
		k.EndTrial(r) // the completion of the same request elsewhere may have been reported meanwhile
		return
	}
	now := k.opts.Now()
	k.endOwnTrial(r)
	f, history, _, _ := k.decidingHistory(r.Fingerprints, now)
	k.cfg.Log.Info("suspected request completed", "fingerprint", string(f), "request", r.ID, "evidence", evidence(history, now))
	k.addCompletion(r.Fingerprints, now)
	k.broadcast(note{What: noteCompleted, Exact: r.Fingerprints.Exact, AnyQuery: r.Fingerprints.AnyQuery})
	k.withdrawRefusal(r.Fingerprints.Exact)
	k.withdrawRefusal(r.Fingerprints.AnyQuery)
}

// addCompletion adds a completion to both histories of a request.
func (k *Tracker) addCompletion(p crash.Fingerprints, at time.Time) {
	k.updateBoth(p, k.opts.Now(), func(ent *entry) {
		ent.history = ent.history.WithCompletion(at)
		ent.clearTrial()
	})
}
