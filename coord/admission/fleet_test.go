package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"gotest.tools/v3/assert"
)

// The simulated fleets compare strategies for sending to an endpoint after its backoff. Time advances
// in steps; within a step a balancer does not see what the others send.

const (
	step         = 5 * time.Millisecond
	serviceSteps = 18 // steps that a request takes
	slots        = 3  // requests that an endpoint runs at a time
	queueSlots   = 2  // requests that an endpoint queues
	maxAttempts  = 2
)

// strategy is the state that a balancer keeps for one endpoint, and the rule when requests may be
// sent there after a backoff.
type strategy interface {
	backedOff(d time.Duration, now time.Time) strategy
	sent(now time.Time) strategy
	ran(sent, now time.Time) strategy
	admitsAt(random float64, now time.Time) time.Time // now or earlier if the request may be sent
	hinted(d time.Duration, now time.Time) strategy
	deferred(random float64, now time.Time) bool
}

// noHints is embedded in strategies that ignore hints.
type noHints struct{}

func (noHints) deferred(float64, time.Time) bool { return false }

// slowStarting is the strategy of package admission.
type slowStarting struct{ admission.State }

func (s slowStarting) backedOff(d time.Duration, now time.Time) strategy {
	return slowStarting{s.With(admission.Signal{Backoff: d}, now)}
}
func (s slowStarting) sent(now time.Time) strategy    { return slowStarting{s.WithSent(now)} }
func (s slowStarting) ran(sent, _ time.Time) strategy { return slowStarting{s.WithRun(sent)} }
func (s slowStarting) admitsAt(random float64, now time.Time) time.Time {
	return now.Add(admission.Decide(admission.Facts{Usable: true, State: s.State, Random: random}, now).OpensIn)
}

func (s slowStarting) hinted(d time.Duration, now time.Time) strategy {
	return slowStarting{s.WithHint(d, now)}
}

func (s slowStarting) deferred(random float64, now time.Time) bool {
	return admission.Decide(admission.Facts{Usable: true, State: s.State, Random: random}, now).Deferred
}

// immediate sends all requests again as soon as the backoff ends.
type immediate struct {
	noHints
	until time.Time
}

func (s immediate) backedOff(d time.Duration, now time.Time) strategy {
	return immediate{until: now.Add(d)}
}
func (s immediate) sent(time.Time) strategy                         { return s }
func (s immediate) ran(time.Time, time.Time) strategy               { return s }
func (s immediate) hinted(time.Duration, time.Time) strategy        { return s }
func (s immediate) admitsAt(_ float64, now time.Time) (t time.Time) { return latest(now, s.until) }

// doubling allows one request in flight after the backoff, and twice as many after each that has
// run.
type doubling struct {
	noHints
	until                 time.Time
	maxInFlight, inFlight int
}

func (s doubling) backedOff(d time.Duration, now time.Time) strategy {
	return doubling{until: now.Add(d), maxInFlight: 1, inFlight: max(0, s.inFlight-1)}
}
func (s doubling) sent(time.Time) strategy                  { s.inFlight++; return s }
func (s doubling) hinted(time.Duration, time.Time) strategy { return s }
func (s doubling) ran(time.Time, time.Time) strategy {
	s.maxInFlight, s.inFlight = min(2*s.maxInFlight, 1<<10), max(0, s.inFlight-1)
	return s
}

func (s doubling) admitsAt(_ float64, now time.Time) time.Time {
	if !s.until.IsZero() && s.inFlight >= s.maxInFlight {
		return latest(now.Add(step), s.until)
	}
	return latest(now, s.until)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fleet simulates balancers that send to the endpoints of one service.
type fleet struct {
	rng            *rand.Rand
	strategies     [][]strategy        // by balancer and endpoint
	inFlight       []int               // by endpoint
	completions    map[int64][]running // requests that complete, by step
	retries        map[int64]int       // refused requests to retry, by step
	backoffOf      scenario
	load           float64 // offered load, as a fraction of the capacity
	sharesHints    bool    // balancers send hints about backoffs
	hints          map[int64][]hint
	hintedAt       []time.Duration // by endpoint, when the last hint arrived; 0 for never
	inFlightBefore []int           // inFlight at the start of the step
	counts
}

// running is a request that an endpoint runs.
type running struct {
	balancer, endpoint int
	sent               time.Time
}

// hint tells other balancers of a backoff.
type hint struct {
	endpoint int
	backoff  time.Duration
}

// hintLatency is the latency of a hint.
const hintLatency = 50 * time.Millisecond

// counts are the outcomes of a run: requests, served and refused requests, attempts that an
// endpoint refused (wasted), and hints.
type counts struct{ requests, served, wasted, refused, hints int }

var testStart = time.Unix(1000, 0)

func newFleet(balancers, endpoints int, initial strategy, load float64, backoffOf scenario) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(uint64(balancers), 7)), inFlight: make([]int, endpoints), completions: map[int64][]running{}, retries: map[int64]int{},
		backoffOf: backoffOf, load: load, hints: map[int64][]hint{}, hintedAt: make([]time.Duration, endpoints),
	}
	for range balancers {
		strategies := make([]strategy, endpoints)
		for i := range strategies {
			strategies[i] = initial
		}
		f.strategies = append(f.strategies, strategies)
	}
	return f
}

