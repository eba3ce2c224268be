// Package crash decides how to handle a request during whose processing endpoints have crashed. The
// request may have caused the crashes, or it may only have been on those endpoints at the time.
//
// A History is what the fleet knows of one request, identified by its Fingerprint: which endpoints
// crashed while they were processing it, and whether an endpoint has completed it since. Any crash
// may be coincidence. One completion proves that the request is safe, and discards all earlier
// crashes. An any-query history covers all requests that differ only in their query. It has no
// effect until endpoints have crashed under two different queries: crashes under a single query say
// nothing about the others.
//
// From the second crash on, the request is on trial: one balancer of the fleet at a time may send
// it, once. It is refused after two or three crashes on trial, depending on whether the endpoints
// were processing other requests as well. A safe request is therefore not refused for crashes that
// other requests cause: on trial it completes.
//
// The package keeps no state: a History is an immutable value. It reads no clock and does no input
// or output. Histories of several processes that have received the same crashes and completions, in
// any order and any number of times, lead to the same decisions.
//
// # Usage
//
//	h := crash.History{}.WithCrash(event)
//	switch h.Decide(now).Action {
//	case crash.Send:
//	case crash.SendOnTrial: // as the only balancer of the fleet
//	case crash.Refuse:
//	}
package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialThreshold is the number of crashes from which a request is on trial. With 1, each
	// request that was on an endpoint together with one that crashes it would ask the store for a
	// trial.
	trialThreshold = 2
	// refusalWeight is the total weight of crashes on trial from which a request is refused: two
	// crashes of endpoints that were processing nothing else, or any three. When a single crash
	// sufficed, one in twenty safe requests on trial was refused where other requests crashed one
	// endpoint in twenty during a trial, and three of four soak test runs with 25 crashing requests
	// within 20 s on ten endpoints refused safe requests.
	refusalWeight = 6
	// onlyRequestWeight is the weight of the crash of an endpoint that was processing no other
	// request. sharedEndpointWeight is the weight of the crash of an endpoint that was processing
	// other requests too, since one of those may have caused the crash.
	onlyRequestWeight    = 3
	sharedEndpointWeight = 2
	// minQueries is the number of different queries under which endpoints must have crashed before
	// an any-query history has an effect.
	minQueries = 2
	// maxEvents is the number of crash reports kept for a request; more would change no decision.
	maxEvents = 16
	// probationPeriod is how long the history of a refused request is kept after the refusal. A
	// request that arrives in this time is on trial at once.
	probationPeriod = time.Hour
)

// RefusalPeriod is how long a request is refused after the last crash during its processing.
const RefusalPeriod = 10 * time.Minute

// Event reports that an endpoint crashed while it was processing a request.
type Event struct {
	Endpoint string    // ID of the endpoint
	Start    int64     // identifies the incarnation, as reported by the endpoint; 0 if it reports none
	At       time.Time // when the crash was observed
	SeenBy   string    // ID of the balancer that observed it
	Trial    bool      // the request was on trial
	Alone    bool      // the endpoint was processing no other request when this one was sent
	// RequestFingerprint is the exact fingerprint of the request. The events of an any-query
	// history have different ones.
	RequestFingerprint Fingerprint
}

// equal reports whether both events are the same report, received twice.
func (e Event) equal(o Event) bool {
	return e.SameIncarnation(o) && e.RequestFingerprint == o.RequestFingerprint && e.At.Equal(o.At) && e.SeenBy == o.SeenBy && e.Trial == o.Trial && e.Alone == o.Alone
}

// SameIncarnation reports whether both events are about the same incarnation of an endpoint. It
// crashes only once, so both report the same crash, whichever balancers observed it.
func (e Event) SameIncarnation(o Event) bool { return e.Endpoint == o.Endpoint && e.Start == o.Start }

// weight returns how much the crash counts towards a refusal; 0 if the request was not on trial.
func (e Event) weight() int {
	switch {
	case e.Trial && e.Alone:
		return onlyRequestWeight
	case e.Trial:
		return sharedEndpointWeight
	}
	return 0
}

// History is what is known of one request, or of all requests that differ only in their query. It
// is an immutable value. The zero value is the empty history of one request.
type History struct {
	anyQuery      bool      // it covers all requests that differ only in their query
	events        []Event   // crash reports since the last completion, the earliest first; never modified in place
	lastCompleted time.Time // when an endpoint last completed the request; zero if none did
	releasedAt    time.Time // when an operator last released the request; zero if none did
	orderedAt     time.Time // when an operator ordered the refusal that is in force; zero if there is none
}

// NewAnyQueryHistory returns an empty history of all requests that differ only in their query.
func NewAnyQueryHistory() History { return History{anyQuery: true} }

// AnyQuery reports whether the history covers all requests that differ only in their query.
func (h History) AnyQuery() bool { return h.anyQuery }

// WithCrash returns the history with a crash added. Duplicate reports, and crashes up to the last
// completion, are ignored.
func (h History) WithCrash(e Event) History {
	if !e.At.After(h.lastCompleted) || slices.ContainsFunc(h.events, e.equal) {
		return h
	}
	h.events = limitEvents(append(slices.Clone(h.events), e))
	return h
}

