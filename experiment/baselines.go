package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/pick"
)

// Names of the policies.
const (
	Random     = "random"
	RoundRobin = "one queue per endpoint"
	OwnTwo     = "two choices, own in flight"
	StaleTwo   = "two choices, stale reports"
	Division   = "fixed division"
	Prequal    = "probing (Prequal), in budget"
	Home       = "home"
	Ideal      = "one queue, perfect knowledge"
)

// Policies lists all of them.
var Policies = []string{Random, RoundRobin, OwnTwo, StaleTwo, Division, Prequal, Home, Ideal}

// Baselines are what Home is compared with.
var Baselines = []string{Random, RoundRobin, OwnTwo, StaleTwo, Division, Prequal}

func newPolicy(w *world, name string) policy {
	switch name {
	case Home:
		return newHomePolicy(w)
	case Ideal:
		return &idealPolicy{w: w}
	case Division:
		return newDivision(w)
	case Random, RoundRobin, OwnTwo, StaleTwo, Prequal:
		return newDirect(w, name)
	}
	panic(fmt.Sprintf("experiment: unreachable policy %q", name))
}

const (
	maxAttempts   = 4
	staleFor      = time.Second
	freshFor      = 100 * time.Millisecond
	probePool     = 16
	probeRate     = 40 * time.Millisecond // endpoint time a second, as Bennani's budget
	hotPercentile = 0.8                   // of requests in flight, above which an endpoint is hot
)

// direct sends each request at once to an endpoint that its balancer chooses
// alone. All direct policies eject endpoints that fail.
type direct struct {
	w        *world
	name     string
	inFlight [balancers][]int
	health   [balancers][]health.State
	turn     [balancers]int
	left     []bool // known to be leaving
	pools    [balancers][]probe
	limit    int // in flight from one balancer to one endpoint; 0 for none
}

// probe is one answer in a balancer's pool.
type probe struct {
	server   int
	inFlight int
	latency  float64
	at       time.Time
}

func newDirect(w *world, name string) *direct {
	d := &direct{w: w, name: name, left: make([]bool, len(w.servers))}
	for b := range balancers {
		d.inFlight[b] = make([]int, len(w.servers))
		d.health[b] = make([]health.State, len(w.servers))
		for i := range d.health[b] {
			d.health[b][i] = health.New(health.Options{})
		}
		d.turn[b] = w.rng.IntN(len(w.servers))
	}
	switch name {
	case StaleTwo:
		d.report()
	case Prequal:
		d.probe()
	}
	return d
}

func (d *direct) fault() {}

// report lets the endpoints report their load; with the fault Stale the
// reports arrive a second late.
func (d *direct) report() {
	period := freshFor
	if d.w.cell.Fault == Stale {
		period = staleFor
	}
	for _, s := range d.w.servers {
		s.reported = s.busy + len(s.queue)
	}
	if d.w.now.Before(d.w.end) {
		d.w.after(period, d.report)
	}
}

// probe measures endpoints at random, as often as the budget allows, for a
// balancer at random.
func (d *direct) probe() {
	s := d.w.servers[d.w.rng.IntN(len(d.w.servers))]
	b := d.w.rng.IntN(balancers)
	d.w.probed(s)
	if !s.gone && !s.failFast && !s.draining {
		pool := append(d.pools[b], probe{server: s.id, inFlight: s.busy + len(s.queue), latency: s.factor, at: d.w.now})
		d.pools[b] = pool[max(0, len(pool)-probePool):]
	}
	if d.w.now.Before(d.w.end) {
		d.w.after(time.Duration(float64(probeCost)/probeRate.Seconds()), d.probe)
	}
}

func (d *direct) arrive(r *request) {
	b := r.balancer
	i, ok := d.choose(b, r)
	if !ok && d.limit > 0 && d.w.now.Sub(r.began) < patience[r.class] {
		d.w.after(alonePause[r.class], func() { d.arrive(r) })
		return
	}
	if !ok {
		d.w.answer(r, refused)
		return
	}
	s := d.w.servers[i]
	d.inFlight[b][i]++
	d.w.after(answerLimit-d.w.now.Sub(r.began), func() { d.w.answer(r, late) })
	d.w.send(r, s, func(o contract.Outcome) { d.ended(r, i, o) })
}

func (d *direct) ended(r *request, i int, o contract.Outcome) {
	b := r.balancer
	d.inFlight[b][i]--
	switch o {
	case contract.Completed:
		d.health[b][i] = d.health[b][i].WithCompletion(1)
		d.w.answer(r, served)
		return
	case contract.Failed, contract.Shed:
		d.health[b][i] = d.health[b][i].WithFailure(d.w.now)
		d.left[i] = d.left[i] || d.w.servers[i].draining
	}
	r.tried = append(r.tried, i)
	if r.attempts >= maxAttempts || r.done {
		d.w.answer(r, refused)
		return
	}
	d.arrive(r)
}

func (d *direct) candidates(b int, r *request) []pick.Candidate {
	list := make([]pick.Candidate, len(d.w.servers))
	for i := range list {
		load := d.inFlight[b][i]
		if d.name == StaleTwo {
			load = d.w.servers[i].reported
		}
		list[i] = pick.Candidate{
			Usable:   !d.left[i] && !d.health[b][i].Ejected(d.w.now) && !slices.Contains(r.tried, i) && !d.full(b, i),
			InFlight: load, Slowness: 1,
		}
	}
	return list
}

