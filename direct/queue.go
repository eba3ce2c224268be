package direct

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/queue"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
)

// Where requests are ordered by urgency, those that find no suitable endpoint wait in a queue per
// service (coord/queue). Only requests that are woken search for an endpoint. The first one in order
// is woken when a request of this process to the service completes with a load report, when another
// one has found an endpoint, so that there may be more, and otherwise each RoundPause.

const (
	// DefaultMaxWaiting is the default of Config.MaxWaiting. Waiting requests are bounded because of
	// their memory, mostly that of their connections.
	DefaultMaxWaiting = 10_000
	// maxSearching is the number of woken requests of a service that search for an endpoint at the
	// same time. More would send probes for the same endpoints.
	maxSearching = 8
	// wokenPerGrant is the number of requests woken when one has found an endpoint. With more than
	// one, a queue empties quickly once there is capacity for all.
	wokenPerGrant = 2
	// freeShare is the share of the latency target for which a request may be held although it is then
	// rejected. Holding it so long costs callers nothing.
	freeShare = 1.0 / 8
	// usualPace is the expected service time of a waiting request, relative to the usual one: while
	// requests wait, endpoints are nearly full and slower.
	usualPace = 1.25
)

// serviceQueue is the queue of one service; Chooser.mu must be held to use it.
type serviceQueue struct {
	*queue.Queue
	searching int         // woken requests that search for an endpoint
	unused    int         // completions during these searches; one may have come too late for the search
	poll      *time.Timer // wakes the first request; nil while nobody waits
}

// waiter is a waiting request.
type waiter struct {
	place      *queue.Place
	signal     chan struct{} // has a buffer of one; receives once the request is woken or displaced
	woken      bool
	displaced  bool
	restricted bool // it may not use all endpoints of the service
}

// queueOf returns the queue of a service, and creates it if there is none; c.mu must be held.
func (c *Chooser) queueOf(service string) *serviceQueue {
	q, ok := c.queues[service]
	if !ok {
		q = &serviceQueue{Queue: queue.New(c.places)}
		c.queues[service] = q
	}
	return q
}

// ResponseAge returns how old a request of a kind will be when it is answered if an endpoint gets it
// now: the age that wait, the time that its caller said it waits, shows, and the usual time until a
// response.
func (c *Chooser) ResponseAge(kind string, target, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usualWaits[kind].Age(wait) + c.usualWork(kind, target)
}

// usualWork returns the usual time until a response to a request of a kind, at the usual pace of
// endpoints; c.mu must be held.
func (c *Chooser) usualWork(kind string, target time.Duration) time.Duration {
	return time.Duration(usualPace * float64(c.serviceTimes[kind].Expected(target)))
}

// acquireByUrgency is Acquire where requests are ordered by urgency.
func (c *Chooser) acquireByUrgency(ctx context.Context, s *search) (placement.Grant, *placement.Refusal) {
	r, verdict := c.arrive(s, time.Now())
	switch verdict {
	case queue.Reject:
		return placement.Grant{}, c.reject(s, r, reason.NoPlace)
	case queue.Search, queue.SearchOnce:
		deadline := r.HoldUntil
		if verdict == queue.SearchOnce {
			deadline = time.Time{}
		}
		if grant, refusal, done := c.searchOnce(ctx, s, r, deadline, deadline); done {
			return grant, refusal
		}
	case queue.Join:
	}
	w := c.join(s, r)
	if w == nil {
		return placement.Grant{}, c.reject(s, r, reason.NoPlace)
	}
	return c.waitForTurn(ctx, s, w)
}

