package limit

import (
	"maps"
	"time"
)

// This file holds the part of a Limiter that runs at a relay: it keeps the token buckets of the
// endpoints that the relay owns.

const (
	// askerTTL is how long a balancer counts as an asker after its last ask.
	askerTTL = 15 * time.Second
	// uncertainShare is the fraction of a limit that an owner grants while another balancer may have become
	// the relay and may be granting the whole limit.
	uncertainShare = 0.5
)

// HandleAsks replies to asks of the balancer at address from, which may be this one. certain says
// that no other balancer can be the relay of this one's zone.
func (l *Limiter) HandleAsks(from string, asks []Ask, certain bool, now time.Time) Reply {
	r := Reply{Taken: true, Askers: l.recordAsker(from, now)}
	for _, a := range asks {
		l.MergeRemote(a.Target, a.Word, now)
		if e, ok := l.known[a.Target]; ok {
			e.probesNameLimit = e.probesNameLimit || a.Probes
			r.Grants = append(r.Grants, l.grant(e, a, certain, now))
		}
	}
	return r
}

// grant returns the reply to one ask.
func (l *Limiter) grant(e *entry, a Ask, certain bool, now time.Time) Grant {
	want := max(0, a.Want) // a negative count would add tokens
	g := Grant{Target: a.Target, Permits: want, Word: e.observed.WireObservation(now), Probes: e.probesNameLimit}
	rate, limited := e.observed.RateAt(now)
	if !limited || want == 0 {
		return g
	}
	if !e.probesNameLimit {
		rate = max(rate, minTrialRate)
	}
	if !certain {
		rate *= uncertainShare
	}
	var d decision
	e.bucket, d = e.bucket.withAsk(rate, want, l.rng.Float64(), now)
	g.Permits, g.After, g.Look = d.permits, d.retryAfter, d.probe && e.probesNameLimit
	return g
}

// recordAsker records that a balancer asked, and returns how many have asked lately. Expired ones
// are removed only every askerTTL/10, because that scans all of them.
func (l *Limiter) recordAsker(from string, now time.Time) int {
	l.askers[from] = now
	if now.Sub(l.askersPrunedAt) > askerTTL/10 {
		l.askersPrunedAt = now
		maps.DeleteFunc(l.askers, func(_ string, at time.Time) bool { return now.Sub(at) > askerTTL })
	}
	return len(l.askers)
}

// TakeNote returns the observation that the owner should publish to all balancers now, and records
// it as published. ok is false if minNoteInterval has not passed since the last note, or there is
// no news and noteRefreshInterval has not passed. A note about a lifted limit is not repeated.
func (l *Limiter) TakeNote(t Target, now time.Time) (news WireObservation, ok bool) {
	e, known := l.known[t]
	if !known {
		return WireObservation{}, false
	}
	since := now.Sub(e.notedAt)
	refresh := !e.observed.Lifted() && since >= noteRefreshInterval
	if !e.notedAt.IsZero() && since < minNoteInterval || !e.observed.IsNewsTo(e.lastNoted) && !refresh {
		return WireObservation{}, false
	}
	e.lastNoted, e.notedAt = e.observed, now
	return e.observed.WireObservation(now), true
}

// NoteDelay returns how long to wait before TakeNote may return a note that is held back by
// minNoteInterval. ok is false if there is nothing new to publish.
func (l *Limiter) NoteDelay(t Target, now time.Time) (after time.Duration, ok bool) {
	e, known := l.known[t]
	if !known || !e.observed.IsNewsTo(e.lastNoted) {
		return 0, false
	}
	return max(0, minNoteInterval-now.Sub(e.notedAt)), true
}
