package contract

import (
	"math"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/reason"
)

const (
	// baseAlpha is the weight of one completion in the usual service time.
	baseAlpha = 0.02
	// drainAlpha is the weight of one grant in the interval between grants.
	drainAlpha = 0.1
	// failedPause is how long an endpoint that fails and is not ejected is left
	// alone.
	failedPause = 100 * time.Millisecond
	// drainSamples are needed before the interval is believed.
	drainSamples = 5
)

// Ledger is the account of one service's slots and of who waits for them.
type Ledger struct {
	opts      Options
	endpoints map[string]*slots
	order     []*slots // by VM
	owner     map[string]*slots
	queues    [classes]queue
	base      [classes]usual
	drains    [classes]drain
	inUse     [classes]int // contracts
	median    float64
	overbook  overbooking
	learning  time.Time // nothing is granted before this time
}

// drain is how fast a class that waits is granted slots.
type drain struct {
	last     time.Time
	interval time.Duration
	samples  int
}

// granted notes a grant to a request that had waited since the given time.
func (d *drain) granted(now, since time.Time) {
	if since.Before(d.last) { // the queue was not empty in between
		d.interval += time.Duration(drainAlpha * float64(now.Sub(d.last)-d.interval))
		d.samples++
	} else {
		d.samples = 0
		d.interval = 0
	}
	d.last = now
}

// wait returns how long n grants take, as they have come lately.
func (d *drain) wait(n int) time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return time.Duration(n) * d.interval
}

// overbooking says whether endpoints take requests beyond their slots. It is
// learnt: one that sheds such a request ends it for a while.
type overbooking struct {
	off   time.Time // none before this time
	times int       // that it was switched off
}

func (o overbooking) depth(now time.Time, opts Options) int {
	if now.Before(o.off) {
		return 0
	}
	return max(0, opts.Overbook)
}

// mostDoublings bounds the doubling of Options.OverbookOff.
const mostDoublings = 6

func (o overbooking) withShed(now time.Time, opts Options) overbooking {
	if now.Before(o.off) {
		return o
	}
	o.off = now.Add(opts.OverbookOff << min(o.times, mostDoublings))
	o.times++
	return o
}

// usual is a moving average of service times.
type usual struct {
	log     float64 // of nanoseconds
	samples int
}

func (u *usual) add(took time.Duration) {
	sample := math.Log(float64(max(took, 1)))
	u.samples++
	weight := max(baseAlpha, 1/float64(u.samples))
	u.log += weight * (sample - u.log)
}

// typical returns the geometric mean, 0 while nothing is known.
func (u *usual) typical() time.Duration {
	if u.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log))
}

// NewLedger returns an empty ledger.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts:      opts.withDefaults(),
		endpoints: map[string]*slots{},
		owner:     map[string]*slots{},
		median:    1,
	}
}

// Begin says that the home is new: holders are about to report what they have
// in flight, and until they had time to, requests wait.
func (l *Ledger) Begin(now time.Time) { l.learning = now.Add(l.opts.LearnFor) }

