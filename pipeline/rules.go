package pipeline

import "time"

// lingerTime is how long a connection that lingers is left open for a caller who has taken everything
// and sends nothing.
const lingerTime = 100 * time.Millisecond

// unknown is the number of untaken bytes of a connection that does not tell it.
const unknown = -1

// lingersOn reports whether a connection whose sending direction has been closed is left open: while its
// caller has untaken bytes or has sent some less than lingerTime ago. One that has done neither for limit
// gets no more time; 0 is for no limit.
func lingersOn(untaken int, quiet, stalled, limit time.Duration) bool {
	if limit > 0 && stalled >= limit {
		return false
	}
	return untaken != 0 || quiet < lingerTime
}
