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

// Request is what a keeper needs to know of a request.
type Request struct {
	ID      string // for the log
	Prints  crash.Prints
	Service string
	Kind    string
	// Patience is how long it may wait for the end of another balancer's trial, and Target
	// the latency objective of its kind; 0 for none.
	Patience time.Duration
	Target   time.Duration
}

// Pass says how a request may be sent.
type Pass struct {
	// Trial: this balancer alone tries the request. It is sent once, and to an endpoint that
	// holds nothing else, if there is one.
	Trial bool
	// Suspected: an endpoint has ended under it already. Whether another one ends is to be
	// known before it is sent again.
	Suspected bool
	// Ended are the incarnations of endpoints that ended under a request on trial. The store may list
	// them for a while after that: whatever has taken their place would end unnoticed, as the same end
	// once more.
	Ended []placement.Incarnation
}

// Refusal says why a request is not sent.
type Refusal struct {
	RetryAfter time.Duration
	Evidence   string // which endpoints ended, seen by whom, how long ago
}

// trialPrefix begins the names of the store's records of trials; the fingerprint follows.
const trialPrefix = "trials/"

// Admit says whether a request may be sent now. It waits while another balancer tries it, as
// long as the request has patience.
func (k *Keeper) Admit(ctx context.Context, r Request) (Pass, *Refusal) {
	giveUp := time.Now().Add(r.Patience)
	for {
		now := k.opts.Now()
		f, is, trial, changed := k.look(r.Prints, now)
		decision := is.Decide(now)
		switch {
		case decision.Do == crash.Send:
			return Pass{Suspected: k.suspected(r.Prints)}, nil
		case decision.Do == crash.Refuse:
			return Pass{}, k.refuse(f, is, decision.Until.Sub(now), now)
		case now.Before(trial):
			left := time.Until(giveUp)
			if left <= 0 || ctx.Err() != nil {
				return Pass{}, k.refuse(f, is, min(trial.Sub(now), trialRetry), now)
			}
			pause.Until(ctx, changed, min(left, trial.Sub(now)))
		default:
			if pass, refused, done := k.try(ctx, r, f, is); done {
				return pass, refused
			}
		}
	}
}

// trialRetry is when a caller comes back for whose request the patience ended while another
// balancer tried it: trials take as long as a request does.
const trialRetry = 250 * time.Millisecond

// look returns the case that decides about a request, with its fingerprint, until when
// another balancer may try it, and what is closed when a case changes.
func (k *Keeper) look(p crash.Prints, now time.Time) (crash.Fingerprint, crash.Case, time.Time, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	exact, wide := k.entries[p.Exact], k.entries[p.Wide]
	switch {
	case exact == nil && wide == nil:
		return p.Exact, crash.Case{}, time.Time{}, k.changed
	case exact == nil || wide != nil && wide.is.Decide(now).Do >= exact.is.Decide(now).Do:
		return p.Wide, wide.is, wide.trial, k.changed
	}
	return p.Exact, exact.is, exact.trial, k.changed
}

// suspected reports whether endpoints have ended under a request since it was last run.
func (k *Keeper) suspected(p crash.Prints) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range []crash.Fingerprint{p.Exact, p.Wide} {
		if known := k.entries[f]; known != nil && known.is.Suspected() {
			return true
		}
	}
	return false
}

// try asks the store for the one trial that the fleet has at a time. It reports false where
// another balancer has it. Where the store cannot be asked this balancer has one trial at a
// time of its own: nobody is refused because the store is down.
func (k *Keeper) try(ctx context.Context, r Request, f crash.Fingerprint, is crash.Case) (Pass, *Refusal, bool) {
	asked, cancel := context.WithTimeout(ctx, k.opts.AskWithin)
	defer cancel()
	lease, err := k.cfg.Registry.Replace(asked, trialPrefix+string(f), []byte(`"`+k.cfg.ID+`"`), 0, k.trialFor(r))
	now := k.opts.Now()
	if errors.Is(err, relay.ErrTaken) {
		k.noteTrial(f, now.Add(k.trialFor(r)))
		return Pass{}, nil, false
	}
	if !k.beginTrial(f, lease, now.Add(k.trialFor(r)), now) {
		return Pass{}, nil, false // another request of this balancer was faster, or the case has ended
	}
	k.trials.Inc(1)
	k.cfg.Log.Info("trial", "fingerprint", string(f), "request", r.ID, "evidence", evidence(is, now))
	if err != nil {
		k.cfg.Log.Warn("trial without the store's word that nobody else has one", "fingerprint", string(f), "request", r.ID, "error", err)
	}
	return Pass{Trial: true, Suspected: true, Ended: ended(is)}, nil, true
}

// trialsOfTarget is how many times its target a trial of a request may take before another
// balancer may think that it is over.
const trialsOfTarget = 2

// trialFor returns for how long nobody else tries a request, if nothing is heard of its trial.
func (k *Keeper) trialFor(r Request) time.Duration {
	return max(k.opts.TrialFor, trialsOfTarget*r.Target)
}

// noteTrial notes that another balancer tries a request.
func (k *Keeper) noteTrial(f crash.Fingerprint, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.entries[f]; known != nil && !known.trying {
		known.trial = until
	}
}

// beginTrial notes that this balancer tries a request, under a lease or without the store,
// and reports whether nobody was known to do so.
func (k *Keeper) beginTrial(f crash.Fingerprint, lease uint64, until, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.entries[f]
	if known == nil || now.Before(known.trial) {
		return false
	}
	known.trial, known.trying, known.lease = until, true, lease
	return true
}

// Over ends this balancer's trial of a request, if it has one, so that another may begin.
func (k *Keeper) Over(r Request) {
	if k.endTrial(r) {
		k.noteOver(r.Prints)
		k.tell(note{What: noteOver, Exact: r.Prints.Exact, Wide: r.Prints.Wide})
	}
}

// endTrial gives this balancer's trial of a request back and reports whether it had one. Word
// of an end on trial, or of a run, tells the others that it is over.
func (k *Keeper) endTrial(r Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	over := false
	for _, f := range []crash.Fingerprint{r.Prints.Exact, r.Prints.Wide} {
		known := k.entries[f]
		if known == nil || !known.trying {
			continue
		}
		over = true
		if known.lease != 0 {
			go k.giveBack(k.live, f, known.lease)
		}
		known.trying, known.lease = false, 0
	}
	return over
}

// giveBack ends the lease of a trial. Where that fails it ends by itself.
func (k *Keeper) giveBack(ctx context.Context, f crash.Fingerprint, lease uint64) {
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	if err := k.cfg.Registry.Release(ctx, lease); err != nil {
		k.cfg.Log.Warn("trial not given back", "fingerprint", string(f), "error", err)
	}
}

// noteOver notes that nobody tries a request any more.
func (k *Keeper) noteOver(p crash.Prints) {
	for _, f := range []crash.Fingerprint{p.Exact, p.Wide} {
		k.changeIf(f, k.opts.Now(), (*entry).endTrial)
	}
}

// endTrial notes that nobody tries the request, but for this balancer if it does.
func (known *entry) endTrial() {
	if !known.trying {
		known.trial = time.Time{}
	}
}

// refuse makes a refusal.
func (k *Keeper) refuse(f crash.Fingerprint, is crash.Case, after time.Duration, now time.Time) *Refusal {
	k.denied.Inc(1)
	return &Refusal{RetryAfter: after, Evidence: fmt.Sprintf("fingerprint %s: %s", f, evidence(is, now))}
}
