package selection_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/window"
	"gotest.tools/v3/assert"
)

// coldListing is the listing of an endpoint of the same zone that is warming up.
var coldListing = selection.Listing{Slots: 2, SameZone: true, WarmUntil: start.Add(time.Hour), WarmupReceivedAt: start.Add(-time.Second)}

// probeableParams returns params with endpoints that can be probed for their load.
func probeableParams() selection.ScoringParams {
	u := params
	u.MaxFreshAge, u.Probeable = options.MaxFreshAge, true
	return u
}

// TestWarmupState checks that the later one of an endpoint's own report and its listing decides
// whether it is warming up. A listing may have been written long before it was received, so it
// never overrides the endpoint's own report of a warm-up.
func TestWarmupState(t *testing.T) {
	listedWarm := selection.Listing{Slots: 2, SameZone: true, WarmupReceivedAt: start.Add(time.Second)}
	cases := []struct {
		name    string
		state   selection.Endpoint
		listing selection.Listing
		after   time.Duration
		cold    bool
	}{
		{"listed as cold", probedEndpoint(0, 1), coldListing, 0, true},
		{"listed as cold until now", probedEndpoint(0, 1), coldListing, time.Hour, false},
		{"listed as cold, later reported as warm", probedEndpoint(0, 1).WithWarmup(0, start, start), coldListing, 0, false},
		{"reported as cold", probedEndpoint(0, 1).WithWarmup(3*time.Second, start, start), sameZone, 0, true},
		{"reported as cold, and warmed up since", probedEndpoint(0, 1).WithWarmup(3*time.Second, start, start), sameZone, 3 * time.Second, false},
		{"reported as cold, later listed as warm", probedEndpoint(0, 1).WithWarmup(3*time.Second, start, start), listedWarm, 2 * time.Second, true},
	}
	for _, c := range cases {
		u := probeableParams()
		got := selection.NewCandidate(&c.state, 0, c.listing, &u, 0, start.Add(c.after))
		assert.Equal(t, got.Cold, c.cold, c.name)
	}
}

// TestColdEndpointGetsOneRequestAtATime checks that an endpoint in warm-up gets a request only if a
// fresh report shows it idle.
func TestColdEndpointGetsOneRequestAtATime(t *testing.T) {
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	for _, c := range []struct {
		name  string
		state selection.Endpoint
		after time.Duration
		takes bool
	}{
		{"idle", probedEndpoint(0, 1), 0, true},
		{"working", probedEndpoint(1, 1), 0, false},
		{"idle in an old report", probedEndpoint(0, 1), 10 * time.Millisecond, false},
		{"was just sent a request", probedEndpoint(0, 1).WithRequestSent(), 0, false},
		{"without a report", selection.NewEndpoint(), 0, false},
	} {
		u := probeableParams()
		now := start.Add(c.after)
		var list selection.Ranking
		list.Add(selection.NewCandidate(&c.state, 0, coldListing, &u, 0, now))
		// The search has ended, so any acceptable endpoint is taken.
		d := options.Decide(&list, request, selection.SearchState{Deadline: now, NoneProbed: true}, now)
		assert.Equal(t, d.Action == selection.Take, c.takes, c.name)
	}
}

// TestPauseForColdEndpointsAfterRefusals checks that each refusal in a row doubles the pause for
// all endpoints in warm-up, up to a limit, and that a completion ends it.
func TestPauseForColdEndpointsAfterRefusals(t *testing.T) {
	const rate = 2.5
	var w selection.WarmupBackoff
	for _, pause := range []time.Duration{400, 800, 1600, 3200, 3200} {
		w = w.WithOutcome(placement.Shed, rate, start)
		assert.Assert(t, w.Paused(start.Add(pause*time.Millisecond-1)))
		assert.Assert(t, !w.Paused(start.Add(pause*time.Millisecond)))
	}
	assert.Assert(t, w.WithOutcome(placement.Unused, rate, start).Paused(start), "an unused request does not end the pause")
	assert.Assert(t, !w.WithOutcome(placement.Completed, rate, start).Paused(start))
	assert.Assert(t, selection.WarmupBackoff{}.WithOutcome(placement.Failed, 0, start).Paused(start.Add(399*time.Millisecond)), "default pause without a known rate")

	u := probeableParams()
	u.WarmupBackoff = w
	idle := probedEndpoint(0, 1)
	assert.Assert(t, selection.NewCandidate(&idle, 0, coldListing, &u, 0, start).ColdBlocked)
	assert.Assert(t, !selection.NewCandidate(&idle, 0, sameZone, &u, 0, start).Full, "warm endpoints are not affected")
}

// coldFleet simulates a service whose endpoints are all warming up, under more load than they can
// take, with balancers that do not communicate.
type coldFleet struct {
	rng       *rand.Rand
	warming   []selection.WarmupBackoff // by balancer
	endpoints []coldEndpoint
	usual     time.Duration // service time at warm endpoints
	refusing  bool
}

