package tally

import (
	"slices"
	"strings"
	"time"
)

const (
	// activeFor is how long a key is reported on after it was last counted, so that its
	// rate is seen to fall: six time constants leave a four-hundredth of it.
	activeFor = 6 * smoothing
	// heartbeat is the longest pause between two reports while any key is active: half of
	// the time after which a balancer counts as not heard of.
	heartbeat = unheardAfter / 2
)

// Counter is what one balancer, or one relay for its zone, has counted in its life.
type Counter struct {
	from   string
	zone   string
	life   uint64
	number uint64
	counts map[string]*counted

	reported time.Time // when the last report was made
	dirty    bool      // something was counted since
	urgent   bool      // something was counted since whose news press
	hurry    bool      // something waits for the answer to the next report
	rests    bool      // the last report told that nothing is counted any more
}

type counted struct {
	total   int64
	taken   int64 // by the relay that took the last report
	told    int64 // by the one before: it has been handed on since
	changed time.Time
}

// NewCounter returns the counter of a life, which a random number tells from others of the
// same address.
func NewCounter(from, zone string, life uint64) *Counter {
	return &Counter{from: from, zone: zone, life: life, counts: map[string]*counted{}}
}

// Add counts n more under a key; n below 0 takes back what was counted before.
func (c *Counter) Add(key string, n int64, now time.Time) {
	k, ok := c.counts[key]
	if !ok {
		k = &counted{}
		c.counts[key] = k
	}
	k.total += n
	k.changed = now
	c.dirty = true
}

// Touch keeps a key among those that are reported, though nothing was counted.
func (c *Counter) Touch(key string, now time.Time) {
	if k, ok := c.counts[key]; ok {
		k.changed = now
	}
}

// Urge has the next report made soon.
func (c *Counter) Urge() { c.urgent = true }

// Hurry has the next report made at once, or nearly.
func (c *Counter) Hurry() { c.hurry = true }

// Unreported returns how much was counted under a key that no relay has taken, as far as is
// known.
func (c *Counter) Unreported(key string) int64 {
	k, ok := c.counts[key]
	if !ok {
		return 0
	}
	return k.total - k.taken
}

// Total returns how much was counted under a key.
func (c *Counter) Total(key string) int64 {
	if k, ok := c.counts[key]; ok {
		return k.total
	}
	return 0
}

// Pauses are those between two reports.
type Pauses struct {
	Calm   time.Duration // while nothing presses
	Urgent time.Duration // otherwise
	Hurry  time.Duration // while something waits for the answer
}

// Due returns when the next report is due; ok is false while there is nothing to tell.
func (c *Counter) Due(p Pauses, now time.Time) (at time.Time, ok bool) {
	switch {
	case c.hurry && c.dirty:
		return c.reported.Add(p.Hurry), true
	case c.urgent && c.dirty:
		return c.reported.Add(p.Urgent), true
	case c.dirty:
		return c.reported.Add(p.Calm), true
	case c.active(now), !c.rests && !c.reported.IsZero():
		return c.reported.Add(heartbeat), true
	}
	return time.Time{}, false
}

// active reports whether any key was counted lately.
func (c *Counter) active(now time.Time) bool {
	for _, k := range c.counts {
		if now.Sub(k.changed) <= activeFor {
			return true
		}
	}
	return false
}

// Report returns the totals of the active keys, in their order.
func (c *Counter) Report(now time.Time) Report {
	c.number++
	c.reported, c.dirty, c.urgent, c.hurry = now, false, false, false
	c.rests = !c.active(now)
	r := Report{From: c.from, Zone: c.zone, Life: c.life, Number: c.number, Rests: c.rests}
	for key, k := range c.counts {
		if now.Sub(k.changed) <= activeFor || k.total != k.told {
			r.Counts = append(r.Counts, Count{Key: key, Total: k.total, Told: k.told})
		}
	}
	slices.SortFunc(r.Counts, func(a, b Count) int { return strings.Compare(a.Key, b.Key) })
	return r
}

// Taken notes that a relay has taken a report. Until the next one it counts as not told: a relay
// that ends may have kept to itself what it heard last. What is counted twice then is what one
// pause brought.
func (c *Counter) Taken(r Report) {
	for _, told := range r.Counts {
		if k, ok := c.counts[told.Key]; ok {
			k.told, k.taken = k.taken, told.Total
		}
	}
}

// Failed notes that no relay took a report: what it told is still to be told.
func (c *Counter) Failed() { c.dirty = true }
