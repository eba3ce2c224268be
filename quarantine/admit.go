package quarantine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/relay"
)

// Request holds what a Tracker needs to know about a request.
type Request struct {
	ID           string // for the log
	Fingerprints crash.Fingerprints
	Service      string
	Kind         string
	// Patience is how long the request may wait for the end of another balancer's trial. Target is
	// the latency objective of its kind, 0 for none.
	Patience time.Duration
	Target   time.Duration
}

// Admission says how an admitted request may be sent.
type Admission struct {
	// Trial: the request is on trial at this balancer. It is sent once, to an endpoint that
	// processes nothing else if there is one.
	Trial bool
	// Suspected: an endpoint has already crashed while it was processing this request. After a
	// broken attempt, the balancer must learn whether the endpoint crashed before it sends the
	// request again.
	Suspected bool
	// Crashed are the incarnations of endpoints that crashed while processing the request, to which a
	// trial must not send it. The store may list them for a while longer, and another endpoint may
	// already run at the same address. Its crash would be attributed to the listed incarnation and
	// ignored as a second report of the same crash.
	Crashed []placement.Incarnation
}

// Refusal says why a request must not be sent.
type Refusal struct {
	RetryAfter time.Duration // when the caller may try again
	Evidence   string        // which endpoints crashed, how long ago, and which balancer observed it
}

// trialKeyPrefix precedes the fingerprint in the store keys of trials.
const trialKeyPrefix = "trials/"

// Admit decides whether a request may be sent now. While another balancer has it on trial, Admit
// waits for the end of the trial, for at most r.Patience.
func (k *Tracker) Admit(ctx context.Context, r Request) (Admission, *Refusal) {
	waitUntil := time.Now().Add(r.Patience)
	for {
		now := k.opts.Now()
		f, history, trialUntil, changed := k.decidingHistory(r.Fingerprints, now)
		decision := history.Decide(now)
		switch {
		case decision.Action == crash.Send:
			return Admission{Suspected: k.suspected(r.Fingerprints)}, nil
		case decision.Action == crash.Refuse:
			return Admission{}, k.newRefusal(f, history, decision.Until.Sub(now), now)
		case now.Before(trialUntil):
			left := time.Until(waitUntil)
			if left <= 0 || ctx.Err() != nil {
				return Admission{}, k.newRefusal(f, history, min(trialUntil.Sub(now), trialRetryAfter), now)
			}
			pause.Until(ctx, changed, min(left, trialUntil.Sub(now)))
		default:
			if admission, refused, done := k.acquireTrial(ctx, r, f, history); done {
				return admission, refused
			}
		}
	}
}

// trialRetryAfter is the longest Retry-After for a request whose patience ended during another
// trial: a trial takes about as long as a request does.
const trialRetryAfter = 250 * time.Millisecond

// decidingHistory returns the stricter of the two histories of a request, which determines how it
// is handled. It also returns the fingerprint of that history, the time until which a trial under
// it excludes others, and a channel that is closed when any history changes.
func (k *Tracker) decidingHistory(p crash.Fingerprints, now time.Time) (crash.Fingerprint, crash.History, time.Time, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	exact, anyQuery := k.entries[p.Exact], k.entries[p.AnyQuery]
	switch {
	case exact == nil && anyQuery == nil:
		return p.Exact, crash.History{}, time.Time{}, k.changed
	case exact == nil || anyQuery != nil && anyQuery.history.Decide(now).Action >= exact.history.Decide(now).Action:
		return p.AnyQuery, anyQuery.history, anyQuery.trialUntil, k.changed
	}
	return p.Exact, exact.history, exact.trialUntil, k.changed
}

// IsSuspected reports whether any endpoint is known to have crashed during the request since it last
// completed.
func (k *Tracker) IsSuspected(r Request) bool { return k.suspected(r.Fingerprints) }

// suspected reports whether any endpoint is known to have crashed during the request since it last
// completed.
func (k *Tracker) suspected(p crash.Fingerprints) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range []crash.Fingerprint{p.Exact, p.AnyQuery} {
		if ent := k.entries[f]; ent != nil && ent.history.Suspected() {
			return true
		}
	}
	return false
}

