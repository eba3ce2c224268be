package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// State of an endpoint's entry.
type State uint8

const (
	// Listed endpoints get requests.
	Listed State = iota
	// Missing endpoints had an entry that went without a word of leaving.
	Missing
	// Leaving endpoints get no new requests.
	Leaving
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"listed", "missing", "leaving"}[s] }

// Endpoint is one incarnation of a server as the directory knows it. It is an
// immutable value.
type Endpoint struct {
	placement.Endpoint
	// Start tells the starts of a server apart that come under one identity, each of which
	// knows nothing of the one before; 0 where it is not told.
	Start    int64
	Service  string
	Version  string // of its software
	State    State
	Warmup   time.Duration // how much longer it was slow by its own word, when it wrote its entry
	WarmAt   time.Time     // until then it is slow by that word
	WarmTold time.Time     // when that word was read
	Changed  time.Time     // when the state was learnt
	Revision uint64        // of the store's entry

	Gone      bool // the store has no entry of it
	Spoiled   bool // its entry is there and cannot be read, so that it names no server to use
	Evacuated bool // its availability zone is being emptied; only a Snapshot tells
	// Side is which version of the service it runs while one comes in; only a Snapshot tells.
	Side placement.Side
}

const (
	// lastResortFor is how long endpoints that went missing together may still be
	// used. The platform's servers that live are back within two seconds of the
	// store's return, and their entries are in force within the pause in which
	// changes gather, at most 1.75 s.
	lastResortFor = 4 * time.Second
	// lossFactor tells a store that lost its entries from endpoints that left: so many times the
	// listed endpoints must have gone missing within lastResortFor. In a release of a small
	// service half of them may.
	lossFactor = 3
	// missingFor is how long an endpoint whose entry went is remembered, and leavingFor the same
	// for one that said that it leaves: its entry may be repeated by a late read.
	missingFor = 20 * time.Second
	leavingFor = 10 * missingFor
)

// Usable reports whether the endpoint may get requests at now.
func (e Endpoint) Usable(now time.Time) bool {
	if e.Evacuated || e.Spoiled || e.Side == placement.HeldSide {
		return false
	}
	return e.State == Listed || e.State == Missing && now.Sub(e.Changed) <= lastResortFor
}

// forgotten reports whether nothing has to be remembered of the endpoint any more.
func (e Endpoint) forgotten(now time.Time) bool {
	switch e.State {
	case Listed:
		return false
	case Missing:
		return now.Sub(e.Changed) > missingFor
	case Leaving:
	}
	// While the store still lists it, what it has said is remembered nowhere else.
	return e.Gone && now.Sub(e.Changed) > leavingFor
}

// newEndpoint returns an endpoint that was not known before its entry was read.
func newEndpoint(entry Entry, now time.Time) Endpoint {
	e := entry.Endpoint
	e.Revision = entry.Revision
	e.Warmup, e.WarmAt, e.WarmTold = entry.Warmup, now.Add(entry.Warmup), now
	e.Changed = now
	if entry.Leaving {
		e.State = Leaving
	}
	return e
}

// withEntry returns a known endpoint after an entry of it was read. An older entry
// than the one known changes nothing, and leaving is never taken back. The entry of
// another start tells of a server of its own, of which nothing is known: not that it
// leaves, not how long it stays cold.
func (e Endpoint) withEntry(entry Entry, now time.Time) Endpoint {
	if entry.Revision < e.Revision {
		return e
	}
	next := newEndpoint(entry, now)
	if e.startsAgain(entry) {
		return next
	}
	next.Start = e.Start
	if e.State == Leaving {
		next.State = Leaving
	}
	next.WarmAt = e.warmAt(entry, now)
	if entry.Revision == e.Revision {
		next.WarmTold = e.WarmTold // the same word once more
	}
	return next
}

// startsAgain reports whether an entry tells of another start than the one known. One that
// tells of none is taken for the one known.
func (e Endpoint) startsAgain(entry Entry) bool {
	return entry.Endpoint.Start != 0 && entry.Endpoint.Start != e.Start
}

// warmAt returns until when a known endpoint is slow after an entry of it was read. Its
// word counts from when it was written, which was earlier, so that what was read first
// holds as long as it only counts down. A newer entry that tells more than the last one
// says that the endpoint has turned cold again.
func (e Endpoint) warmAt(entry Entry, now time.Time) time.Time {
	told := now.Add(entry.Warmup)
	again := entry.Revision > e.Revision && entry.Warmup > e.Warmup
	if !again && e.WarmAt.Before(told) {
		return e.WarmAt
	}
	return told
}

// withoutEntry returns a known endpoint after its entry went, or was spoiled.
func (e Endpoint) withoutEntry(g Gone, now time.Time) Endpoint {
	if g.Revision < e.Revision {
		return e
	}
	wentNow := !e.Gone && !g.Spoiled
	e.Revision, e.Spoiled, e.Gone = g.Revision, g.Spoiled, !g.Spoiled
	switch {
	case e.State == Listed:
		e.State, e.Changed = Missing, now
	case e.State == Leaving && wentNow:
		e.Changed = now
	}
	return e
}

// withState returns the endpoint in another state.
func (e Endpoint) withState(s State, now time.Time) Endpoint {
	e.State, e.Changed = s, now
	return e
}