// limitEvents sorts events by time and returns at most maxEvents of them. It drops the latest
// crashes outside trials first. Crashes on trial, the earliest first, are dropped only if no others
// are left.
func limitEvents(events []Event) []Event {
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Start, b.Start))
	})
	for len(events) > maxEvents {
		last := len(events) - 1
		for last > 0 && events[last].Trial {
			last--
		}
		events = slices.Delete(events, last, last+1)
	}
	return events
}

// WithCompletion returns the history after an endpoint completed the request at the given time.
// Crashes up to then are discarded as coincidence. A refusal that an operator ordered stays.
func (h History) WithCompletion(at time.Time) History {
	if !at.After(h.lastCompleted) {
		return h
	}
	h.lastCompleted = at
	h.events = slices.DeleteFunc(slices.Clone(h.events), func(e Event) bool { return !e.At.After(at) })
	return h
}

// WithRelease returns the history after an operator released the request at the given time. It
// cancels an ordered refusal. Crashes on trial up to then count only as crashes outside trials, so
// that a refused request is on trial again.
func (h History) WithRelease(at time.Time) History {
	if at.After(h.releasedAt) {
		h.releasedAt, h.orderedAt = at, time.Time{}
	}
	return h
}

// WithRefusalOrder returns the history after an operator ordered at the given time that the request
// is refused. An order that is not later than the last release is ignored.
func (h History) WithRefusalOrder(at time.Time) History {
	if at.After(h.releasedAt) && at.After(h.orderedAt) {
		h.orderedAt = at
	}
	return h
}

// Crashes returns the crashes since the last completion, the earliest first. Several reports of one
// crash are merged.
func (h History) Crashes() []Event {
	var events []Event
	for _, e := range h.events {
		i := slices.IndexFunc(events, e.SameIncarnation)
		if i < 0 {
			events = append(events, e)
			continue
		}
		events[i].Trial = events[i].Trial || e.Trial
		events[i].Alone = events[i].Alone || e.Alone
	}
	return events
}

// RefusalOrdered reports whether an operator has ordered that the request is refused.
func (h History) RefusalOrdered() bool { return !h.orderedAt.IsZero() }

// HasCompleted reports whether any endpoint is known to have completed the request.
func (h History) HasCompleted() bool { return !h.lastCompleted.IsZero() }

// LastCrash returns when the latest crash was observed; zero if there was none.
func (h History) LastCrash() time.Time {
	var latest time.Time
	for _, e := range h.events {
		if e.At.After(latest) {
			latest = e.At
		}
	}
	return latest
}

// conclusive reports whether the crashes are evidence about all requests that the history covers:
// those of an any-query history must have occurred under at least minQueries queries.
func (h History) conclusive() bool {
	if !h.anyQuery {
		return true
	}
	queries := map[Fingerprint]bool{}
	for _, e := range h.events {
		queries[e.RequestFingerprint] = true
	}
	return len(queries) >= minQueries
}

// sufficesForRefusal reports whether the crashes on trial since the last release suffice to refuse
// the request, however long ago they occurred.
func (h History) sufficesForRefusal() bool {
	weight := 0
	for _, e := range h.Crashes() {
		if e.At.After(h.releasedAt) {
			weight += e.weight()
		}
	}
	return weight >= refusalWeight && h.conclusive()
}

// Action is how a request is to be handled.
type Action uint8

// The actions, in increasing strictness. Callers may compare them.
const (
	Send        Action = iota // like any other request
	SendOnTrial               // if no other balancer has it on trial now
	Refuse                    // without sending it
)

// String returns the action's name in logs and in the admin API.
func (a Action) String() string { return [...]string{"send", "try", "refuse"}[a] }

// Decision is the result of History.Decide.
type Decision struct {
	Action Action
	Until  time.Time // end of a refusal, the earliest possible one if an operator ordered it; zero for other actions
}

// Decide returns how to handle the request when it arrives, for the first time or again.
func (h History) Decide(now time.Time) Decision {
	until := h.LastCrash().Add(RefusalPeriod)
	switch {
	case h.RefusalOrdered():
		return Decision{Action: Refuse, Until: now.Add(RefusalPeriod)} // extended until an operator releases it
	case h.sufficesForRefusal() && now.Before(until):
		return Decision{Action: Refuse, Until: until}
	case h.sufficesForRefusal(), len(h.Crashes()) >= trialThreshold && h.conclusive():
		return Decision{Action: SendOnTrial}
	}
	return Decision{Action: Send}
}

// Suspected reports whether any crash is known since the last completion. If so, a balancer
// whose attempt to send the request broke must find out whether the endpoint crashed before it
// sends the request again, since another crash may change the decision.
func (h History) Suspected() bool { return len(h.events) > 0 }

// Expired reports whether the history no longer affects any decision and can be dropped.
func (h History) Expired(now time.Time) bool {
	if h.RefusalOrdered() {
		return false
	}
	latest := h.LastCrash()
	if h.lastCompleted.After(latest) {
		latest = h.lastCompleted
	}
	if h.sufficesForRefusal() {
		return now.Sub(latest) > RefusalPeriod+probationPeriod
	}
	return now.Sub(latest) > RefusalPeriod
}