func (d *direct) choose(b int, r *request) (int, bool) {
	list := d.candidates(b, r)
	switch d.name {
	case OwnTwo, StaleTwo:
		return pick.TwoChoices(list, d.w.rng)
	case Prequal:
		if i, ok := d.choosePool(b, list); ok {
			return i, true
		}
	case RoundRobin:
		for range list {
			d.turn[b] = (d.turn[b] + 1) % len(list)
			if list[d.turn[b]].Usable {
				return d.turn[b], true
			}
		}
		return 0, false
	}
	for i := range list {
		list[i].InFlight = 0
	}
	return pick.TwoChoices(list, d.w.rng)
}

// choosePool is the rule of hot and cold: among the probes that are not hot
// the one with the lowest latency, otherwise the one with the least in flight
// (Wydrowski and others, "Load is not what you should balance", 2024).
func (d *direct) choosePool(b int, list []pick.Candidate) (int, bool) {
	pool := d.pools[b]
	best, found := 0, false
	hot := hotLimit(pool)
	for j, p := range pool {
		if !list[p.server].Usable || d.w.now.Sub(p.at) > staleFor {
			continue
		}
		if !found || better(p, pool[best], hot) {
			best, found = j, true
		}
	}
	if !found {
		return 0, false
	}
	chosen := pool[best].server
	pool[best].inFlight++
	return chosen, true
}

func better(p, q probe, hot int) bool {
	pHot, qHot := p.inFlight > hot, q.inFlight > hot
	switch {
	case pHot != qHot:
		return qHot
	case !pHot && p.latency != q.latency:
		return p.latency < q.latency
	}
	return p.inFlight < q.inFlight
}

func hotLimit(pool []probe) int {
	counts := make([]int, 0, len(pool))
	for _, p := range pool {
		counts = append(counts, p.inFlight)
	}
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	return counts[int(hotPercentile*float64(len(counts)-1))]
}

// full reports whether a balancer has its share in flight on an endpoint.
func (d *direct) full(b, i int) bool { return d.limit > 0 && d.inFlight[b][i] >= d.limit }

// division gives each balancer slots of its own for good.
type division struct {
	w     *world
	slots [balancers][]int // the server of each free slot
	queue [balancers][]*request
}

func newDivision(w *world) *division {
	d := &division{w: w}
	for i := range len(w.servers) * slotsEach {
		b := i % balancers
		d.slots[b] = append(d.slots[b], i%len(w.servers))
	}
	return d
}

func (d *division) fault() {}

func (d *division) arrive(r *request) {
	d.queue[r.balancer] = append(d.queue[r.balancer], r)
	d.dispatch(r.balancer)
}

func (d *division) dispatch(b int) {
	for len(d.queue[b]) > 0 && len(d.slots[b]) > 0 {
		r := d.queue[b][0]
		d.queue[b] = d.queue[b][1:]
		if d.w.now.Sub(r.began) > patience[r.class] {
			d.w.answer(r, refused)
			continue
		}
		i := d.slots[b][0]
		d.slots[b] = d.slots[b][1:]
		d.w.send(r, d.w.servers[i], func(o contract.Outcome) {
			d.slots[b] = append(d.slots[b], i)
			if o == contract.Completed {
				d.w.answer(r, served)
			} else {
				d.w.answer(r, refused)
			}
			d.dispatch(b)
		})
	}
}

// idealPolicy is the bound: one queue that knows at once which slot is free
// and which endpoint is bad. Messages to it take no time.
type idealPolicy struct {
	w      *world
	queues [2][]*request
	used   map[int]int
}

func (p *idealPolicy) fault() {}

func (p *idealPolicy) arrive(r *request) {
	p.queues[r.class] = append(p.queues[r.class], r)
	p.dispatch()
}

func (p *idealPolicy) dispatch() {
	for {
		s := p.free()
		r := p.next()
		if s == nil || r == nil {
			return
		}
		p.queues[r.class] = p.queues[r.class][1:]
		if p.w.now.Sub(r.began) > patience[r.class] {
			p.w.answer(r, refused)
			continue
		}
		p.used[s.id]++
		p.w.result.sent++
		p.w.reach(s, &delivery{req: r, ended: func(o contract.Outcome) {
			p.used[s.id]--
			if o == contract.Completed {
				p.w.answer(r, served)
			} else {
				p.w.answer(r, refused)
			}
			p.dispatch()
		}})
	}
}

func (p *idealPolicy) next() *request {
	for _, q := range p.queues {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

func (p *idealPolicy) free() *server {
	if p.used == nil {
		p.used = map[int]int{}
	}
	var best *server
	for _, s := range p.w.servers {
		bad := s.gone || s.failFast || s.draining || s.factor > 1 || p.w.now.Before(s.coldTill)
		if !bad && p.used[s.id] < slotsEach && (best == nil || p.used[s.id] < p.used[best.id]) {
			best = s
		}
	}
	return best
}
