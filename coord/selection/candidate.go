package selection

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
)

const (
	// crossZoneDelay is added to the estimate of an endpoint in another zone. The one-way latency
	// between zones is about 1.5 ms.
	crossZoneDelay = 4 * time.Millisecond
	// crossZonePenalty is added to the cost of an endpoint in another zone, to account for the cost of
	// traffic between zones.
	crossZonePenalty = 60 * time.Millisecond
	// newConnectionPenalty is added to the cost of an endpoint to which probably no connection is
	// open, for setting up a new one. It comes on top of crossZonePenalty.
	newConnectionPenalty = 18 * time.Millisecond
	// assumedConnectionLife is how long after the last response of an endpoint its connection is
	// assumed to be open. The HTTP client closes idle connections one second later than that.
	assumedConnectionLife = 7 * time.Second
	// unansweredProbePenalty is added to the estimate for each consecutive probe without a response.
	unansweredProbePenalty = 150 * time.Millisecond
	// sharedEndpointPenalty is added to the cost of an endpoint that holds requests, if the new request
	// should be alone there. It exceeds every estimate at which an endpoint is still chosen.
	sharedEndpointPenalty = time.Hour
	// deferredPenalty is added to the cost of an endpoint that is likely to refuse the request.
	deferredPenalty = 150 * time.Millisecond
	// slownessTolerance is how many times the usual service time an endpoint's completions may take
	// without an effect on the estimate.
	slownessTolerance = 2
	// maxGoodPace is the highest pace at which a candidate is Good.
	maxGoodPace = 1.6
)

// Listing is what the directory says of an endpoint, and whether the endpoint admits the request.
type Listing struct {
	Slots    int  // number of requests that it works on at once
	SameZone bool // it is in the balancer's zone
	// Admission is whether and from when the request may be sent there; its Access is not Excluded.
	Admission        admission.Decision
	WarmUntil        time.Time // end of its warm-up
	WarmupReceivedAt time.Time // when the directory received WarmUntil
	Unprobeable      bool      // no probe of it is allowed now
}

// ScoringParams is what candidates are rated by: what was learned of the request's kind and
// service, and the request's own parameters. It belongs to one ranking, since it caches the
// concurrency limit of the last number of slots; most endpoints of a service have the same number.
type ScoringParams struct {
	Work          time.Duration // usual service time of the kind
	Crowding      Crowding      // of the service
	ProbeHistory  ProbeHistory  // of the service
	WarmupBackoff WarmupBackoff // of the service

	MaxFreshAge time.Duration // maximum age of a fresh report
	Probeable   bool          // the service's endpoints can be probed

	// WarmupPermits says that a request to an endpoint in warm-up needs a permit, and that an endpoint
	// counts as warm only with a recent proof.
	WarmupPermits bool
	Alone         bool // an endpoint that holds no other request is preferred
	// Pressed says that the service is under pressure and that requests are ordered by urgency. Only
	// endpoints with a recent load report are chosen then.
	Pressed bool

	slots, limitForSlots int // cached argument and result of concurrencyLimit
}

// concurrencyLimit returns the concurrency limit of an endpoint with the given number of slots.
func (p *ScoringParams) concurrencyLimit(slots int) int {
	if p.slots != slots {
		p.slots, p.limitForSlots = slots, p.Crowding.ConcurrencyLimit(slots)
	}
	return p.limitForSlots
}

// Candidate is the rating of an endpoint for one request at one time.
type Candidate struct {
	Index       int           // in the list that the candidates were made from
	Estimate    time.Duration // expected time until its response
	Age         time.Duration // of its last report; math.MaxInt64 if there is none
	Busy        int           // estimated number of requests that it holds; at least Slots if it may be full
	Slots       int           // number of requests that it works on at once
	Full        bool          // it is blocked, paused after a refusal, at its concurrency limit, or may be full
	Good        bool          // it can be taken without searching for a better one
	Ejected     bool          // it is ejected because of failures
	Cold        bool          // it is warming up
	ColdBlocked bool          // it is warming up and must not get the request now
	Unproven    bool          // it may be warming up, and has to be probed before it is used
	AssumedCold bool          // it counts as warming up only because it gives no proof of the opposite
	Resetting   bool          // it is in the backoff after a reset, and is not probed
	Unanswered  bool          // it did not respond to the last probe
	Admission   admission.Decision

	cost       time.Duration // the estimate and all penalties; the lowest cost ranks first
	tieBreaker uint32        // random; orders candidates of equal cost
}