// arrive returns the request as the queue sees it, and what to do with it.
func (c *Chooser) arrive(s *search, now time.Time) (queue.Request, queue.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &s.request
	work := c.usualWork(r.Kind, r.Target)
	since := r.Accepted.Add(-c.usualWaits[r.Kind].Age(r.CallerWait))
	if len(r.Avoid) == 0 {
		c.usualWaits[r.Kind] = c.usualWaits[r.Kind].With(r.CallerWait) // once for each attempt of the caller
	}
	qr := queue.Request{Priority: r.Priority, Team: r.Team, Weight: r.Weight, Since: since, HoldUntil: c.opts.SearchDeadline(*r, now)}
	target := cmp.Or(r.Target, qr.HoldUntil.Sub(now))
	qr.FreeUntil = r.Accepted.Add(time.Duration(freeShare * float64(target)))
	if r.Target > 0 {
		qr.LateAt = earlier(since.Add(r.Target), r.Deadline).Add(-work)
	}
	return qr, c.queueOf(s.service).Arrive(qr, now)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// searchOnce searches for an endpoint once. From the deadline on it takes any acceptable one. done is
// false if the request may wait; it may until the given time.
func (c *Chooser) searchOnce(ctx context.Context, s *search, r queue.Request, deadline, until time.Time) (grant placement.Grant, refusal *placement.Refusal, done bool) {
	d, now := c.evaluate(ctx, s, deadline)
	switch d.Action {
	case selection.Take:
		if grant, ok := c.grantBest(s, now); ok {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.queueOf(s.service).Granted(r, now)
			return grant, nil, true
		}
		return grant, nil, false // another request has taken the permit
	case selection.Refuse:
		switch {
		case d.Reason != reason.TooLate:
			return grant, c.refuse(s, d), true
		case !now.Before(until):
			return grant, c.reject(s, r, d.Reason), true
		}
	case selection.Wait:
	}
	return grant, nil, false
}

// join puts a request into the queue. It returns nil if the request is rejected. The ranking is
// dropped, since it would take most of the memory of a waiting request.
func (c *Chooser) join(s *search, r queue.Request) *waiter {
	s.ranking = selection.Ranking{}
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queueOf(s.service)
	a := q.Join(r, time.Now())
	if a.Displaced != nil {
		displaced := a.Displaced.Holder.(*waiter)
		displaced.displaced = true
		displaced.signal <- struct{}{}
	}
	if a.Place == nil {
		return nil
	}
	w := &waiter{place: a.Place, signal: make(chan struct{}, 1), restricted: s.isRestricted()}
	a.Place.Holder = w
	if q.poll == nil {
		q.poll = time.AfterFunc(c.opts.RoundPause, func() { c.pollQueue(s.service) })
	}
	return w
}

// waitForTurn waits until a request finds an endpoint or is refused. The request holds a place.
func (c *Chooser) waitForTurn(ctx context.Context, s *search, w *waiter) (placement.Grant, *placement.Refusal) {
	r := w.place.Request()
	for {
		switch c.await(ctx, s, w) {
		case wasDisplaced:
			return placement.Grant{}, c.rejectDisplaced(s, r)
		case callerLeft:
			return placement.Grant{}, c.refuse(s, selection.Decision{Reason: reason.CallerLeft})
		case expired:
			return placement.Grant{}, c.reject(s, r, reason.TooLate)
		case wasWoken:
		}
		// It may not be woken again before the place ends.
		deadline := w.place.Until().Add(-c.opts.RoundPause)
		grant, refusal, done := c.searchOnce(ctx, s, r, deadline, w.place.Until())
		c.endSearch(s, w, done, grant.ID != "")
		if done {
			return grant, refusal
		}
	}
}

// waitResult is how a wait in the queue ended.
type waitResult uint8

const (
	wasWoken waitResult = iota
	wasDisplaced
	callerLeft
	expired
)

// await waits until a request is woken, loses its place, or gives it up.
func (c *Chooser) await(ctx context.Context, s *search, w *waiter) waitResult {
	timer := time.NewTimer(time.Until(w.place.Until()))
	defer timer.Stop()
	select {
	case <-w.signal:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case w.displaced:
		return wasDisplaced
	case w.woken:
		select {
		case <-w.signal: // woken just after the timer or ctx
		default:
		}
		return wasWoken
	}
	c.queueOf(s.service).Leave(w.place, time.Now())
	if ctx.Err() != nil {
		return callerLeft
	}
	return expired
}

// endSearch ends the search of a woken request. A request that may still wait returns to its place.
// If the request has found an endpoint, others may, too. If it has not, others do not search either.
func (c *Chooser) endSearch(s *search, w *waiter, done, granted bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queueOf(s.service)
	q.searching--
	w.woken = false
	if done {
		q.Ended(w.place, now)
	} else {
		s.ranking = selection.Ranking{}
		q.Return(w.place, now)
	}
	wake := 0
	switch {
	case granted:
		wake = wokenPerGrant
	case done:
		wake = 1
	}
	if q.unused > 0 {
		q.unused--
		wake = max(wake, 1)
	}
	for range wake {
		c.wakeFirst(q, now)
	}
}

// capacityFreed wakes the first request of a queue after a request has completed with a load report.
// While requests search, they may use that capacity: then the first one is woken when a search ends.
// Otherwise a less urgent request would be woken instead of the first one, which searches. c.mu must
// be held.
func (c *Chooser) capacityFreed(q *serviceQueue, now time.Time) {
	if q.unused < q.searching {
		q.unused++
		return
	}
	c.wakeFirst(q, now)
}

// isRestricted reports whether the request may not use all endpoints of the service.
func (s *search) isRestricted() bool {
	return len(s.request.Avoid) > 0 || len(s.request.CrashedUnder) > 0 || s.request.Alone || !s.request.Regions.Allows("")
}

// wakeFirst wakes the first request of a queue; c.mu must be held. If that may not use all endpoints,
// the following ones search at the same time, up to the first that may, since the capacity may not be
// for the first one.
func (c *Chooser) wakeFirst(q *serviceQueue, now time.Time) {
	for q.searching < maxSearching {
		p, ok := q.Next(now)
		if !ok {
			return
		}
		q.searching++
		w := p.Holder.(*waiter)
		w.woken = true
		w.signal <- struct{}{}
		if !w.restricted {
			return
		}
	}
}

// pollQueue wakes the first request of a service's queue, unless one is searching already, and again
// each RoundPause while requests wait. It finds capacity that becomes free by requests of other
// balancers.
func (c *Chooser) pollQueue(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queueOf(service)
	if q.Len() == 0 && q.searching == 0 {
		q.poll = nil
		return
	}
	if q.searching == 0 {
		c.wakeFirst(q, time.Now())
	}
	q.poll.Reset(c.opts.RoundPause)
}

// QueueStatus is the state of the queue of one service for one priority. The field names are also the
// JSON names.
type QueueStatus struct {
	Service   string
	Priority  int
	Waiting   int           // requests that can still be answered in time
	Late      int           // requests that cannot
	Forecast  time.Duration // wait of a new request; 0 if unknown
	Rate      float64       // requests per second for which endpoints of the service become free; 0 if unknown
	Short     bool          // the service is short of capacity
	Rejected  int64         // requests rejected for lack of capacity, including the displaced ones
	Displaced int64         // requests displaced by others
}

// Queues returns the state of the queues, by service and priority; empty where requests have never
// been ordered by urgency.
func (c *Chooser) Queues(now time.Time) []QueueStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []QueueStatus{}
	for service, q := range c.queues {
		for _, st := range q.Status(now) {
			list = append(list, QueueStatus{
				Service: service, Priority: st.Priority, Waiting: st.Waiting, Late: st.Late, Forecast: st.Wait, Rate: st.Rate, Short: st.Short,
				Rejected: st.Rejected, Displaced: st.Displaced,
			})
		}
	}
	slices.SortFunc(list, func(a, b QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}

// rejectDisplaced rejects a request that was displaced; the queue has counted it.
func (c *Chooser) rejectDisplaced(s *search, r queue.Request) *placement.Refusal {
	c.displaced.Inc(1)
	return c.rejection(s, r, reason.Displaced)
}

// reject rejects a request for lack of capacity.
func (c *Chooser) reject(s *search, r queue.Request, code reason.Code) *placement.Refusal {
	c.mu.Lock()
	c.queueOf(s.service).Rejected(r, time.Now())
	c.mu.Unlock()
	return c.rejection(s, r, code)
}

// rejection returns the refusal of a request that was rejected for lack of capacity.
func (c *Chooser) rejection(s *search, r queue.Request, code reason.Code) *placement.Refusal {
	now := time.Now()
	c.rejected.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceTimes[s.request.Kind] = c.serviceTimes[s.request.Kind].WithRefusal()
	q := c.queueOf(s.service)
	summary := s.ranking.Summary(s.probes)
	summary.Ordered, summary.Waiting = true, q.Len()
	summary.Forecast, _ = q.Wait(r)
	return &placement.Refusal{Reason: code, RetryAfter: q.RetryAfter(r, s.callerRemaining(now), rand.Float64(), now), Search: summary}
}

// callerRemaining returns how long the caller still waits for a response.
func (s *search) callerRemaining(now time.Time) time.Duration {
	if s.request.CallerWait > 0 {
		return s.request.CallerWait - now.Sub(s.request.Accepted)
	}
	return s.request.Deadline.Sub(now)
}
