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

// cooled is what is listed of an endpoint of the own zone that still warms up.
var cooled = selection.Listing{Slots: 2, SameZone: true, WarmAt: start.Add(time.Hour), WarmTold: start.Add(-time.Second)}

// warmupUsual is what is usual where endpoints tell their load when they are probed.
func warmupUsual() selection.Usual {
	u := usual
	u.Fresh, u.TellsLoad = options.ProbeFresh, true
	return u
}

// TestWhoIsCold: by its own word or by what is listed, whichever came last; what is listed
// may have been written long before, so it never takes an endpoint's own word back.
func TestWhoIsCold(t *testing.T) {
	listedWarm := selection.Listing{Slots: 2, SameZone: true, WarmTold: start.Add(time.Second)}
	cases := []struct {
		name    string
		state   selection.Endpoint
		listing selection.Listing
		after   time.Duration
		cold    bool
	}{
		{"listed as cold", probed(0, 1), cooled, 0, true},
		{"listed as cold until now", probed(0, 1), cooled, time.Hour, false},
		{"listed as cold, and says later that it is warm", probed(0, 1).WithWarmup(0, start), cooled, 0, false},
		{"says that it has turned cold", probed(0, 1).WithWarmup(3*time.Second, start), near, 0, true},
		{"said so, and has warmed up", probed(0, 1).WithWarmup(3*time.Second, start), near, 3 * time.Second, false},
		{"said so, and an entry that came later says it is warm", probed(0, 1).WithWarmup(3*time.Second, start), listedWarm, 2 * time.Second, true},
	}
	for _, c := range cases {
		u := warmupUsual()
		got := selection.NewCandidate(&c.state, 0, c.listing, &u, 0, start.Add(c.after))
		assert.Equal(t, got.Cold, c.cold, c.name)
	}
}

// TestColdEndpointGetsOneRequestAtATime, and only on a fresh report.
func TestColdEndpointGetsOneRequestAtATime(t *testing.T) {
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	for _, c := range []struct {
		name  string
		state selection.Endpoint
		after time.Duration
		takes bool
	}{
		{"idle", probed(0, 1), 0, true},
		{"working", probed(1, 1), 0, false},
		{"idle by an old report", probed(0, 1), 10 * time.Millisecond, false},
		{"has just been sent one", probed(0, 1).WithSent(), 0, false},
		{"never heard of", selection.NewEndpoint(), 0, false},
	} {
		u := warmupUsual()
		now := start.Add(c.after)
		var list selection.Ranking
		list.Add(selection.NewCandidate(&c.state, 0, cooled, &u, 0, now))
		// Nothing can be learnt and the time is up: whatever will do is taken.
		d := options.Decide(&list, request, selection.Situation{GiveUp: now, Blind: true}, now)
		assert.Equal(t, d.Do == selection.Take, c.takes, c.name)
	}
}

// TestColdEndpointsAreLeftAloneAfterRefusals, the longer the more of them, until one of
// them serves a request.
func TestColdEndpointsAreLeftAloneAfterRefusals(t *testing.T) {
	const rate = 2.5
	var w selection.Warming
	for _, pause := range []time.Duration{400, 800, 1600, 3200, 3200} {
		w = w.WithOutcome(placement.Shed, rate, start)
		assert.Assert(t, w.Paused(start.Add(pause*time.Millisecond-1)))
		assert.Assert(t, !w.Paused(start.Add(pause*time.Millisecond)))
	}
	assert.Assert(t, w.WithOutcome(placement.Unused, rate, start).Paused(start), "it shows nothing")
	assert.Assert(t, !w.WithOutcome(placement.Completed, rate, start).Paused(start))
	assert.Assert(t, selection.Warming{}.WithOutcome(placement.Failed, 0, start).Paused(start.Add(399*time.Millisecond)), "rate not known")

	u := warmupUsual()
	u.Warming = w
	idle := probed(0, 1)
	assert.Assert(t, selection.NewCandidate(&idle, 0, cooled, &u, 0, start).Closed)
	assert.Assert(t, !selection.NewCandidate(&idle, 0, near, &u, 0, start).Full, "a warm one is not concerned")
}

