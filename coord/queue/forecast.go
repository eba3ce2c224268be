package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant with which observations lose their weight: long enough for a small
	// balancer, which finds two endpoints a second of a service, to observe several; short against
	// the 15 s in which demand oscillates.
	memory = 3 * time.Second
	// minBusy is the time for which requests must have been waiting before the rate is known. The
	// shortest latency targets allow a wait of about half of it.
	minBusy = 300 * time.Millisecond
	// shortFor is how long a service counts as short of capacity after the last request has waited:
	// as long as callers that were rejected take to come back.
	shortFor = time.Second
	// turnAfter is the number of requests of a more urgent priority after which the next one comes
	// from a less urgent one that waits.
	turnAfter = 19
	// guaranteedShare is the part of the rate that a priority gets by its turns, of what the next more
	// urgent one has.
	guaranteedShare = 1.0 / (turnAfter + 1)
	// forecastMargin is the multiple of the forecast that must be left for a request that may wait: with
	// 1, twice as many requests are held and then rejected, and no more are served in time.
	forecastMargin = 1.25
	// favourMargin is how much larger than that of a more urgent priority the served fraction of a
	// priority may be; minOutcomes is the number of recent outcomes from which it counts. With fewer
	// a single rejection exceeds the margin.
	favourMargin = 0.02
	minOutcomes  = 10
)

// meter measures a rate from how much happened in the time in which requests were waiting. Both lose
// their weight with the time constant memory.
type meter struct {
	updated time.Time
	count   float64
	busy    float64 // seconds
}

// advance brings the meter up to date; busy says whether requests were waiting since the last call.
// It returns the factor by which older observations lose their weight.
func (m *meter) advance(busy bool, now time.Time) (decay float64) {
	elapsed := now.Sub(m.updated)
	if elapsed <= 0 {
		return 1
	}
	if !m.updated.IsZero() {
		decay = math.Exp(-float64(elapsed) / float64(memory))
	}
	m.updated = now
	m.count *= decay
	m.busy *= decay
	if busy {
		m.busy += memory.Seconds() * (1 - decay)
	}
	return decay
}

// rate returns the rate per second, and whether it is known.
func (m *meter) rate() (float64, bool) {
	if m.busy < minBusy.Seconds() {
		return 0, false
	}
	return (max(m.count, 0) + 1) / m.busy, true // 1: an estimate of 0 would be final
}

// forecast is what is known of the rate at which capacity becomes free, and of recent outcomes. The
// sums lose their weight with the time constant memory.
type forecast struct {
	granted  meter // requests that got an endpoint while others were waiting
	lastBusy time.Time
	outside  float64     // requests that were rejected and may come back
	shares   []*outcomes // by priority
}

// outcomes is what became of the recent requests of a priority that were on time.
type outcomes struct {
	priority            int
	served, ended       float64
	rejected, displaced int64 // totals since the start, also of late requests
}

// advance brings the sums up to date.
func (q *Queue) advance(now time.Time) {
	f := &q.forecast
	busy := q.waiting+q.taken > 0
	if busy {
		f.lastBusy = now
	}
	decay := f.granted.advance(busy, now)
	if decay == 1 {
		return
	}
	f.outside *= decay
	for _, s := range f.shares {
		s.served *= decay
		s.ended *= decay
	}
}

// outcomesOf returns the outcomes of a priority, and creates them if there are none.
func (f *forecast) outcomesOf(priority int) *outcomes {
	i, ok := slices.BinarySearchFunc(f.shares, priority, func(s *outcomes, p int) int { return cmp.Compare(s.priority, p) })
	if !ok {
		f.shares = slices.Insert(f.shares, i, &outcomes{priority: priority})
	}
	return f.shares[i]
}

// Granted counts a request that got an endpoint. It is called before Ended.
func (q *Queue) Granted(r Request, now time.Time) {
	q.advance(now)
	if q.waiting+q.taken > 0 {
		q.forecast.granted.count++
	}
	if t := q.teamOf(r, now); t != nil {
		t.net.count++
	}
	if s := q.forecast.outcomesOf(r.Priority); !r.Late(now) {
		s.served++
		s.ended++
	}
}

// Rejected counts a request that was rejected for lack of capacity.
func (q *Queue) Rejected(r Request, now time.Time) {
	q.advance(now)
	q.forecast.outside++
	s := q.forecast.outcomesOf(r.Priority)
	s.rejected++
	if !r.Late(now) {
		s.ended++
	}
}