// coldEndpoint is a simulated endpoint that is warming up.
type coldEndpoint struct {
	arrivals []time.Time   // of requests, in order
	work     time.Duration // service time of each request
}

// inFlight returns the number of requests in flight at the endpoint at a time.
func (e *coldEndpoint) inFlight(at time.Time) int {
	n := 0
	for i := len(e.arrivals) - 1; i >= 0 && at.Sub(e.arrivals[i]) < time.Second; i-- {
		if !e.arrivals[i].After(at) && at.Sub(e.arrivals[i]) < e.work {
			n++
		}
	}
	return n
}

// maxArrivalsPerSecond returns the highest number of arrivals within one second.
func (e *coldEndpoint) maxArrivalsPerSecond() int {
	return window.MaxCount(e.arrivals, time.Second)
}

const (
	probeLatency = time.Millisecond       // from the load report to the choice
	sendLatency  = 500 * time.Microsecond // from the choice to the arrival at the endpoint
)

// sendRequest simulates one search round of a random balancer: it probes random endpoints, and sends
// a request to the first one that is not full.
func (f *coldFleet) sendRequest(at time.Time) {
	balancer, lot := f.rng.IntN(len(f.warming)), f.rng.Uint32()
	for range selection.MaxProbes(0) {
		index := f.rng.IntN(len(f.endpoints))
		e := &f.endpoints[index]
		report := placement.LoadReport{Known: true, InFlight: e.inFlight(at), Slots: 2, Pace: 1}
		state := selection.NewEndpoint().WithProbe(report, at.Add(probeLatency)).WithWarmup(time.Hour, at, at)
		at = at.Add(probeLatency)
		u := probeableParams()
		u.Work, u.WarmupBackoff, u.WarmupRate, u.Random = f.usual, f.warming[balancer], 2.5, lot
		if selection.NewCandidate(&state, index, coldListing, &u, 0, at).Full {
			continue
		}
		e.arrivals = append(e.arrivals, at.Add(sendLatency))
		outcome := placement.Completed
		if f.refusing {
			outcome = placement.Shed
		}
		f.warming[balancer] = f.warming[balancer].WithOutcome(outcome, 2.5, at.Add(2*sendLatency))
		return
	}
}

// simulate simulates three seconds with perEndpoint requests per second and endpoint. It returns the
// highest number of requests that one endpoint got within one second.
func (f *coldFleet) simulate(perEndpoint float64) int {
	gap := time.Duration(float64(time.Second) / perEndpoint / float64(len(f.endpoints)))
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(time.Duration(f.rng.ExpFloat64() * float64(gap))) {
		f.sendRequest(at)
	}
	most := 0
	for i := range f.endpoints {
		most = max(most, f.endpoints[i].maxArrivalsPerSecond())
	}
	return most
}

// TestColdEndpointsGetFewRequests checks that an endpoint in warm-up, which can take 2.5 requests per
// second, gets at most 2.5 x 1.5 + 8 within one second from fleets of different sizes, at a load of
// twenty requests per second and endpoint. Endpoints that refuse requests report none in flight, so
// the number of balancers matters there: the cases have up to one and a half balancers per endpoint.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	const bound = 2.5*1.5 + 8
	for _, c := range []struct {
		balancers, endpoints int
		work                 time.Duration
		refusing             bool
	}{
		{3, 5, 240 * time.Millisecond, false},
		{30, 37, 240 * time.Millisecond, false},
		{300, 37, 240 * time.Millisecond, false},
		{3000, 37, 240 * time.Millisecond, false},
		{30, 37, 120 * time.Millisecond, false},
		{300, 37, 60 * time.Millisecond, false},
		{30, 37, 30 * time.Millisecond, false},
		{30, 5, 2 * time.Second, false},
		{3, 5, 240 * time.Millisecond, true},
		{30, 37, 240 * time.Millisecond, true},
		{300, 200, 240 * time.Millisecond, true},
	} {
		name := fmt.Sprintf("%d balancers, %d endpoints, work %v, refusing %v", c.balancers, c.endpoints, c.work, c.refusing)
		f := &coldFleet{
			rng: rand.New(rand.NewPCG(1, 2)), warming: make([]selection.WarmupBackoff, c.balancers),
			endpoints: make([]coldEndpoint, c.endpoints), usual: c.work / 2, refusing: c.refusing,
		}
		for i := range f.endpoints {
			f.endpoints[i].work = c.work
			if c.refusing {
				f.endpoints[i].work = time.Millisecond
			}
		}
		most := f.simulate(20)
		t.Logf("%s: at most %d in a second", name, most)
		assert.Assert(t, float64(most) <= bound, "%s: %d", name, most)
	}
}
