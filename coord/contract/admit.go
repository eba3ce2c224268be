package contract

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// refuse is the rule of admission: a request that cannot be served in time is
// refused at once.
func (l *Ledger) refuse(now time.Time, r Request) (Decision, bool) {
	d := Decision{Request: r.ID, Kind: Refused}
	usable := l.usableSlots(now)
	if usable == 0 {
		d.Reason, d.RetryAfter = l.whyNone(now), l.nextReturn(now)
		return d, true
	}
	if l.queues[r.Class].len() >= l.opts.QueueLimit {
		d.Reason, d.RetryAfter = reason.QueueFull, l.estimate(l.queues[r.Class].len(), usable)
		return d, true
	}
	ahead := l.ahead(r)
	wait := max(l.estimate(ahead, usable), l.drains[r.Class].wait(ahead))
	late := now.Add(wait).Sub(r.WaitUntil)
	if end := now.Add(wait + l.serviceTimes[r.Class].typical()).Sub(r.Deadline); end > late {
		late = end
	}
	if late > 0 {
		d.Reason, d.RetryAfter = reason.TooLate, late
		return d, true
	}
	return Decision{}, false
}

// ahead counts the waiting requests that will be served before r.
func (l *Ledger) ahead(r Request) int {
	n := 0
	for _, w := range l.queues[r.Class].items {
		if w.WaitUntil.After(r.WaitUntil) {
			break
		}
		n++
	}
	if r.Class == placement.Patient {
		n += l.queues[placement.Interactive].len()
	}
	return n
}

// estimate returns how long n requests take to clear the given slots.
func (l *Ledger) estimate(n, usable int) time.Duration {
	mean := max(l.serviceTimes[placement.Interactive].typical(), l.serviceTimes[placement.Patient].typical())
	if l.queues[placement.Patient].len() == 0 && l.serviceTimes[placement.Interactive].samples > 0 {
		mean = l.serviceTimes[placement.Interactive].typical()
	}
	return time.Duration(float64(n) * float64(mean) / float64(usable))
}

func (l *Ledger) usableSlots(now time.Time) int {
	n := 0
	for _, s := range l.order {
		n += s.capacity(now, l.opts)
	}
	return n
}

// whyNone returns why no endpoint may get a request.
func (l *Ledger) whyNone(now time.Time) reason.Code {
	for _, s := range l.order {
		if !s.leaving && s.admission.BackingOff(now) {
			return reason.EndpointsBackingOff
		}
	}
	return reason.NoEndpoint
}

// noReturn is when a request is looked at again where no endpoint is known to come back.
const noReturn = time.Second

// nextReturn returns when the first endpoint comes back that is ejected or wants no requests.
func (l *Ledger) nextReturn(now time.Time) time.Duration {
	var next time.Duration
	for _, s := range l.order {
		until := s.health.EjectedUntil()
		if s.admission.BackoffUntil().After(until) {
			until = s.admission.BackoffUntil()
		}
		if left := until.Sub(now); !s.leaving && left > 0 && (next == 0 || left < next) {
			next = left
		}
	}
	return cmp.Or(next, noReturn)
}
