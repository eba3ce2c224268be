package limit

import (
	"math/rand/v2"
	"time"
)

const (
	// maxEntries is the number of endpoints that a Limiter remembers. When it is full, the entry
	// that was updated longest ago is dropped.
	maxEntries = 4096
	// entryTTL is how long a limit is remembered after the last observation of it, also if that
	// observation lifted it.
	entryTTL = 10 * time.Minute
	// With a note, the owner of an endpoint publishes an observation to all balancers.
	// minNoteInterval is the minimum time between two notes about one endpoint, and
	// noteRefreshInterval the time after which a note is repeated for balancers that have started
	// since, because notes expire.
	minNoteInterval     = time.Second
	noteRefreshInterval = 4 * time.Minute
)

// Limiter is what one balancer knows about the limits of endpoints: the latest observation of
// each, what this balancer may send and, if it is a relay, the token buckets of the endpoints that
// it owns. It is not safe for concurrent use.
type Limiter struct {
	known          map[Target]*entry
	askers         map[string]time.Time // when each balancer last asked this one
	askersPrunedAt time.Time            // when old askers were last removed
	rng            *rand.Rand
}

// entry is what is known about one endpoint.
type entry struct {
	observed        Observation // what the endpoint last said
	probesNameLimit bool        // answers to probes name the limit, too
	allowance       allowance
	ownerKnows      Observation // last observation that the owner is known to have
	updatedAt       time.Time   // when an observation was last added
	sent            int64       // requests sent under the limit
	denied          int64       // asks that got fewer permits than they wanted

	// The following fields are used by the owner of the endpoint.
	bucket    bucket
	lastNoted Observation // observation in the last note
	notedAt   time.Time   // when the last note was taken; zero for never
}

