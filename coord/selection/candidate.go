package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
)

const (
	// zoneDelay is added to the estimate for an endpoint of another zone: zones are about 1.5 ms
	// apart one way.
	zoneDelay = 4 * time.Millisecond
	// zoneCost is added when endpoints are compared, for what traffic between zones costs.
	zoneCost = 60 * time.Millisecond
	// connectionCost is added for an endpoint that has probably no open connection, for what a
	// new one costs beside zoneCost.
	connectionCost = 18 * time.Millisecond
	// connectionLife is how long after a sign of the endpoint its connection is thought to be
	// open: a second less than unused ones are kept.
	connectionLife = 7 * time.Second
	// unansweredCost is added for each probe in a row without a response.
	unansweredCost = 150 * time.Millisecond
	// besideCost is added for an endpoint that holds something, for a request that should be
	// alone there: more than any estimate that is still worth a choice.
	besideCost = time.Hour
	// deferredCost is added for an endpoint that is likely to refuse the request.
	deferredCost = 150 * time.Millisecond
	// slownessGrace is how many times the usual time completions may take before the estimate
	// grows with them.
	slownessGrace = 2
	// goodPace is the pace up to which an endpoint is taken at once.
	goodPace = 1.6
)

// Listing is what is listed of an endpoint.
type Listing struct {
	Slots    int
	SameZone bool // as the balancer
	// Admission is whether and from when the request may go there; it is not Never.
	Admission admission.Decision
	WarmAt    time.Time // until then it warms up
	WarmTold  time.Time // when that was told
}

// Usual is what was learnt of a request's kind and service. It belongs to one ranking: it
// remembers the room of endpoints, most of which have the same number of slots.
type Usual struct {
	Work     time.Duration // usual service time of the kind
	Crowding Crowding      // of the service
	Prospect Prospect      // of the service
	Warming  Warming       // of the service's endpoints that warm up

	Fresh     time.Duration // so old a report is fresh
	TellsLoad bool          // the service's endpoints can be probed

	WarmupRate float64 // requests a second that one endpoint bears while it warms up; 0 where it is not known
	Lot        uint32  // random, of the request; decides with which of them it may begin
	Alone      bool    // an endpoint that holds nothing else is wanted

	slots, room int // that was asked for last, and its room
}

// roomOf returns how many requests an endpoint of so many slots should hold at most.
func (u *Usual) roomOf(slots int) int {
	if u.slots != slots {
		u.slots, u.room = slots, u.Crowding.Room(slots)
	}
	return u.room
}

// Candidate is an endpoint that may get a request, as it is at one time.
type Candidate struct {
	Index     int           // in the list that the candidates were made of
	Estimate  time.Duration // until its response
	Age       time.Duration // of its last report; very old where there is none
	Busy      int           // requests that it is thought to hold
	Slots     int           // requests that it works on at once
	Full      bool          // it should hold no more
	Good      bool          // there is no need to look for a better one
	Ejected   bool          // for failures
	Cold      bool          // it warms up
	Closed    bool          // it warms up, and may get nothing now
	Admission admission.Decision

	cost time.Duration // the estimate with zoneCost and connectionCost
	tie  uint32        // random, decides between equals
}