// Short reports whether the service is short of capacity.
func (q *Queue) Short(now time.Time) bool {
	return q.waiting+q.taken > 0 || !q.forecast.lastBusy.IsZero() && now.Sub(q.forecast.lastBusy) < shortFor
}

// isFavoured reports whether a larger fraction of the recent requests of a priority was served than
// of those of a more urgent one.
func (q *Queue) isFavoured(priority int) bool {
	own := q.forecast.outcomesOf(priority)
	if own.ended < 1 {
		return false
	}
	for _, s := range q.forecast.shares {
		if s.priority < priority && s.ended >= minOutcomes && own.served/own.ended > s.served/s.ended+favourMargin {
			return true
		}
	}
	return false
}

// left returns the part of a rate that requests more urgent than a priority leave.
func (f *forecast) left(rate float64, priority int) float64 {
	for _, s := range f.shares {
		if s.priority < priority {
			rate -= s.served / memory.Seconds()
		}
	}
	return max(rate, 0)
}

// ahead estimates how many requests are served before a new one on time: of its own priority, and of
// more urgent ones. levels is the number of more urgent priorities that have waiting requests.
func (q *Queue) ahead(r Request) (own, urgent float64, levels int) {
	urgent = float64(q.taken)
	for _, g := range q.groups {
		switch {
		case g.late || g.priority > r.Priority:
		case g.priority == r.Priority:
			own = g.ahead(r)
		case g.waiting > 0:
			urgent += float64(g.waiting)
			levels++
		}
	}
	return own, urgent, levels
}

// Wait forecasts how long a new request on time waits for its turn, and whether the forecast is
// known. Either all that come before it are served, at the rate that more urgent requests leave, or
// the turns that its priority has in any case suffice.
func (q *Queue) Wait(r Request) (time.Duration, bool) {
	rate, known := q.forecast.granted.rate()
	if !known {
		return 0, false
	}
	own, urgent, levels := q.ahead(r)
	wait := q.waitAfter(r.Priority, rate, own, urgent, levels)
	if t := q.teamOf(r, time.Time{}); t != nil {
		wait = max(wait, t.wait(t.olderThan(r)))
	}
	return wait, true
}

// teamOf returns the team of a request among those that are on time, or, if the request is late at
// the present time, among the late ones. It returns nil if the team is not known.
func (q *Queue) teamOf(r Request, now time.Time) *team {
	i, ok := q.find(newGroupKey(r.Priority, r.Late(now)))
	if !ok {
		return nil
	}
	return q.groups[i].teams[r.Team]
}

// waitAfter forecasts the wait of a request behind others.
func (q *Queue) waitAfter(priority int, rate, own, urgent float64, levels int) time.Duration {
	left := (own + urgent + 1) / q.forecast.left(rate, priority)
	turns := (own + 1) / (rate * math.Pow(guaranteedShare, float64(levels)))
	if levels == 0 {
		return seconds(left)
	}
	return seconds(min(left, turns))
}

// maxForecast bounds forecasts, so that they fit a Duration at any rate.
const maxForecast = time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxForecast.Seconds()) * float64(time.Second))
}

// Status is the state of a queue for one priority.
type Status struct {
	Priority  int
	Waiting   int           // requests on time
	Late      int           // requests that cannot be answered in time any more
	Wait      time.Duration // forecast for a new request without a team; 0 if unknown
	Rate      float64       // requests per second, of all priorities, for which capacity becomes free; 0 if unknown
	Short     bool          // the service is short of capacity
	Rejected  int64         // since the start, including the displaced ones
	Displaced int64         // since the start
}

// Status returns the state of the queue, by priority.
func (q *Queue) Status(now time.Time) []Status {
	q.advance(now)
	rate, known := q.forecast.granted.rate()
	if !known {
		rate = 0
	}
	var list []Status
	for _, s := range q.forecast.shares {
		priority := s.priority
		st := Status{Priority: priority, Rate: rate, Short: q.Short(now), Rejected: s.rejected, Displaced: s.displaced}
		st.Wait, _ = q.Wait(Request{Priority: priority, Since: now})
		for _, g := range q.groups {
			switch {
			case g.priority != priority:
			case g.late:
				st.Late = g.waiting
			default:
				st.Waiting = g.waiting
			}
		}
		list = append(list, st)
	}
	return list
}