// NewLimiter returns a Limiter that knows no endpoint. seed seeds its random numbers.
func NewLimiter(seed uint64) *Limiter {
	return &Limiter{known: map[Target]*entry{}, askers: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Len returns the number of endpoints with an entry.
func (l *Limiter) Len() int { return len(l.known) }

// Observation returns what the endpoint last said; the zero value if it has no entry.
func (l *Limiter) Observation(t Target) Observation {
	if e, ok := l.known[t]; ok {
		return e.observed
	}
	return Observation{}
}

// ObserveAnswer records what an answer of the endpoint said about its limit; probe says that it
// answered a probe. An answer to a probe that names no limit lifts the limit only if an earlier
// answer to a probe has named one.
func (l *Limiter) ObserveAnswer(t Target, a Answer, probe bool) {
	e, ok := l.known[t]
	switch {
	case !ok && a.Said != HeaderNamed:
		return
	case !ok:
		e = l.addEntry(t, a.ReceivedAt)
	}
	if probe {
		e.probesNameLimit = e.probesNameLimit || a.Said == HeaderNamed
		a.MayLackHeader = a.MayLackHeader || !e.probesNameLimit
	}
	l.setObserved(e, e.observed.With(a), a.ReceivedAt)
}

// MergeRemote merges an observation received from another balancer into the entry of the endpoint.
// An invalid one is ignored.
func (l *Limiter) MergeRemote(t Target, received WireObservation, now time.Time) {
	o := received.Observation(now)
	if !o.Known() {
		return
	}
	e, ok := l.known[t]
	switch {
	case !ok:
		e = l.addEntry(t, now)
	case e.observed.isEchoOf(o):
		return
	}
	l.setObserved(e, e.observed.Merge(o), now)
}

// setObserved replaces the observation of an entry. If the limit was raised significantly or
// lifted, delays that were based on the old limit are cleared.
func (l *Limiter) setObserved(e *entry, o Observation, now time.Time) {
	e.updatedAt = now
	if e.observed.stricterThan(o) && o.IsNewsTo(e.observed) {
		e.allowance = e.allowance.withLimitRaised()
	}
	e.observed = o
}

// addEntry adds and returns an empty entry for an endpoint, evicting old ones first.
func (l *Limiter) addEntry(t Target, now time.Time) *entry {
	l.evict(now)
	e := &entry{updatedAt: now}
	l.known[t] = e
	return e
}

// evict removes expired entries and, if there are still maxEntries, the one that was updated
// longest ago.
func (l *Limiter) evict(now time.Time) {
	var oldest Target
	var updatedAt time.Time
	for t, e := range l.known {
		if now.Sub(e.updatedAt) > entryTTL {
			delete(l.known, t)
			continue
		}
		if updatedAt.IsZero() || e.updatedAt.Before(updatedAt) {
			oldest, updatedAt = t, e.updatedAt
		}
	}
	if len(l.known) >= maxEntries {
		delete(l.known, oldest)
	}
}

// Standing says whether a balancer may send a request to an endpoint at a given time.
type Standing uint8

// Admits reports whether a request may be sent to the endpoint.
func (s Standing) Admits() bool { return s == Unlimited || s == Permitted }

// The values of Standing.
const (
	Unlimited Standing = iota // no limit applies
	Permitted                 // the balancer holds a permit
	Askable                   // no permit, but the owner may grant one
	Denied                    // no permit, and no ask is allowed now
)

// Standing returns the standing of an endpoint and, if that is Denied, how long it lasts; 0 if
// that is unknown because an ask is in flight.
func (l *Limiter) Standing(t Target, now time.Time) (Standing, time.Duration) {
	e, ok := l.known[t]
	if !ok {
		return Unlimited, 0
	}
	switch _, limited := e.observed.RateAt(now); {
	case !limited:
		return Unlimited, 0
	case e.allowance.hasPermit(now):
		return Permitted, 0
	case e.allowance.askPending:
		return Denied, 0
	case now.Before(e.allowance.retryAt):
		return Denied, e.allowance.retryAt.Sub(now)
	}
	return Askable, 0
}

// Use takes a permit for a request that is sent to an endpoint now, if its limit requires one. It
// returns the standing before; the request may be sent only if that is Unlimited or Permitted.
func (l *Limiter) Use(t Target, now time.Time) Standing {
	s, _ := l.Standing(t, now)
	if s == Permitted {
		e := l.known[t]
		e.allowance = e.allowance.withPermitUsed()
		e.sent++
	}
	return s
}

// Ask returns an ask for one permit that the caller sends to the owner of the endpoint, and marks
// it as in flight. ok is false unless the endpoint is Askable.
func (l *Limiter) Ask(t Target, now time.Time) (a Ask, ok bool) {
	if s, _ := l.Standing(t, now); s != Askable {
		return Ask{}, false
	}
	return l.startAsk(t, 1, now), true
}

// Report returns an ask that only reports the endpoint's limit to its owner, and marks it as in
// flight. ok is false if the limit is no news to the owner or another ask is in flight.
func (l *Limiter) Report(t Target, now time.Time) (a Ask, ok bool) {
	e, known := l.known[t]
	if !known || e.allowance.askPending || !e.observed.IsNewsTo(e.ownerKnows) {
		return Ask{}, false
	}
	return l.startAsk(t, 0, now), true
}

// startAsk returns an ask for want permits and marks it as in flight.
func (l *Limiter) startAsk(t Target, want int, now time.Time) Ask {
	e := l.known[t]
	e.allowance.askPending = true
	return Ask{Target: t, Want: want, Word: e.observed.WireObservation(now), Probes: e.probesNameLimit}
}

// HandleReply applies the owner's reply to an ask. mayProbe reports whether the endpoint may be probed
// to check whether its limit still holds.
func (l *Limiter) HandleReply(a Ask, g Grant, askers int, now time.Time) (mayProbe bool) {
	e, ok := l.known[a.Target]
	if !ok {
		return false
	}
	e.allowance = e.allowance.withReply(g, askers, now)
	if a.Want > g.Permits {
		e.denied++
	}
	if a.Want == 0 {
		e.allowance.retryAt = time.Time{} // the reply says nothing about capacity
	}
	e.probesNameLimit = e.probesNameLimit || g.Probes
	e.ownerKnows = a.Word.Observation(now)
	l.MergeRemote(a.Target, g.Word, now)
	return g.Look
}

// HandleNoReply records that an ask failed, because the owner did not reply or the endpoint has no
// owner.
func (l *Limiter) HandleNoReply(a Ask, now time.Time) {
	e, ok := l.known[a.Target]
	if !ok {
		return
	}
	rate, _ := e.observed.RateAt(now)
	if a.Want == 0 {
		e.allowance.askPending = false
		return
	}
	e.allowance = e.allowance.withoutReply(rate, l.rng.Float64(), now)
}

// DropPermits drops all permits. It is called after the VM was suspended, when the age of a permit
// is unknown.
func (l *Limiter) DropPermits() {
	for _, e := range l.known {
		e.allowance.permits = 0
	}
}
