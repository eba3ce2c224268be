// Package queue orders the requests of one service that wait for an endpoint at one balancer, and
// decides which requests may wait.
//
// Requests that can still be answered within their latency target (on time) are served before those
// that cannot (late). Among either, the priority decides, then teams take turns in proportion to
// their weights, and within a team the older request comes first. So that a priority is not starved,
// every request after turnAfter of the next more urgent priority comes from it, unless a larger
// fraction of its requests is served already.
//
// A request may wait if a forecast says that its place leads to a response in time. The forecast
// divides the number of requests that are served before it by the rate at which capacity becomes
// free. While that rate is unknown, a request may wait as long as an endpoint would be searched for
// without a queue.
//
// The present time and random numbers are arguments. A Queue is not safe for concurrent use. All
// queues of a process share the Places, which bound their total length.
//
// # Usage
//
//	q := queue.New(queue.NewPlaces(10_000))
//	if q.Arrive(r, now) == queue.Join {
//		a := q.Join(r, now) // a.Place waits at most until a.Place.Until()
//	}
//	p, ok := q.Next(now)      // capacity may be free for p
//	q.Granted(p.Request(), now) // then q.Ended(p, now), or q.Return(p, now) without capacity
package queue

import "time"

// Request is a request that needs an endpoint.
type Request struct {
	Priority int       // 0 is the most urgent
	Team     string    // empty for none
	Weight   float64   // of the team; 0 if it has none
	Since    time.Time // first attempt of the caller
	// LateAt is the time at which an endpoint must have been found so that the response is in time;
	// zero if the request has no latency target.
	LateAt time.Time
	// HoldUntil is until when the request may wait if the forecast cannot tell whether it is served.
	HoldUntil time.Time
	// FreeUntil is until when waiting costs nothing, even if the request is rejected afterwards.
	FreeUntil time.Time
}

// Late reports whether a response within the latency target is no longer possible.
func (r Request) Late(now time.Time) bool { return !r.LateAt.IsZero() && !now.Before(r.LateAt) }

// Place is the place of a waiting request.
type Place struct {
	// Holder is not used by the package.
	Holder any

	request                  Request
	since                    int64 // request.Since in Unix nanoseconds; faster to compare
	until                    time.Time
	sequence                 uint64 // orders requests of the same age
	group                    *group
	team                     *team
	oldestIndex, newestIndex int
	taken                    bool
	byTurn                   bool // taken because its group had been passed over
	passed                   *group
}

// Request returns the waiting request.
func (p *Place) Request() Request { return p.request }

// Until returns the time at which the request has to be served or rejected.
func (p *Place) Until() time.Time { return p.until }

// olderThan reports whether p comes before o within a team.
func (p *Place) olderThan(o *Place) bool {
	if p.since != o.since {
		return p.since < o.since
	}
	return p.sequence < o.sequence
}

// Places bounds the total number of requests that wait in several queues.
type Places struct{ limit, used int }

// NewPlaces returns the given number of places.
func NewPlaces(limit int) *Places { return &Places{limit: limit} }

// Queue holds the waiting requests of one service.
type Queue struct {
	places   *Places
	groups   []*group // on time by priority, then late by priority; kept when empty
	waiting  int
	taken    int
	sequence uint64
	forecast forecast
}

// New returns an empty queue that uses the places.
func New(places *Places) *Queue { return &Queue{places: places} }

// Verdict is what to do with a request that arrives.
type Verdict uint8

// The verdicts.
const (
	Search     Verdict = iota // search for an endpoint at once; Join if there is none
	SearchOnce                // search for an endpoint at once; reject if there is none
	Join                      // call Join without a search, since others are served first
	Reject                    // reject the request
)

// Arrive returns what to do with a request that arrives. A service counts as short of capacity while
// requests wait and for shortFor afterwards. While it is not short, each request searches at once.
func (q *Queue) Arrive(r Request, now time.Time) Verdict {
	q.advance(now)
	switch {
	case !q.Short(now):
		return Search
	case r.Late(now) && q.anyOnTime():
		return Reject
	case r.Late(now):
		return SearchOnce
	case q.isFavoured(r.Priority):
		return Reject
	case q.precedesAll(r.Priority):
		return Search
	}
	if _, known := q.Wait(r); !known && !now.Before(r.HoldUntil) {
		return SearchOnce // it may not wait, for instance because an endpoint has refused it
	}
	return Join
}

// Admission is the result of Join.
type Admission struct {
	Place     *Place // nil if the request is rejected
	Displaced *Place // request that has lost its place; nil for none
}