// NewCandidate makes a candidate of an endpoint, which it does not change.
func NewCandidate(e *Endpoint, index int, l Listing, usual *Usual, tie uint32, now time.Time) Candidate {
	cold := e.cold(l, now)
	untried := !cold && e.untried(l)
	conditions := Conditions{
		Slots:    l.Slots,
		Warm:     !cold,
		Untried:  untried,
		Slowness: max(1, e.health.Slowness()/slownessGrace),
		Crowding: &usual.Crowding,
	}
	c := Candidate{
		Index:     index,
		Estimate:  e.load.Estimate(conditions, usual.Work, now) + time.Duration(e.unanswered)*unansweredCost,
		Age:       e.load.Age(now),
		Busy:      e.load.Busy(now),
		Slots:     e.load.Slots(l.Slots),
		Ejected:   e.health.Ejected(now),
		Cold:      cold,
		Admission: l.Admission,
		tie:       tie,
	}
	if !l.SameZone {
		c.Estimate += zoneDelay
		c.cost = zoneCost
	}
	if !untried && !e.InUse(now) {
		c.cost += connectionCost
	}
	if usual.Alone && c.Busy > 0 {
		c.cost += besideCost
	}
	if l.Admission.Deferred {
		c.cost += deferredCost
	}
	c.cost += c.Estimate
	c.Closed = cold && e.closed(usual, index, c.Estimate, now)
	c.Full = c.Closed || c.shut() || c.Busy >= usual.roomOf(c.Slots) || now.Before(e.pausedUntil)
	c.Good = !c.Full && c.Admission.Admits() && e.unanswered == 0 && e.load.Pace(now) <= goodPace
	return c
}

// shut reports whether the request may not go there now, whatever room there is.
func (c *Candidate) shut() bool { return c.Admission.Access == admission.Shut }

// compare orders candidates: those that may get the request first, then those with room, then by cost.
func (c *Candidate) compare(o *Candidate) int {
	switch {
	case c.shut() != o.shut() && c.shut():
		return 1
	case c.shut() != o.shut():
		return -1
	case c.Full != o.Full && c.Full:
		return 1
	case c.Full != o.Full:
		return -1
	case c.cost != o.cost:
		return cmp.Compare(c.cost, o.cost)
	}
	return cmp.Compare(c.tie, o.tie)
}

// Ranking is a list of candidates that is put in order only as far as it is asked for: of
// hundreds, a few are looked at. The zero value is empty.
type Ranking struct {
	list   []Candidate
	sorted int // so many stand in their places, the best first
}

// Reset empties the ranking and makes room for n candidates.
func (r *Ranking) Reset(n int) {
	r.list, r.sorted = slices.Grow(r.list[:0], n), 0
}

// Add adds a candidate.
func (r *Ranking) Add(c Candidate) { r.list = append(r.list, c) }

// DropEjected leaves out the ejected candidates while there are others.
func (r *Ranking) DropEjected() {
	ejected := 0
	for i := range r.list {
		if r.list[i].Ejected {
			ejected++
		}
	}
	if ejected > 0 && ejected < len(r.list) {
		r.list = slices.DeleteFunc(r.list, func(c Candidate) bool { return c.Ejected })
	}
}

// Find returns the candidate that was made of an endpoint, by its index in the list that
// the candidates were made of.
func (r *Ranking) Find(index int) (*Candidate, bool) {
	for i := range r.list {
		if r.list[i].Index == index {
			return &r.list[i], true
		}
	}
	return nil, false
}

// Shut reports whether no candidate may get the request now, why the first one that opens may not,
// and after which time it may; 0 where that is not known.
func (r *Ranking) Shut() (first admission.Decision, all bool) {
	for i := range r.list {
		d := r.list[i].Admission
		if d.Access != admission.Shut {
			return admission.Decision{}, false
		}
		if i == 0 || d.OpensIn < first.OpensIn {
			first = d
		}
	}
	return first, len(r.list) > 0
}

// Len returns the number of candidates.
func (r *Ranking) Len() int { return len(r.list) }

// Best returns the best candidate of a ranking that is not empty.
func (r *Ranking) Best() *Candidate { return r.At(0) }

// At returns the candidate in place i, counted from the best.
func (r *Ranking) At(i int) *Candidate {
	for ; r.sorted <= i; r.sorted++ {
		next := r.sorted
		for j := r.sorted + 1; j < len(r.list); j++ {
			if r.list[j].compare(&r.list[next]) < 0 {
				next = j
			}
		}
		r.list[r.sorted], r.list[next] = r.list[next], r.list[r.sorted]
	}
	return &r.list[i]
}
