package contract

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// failedPause is how long an endpoint that fails and is not ejected is left alone.
const failedPause = 100 * time.Millisecond

// Ledger is the account of one service's slots and of who waits for them.
type Ledger struct {
	opts         Options
	endpoints    map[string]*account
	order        []*account // by VM
	owner        map[string]*account
	queues       [placement.Classes]queue
	serviceTimes [placement.Classes]serviceTime
	drains       [placement.Classes]drain
	inUse        [placement.Classes]int // contracts
	median       float64
	overbook     overbooking
	learning     time.Time            // nothing is granted before this time
	ended        map[string]time.Time // contracts that ended lately
}

// NewLedger returns an empty ledger.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts:      opts.withDefaults(),
		endpoints: map[string]*account{},
		owner:     map[string]*account{},
		ended:     map[string]time.Time{},
		median:    1,
	}
}

// Begin says that the home is new: holders are about to report what they have
// in flight, and until they had time to, requests wait.
func (l *Ledger) Begin(now time.Time) { l.learning = now.Add(l.opts.LearnFor) }

// SetEndpoints replaces the list of endpoints. What is known of an endpoint
// that stays in the list, and its contracts, are kept. An endpoint that leaves
// reports as leaving gets nothing from now on.
func (l *Ledger) SetEndpoints(now time.Time, list []placement.Endpoint, leaves func(vm string) bool) []Decision {
	next := make(map[string]*account, len(list))
	for _, e := range list {
		s, ok := l.endpoints[e.VM]
		if !ok {
			s = newAccount(e, l.opts)
		}
		s.Endpoint = e
		s.leaving = s.leaving || leaves(e.VM)
		next[e.VM] = s
	}
	for vm, s := range l.endpoints {
		if next[vm] == nil {
			l.dropContracts(s)
		}
	}
	l.endpoints = next
	l.order = l.order[:0]
	for _, s := range next {
		l.order = append(l.order, s)
	}
	slices.SortFunc(l.order, func(a, b *account) int { return compareStrings(a.VM, b.VM) })
	return l.dispatch(now)
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (l *Ledger) dropContracts(s *account) {
	for id := range s.held {
		l.drop(s, id)
	}
}

// drop ends a contract without learning from it.
func (l *Ledger) drop(s *account, id string) {
	l.inUse[s.held[id].class]--
	delete(s.held, id)
	delete(l.owner, id)
}

// Leaving notes that an endpoint is going away: it gets nothing from now on.
func (l *Ledger) Leaving(vm string) {
	if s, ok := l.endpoints[vm]; ok {
		s.leaving = true
	}
}

// Sign notes that the endpoint itself said that it stays, and whether it is
// cold.
func (l *Ledger) Sign(now time.Time, vm string, cold bool) []Decision {
	s, ok := l.endpoints[vm]
	if !ok {
		return nil
	}
	s.lastSign = now
	s.cold = cold
	return l.dispatch(now)
}

// Acquire decides about a new request. The first decision is its own.
func (l *Ledger) Acquire(now time.Time, r Request) []Decision {
	if d, refused := l.refuse(now, r); refused {
		return []Decision{d}
	}
	l.queues[r.Class].push(waiting{Request: r, since: now})
	decisions := l.dispatch(now)
	at := slices.IndexFunc(decisions, func(d Decision) bool { return d.Request == r.ID })
	if at < 0 {
		return append([]Decision{{Request: r.ID, Kind: Queued}}, decisions...)
	}
	decisions[0], decisions[at] = decisions[at], decisions[0]
	return decisions
}

// Backoff notes that an endpoint wants no requests for a while.
func (l *Ledger) Backoff(now time.Time, vm string, d time.Duration) {
	if s, ok := l.endpoints[vm]; ok {
		s.admission = s.admission.With(admission.Signal{Backoff: d}, now)
	}
}

// Complete ends a contract and learns from its outcome. took counts from the
// sending of the request.
func (l *Ledger) Complete(now time.Time, id string, o placement.Outcome, took time.Duration) []Decision {
	s, ok := l.owner[id]
	if !ok {
		l.ended[id] = now
		return nil
	}
	class, booked, granted := s.held[id].class, s.held[id].booked, s.held[id].granted
	l.drop(s, id)
	l.ended[id] = now
	switch o {
	case placement.Completed:
		s.sheds = 0
		s.admission = s.admission.WithRun(granted)
		l.serviceTimes[class].add(took)
		s.health = s.health.WithCompletion(float64(took) / float64(max(l.serviceTimes[class].typical(), 1)))
	case placement.Shed:
		s.shed(now, l.opts)
		if booked { // our own doing
			l.overbook = l.overbook.withShed(now, l.opts)
		}
	case placement.Failed:
		s.health = s.health.WithFailure(now)
		if s.health.Ejected(now) && l.tooManyEjected(now) {
			s.health = s.health.WithoutEjection()
			s.pauseUntil = now.Add(failedPause)
		}
	case placement.Unused:
	}
	return l.dispatch(now)
}

// tooManyEjected reports whether more than half of the endpoints that stay are
// ejected: the rest would have to carry too much, so the failing ones are only
// paused.
func (l *Ledger) tooManyEjected(now time.Time) bool {
	ejected, staying := 0, 0
	for _, s := range l.order {
		if s.leaving {
			continue
		}
		staying++
		if s.health.Ejected(now) {
			ejected++
		}
	}
	return 2*ejected > staying
}

// Cancel takes back a request that waits or has a contract it never used.
func (l *Ledger) Cancel(now time.Time, id string) []Decision {
	for c := range l.queues {
		if l.queues[c].remove(id) {
			return nil
		}
	}
	return l.Complete(now, id, placement.Unused, 0)
}

// Renew extends contracts that are still in use.
func (l *Ledger) Renew(now time.Time, ids []string) {
	for _, id := range ids {
		if s, ok := l.owner[id]; ok {
			held := s.held[id]
			held.until = now.Add(l.opts.TTL)
			s.held[id] = held
		}
	}
}

// Adopt notes a request that a balancer already has in flight, as a new home
// learns of those that another home, or none, has granted.
func (l *Ledger) Adopt(now time.Time, holder, id, vm string, class placement.Class) {
	s, ok := l.endpoints[vm]
	if _, over := l.ended[id]; !ok || over || l.owner[id] != nil {
		return // a report of use may arrive after that of the end
	}
	l.hold(now, s, Request{ID: id, Holder: holder, Class: class})
}

// Tick ends what has run out, patience and contracts, and compares the
// endpoints with one another. Call it every few milliseconds.
func (l *Ledger) Tick(now time.Time) []Decision {
	for _, s := range l.order {
		for id, held := range s.held {
			if !now.Before(held.until) {
				l.drop(s, id)
			}
		}
	}
	for id, at := range l.ended {
		if now.Sub(at) > l.opts.TTL {
			delete(l.ended, id)
		}
	}
	l.relearn()
	return l.dispatch(now)
}

// expire refuses the requests whose patience has ended.
func (l *Ledger) expire(now time.Time) []Decision {
	var out []Decision
	for c := range l.queues {
		for _, w := range l.queues[c].expired(now) {
			retryAfter := l.estimate(l.queues[c].len()+1, max(1, l.usableSlots(now)))
			out = append(out, Decision{Request: w.ID, Kind: Refused, Reason: reason.Expired, RetryAfter: retryAfter})
		}
	}
	return out
}

// DropHolder ends the contracts of a balancer that is gone. Its requests may
// still run; endpoints shed what exceeds their slots.
func (l *Ledger) DropHolder(now time.Time, holder string) []Decision {
	for _, s := range l.order {
		for id, held := range s.held {
			if held.holder == holder {
				l.drop(s, id)
			}
		}
	}
	return l.dispatch(now)
}

func (l *Ledger) hold(now time.Time, s *account, r Request) Decision {
	until := now.Add(l.opts.TTL)
	s.held[r.ID] = contractHeld{id: r.ID, holder: r.Holder, class: r.Class, granted: now, until: until, booked: len(s.held) >= s.Slots}
	l.owner[r.ID] = s
	l.inUse[r.Class]++
	return Decision{Request: r.ID, Kind: Granted, Endpoint: s.Endpoint, Until: until}
}

// relearn takes the median of the endpoints' slowness.
func (l *Ledger) relearn() {
	states := make([]health.State, len(l.order))
	for i, s := range l.order {
		states[i] = s.health
	}
	l.median = health.Median(states)
}