// Join gives a place to a request, unless the forecast says that the place does not lead to a
// response in time, the request is late while the service is short of capacity, or there is no place
// and no less urgent request to displace.
func (q *Queue) Join(r Request, now time.Time) Admission {
	q.advance(now)
	until, ok := q.mayWaitUntil(r, now)
	if !ok {
		return Admission{}
	}
	var displaced *Place
	if q.places.used >= q.places.limit {
		if displaced = q.victim(r, now); displaced == nil {
			return Admission{}
		}
		q.displace(displaced, now)
	}
	q.sequence++
	p := &Place{request: r, since: r.Since.UnixNano(), until: until, sequence: q.sequence}
	q.insert(p, q.groupOf(r.Priority, r.Late(now)), now)
	if displaced == nil {
		if displaced = q.hopeless(now); displaced == p {
			q.drop(p, now)
			return Admission{}
		} else if displaced != nil {
			q.displace(displaced, now)
		}
	}
	return Admission{Place: p, Displaced: displaced}
}

// mayWaitUntil returns until when a request may wait, and whether it may wait at all.
func (q *Queue) mayWaitUntil(r Request, now time.Time) (time.Time, bool) {
	if r.Late(now) {
		return r.FreeUntil, !q.Short(now) && now.Before(r.FreeUntil)
	}
	wait, known := q.Wait(r)
	switch {
	case !known:
		return earliest(r.LateAt, r.HoldUntil), now.Before(r.HoldUntil)
	case r.LateAt.IsZero():
		return r.HoldUntil, now.Before(r.HoldUntil) && !now.Add(wait).After(r.HoldUntil)
	case !now.Add(time.Duration(forecastMargin * float64(wait))).After(r.LateAt):
		return r.LateAt, true
	}
	// Only the first in line may wait for nothing: capacity may be free a little sooner than usual.
	own, urgent, _ := q.ahead(r)
	return earliest(r.LateAt, r.FreeUntil), own+urgent < 1 && now.Before(r.FreeUntil)
}

// earliest returns the earlier of two times; a is ignored if it is zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// victim returns the request that loses its place to another one when there are no places left: the
// last one of the least urgent group, if that is less urgent than the new request, or in the same
// group if its team has more waiting requests, relative to the weight, than the new request's team
// would have. It returns nil for none.
func (q *Queue) victim(r Request, now time.Time) *Place {
	g := q.lastGroup()
	if g == nil {
		return nil
	}
	own := newGroupKey(r.Priority, r.Late(now))
	switch c := own.compare(g.key()); {
	case c < 0:
		return g.last()
	case c > 0:
		return nil
	}
	waiting, weight := 0, g.weightOf(r.Weight)
	if t, ok := g.teams[r.Team]; ok && t.oldest.len() > 0 {
		waiting, weight = t.oldest.len(), t.weight
	}
	if float64(waiting+1)/weight < g.backlogs.first().backlog() {
		return g.last()
	}
	return nil
}

// hopeless returns the last request in order if the forecast says that it is not served in time any
// more, because others have come before it. It returns nil for none.
func (q *Queue) hopeless(now time.Time) *Place {
	g := q.lastGroup()
	if g == nil || g.late {
		return nil
	}
	p := g.last()
	rate, known := q.forecast.granted.rate()
	if !known || q.waiting <= 1 || p.request.LateAt.IsZero() || p.until.Before(p.request.LateAt) {
		return nil // it waits without a forecast, for a short time
	}
	_, urgent, levels := q.ahead(p.request)
	wait := max(q.waitAfter(g.priority, rate, float64(g.waiting-1), urgent, levels), p.team.wait(p.team.oldest.len()-1))
	if now.Add(wait).After(p.request.LateAt) {
		return p
	}
	return nil
}

// Return puts a request that Next has taken back at its place. A request that has become late
// meanwhile goes to the late ones.
func (q *Queue) Return(p *Place, now time.Time) {
	q.advance(now)
	g := p.group
	if p.byTurn {
		g.passedOver = turnAfter
	}
	if p.passed != nil {
		p.passed.passedOver = max(0, p.passed.passedOver-1)
	}
	q.taken--
	q.waiting++
	g.putBack(p, now)
	p.taken = false
	if !g.late && p.request.Late(now) {
		g.remove(p, now)
		q.groupOf(g.priority, true).add(p, now)
	}
}

// Ended ends the place of a request that Next has taken: it has an endpoint, or is rejected, or its
// caller has left.
func (q *Queue) Ended(p *Place, now time.Time) {
	q.advance(now)
	p.group.taken--
	q.taken--
	q.places.used--
}

// Leave frees the place of a waiting request. It reports whether the request was waiting, that is,
// neither taken nor displaced.
func (q *Queue) Leave(p *Place, now time.Time) bool {
	if p.taken || p.group == nil {
		return false
	}
	q.advance(now)
	q.drop(p, now)
	return true
}

// insert adds a request to a group.
func (q *Queue) insert(p *Place, g *group, now time.Time) {
	g.add(p, now)
	q.waiting++
	q.places.used++
	q.forecast.outcomesOf(g.priority)
}

// drop removes a waiting request.
func (q *Queue) drop(p *Place, now time.Time) {
	p.group.remove(p, now)
	p.group = nil
	q.waiting--
	q.places.used--
}

// displace removes a waiting request and counts it as displaced.
func (q *Queue) displace(p *Place, now time.Time) {
	q.drop(p, now)
	q.forecast.outcomesOf(p.request.Priority).displaced++
	q.Rejected(p.request, now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }
