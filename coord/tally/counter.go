package tally

import (
	"slices"
	"strings"
	"time"
)

const (
	// activeFor is how long a key is reported after its last count, so that its rate is seen to
	// fall: after six time constants 1/400 of the rate is left.
	activeFor = 6 * smoothingTime
	// heartbeatInterval is the longest interval between two reports while any key is active: half of
	// the time after which a balancer counts as silent.
	heartbeatInterval = silentAfter / 2
	// idleInterval is the interval between two reports while no key is active. Relays know from them
	// which balancers there are, and a balancer is told its part of the fleet before it counts anything.
	idleInterval = 2 * time.Second
)

// Counter holds the totals of one incarnation of a balancer, or of a relay for its zone, and decides
// when they are reported.
type Counter struct {
	from        string
	zone        string
	incarnation uint64
	number      uint64
	counts      map[string]*keyTotal

	reported  time.Time // when the last report was made
	dirty     bool      // something was counted, or a report failed, since then
	urgent    bool      // the next report is due after the urgent interval
	immediate bool      // the next report is due after the immediate interval
	idle      bool      // the last report said that no key is active
}

// keyTotal is the total under one key and how much of it relays have acknowledged.
type keyTotal struct {
	total        int64
	acknowledged int64 // total in the last report that a relay acknowledged
	changed      time.Time
}

// NewCounter returns an empty counter. incarnation is a random number that distinguishes this run of
// a balancer from other runs at the same address.
func NewCounter(from, zone string, incarnation uint64) *Counter {
	return &Counter{from: from, zone: zone, incarnation: incarnation, counts: map[string]*keyTotal{}}
}

// Add adds n to the total under a key; a negative n undoes an earlier count.
func (c *Counter) Add(key string, n int64, now time.Time) {
	k, ok := c.counts[key]
	if !ok {
		k = &keyTotal{}
		c.counts[key] = k
	}
	k.total += n
	k.changed = now
	c.dirty = true
}

// Touch marks a known key as active without counting anything, so that it is reported.
func (c *Counter) Touch(key string, now time.Time) {
	if k, ok := c.counts[key]; ok {
		k.changed = now
	}
}

// MarkUrgent makes the next report due after the urgent interval, once something was counted.
func (c *Counter) MarkUrgent() { c.urgent = true }

// MarkImmediate makes the next report due after the immediate interval, once something was counted.
func (c *Counter) MarkImmediate() { c.immediate = true }

// Unacknowledged returns how much of the total under a key no relay has acknowledged.
func (c *Counter) Unacknowledged(key string) int64 {
	k, ok := c.counts[key]
	if !ok {
		return 0
	}
	return k.total - k.acknowledged
}

// Total returns the total under a key.
func (c *Counter) Total(key string) int64 {
	if k, ok := c.counts[key]; ok {
		return k.total
	}
	return 0
}

// Intervals are the minimum times between two reports, by urgency.
type Intervals struct {
	Normal    time.Duration // by default
	Urgent    time.Duration // after MarkUrgent
	Immediate time.Duration // after MarkImmediate
}

// Due returns when the next report is due; the first one is due at once. ok is always true.
func (c *Counter) Due(intervals Intervals, now time.Time) (at time.Time, ok bool) {
	switch {
	case c.immediate && c.dirty && c.idle:
		return c.reported, true // reports of idle balancers are rare
	case c.immediate && c.dirty:
		return c.reported.Add(intervals.Immediate), true
	case c.urgent && c.dirty:
		return c.reported.Add(intervals.Urgent), true
	case c.dirty:
		return c.reported.Add(intervals.Normal), true
	case c.active(now), !c.idle && !c.reported.IsZero():
		return c.reported.Add(heartbeatInterval), true
	}
	return c.reported.Add(idleInterval), true
}

// Reported returns when the last report was made; zero for none.
func (c *Counter) Reported() time.Time { return c.reported }

// active reports whether any key was counted within activeFor.
func (c *Counter) active(now time.Time) bool {
	for _, k := range c.counts {
		if now.Sub(k.changed) <= activeFor {
			return true
		}
	}
	return false
}

// Report returns the totals of the active keys, and of those not fully acknowledged yet, sorted by
// key.
func (c *Counter) Report(now time.Time) Report {
	c.number++
	c.reported, c.dirty, c.urgent, c.immediate = now, false, false, false
	c.idle = !c.active(now)
	r := Report{From: c.from, Zone: c.zone, Life: c.incarnation, Number: c.number, Rests: c.idle}
	for key, k := range c.counts {
		if now.Sub(k.changed) <= activeFor || k.total != k.acknowledged {
			r.Counts = append(r.Counts, Count{Key: key, Total: k.total, Told: k.acknowledged})
		}
	}
	slices.SortFunc(r.Counts, func(a, b Count) int { return strings.Compare(a.Key, b.Key) })
	return r
}

// Acknowledge records that a relay has accepted a report. What a relay acknowledged last before it
// stopped may not have been passed on, and is then never counted; to report it again would count it
// twice whenever a balancer changes its relay.
func (c *Counter) Acknowledge(r Report) {
	for _, told := range r.Counts {
		if k, ok := c.counts[told.Key]; ok {
			k.acknowledged = told.Total
		}
	}
}

// ReportFailed records that no relay accepted a report, so that its totals are due again.
func (c *Counter) ReportFailed() { c.dirty = true }
