package limits

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// Sources of what is known of a limit, as they are logged.
const (
	fromAnswer   = "answer"   // to a request of this balancer
	fromProbe    = "probe"    // of this balancer
	fromOwner    = "owner"    // in reply to an ask
	fromBalancer = "balancer" // that asked this one
	fromNote     = "note"
)

// Answered takes what an endpoint's answer to a request said.
func (k *Keeper) Answered(e Endpoint, a limit.Answer) { k.hear(e, a, fromAnswer) }

// Probed takes what an endpoint's answer to a probe said.
func (k *Keeper) Probed(e Endpoint, a limit.Answer) { k.hear(e, a, fromProbe) }

// hear takes what an answer said, and tells the endpoint's owner what is news for it.
func (k *Keeper) hear(e Endpoint, a limit.Answer, from string) {
	if a.Said == limit.Nothing && k.Quiet() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.Said == limit.Unreadable {
		k.noteUnread(e, a.Heard)
	}
	before := k.book.Observation(e.target())
	k.book.ObserveAnswer(e.target(), a, from == fromProbe)
	if !k.book.Observation(e.target()).Known() {
		return
	}
	k.remember(e)
	k.noteWord(e, before, from, a.Heard)
	k.tell(e, a)
}

// remember notes which endpoint a target is; k.mu is held.
func (k *Keeper) remember(e Endpoint) {
	k.endpoints[e.target()] = e
	k.some.Store(int64(k.book.Len()))
	if len(k.endpoints) <= 2*k.book.Len() {
		return
	}
	for t := range k.endpoints {
		if !k.book.Observation(t).Known() {
			delete(k.endpoints, t)
			delete(k.warned, t)
		}
	}
}

// noteWord logs what is news of an endpoint; k.mu is held.
func (k *Keeper) noteWord(e Endpoint, before limit.Observation, from string, now time.Time) {
	w := k.book.Observation(e.target())
	k.some.Store(int64(k.book.Len()))
	if w == before {
		return
	}
	log := k.cfg.Log.Debug
	if w.IsNewsTo(before) {
		log = k.cfg.Log.Info
	}
	log("endpoint limit", "endpoint", e.ID, "start", e.Start, "service", e.Service, "state", stateOf(w), "per_second", w.Rate(),
		"was", stateOf(before), "was_per_second", before.Rate(), "from", from, "age_ms", now.Sub(w.Heard()).Milliseconds())
}

// stateOf returns the word used in logs.
func stateOf(w limit.Observation) string {
	switch {
	case !w.Known():
		return "none"
	case w.Lifted():
		return "lifted"
	}
	return "named"
}

// warnEvery is the least time between two log lines on one endpoint whose header cannot be
// read.
const warnEvery = time.Minute

// noteUnread counts and logs a header that is no limit; k.mu is held.
func (k *Keeper) noteUnread(e Endpoint, now time.Time) {
	k.counters.unread.Inc(1)
	if at, ok := k.warned[e.target()]; ok && now.Sub(at) < warnEvery {
		return
	}
	if len(k.warned) >= mostWarned {
		clear(k.warned)
	}
	k.warned[e.target()] = now
	k.cfg.Log.Warn("endpoint limit not read", "endpoint", e.ID, "service", e.Service)
}

// mostWarned bounds of how many endpoints it is remembered that they were logged.
const mostWarned = 4096
