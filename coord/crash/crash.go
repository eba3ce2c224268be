// Package crash decides what becomes of a request under which endpoints have ended: a
// request that crashes whoever runs it, or one that was at work beside it.
//
// A Case is what a fleet knows of one request, told from others by its Fingerprint: which
// endpoints ended while they ran it, and whether one has run it to an end since. Any end
// may be chance, and one run proves that the request is sound: it voids all ends before it.
// A wide case is the same of all requests that differ in their query alone. It decides
// nothing before endpoints ended under two of them: then the query is not what matters.
// From the second end on the request is on trial: one balancer of the fleet at a time may
// send it, once. It is refused when it has ended endpoints on trial as well, two of them or
// three. So a sound request is not refused for the ends of others: on trial it is run.
//
// The package owns no state: a Case is an immutable value. It has no clock and does no
// input or output. Cases of several processes that have been told the same ends and runs,
// in any order and however often, decide alike.
//
// # Usage
//
//	c := crash.Case{}.WithEnd(end)
//	switch c.Decide(now).Do {
//	case crash.Send:
//	case crash.Try: // alone in the fleet
//	case crash.Refuse:
//	}
package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// trialAfter is the number of ends from which a request is on trial. With one, each
	// request at work beside another one that crashes would ask the store for a trial.
	trialAfter = 2
	// guilty is the weight of ends on trial from which a request is refused: of two endpoints
	// that held nothing else, or three. One is not enough: where other requests crash one
	// endpoint in twenty while a trial lasts, each twentieth sound request on trial was
	// refused; in soaks of 25 crashing requests in 20 s on ten endpoints three of four refused
	// sound ones.
	guilty = 6
	// aloneWeight is the weight of the end of an endpoint that held nothing else, and
	// besideWeight of one that did: what it held may have ended it.
	aloneWeight  = 3
	besideWeight = 2
	// variants is how many queries must have ended endpoints before a wide case decides.
	variants = 2
	// keptEnds is how many ends of a request are kept; more change no decision.
	keptEnds = 16
	// probationFor is how long after its refusal ended a request is on trial from the start.
	probationFor = time.Hour
)

// HoldFor is how long a request is refused after the last end under it.
const HoldFor = 10 * time.Minute

// End says that an endpoint ended while it ran a request.
type End struct {
	Endpoint string    // its identity
	Start    int64     // which start of it, as it tells itself; 0 where it does not
	At       time.Time // when that was seen
	SeenBy   string    // the balancer that saw it
	Trial    bool      // the request was on trial there
	Alone    bool      // the endpoint held nothing else when the request was sent
	// Of is the exact fingerprint of the request; a wide case has ends of several.
	Of Fingerprint
}

// again reports whether two ends are one, told twice.
func (e End) again(o End) bool {
	return e.Same(o) && e.Of == o.Of && e.At.Equal(o.At) && e.SeenBy == o.SeenBy && e.Trial == o.Trial && e.Alone == o.Alone
}

// Same reports whether two ends are of one start of one endpoint, which ends once, whoever
// saw it.
func (e End) Same(o End) bool { return e.Endpoint == o.Endpoint && e.Start == o.Start }

// weight returns what the end counts for a refusal.
func (e End) weight() int {
	switch {
	case e.Trial && e.Alone:
		return aloneWeight
	case e.Trial:
		return besideWeight
	}
	return 0
}

// Case is what is known of one request. It is an immutable value; the zero value knows
// nothing.
type Case struct {
	wide     bool
	ends     []End     // as they were seen since the last run, the earliest first; never changed in place
	ran      time.Time // when an endpoint last ran it to an end
	released time.Time // when an operator released it last
	ordered  time.Time // when an operator ordered that it is refused; zero where none did
}

// NewWide returns a case of requests that differ in their query, of which nothing is known.
func NewWide() Case { return Case{wide: true} }

// Wide reports whether it is a case of requests that differ in their query.
func (c Case) Wide() bool { return c.wide }

// WithEnd returns the case after an end. One from before the last run is void.
func (c Case) WithEnd(e End) Case {
	if !e.At.After(c.ran) || slices.ContainsFunc(c.ends, e.again) {
		return c
	}
	c.ends = kept(append(slices.Clone(c.ends), e))
	return c
}

