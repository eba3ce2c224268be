package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// State says whether an endpoint is listed, missing or leaving.
type State uint8

const (
	// Listed endpoints have an entry and get requests, unless Usable finds a reason against it.
	Listed State = iota
	// Missing endpoints had an entry that was deleted, or that can no longer be read, although they
	// had not announced that they leave.
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
	// Start distinguishes the successive starts of a server under one identity. Nothing that is
	// known of one start applies to the next. It is 0 where it is unknown.
	Start            int64
	Service          string
	Version          string // of the server's software
	State            State
	Warmup           time.Duration // remaining warm-up that the server stated when it wrote its entry
	WarmUntil        time.Time     // end of the warm-up by that statement
	WarmupReceivedAt time.Time     // when that statement was first read
	Changed          time.Time     // when this process learnt what the state follows from: the latest entry, its deletion or a notice of leaving
	Revision         uint64        // of the store's entry or of its deletion
	EntryRevision    uint64        // of the latest entry

	Gone       bool // the store has no entry for it
	Unreadable bool // its entry exists but cannot be read, so it must not get requests
	Evacuated  bool // its availability zone is evacuated; set only in a Snapshot
	// Side says to which side of a rollout its version belongs; set only in a Snapshot.
	Side placement.RolloutSide
}

const (
	// missingUsableFor is how long endpoints that went missing together may still be
	// used. The platform's servers that are alive have written their entries again within two
	// seconds of the store's return, and these entries are applied within the pause in which
	// changes are batched, at most 1.75 s.
	missingUsableFor = 4 * time.Second
	// lossFactor distinguishes a store that lost its entries from endpoints that left: the endpoints
	// that went missing within missingUsableFor must be more than lossFactor times the listed ones.
	// In a release of a small service, half of its endpoints may be missing without such a loss.
	lossFactor = 3
	// missingRetention is how long a missing endpoint is remembered, and leavingRetention the same
	// for one that is leaving, from the deletion of its entry: a late read may repeat the entry.
	missingRetention = 20 * time.Second
	leavingRetention = 10 * missingRetention
)

// Usable reports whether the endpoint may get requests at now.
func (e Endpoint) Usable(now time.Time) bool {
	if e.Evacuated || e.Unreadable || e.Side == placement.ExcludedSide {
		return false
	}
	return e.State == Listed || e.State == Missing && now.Sub(e.Changed) <= missingUsableFor
}

// expired reports whether the endpoint need not be remembered any longer.
func (e Endpoint) expired(now time.Time) bool {
	switch e.State {
	case Listed:
		return false
	case Missing:
		return now.Sub(e.Changed) > missingRetention
	case Leaving:
	}
	// A leaving endpoint is remembered for as long as the store has its entry, since the notice
	// that it leaves may be recorded nowhere else.
	return e.Gone && now.Sub(e.Changed) > leavingRetention
}

// newEndpoint returns the endpoint of an entry, without regard to what was known before.
func newEndpoint(entry Entry, now time.Time) Endpoint {
	e := entry.Endpoint
	e.Revision, e.EntryRevision = entry.Revision, entry.Revision
	e.Warmup, e.WarmUntil, e.WarmupReceivedAt = entry.Warmup, now.Add(entry.Warmup), now
	e.Changed = now
	if entry.Leaving {
		e.State = Leaving
	}
	return e
}

// withEntry returns a known endpoint after an entry for it was read. An entry older
// than the one known changes nothing, and a leaving endpoint stays leaving. The entry of
// a new start describes a different server, to which neither the leaving state nor the warm-up of
// the earlier start applies.
func (e Endpoint) withEntry(entry Entry, now time.Time) Endpoint {
	if entry.Revision < e.Revision {
		return e
	}
	next := newEndpoint(entry, now)
	if e.isNewStart(entry) {
		return next
	}
	next.Start = e.Start
	if e.State == Leaving {
		next.State = Leaving
	}
	next.WarmUntil = e.warmAt(entry, now)
	if entry.Revision == e.Revision {
		next.WarmupReceivedAt = e.WarmupReceivedAt // the same entry was read again
	}
	return next
}

// isNewStart reports whether an entry is of another start than the one known. An entry without
// a start is taken to be of the one known.
func (e Endpoint) isNewStart(entry Entry) bool {
	return entry.Endpoint.Start != 0 && entry.Endpoint.Start != e.Start
}

// warmAt returns the end of a known endpoint's warm-up after an entry for it was read. The
// remaining warm-up counts from when the entry was written, which is before it was read.
// While the stated time only decreases, the earliest end found is therefore the most accurate. A
// newer entry says that the endpoint is cold again if it states no less time than the last one, or
// any after the end found.
func (e Endpoint) warmAt(entry Entry, now time.Time) time.Time {
	end := now.Add(entry.Warmup)
	coldAgain := entry.Revision > e.Revision && entry.Warmup > 0 && (entry.Warmup >= e.Warmup || !now.Before(e.WarmUntil))
	if !coldAgain && e.WarmUntil.Before(end) {
		return e.WarmUntil
	}
	return end
}

// withoutEntry returns a known endpoint after its entry was deleted or could not be read.
func (e Endpoint) withoutEntry(g RemovedEntry, now time.Time) Endpoint {
	if g.Revision < e.Revision {
		return e
	}
	deletedNow := !e.Gone && !g.Unreadable
	e.Revision, e.Unreadable, e.Gone = g.Revision, g.Unreadable, !g.Unreadable
	switch {
	case e.State == Listed:
		e.State, e.Changed = Missing, now
	case e.State == Leaving && deletedNow:
		e.Changed = now
	}
	return e
}

// withState returns the endpoint in another state, entered at now.
func (e Endpoint) withState(s State, now time.Time) Endpoint {
	e.State, e.Changed = s, now
	return e
}