// coldFleet plays a service whose endpoints all warm up, under more load than they bear,
// with balancers that know nothing of one another.
type coldFleet struct {
	rng       *rand.Rand
	warming   []selection.Warming // by balancer
	endpoints []coldEndpoint
	usual     time.Duration // of the requests' work at warm endpoints
	refusing  bool
}

// coldEndpoint holds its arrivals, in order, and how long each request takes.
type coldEndpoint struct {
	arrivals []time.Time
	work     time.Duration
}

// holds returns how many requests the endpoint works on at a time.
func (e *coldEndpoint) holds(at time.Time) int {
	n := 0
	for i := len(e.arrivals) - 1; i >= 0 && at.Sub(e.arrivals[i]) < time.Second; i-- {
		if !e.arrivals[i].After(at) && at.Sub(e.arrivals[i]) < e.work {
			n++
		}
	}
	return n
}

// mostInASecond returns the highest number of arrivals in a second.
func (e *coldEndpoint) mostInASecond() int {
	return window.Most(e.arrivals, time.Second)
}

const (
	probeTrip = time.Millisecond       // from the report to the choice
	sendTrip  = 500 * time.Microsecond // from the choice to the arrival
)

// request lets a balancer choose among some endpoints, as a look does.
func (f *coldFleet) request(at time.Time) {
	balancer, lot := f.rng.IntN(len(f.warming)), f.rng.Uint32()
	for range selection.ProbeRounds(0) {
		index := f.rng.IntN(len(f.endpoints))
		e := &f.endpoints[index]
		report := placement.LoadReport{Known: true, InFlight: e.holds(at), Slots: 2, Pace: 1}
		state := selection.NewEndpoint().WithProbe(report, at.Add(probeTrip)).WithWarmup(time.Hour, at)
		at = at.Add(probeTrip)
		u := warmupUsual()
		u.Work, u.Warming, u.WarmupRate, u.Lot = f.usual, f.warming[balancer], 2.5, lot
		if selection.NewCandidate(&state, index, cooled, &u, 0, at).Full {
			continue
		}
		e.arrivals = append(e.arrivals, at.Add(sendTrip))
		outcome := placement.Completed
		if f.refusing {
			outcome = placement.Shed
		}
		f.warming[balancer] = f.warming[balancer].WithOutcome(outcome, 2.5, at.Add(2*sendTrip))
		return
	}
}

// play plays three seconds, in which so many requests a second come for each endpoint, and
// returns the most that one endpoint got in a second.
func (f *coldFleet) play(perEndpoint float64) int {
	gap := time.Duration(float64(time.Second) / perEndpoint / float64(len(f.endpoints)))
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(time.Duration(f.rng.ExpFloat64() * float64(gap))) {
		f.request(at)
	}
	most := 0
	for i := range f.endpoints {
		most = max(most, f.endpoints[i].mostInASecond())
	}
	return most
}

// TestColdEndpointsGetFewRequests from fleets of any size, though twenty requests a second
// come for each endpoint and it should get no more than 2.5 x 1.5 + 8. Endpoints that
// refuse show nothing running, so the number of balancers counts there: up to one and a
// half for each endpoint were played.
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
			rng: rand.New(rand.NewPCG(1, 2)), warming: make([]selection.Warming, c.balancers),
			endpoints: make([]coldEndpoint, c.endpoints), usual: c.work / 2, refusing: c.refusing,
		}
		for i := range f.endpoints {
			f.endpoints[i].work = c.work
			if c.refusing {
				f.endpoints[i].work = time.Millisecond
			}
		}
		most := f.play(20)
		t.Logf("%s: at most %d in a second", name, most)
		assert.Assert(t, float64(most) <= bound, "%s: %d", name, most)
	}
}
