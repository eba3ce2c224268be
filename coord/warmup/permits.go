package warmup

import (
	"maps"
	"time"
)

const (
	// noReplyDelay is how long a balancer waits after an ask that got no reply, or one of a balancer that
	// is not the owner, before it asks again.
	noReplyDelay = 200 * time.Millisecond
	// maxFailed bounds the failures that are kept until the next ask.
	maxFailed = MaxTargets
)

// Group is the endpoints of a service in one availability zone. One ask is for endpoints of one group.
type Group struct {
	Service, Zone string
}

// group is what a balancer knows of the owner of a group.
type group struct {
	pending bool      // an ask is in flight
	retryAt time.Time // no ask before, since there is no permit until then
	failed  []Target  // to report with the next ask
}

// Permits is the permits that one balancer holds. It is not safe for concurrent use.
type Permits struct {
	held   map[Target][]time.Time // when each expires, in order
	groups map[Group]group
}

// NewPermits returns no permits.
func NewPermits() *Permits {
	return &Permits{held: map[Target][]time.Time{}, groups: map[Group]group{}}
}

// Standing says whether a request may be sent to an endpoint that warms up.
type Standing uint8

// The values of Standing.
const (
	Denied    Standing = iota // no permit, and no ask is useful now
	Askable                   // no permit, but the owner may grant one
	Permitted                 // a permit is held
)

// String returns the name shown to operators.
func (s Standing) String() string { return [...]string{"denied", "askable", "permitted"}[s] }

// Standing returns the standing of an endpoint and, if that is Denied, how long it lasts; 0 if that is
// unknown because an ask is in flight.
func (p *Permits) Standing(t Target, g Group, now time.Time) (Standing, time.Duration) {
	for _, until := range p.held[t] {
		if now.Before(until) {
			return Permitted, 0
		}
	}
	switch known := p.groups[g]; {
	case known.pending:
		return Denied, 0
	case now.Before(known.retryAt):
		return Denied, known.retryAt.Sub(now)
	}
	return Askable, 0
}

// Take takes a permit for a request that is sent to an endpoint before until.
func (p *Permits) Take(t Target, now time.Time) (until time.Time, ok bool) {
	held := p.held[t]
	for len(held) > 0 && !now.Before(held[0]) {
		held = held[1:]
	}
	if len(held) == 0 {
		delete(p.held, t)
		return time.Time{}, false
	}
	p.held[t] = held[1:]
	return held[0], true
}

// Ask returns an ask for permits for some of the targets, which are of one group, and marks it as in
// flight; ok is false while another one is, or there is no permit.
func (p *Permits) Ask(g Group, targets []Target, want int, now time.Time) (a Ask, ok bool) {
	known := p.groups[g]
	if known.pending || now.Before(known.retryAt) || len(targets) == 0 {
		return Ask{}, false
	}
	a = Ask{Service: g.Service, Zone: g.Zone, Targets: targets[:min(len(targets), MaxTargets)], Want: max(1, min(want, MaxPermits)), Failed: known.failed}
	p.groups[g] = group{pending: true}
	return a, true
}

// HandleReply records the reply to an ask that was sent at sentAt.
func (p *Permits) HandleReply(a Ask, r Reply, sentAt, now time.Time) {
	g := Group{Service: a.Service, Zone: a.Zone}
	known := p.groups[g]
	known.pending = false
	switch {
	case !r.Owner:
		known.retryAt = now.Add(noReplyDelay)
		known.failed = withFailed(known.failed, a.Failed...)
	case len(r.Granted) < a.Want:
		known.retryAt = now.Add(r.RetryAfter)
	}
	p.groups[g] = known
	p.expire(now)
	for _, t := range r.Granted {
		if until := sentAt.Add(PermitTTL); now.Before(until) {
			p.held[t] = append(p.held[t], until)
		}
	}
}

// RecordFailure records that an endpoint of a group refused or failed a request, for the next ask.
func (p *Permits) RecordFailure(g Group, t Target) {
	known := p.groups[g]
	known.failed = withFailed(known.failed, t)
	p.groups[g] = known
}

// withFailed appends targets, and drops the first ones beyond maxFailed.
func withFailed(list []Target, added ...Target) []Target {
	list = append(list[:len(list):len(list)], added...)
	return list[max(0, len(list)-maxFailed):]
}

// expire removes expired permits.
func (p *Permits) expire(now time.Time) {
	maps.DeleteFunc(p.held, func(_ Target, held []time.Time) bool {
		return len(held) == 0 || !now.Before(held[len(held)-1])
	})
}

// Drop drops all permits. It is called after the VM was suspended, when their age is unknown.
func (p *Permits) Drop() { clear(p.held) }

// Held returns the number of permits held at now.
func (p *Permits) Held(now time.Time) (n int) {
	for _, held := range p.held {
		for _, until := range held {
			if now.Before(until) {
				n++
			}
		}
	}
	return n
}