// kept returns the ends that are kept, in order: all that were on trial, and of the others
// the earliest.
func kept(ends []End) []End {
	slices.SortFunc(ends, func(a, b End) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Start, b.Start))
	})
	for len(ends) > keptEnds {
		last := len(ends) - 1
		for last > 0 && ends[last].Trial {
			last--
		}
		ends = slices.Delete(ends, last, last+1)
	}
	return ends
}

// WithRun returns the case after an endpoint ran the request to an end at a time: what it
// ended before that was chance. An operator's order stays.
func (c Case) WithRun(at time.Time) Case {
	if !at.After(c.ran) {
		return c
	}
	c.ran = at
	c.ends = slices.DeleteFunc(slices.Clone(c.ends), func(e End) bool { return !e.At.After(at) })
	return c
}

// WithRelease returns the case after an operator released it: the request is on trial
// again, and what it ended on earlier trials counts as an end like any other.
func (c Case) WithRelease(at time.Time) Case {
	if at.After(c.released) {
		c.released, c.ordered = at, time.Time{}
	}
	return c
}

// WithOrder returns the case after an operator ordered that the request is refused.
func (c Case) WithOrder(at time.Time) Case {
	if at.After(c.released) && at.After(c.ordered) {
		c.ordered = at
	}
	return c
}

// Ends returns the ends since the last run, the earliest first, each one once.
func (c Case) Ends() []End {
	var ends []End
	for _, e := range c.ends {
		i := slices.IndexFunc(ends, e.Same)
		if i < 0 {
			ends = append(ends, e)
			continue
		}
		ends[i].Trial = ends[i].Trial || e.Trial
		ends[i].Alone = ends[i].Alone || e.Alone
	}
	return ends
}

// Ordered reports whether an operator has ordered the refusal.
func (c Case) Ordered() bool { return !c.ordered.IsZero() }

// HasRun reports whether an endpoint is known to have run the request to an end.
func (c Case) HasRun() bool { return !c.ran.IsZero() }

// Last returns when the latest end was seen; zero where none was.
func (c Case) Last() time.Time {
	var latest time.Time
	for _, e := range c.ends {
		if e.At.After(latest) {
			latest = e.At
		}
	}
	return latest
}

// decides reports whether the ends say anything of the requests that the case is of.
func (c Case) decides() bool {
	if !c.wide {
		return true
	}
	of := map[Fingerprint]bool{}
	for _, e := range c.ends {
		of[e.Of] = true
	}
	return len(of) >= variants
}

// found reports whether the request ended endpoints on trial.
func (c Case) found() bool {
	weight := 0
	for _, e := range c.Ends() {
		if e.At.After(c.released) {
			weight += e.weight()
		}
	}
	return weight >= guilty && c.decides()
}

// Step is what is to be done with a request.
type Step uint8

// The steps.
const (
	Send   Step = iota // as any other
	Try                // if no other balancer tries it now
	Refuse             // at once
)

// String returns the word used in logs.
func (s Step) String() string { return [...]string{"send", "try", "refuse"}[s] }

// Decision is a step, and until when a refusal holds.
type Decision struct {
	Do    Step
	Until time.Time // of a refusal; the least, where an operator ordered it
}

// Decide is the rule for a request that comes, again or for the first time.
func (c Case) Decide(now time.Time) Decision {
	until := c.Last().Add(HoldFor)
	switch {
	case c.Ordered():
		return Decision{Do: Refuse, Until: now.Add(HoldFor)} // or later: until it is released
	case c.found() && now.Before(until):
		return Decision{Do: Refuse, Until: until}
	case c.found(), len(c.Ends()) >= trialAfter && c.decides():
		return Decision{Do: Try}
	}
	return Decision{Do: Send}
}

// Suspected reports whether the next end decides something: what the request does at an
// endpoint is then waited for before it is sent anywhere else.
func (c Case) Suspected() bool { return len(c.ends) > 0 }

// Forgotten reports whether nothing has to be known of the request any more.
func (c Case) Forgotten(now time.Time) bool {
	if c.Ordered() {
		return false
	}
	last := c.Last()
	if c.ran.After(last) {
		last = c.ran
	}
	if c.found() {
		return now.Sub(last) > HoldFor+probationFor
	}
	return now.Sub(last) > HoldFor
}