// SetEndpoints replaces the list of endpoints. What is known of an endpoint
// that stays in the list, and its contracts, are kept. An endpoint that leaves
// reports as leaving gets nothing from now on.
func (l *Ledger) SetEndpoints(now time.Time, list []Endpoint, leaves func(vm string) bool) []Decision {
	next := make(map[string]*slots, len(list))
	for _, e := range list {
		s, ok := l.endpoints[e.VM]
		if !ok {
			s = newSlots(e, l.opts)
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
	slices.SortFunc(l.order, func(a, b *slots) int { return compareStrings(a.VM, b.VM) })
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

func (l *Ledger) dropContracts(s *slots) {
	for id := range s.held {
		l.drop(s, id)
	}
}

// drop ends a contract without learning from it.
func (l *Ledger) drop(s *slots, id string) {
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

// refuse is the rule of admission: a request that cannot be served in time is
// refused at once.
func (l *Ledger) refuse(now time.Time, r Request) (Decision, bool) {
	d := Decision{Request: r.ID, Kind: Refused}
	usable := l.usableSlots(now)
	if usable == 0 {
		d.Reason, d.RetryAfter = reason.NoEndpoint, l.nextReturn(now)
		return d, true
	}
	if l.queues[r.Class].len() >= l.opts.QueueLimit {
		d.Reason, d.RetryAfter = reason.QueueFull, l.estimate(l.queues[r.Class].len(), usable)
		return d, true
	}
	ahead := l.ahead(r)
	wait := max(l.estimate(ahead, usable), l.drains[r.Class].wait(ahead))
	late := now.Add(wait).Sub(r.WaitUntil)
	if end := now.Add(wait + l.base[r.Class].typical()).Sub(r.Deadline); end > late {
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
	if r.Class == Patient {
		n += l.queues[Interactive].len()
	}
	return n
}

// estimate returns how long n requests take to clear the given slots.
func (l *Ledger) estimate(n, usable int) time.Duration {
	mean := max(l.base[Interactive].typical(), l.base[Patient].typical())
	if l.queues[Patient].len() == 0 && l.base[Interactive].samples > 0 {
		mean = l.base[Interactive].typical()
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

// nextReturn returns when the first ejected endpoint comes back.
func (l *Ledger) nextReturn(now time.Time) time.Duration {
	next := time.Second
	for _, s := range l.order {
		if s.health.Ejected(now) {
			next = min(next, s.health.EjectedUntil().Sub(now))
		}
	}
	return next
}

// Complete ends a contract and learns from its outcome. took counts from the
// sending of the request.
func (l *Ledger) Complete(now time.Time, id string, o Outcome, took time.Duration) []Decision {
	s, ok := l.owner[id]
	if !ok {
		return nil
	}
	class := s.held[id].class
	booked := len(s.held) > s.Slots
	l.drop(s, id)
	switch o {
	case Completed:
		s.sheds = 0
		l.base[class].add(took)
		s.health = s.health.WithCompletion(float64(took) / float64(max(l.base[class].typical(), 1)))
	case Shed:
		s.shed(now, l.opts)
		if booked { // our own doing
			l.overbook = l.overbook.withShed(now, l.opts)
		}
	case Failed:
		s.health = s.health.WithFailure(now)
		if s.health.Ejected(now) && l.tooManyEjected(now) {
			s.health = s.health.WithoutEjection()
			s.pauseUntil = now.Add(failedPause)
		}
	case Unused:
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
	return l.Complete(now, id, Unused, 0)
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
func (l *Ledger) Adopt(now time.Time, holder, id, vm string, class Class) {
	s, ok := l.endpoints[vm]
	if !ok || l.owner[id] != nil {
		return
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
func (l *Ledger) nextClass(now time.Time) (Class, bool) {
	patient, hasPatient := l.queues[Patient].head()
	hasInteractive := l.queues[Interactive].len() > 0
	share := max(1, int(l.opts.PatientShare*float64(l.usableSlots(now))))
	switch {
	case hasPatient && patient.overdue(now) && (!hasInteractive || l.inUse[Patient] < share):
		return Patient, true
	case hasInteractive:
		return Interactive, true
	case hasPatient && l.spare(now):
		return Patient, true
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
func (l *Ledger) choose(now time.Time, w waiting) *slots {
	var best *slots
	bestTier, bestCost := tierSlow, math.Inf(1)
	depth := 0
	if w.Class == Interactive {
		depth = l.overbook.depth(now, l.opts)
	}
	for _, s := range l.order {
		if !s.mayOverbook(now, depth, l.opts) && s.free(now, l.opts) == 0 || slices.Contains(w.Avoid, s.VM) {
			continue
		}
		t := s.tier(now, l.opts, l.median)
		if t == tierSlow && !l.tryslow(now, s, w) {
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

// tryslow reports whether a slow endpoint is worth a request: to test it from
// time to time, or because the wait for a good one would be longer.
func (l *Ledger) tryslow(now time.Time, s *slots, w waiting) bool {
	if now.Sub(s.lastTrial) >= l.opts.TrialEvery {
		return true
	}
	typical := float64(l.base[w.Class].typical())
	extra := time.Duration((s.health.Slowness()/l.median - 1) * typical)
	ahead := l.queues[Interactive].len() + l.queues[Patient].len()
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

func (l *Ledger) hold(now time.Time, s *slots, r Request) Decision {
	until := now.Add(l.opts.TTL)
	s.held[r.ID] = contractHeld{id: r.ID, holder: r.Holder, class: r.Class, granted: now, until: until}
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
