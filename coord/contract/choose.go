package contract

import (
	"math"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// dispatch grants free slots to waiting requests, after those whose patience
// has ended were refused.
func (l *Ledger) dispatch(now time.Time) []Decision {
	out := l.expire(now)
	if now.Before(l.learning) {
		return out
	}
	for {
		class, ok := l.nextClass(now)
		if !ok {
			return out
		}
		w, _ := l.queues[class].head()
		s := l.choose(now, w)
		if s == nil {
			return out
		}
		l.queues[class].pop()
		l.drains[class].granted(now, w.since)
		out = append(out, l.hold(now, s, w.Request))
	}
}

// nextClass says whose turn it is, if anybody's.
func (l *Ledger) nextClass(now time.Time) (placement.Class, bool) {
	patient, hasPatient := l.queues[placement.Patient].head()
	hasInteractive := l.queues[placement.Interactive].len() > 0
	share := max(1, int(l.opts.PatientShare*float64(l.usableSlots(now))))
	switch {
	case hasPatient && patient.overdue(now) && (!hasInteractive || l.inUse[placement.Patient] < share):
		return placement.Patient, true
	case hasInteractive:
		return placement.Interactive, true
	case hasPatient && l.spare(now):
		return placement.Patient, true
	}
	return 0, false
}

// spare reports whether more slots are free than patient requests must leave.
func (l *Ledger) spare(now time.Time) bool {
	free, total := 0, 0
	for _, s := range l.order {
		free += s.free(now, l.opts)
		total += s.capacity(now, l.opts)
	}
	return float64(free) > l.opts.PatientSpare*float64(total)
}

// choose returns the endpoint for a request, or nil if it had better wait.
func (l *Ledger) choose(now time.Time, w waiting) *account {
	var best *account
	bestTier, bestCost := tierSlow, math.Inf(1)
	depth := 0
	if w.Class == placement.Interactive {
		depth = l.overbook.depth(now, l.opts)
	}
	for _, s := range l.order {
		if !s.mayOverbook(now, depth, l.opts) && s.free(now, l.opts) == 0 || slices.Contains(w.Avoid, s.VM) {
			continue
		}
		t := s.tier(now, l.opts, l.median)
		if t == tierSlow && !l.trySlow(now, s, w) {
			continue
		}
		c := s.cost(w.Zone, l.opts)
		if best == nil || t < bestTier || t == bestTier && c < bestCost {
			best, bestTier, bestCost = s, t, c
		}
	}
	if best == nil && len(w.Avoid) > 0 {
		w.Avoid = nil
		return l.choose(now, w)
	}
	if best != nil && bestTier == tierSlow {
		best.lastTrial = now
	}
	return best
}

// trySlow reports whether a slow endpoint is worth a request: to test it from
// time to time, or because the wait for a good one would be longer.
func (l *Ledger) trySlow(now time.Time, s *account, w waiting) bool {
	if now.Sub(s.lastTrial) >= l.opts.TrialEvery {
		return true
	}
	typical := float64(l.serviceTimes[w.Class].typical())
	extra := time.Duration((s.health.Slowness()/l.median - 1) * typical)
	ahead := l.queues[placement.Interactive].len() + l.queues[placement.Patient].len()
	return l.estimate(ahead, max(1, l.goodSlots(now))) > extra
}

func (l *Ledger) goodSlots(now time.Time) int {
	n := 0
	for _, s := range l.order {
		if s.tier(now, l.opts, l.median) != tierSlow {
			n += s.capacity(now, l.opts)
		}
	}
	return n
}