// run simulates the time between from and to.
func (f *fleet) run(from, to time.Duration) {
	perStep := f.load * float64(len(f.inFlight)*slots) / serviceSteps
	for at := from; at < to; at += step {
		now := testStart.Add(at)
		f.inFlightBefore = append(f.inFlightBefore[:0], f.inFlight...)
		for _, r := range f.completions[int64(at/step)] {
			f.inFlight[r.endpoint]--
			f.strategies[r.balancer][r.endpoint] = f.strategies[r.balancer][r.endpoint].ran(r.sent, now)
			f.served++
		}
		delete(f.completions, int64(at/step))
		f.deliverHints(at, now)
		n := f.retries[int64(at/step)] + int(perStep)
		if f.rng.Float64() < perStep-float64(int(perStep)) {
			n++
		}
		for range n {
			f.serve(at, now)
		}
	}
}

// deliverHints delivers the hints that are due to all balancers.
func (f *fleet) deliverHints(at time.Duration, now time.Time) {
	for _, h := range f.hints[int64(at/step)] {
		f.hintedAt[h.endpoint] = at
		for _, strategies := range f.strategies {
			strategies[h.endpoint] = strategies[h.endpoint].hinted(h.backoff, now)
		}
	}
	delete(f.hints, int64(at/step))
}

// shareHint sends a hint to all balancers, unless an earlier one about the endpoint is in force.
func (f *fleet) shareHint(h hint, at time.Duration) {
	if !f.sharesHints || f.hintedAt[h.endpoint] > 0 && at < f.hintedAt[h.endpoint]+h.backoff {
		return
	}
	f.counts.hints++
	due := int64((at + hintLatency) / step)
	f.hints[due] = append(f.hints[due], h)
}

// serve handles one request, and schedules a retry if it is refused.
func (f *fleet) serve(at time.Duration, now time.Time) {
	f.requests++
	b := f.rng.IntN(len(f.strategies))
	tried := -1
	for range maxAttempts {
		e, admitsAt := f.choose(b, tried, now)
		if e < 0 {
			f.retryLater(at, admitsAt.Sub(now))
			return
		}
		f.strategies[b][e] = f.strategies[b][e].sent(now)
		backoff := f.backoffOf(e, f.inFlight[e], at)
		if backoff == 0 && f.inFlight[e] < slots+queueSlots {
			f.inFlight[e]++
			end := int64(at/step) + serviceSteps
			f.completions[end] = append(f.completions[end], running{b, e, now})
			return
		}
		if backoff > 0 {
			f.strategies[b][e] = f.strategies[b][e].backedOff(backoff, now)
			f.shareHint(hint{e, backoff}, at)
		}
		f.wasted++
		tried = e
	}
	f.retryLater(at, 100*time.Millisecond)
}

// retryLater schedules a retry of a refused request after the given delay and a random one of 50
// to 150 ms.
func (f *fleet) retryLater(at, after time.Duration) {
	f.refused++
	after += time.Duration(float64(100*time.Millisecond) * (0.5 + f.rng.Float64()))
	f.retries[int64((at+after)/step)]++
}

// choose draws two admitted endpoints and returns the one with fewer requests at the start of the
// step, or -1 and when the first one admits requests. Endpoints that are likely to refuse are used
// only if the others are full.
func (f *fleet) choose(b, tried int, now time.Time) (best int, admitsAt time.Time) {
	for _, deferred := range []bool{false, true} {
		best = -1
		for range 2 {
			e, at := f.pick(b, tried, deferred, now)
			if e >= 0 && (best < 0 || f.inFlightBefore[e] < f.inFlightBefore[best]) {
				best = e
			}
			if e < 0 && (admitsAt.IsZero() || at.Before(admitsAt)) {
				admitsAt = at
			}
		}
		if best >= 0 && f.inFlightBefore[best] < slots {
			break
		}
	}
	return best, admitsAt
}

// pick draws an endpoint that admits the request, or returns -1 and when the first one will.
func (f *fleet) pick(b, tried int, deferred bool, now time.Time) (endpoint int, admitsAt time.Time) {
	first := f.rng.IntN(len(f.inFlight))
	for i := range f.inFlight {
		e := (first + i) % len(f.inFlight)
		random := f.rng.Float64()
		if e == tried || !deferred && f.strategies[b][e].deferred(random, now) {
			continue
		}
		at := f.strategies[b][e].admitsAt(random, now)
		if !at.After(now) {
			return e, at
		}
		if admitsAt.IsZero() || at.Before(admitsAt) {
			admitsAt = at
		}
	}
	if admitsAt.IsZero() {
		admitsAt = now.Add(step)
	}
	return -1, admitsAt
}

