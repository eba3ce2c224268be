package queue

import "time"

const (
	// slackShare is the largest part of the time left for a response in time after which a caller is
	// told to return: it needs the rest for its place in the queue.
	slackShare = 0.5
	// minDelay is the least mean time after which a caller is told to return; sooner, it would find
	// the same endpoints in the same state.
	minDelay = 20 * time.Millisecond
	// honoured is the part of the time for which a caller still waits up to which callers honour a
	// Retry-After.
	honoured = 1.0 / 3
)

// RetryAfter returns when the caller of a rejected request is told to return. One that can still be
// answered in time returns when the next capacity is expected, if that leaves time for its place in
// the queue. The others return later, spread over the time that the capacity needs for all that wait
// or were rejected a short time ago. remaining is how long the caller still waits, 0 if unknown;
// random is a random number in [0,1).
func (q *Queue) RetryAfter(r Request, remaining time.Duration, random float64, now time.Time) time.Duration {
	rate, known := q.forecast.granted.rate()
	slack := r.LateAt.Sub(now)
	if !r.Late(now) && (r.LateAt.IsZero() || slackShare*float64(slack) >= float64(minDelay)) {
		delay := float64(minDelay)
		if known {
			delay = max(delay, float64(seconds(1/rate)))
		}
		if !r.LateAt.IsZero() {
			delay = min(delay, slackShare*float64(slack))
		}
		return time.Duration(delay * (0.5 + random))
	}
	first, span := lateDelay, lateDelay
	if known {
		span = max(span, seconds((float64(q.waiting)+q.forecast.outside)/rate))
	}
	limit := maxForecast
	if remaining > 0 {
		limit = time.Duration(honoured * float64(remaining))
	}
	first = min(first, limit/2)
	return first + time.Duration(random*float64(min(span, limit-first)))
}

// lateDelay is the least time after which a caller that cannot be answered in time is told to
// return. Its response has a tenth of the value whenever it comes, so it should not compete while the
// shortage lasts.
const lateDelay = time.Second
