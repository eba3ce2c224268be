package experiment

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
)

// Times of the fleet's own reactions, as the daemon has them.
const (
	homeSilence  = 100 * time.Millisecond  // before a balancer chooses alone
	viewChange   = 1200 * time.Millisecond // until all balancers agree on a new home
	tickEvery    = 20 * time.Millisecond
	renewEvery   = time.Second
	contractsFor = 3 * time.Second
)

// alonePause is how long a request without a home waits for room, by class.
var alonePause = [...]time.Duration{contract.Interactive: 10 * time.Millisecond, contract.Patient: 100 * time.Millisecond}

// homePolicy is the product's own: contracts from the ledger of one home,
// with the delays of the links.
type homePolicy struct {
	w       *world
	ledger  *contract.Ledger
	home    int // balancer, -1 while there is none
	waiting map[string]*request
	alone   *direct
	held    map[string]int // contracts in use, by server
}

func newHomePolicy(w *world) *homePolicy {
	p := &homePolicy{w: w, waiting: map[string]*request{}, alone: newDirect(w, OwnTwo), held: map[string]int{}}
	p.alone.limit = 1
	p.begin(0)
	w.after(tickEvery, p.tick)
	w.after(renewEvery, p.renew)
	return p
}

// begin makes a balancer the home, with an empty ledger.
func (p *homePolicy) begin(home int) {
	p.home = home
	p.ledger = contract.NewLedger(contract.Options{TTL: contractsFor})
	list := make([]contract.Endpoint, len(p.w.servers))
	for i, s := range p.w.servers {
		list[i] = contract.Endpoint{VM: serverName(i), Zone: fmt.Sprint(s.zone), Slots: slotsEach}
	}
	p.ledger.SetEndpoints(p.w.now, list, func(string) bool { return false })
}

func serverName(i int) string { return fmt.Sprintf("e%02d", i) }

func (p *homePolicy) fault() {
	lost := p.w.cell.Fault == HomeLost || p.w.cell.Fault == ZoneLost && p.w.lost[p.home]
	if !lost {
		return
	}
	p.w.lost[p.home] = true
	waiting := p.waiting
	p.waiting = map[string]*request{}
	p.home = -1
	for _, id := range sortedNames(waiting) {
		r := waiting[id]
		p.w.after(homeSilence, func() { p.alone.arrive(r) })
	}
	p.w.after(viewChange, func() {
		next := 0
		for p.w.lost[next] {
			next++
		}
		p.begin(next)
		p.ledger.Begin(p.w.now)
		p.adopt()
	})
}

// tick lets time pass for the ledger, and probes silent endpoints within the
// budget: one each tick is 6 ms in 20, so only every eighth tick probes.
func (p *homePolicy) tick() {
	if p.home >= 0 {
		p.deliver(p.ledger.Tick(p.w.now))
	}
	if p.w.now.Before(p.w.end.Add(time.Minute)) {
		p.w.after(tickEvery, p.tick)
	}
	if p.home >= 0 && p.w.now.UnixMilli()/tickEvery.Milliseconds()%8 == 0 {
		p.probe()
	}
}

func (p *homePolicy) probe() {
	list := p.ledger.Unconfirmed(p.w.now, time.Second)
	if len(list) == 0 || !p.w.now.Before(p.w.end) {
		return
	}
	i := serverIndex(list[0].VM)
	s := p.w.servers[i]
	p.w.probed(s)
	switch {
	case s.gone, s.failFast:
	case s.draining:
		p.ledger.Leaving(list[0].VM)
	default:
		p.deliver(p.ledger.Sign(p.w.now, list[0].VM, p.w.now.Before(s.coldTill)))
	}
}

func serverIndex(vm string) int {
	var i int
	if _, err := fmt.Sscanf(vm, "e%d", &i); err != nil {
		panic("experiment: unreachable server name " + vm)
	}
	return i
}

func (p *homePolicy) renew() {
	if p.home >= 0 {
		p.adopt()
	}
	if p.w.now.Before(p.w.end.Add(time.Minute)) {
		p.w.after(renewEvery, p.renew)
	}
}

func (p *homePolicy) adopt() {
	for _, id := range sortedNames(p.held) {
		p.ledger.Adopt(p.w.now, "b", id, serverName(p.held[id]), contract.Interactive)
		p.ledger.Renew(p.w.now, []string{id})
		p.w.result.messages++
	}
}

// link is the time between a balancer and the home.
func (p *homePolicy) link(b int) time.Duration {
	if b == p.home {
		return 0
	}
	return p.w.delay(p.w.zoneOf(b), p.w.zoneOf(p.home))
}

func (p *homePolicy) arrive(r *request) {
	if p.home < 0 {
		p.alone.arrive(r)
		return
	}
	p.w.result.messages++
	home := p.home
	p.w.after(p.link(r.balancer), func() {
		if p.home != home {
			p.w.after(homeSilence, func() { p.alone.arrive(r) })
			return
		}
		p.ask(r)
	})
}

func (p *homePolicy) ask(r *request) {
	id := fmt.Sprintf("%d/%d", r.id, r.attempts)
	p.waiting[id] = r
	var avoid []string
	for _, i := range r.tried {
		avoid = append(avoid, serverName(i))
	}
	p.deliver(p.ledger.Acquire(p.w.now, contract.Request{
		ID: id, Holder: fmt.Sprint(r.balancer), Zone: fmt.Sprint(p.w.zoneOf(r.balancer)), Class: r.class,
		WaitUntil: r.began.Add(patience[r.class]), Deadline: r.began.Add(patience[r.class] + answerLimit), Avoid: avoid,
	}))
}

// deliver takes the ledger's decisions to the balancers.
func (p *homePolicy) deliver(decisions []contract.Decision) {
	for _, d := range decisions {
		r, ok := p.waiting[d.Request]
		if d.Kind == contract.Queued || !ok {
			continue
		}
		delete(p.waiting, d.Request)
		p.w.result.messages++
		p.w.after(p.link(r.balancer), func() {
			if d.Kind == contract.Refused {
				p.w.answer(r, refused)
				return
			}
			p.use(r, d)
		})
	}
}

func (p *homePolicy) use(r *request, d contract.Decision) {
	i := serverIndex(d.Endpoint.VM)
	sent := p.w.now
	p.held[d.Request] = i
	p.w.send(r, p.w.servers[i], func(o contract.Outcome) {
		delete(p.held, d.Request)
		p.finish(r, d, i, o, p.w.now.Sub(sent))
		switch {
		case o == contract.Completed:
			p.w.answer(r, served)
		case r.attempts >= maxAttempts:
			p.w.answer(r, refused)
		default:
			r.tried = append(r.tried, i)
			p.arrive(r)
		}
	})
}

// finish tells the home how a contract ended.
func (p *homePolicy) finish(r *request, d contract.Decision, i int, o contract.Outcome, took time.Duration) {
	if p.home < 0 {
		return
	}
	p.w.result.messages++
	s := p.w.servers[i]
	home := p.home
	leaving, cold := s.draining, p.w.now.Before(s.coldTill)
	p.w.after(p.link(r.balancer), func() {
		if p.home != home {
			return
		}
		if leaving {
			p.ledger.Leaving(d.Endpoint.VM)
		} else if o == contract.Completed {
			p.deliver(p.ledger.Sign(p.w.now, d.Endpoint.VM, cold))
		}
		p.deliver(p.ledger.Complete(p.w.now, d.Request, o, took))
	})
}
