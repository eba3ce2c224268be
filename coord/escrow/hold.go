package escrow

import (
	"math"
	"strconv"
	"time"
)

// Window is the time for which tokens are set aside. A balancer that holds one token of a limit sends one
// request in each window.
const Window = 5 * time.Second

// Hold is what an isolated balancer may send of one limit: in any window, as many requests as tokens lie
// within its span. It is an immutable value.
type Hold struct {
	span   Span
	key    string
	total  int     // tokens of the limit in each window
	before Bucket  // of all balancers, when this one was last in touch with a relay
	spent  float64 // requests that all balancers sent in the window before since
	since  time.Time
	sent   Recent
}

// Bucket is the token bucket of a limit.
type Bucket struct {
	Level float64 // tokens left
	Rate  float64 // tokens added per second
}

// NewHold returns the hold of a balancer that was last in touch with a relay at since. The bucket is that of
// all balancers at that time, and spent how many requests they had sent in the window before.
func NewHold(s Span, key string, total int, b Bucket, spent float64, since time.Time) Hold {
	return Hold{span: s, key: key, total: total, before: b, spent: spent, since: since}
}

// WithTotal returns the hold after the limit has changed to another number of tokens.
func (h Hold) WithTotal(total int) Hold {
	h.total = total
	return h
}

// WithSent returns the hold after n more requests.
func (h Hold) WithSent(n int, now time.Time) Hold {
	h.sent = h.sent.With(n, now)
	return h
}

// Left returns how many requests may be sent now: the balancer's tokens, less its part of what all have sent
// before. Where that part is no whole number, a hash decides which balancers round it up.
func (h Hold) Left(now time.Time) int {
	held := float64(h.span.Tokens(h.key, h.total))
	if held == 0 {
		return -h.sent.Count(now)
	}
	rounding := fraction(h.key + strconv.FormatFloat(h.span.Start, 'g', -1, 64))
	unspent := 1 - float64(h.spentWithinWindow(now))/float64(h.total)
	return min(int(held*max(0, unspent)+rounding), h.undeducted(now)) - h.sent.Count(now)
}

// deductedAfter is how long after its last answer a balancer's tokens are deducted elsewhere, at the latest.
const deductedAfter = 1500 * time.Millisecond

// undeducted returns how many requests may have been sent by now, as far as the others may not have noticed
// yet that this balancer is isolated and give out what is in the bucket: its tokens of that bucket.
func (h Hold) undeducted(now time.Time) int {
	isolatedFor := now.Sub(h.since)
	if isolatedFor >= deductedAfter {
		return h.total
	}
	return h.span.Tokens(h.key, min(h.total, int(h.before.Level+h.before.Rate*isolatedFor.Seconds())))
}

// spentWithinWindow returns how many of the requests that were sent before the balancer was isolated are
// within the window that ends now. They are taken to have been sent at an even rate.
func (h Hold) spentWithinWindow(now time.Time) int {
	left := 1 - now.Sub(h.since).Seconds()/Window.Seconds()
	return int(math.Ceil(h.spent * min(1, max(0, left))))
}

// slots is the number of parts of a window in which requests are counted together. A request counts until
// its part has left the window, at most one part longer than the window.
const slots = 20

// Recent counts the requests of the last Window, by its parts. It is an immutable value.
type Recent struct {
	last   int64 // number of the latest part, since the epoch
	counts [slots + 1]int
}

// slotAt returns the number of the part of a window that a time is in.
func slotAt(now time.Time) int64 { return now.UnixNano() / int64(Window/slots) }

// With returns the counts after n more requests; a negative n takes requests back.
func (r Recent) With(n int, now time.Time) Recent {
	r = r.advanced(slotAt(now))
	r.counts[r.last%(slots+1)] += n
	return r
}

// Count returns how many requests the window that ends now may contain.
func (r Recent) Count(now time.Time) int {
	sum := 0
	for _, n := range r.advanced(slotAt(now)).counts {
		sum += n
	}
	return sum
}

// advanced returns the counts with the parts dropped that have left the window by the given one.
func (r Recent) advanced(to int64) Recent {
	for ; r.last < to; r.last++ {
		if to-r.last > slots {
			return Recent{last: to}
		}
		r.counts[(r.last+1)%(slots+1)] = 0
	}
	return r
}