// scenario returns the backoff with which an endpoint with that many requests in flight answers a
// further one; 0 if it accepts the request.
type scenario func(endpoint, inFlight int, at time.Duration) time.Duration

// scenarios are the simulated scenarios.
var scenarios = map[string]scenario{
	// A fifth of the endpoints refuses all requests for nine seconds.
	"some": func(e, _ int, at time.Duration) time.Duration {
		if e%5 == 0 && at >= 2*time.Second && at < 11*time.Second {
			return 3 * time.Second
		}
		return 0
	},
	// All endpoints refuse all requests for a second.
	"all": func(_, _ int, at time.Duration) time.Duration {
		if at >= 2*time.Second && at < 3*time.Second {
			return 2 * time.Second
		}
		return 0
	},
	// All endpoints refuse all requests for a second, and accept only one request at a time for
	// another two seconds after their backoff.
	"all-weak": func(_, inFlight int, at time.Duration) time.Duration {
		if at >= 2*time.Second && at < 3*time.Second || at < 7*time.Second && at >= 3*time.Second && inFlight > 0 {
			return 2 * time.Second
		}
		return 0
	},
}

// sizes are the numbers of balancers and endpoints.
var sizes = [][2]int{{3, 10}, {30, 20}, {300, 100}, {984, 200}}

// simulate runs a fleet for 20 seconds, and returns the counts of the whole run and of the time
// after the backoffs.
func simulate(size [2]int, name string, initial strategy, sharesHints bool) (all, afterwards counts) {
	f := newFleet(size[0], size[1], initial, 0.6, scenarios[name])
	f.sharesHints = sharesHints
	f.run(0, 11*time.Second)
	before := f.counts
	f.run(11*time.Second, 20*time.Second)
	return f.counts, counts{
		requests: f.requests - before.requests, served: f.served - before.served, wasted: f.wasted - before.wasted,
		refused: f.refused - before.refused, hints: f.counts.hints - before.hints,
	}
}

// retryRatio is the number of retries that the fleet allows per request.
const retryRatio = 0.2

// TestReturnAfterBackoff checks, for fleets of all sizes, that attempts wasted while a fifth of a
// service's endpoints are backing off stay within the fleet's bound on retries. After the backoffs
// there must be no second wave of refusals, also if all endpoints had backed off.
func TestReturnAfterBackoff(t *testing.T) {
	for _, size := range sizes {
		all, afterwards := simulate(size, "some", slowStarting{}, true)
		t.Logf("%d balancers, some: %+v, afterwards %+v", size[0], all, afterwards)
		assert.Assert(t, float64(all.wasted) <= retryRatio*float64(all.requests), "%d balancers: %+v", size[0], all)
		assert.Assert(t, all.refused <= all.requests/100, "%d balancers: %+v", size[0], all)
		assert.Assert(t, afterwards.wasted <= afterwards.requests/100, "%d balancers: %+v", size[0], afterwards)
		_, afterwards = simulate(size, "all", slowStarting{}, true)
		assert.Assert(t, afterwards.wasted <= afterwards.requests/100, "%d balancers, all: %+v", size[0], afterwards)
	}
	// Without hints, a large fleet exceeds the bound: each balancer learns only from its own requests.
	all, _ := simulate(sizes[3], "some", slowStarting{}, false)
	assert.Assert(t, float64(all.wasted) > retryRatio*float64(all.requests), "%+v", all)
}

// BenchmarkReturnAfterBackoff compares the strategies by the percentage of requests that caused
// wasted attempts, and of requests that were refused.
func BenchmarkReturnAfterBackoff(b *testing.B) {
	for scenario := range scenarios {
		for name, initial := range map[string]strategy{"slow-start": slowStarting{}, "immediate": immediate{}, "doubling": doubling{}, "slow-start-hints": slowStarting{}} {
			for _, size := range sizes {
				b.Run(fmt.Sprintf("%s/%s/%d", scenario, name, size[0]), func(b *testing.B) {
					for b.Loop() {
						all, afterwards := simulate(size, scenario, initial, name == "slow-start-hints")
						b.ReportMetric(100*float64(all.wasted)/float64(all.requests), "wasted%")
						b.ReportMetric(100*float64(all.refused)/float64(all.requests), "refused%")
						b.ReportMetric(float64(afterwards.wasted), "wasted-afterwards")
						b.ReportMetric(float64(all.hints), "hints")
					}
				})
			}
		}
	}
}