// NewCandidate rates an endpoint, which it does not change. index is the endpoint's place in the
// caller's list, and tieBreaker a random number that orders candidates of equal cost.
func NewCandidate(e *Endpoint, index int, l Listing, params *ScoringParams, tieBreaker uint32, now time.Time) Candidate {
	isWarmingUp := e.IsWarmingUp(l, now)
	untried := !isWarmingUp && e.untried(l)
	conditions := Conditions{
		Slots:    l.Slots,
		Warm:     !isWarmingUp,
		Untried:  untried,
		Slowness: max(1, e.health.Slowness()/slownessTolerance),
		Crowding: &params.Crowding,
	}
	c := Candidate{
		Index:      index,
		Estimate:   e.load.Estimate(conditions, params.Work, now) + time.Duration(e.unansweredProbes)*unansweredProbePenalty,
		Age:        e.load.Age(now),
		Busy:       e.load.Busy(now),
		Slots:      e.load.Slots(l.Slots),
		Ejected:    e.health.Ejected(now),
		Cold:       isWarmingUp,
		Unanswered: e.unansweredProbes > 0,
		Admission:  l.Admission,
		tieBreaker: tieBreaker,
	}
	if !l.SameZone {
		c.Estimate += crossZoneDelay
		c.cost = crossZonePenalty
	}
	if !untried && !e.HasOpenConnection(now) {
		c.cost += newConnectionPenalty
	}
	if params.Alone && c.Busy > 0 {
		c.cost += sharedEndpointPenalty
	}
	if l.Admission.Deferred {
		c.cost += deferredPenalty
	}
	c.cost += c.Estimate
	c.ColdBlocked = isWarmingUp && !params.WarmupPermits && e.blockedInWarmup(params, now)
	c.Unproven = params.WarmupPermits && params.Probeable && !e.MayBeWarmingUp(l, now) && !e.IsProvenWarm(now)
	c.Resetting = now.Before(e.resetUntil)
	if c.Resetting || e.unproven(params, now) {
		c.Busy = max(c.Busy, c.Slots) // the estimate, which orders the probes, does not assume this
	}
	c.AssumedCold = params.WarmupPermits && params.Probeable && !isWarmingUp && e.MayBeWarmingUp(l, now)
	c.Full = c.ColdBlocked || c.Unproven && l.Unprobeable || c.blockedByAdmission() || c.Busy >= params.concurrencyLimit(c.Slots) || now.Before(e.pausedUntil)
	c.Good = !c.Full && !c.Unproven && c.Admission.Admits() && e.unansweredProbes == 0 && (e.load.Pace(now) <= maxGoodPace || c.Admission.Warmup)
	return c
}

// blockedByAdmission reports whether the admission decision forbids sending the request to the
// endpoint now.
func (c *Candidate) blockedByAdmission() bool { return c.Admission.Access == admission.Closed }

// compare orders candidates: those blocked by admission rank last, those that are full before them,
// and the others first. Within each group the lowest cost ranks first.
func (c *Candidate) compare(o *Candidate) int {
	switch {
	case c.blockedByAdmission() != o.blockedByAdmission() && c.blockedByAdmission():
		return 1
	case c.blockedByAdmission() != o.blockedByAdmission():
		return -1
	case c.Full != o.Full && c.Full:
		return 1
	case c.Full != o.Full:
		return -1
	case c.Admission.Warmup && o.Admission.Cause == admission.WarmingUp:
		return -1
	case c.Admission.Cause == admission.WarmingUp && o.Admission.Warmup:
		return 1
	case c.cost != o.cost:
		return cmp.Compare(c.cost, o.cost)
	}
	return cmp.Compare(c.tieBreaker, o.tieBreaker)
}

// Ranking is a list of candidates that is sorted only up to the highest place that was read: of
// hundreds, only a few are read. The zero value is empty.
type Ranking struct {
	list   []Candidate
	sorted int // length of the sorted prefix of list, the best candidate first
}

// Reset empties the ranking and allocates space for n candidates.
func (r *Ranking) Reset(n int) {
	r.list, r.sorted = slices.Grow(r.list[:0], n), 0
}

// Add adds a candidate.
func (r *Ranking) Add(c Candidate) { r.list = append(r.list, c) }

// DropEjected removes the ejected candidates, unless all candidates are ejected.
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

// demoteUnproven ranks the candidates behind the others that have to be probed before they are used.
func (r *Ranking) demoteUnproven() {
	for i := range r.list {
		if r.list[i].Unproven && !r.list[i].Full {
			r.list[i].Full = true
			r.sorted = 0
		}
	}
}

// Find returns the candidate with the given Index.
func (r *Ranking) Find(index int) (*Candidate, bool) {
	for i := range r.list {
		if r.list[i].Index == index {
			return &r.list[i], true
		}
	}
	return nil, false
}

// AllBlocked reports whether there are candidates and all of them are blocked by admission. If so,
// earliest is the admission decision of the candidate that opens earliest.
func (r *Ranking) AllBlocked() (earliest admission.Decision, all bool) {
	for i := range r.list {
		d := r.list[i].Admission
		if d.Access != admission.Closed {
			return admission.Decision{}, false
		}
		if i == 0 || d.OpensIn < earliest.OpensIn {
			earliest = d
		}
	}
	return earliest, len(r.list) > 0
}

// Len returns the number of candidates.
func (r *Ranking) Len() int { return len(r.list) }

// Best returns the best candidate. The ranking must not be empty.
func (r *Ranking) Best() *Candidate { return r.At(0) }

// At returns the candidate in place i, where 0 is the best. It sorts the list up to that place.
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