// acquireTrial asks the store for the lease that makes a trial of the request the only one in the
// fleet. It returns false if another trial is in progress or the entry was removed: the caller then
// decides again. If the store cannot be reached, the trial is exclusive within this balancer only:
// no request is refused because the store is down.
func (k *Tracker) acquireTrial(ctx context.Context, r Request, f crash.Fingerprint, history crash.History) (Admission, *Refusal, bool) {
	askCtx, cancel := context.WithTimeout(ctx, k.opts.AskWithin)
	defer cancel()
	lease, err := k.cfg.Registry.Replace(askCtx, trialKeyPrefix+string(f), []byte(`"`+k.cfg.ID+`"`), 0, k.trialDuration(r))
	now := k.opts.Now()
	if errors.Is(err, relay.ErrAlreadyRegistered) {
		k.markForeignTrial(f, now.Add(k.trialDuration(r)))
		return Admission{}, nil, false
	}
	if !k.markOwnTrial(f, lease, now.Add(k.trialDuration(r)), now) {
		return Admission{}, nil, false // another request of this balancer was faster, or the entry was removed
	}
	k.trials.Inc(1)
	k.cfg.Log.Info("trial started", "fingerprint", string(f), "request", r.ID, "evidence", evidence(history, now))
	if err != nil {
		k.cfg.Log.Warn("trial started without an exclusive lease from the store", "fingerprint", string(f), "request", r.ID, "error", err)
	}
	return Admission{Trial: true, Suspected: true, Crashed: crashedIncarnations(history)}, nil, true
}

// trialTargetFactor is how many times its latency objective a request may take on trial before
// another balancer may assume that the trial is over.
const trialTargetFactor = 2

// trialDuration returns how long a trial of the request excludes others, unless it is reported to
// be over.
func (k *Tracker) trialDuration(r Request) time.Duration {
	return max(k.opts.TrialFor, trialTargetFactor*r.Target)
}

// markForeignTrial records that another balancer has the request on trial.
func (k *Tracker) markForeignTrial(f crash.Fingerprint, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ent := k.entries[f]; ent != nil && !ent.ownTrial {
		ent.trialUntil = until
	}
}

// markOwnTrial records that this balancer has the request on trial, under a lease of the store, or
// 0 without one. It returns false if the entry is gone or another trial is known.
func (k *Tracker) markOwnTrial(f crash.Fingerprint, lease uint64, until, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ent := k.entries[f]
	if ent == nil || now.Before(ent.trialUntil) {
		return false
	}
	ent.trialUntil, ent.ownTrial, ent.trialLease = until, true, lease
	return true
}

// EndTrial ends this balancer's trial of a request, if it has one, and notifies the other balancers, so
// that another trial can begin.
func (k *Tracker) EndTrial(r Request) {
	if k.endOwnTrial(r) {
		k.clearTrials(r.Fingerprints)
		k.broadcast(note{What: noteTrialOver, Exact: r.Fingerprints.Exact, AnyQuery: r.Fingerprints.AnyQuery})
	}
}

// endOwnTrial ends this balancer's trial of a request, releases its lease, and reports whether there
// was one. Other trials stay excluded until clearTrial. It does not notify other balancers: the
// notes about crashes on trial and completions tell them that the trial is over.
func (k *Tracker) endOwnTrial(r Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	released := false
	for _, f := range []crash.Fingerprint{r.Fingerprints.Exact, r.Fingerprints.AnyQuery} {
		ent := k.entries[f]
		if ent == nil || !ent.ownTrial {
			continue
		}
		released = true
		if ent.trialLease != 0 {
			go k.releaseLease(k.runCtx, f, ent.trialLease)
		}
		ent.ownTrial, ent.trialLease = false, 0
	}
	return released
}

// releaseLease releases the lease of a trial. If that fails, the lease expires.
func (k *Tracker) releaseLease(ctx context.Context, f crash.Fingerprint, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := k.cfg.Registry.Release(ctx, lease); err != nil {
		k.cfg.Log.Warn("could not release the lease of a trial", "fingerprint", string(f), "error", err)
	}
}

// clearTrials ends the exclusion of other trials of a request, unless this balancer has it on
// trial.
func (k *Tracker) clearTrials(p crash.Fingerprints) {
	for _, f := range []crash.Fingerprint{p.Exact, p.AnyQuery} {
		k.updateExisting(f, k.opts.Now(), (*entry).clearTrial)
	}
}

// clearTrial ends the exclusion of other trials, unless this balancer has the request on trial.
func (ent *entry) clearTrial() {
	if !ent.ownTrial {
		ent.trialUntil = time.Time{}
	}
}

// newRefusal counts a refusal and returns it.
func (k *Tracker) newRefusal(f crash.Fingerprint, history crash.History, retryAfter time.Duration, now time.Time) *Refusal {
	k.refusals.Inc(1)
	return &Refusal{RetryAfter: retryAfter, Evidence: fmt.Sprintf("fingerprint %s: %s", f, evidence(history, now))}
}
