package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	opts  = reach.Options{}.WithDefaults()
)

// model holds what has happened to an endpoint's path, as the test expects it, next to the tested
// state.
type model struct {
	now       time.Time
	path      reach.Path
	outlook   reach.Outlook
	detoured  bool
	missed    int
	endedAt   time.Time // when the last check that did not reach the endpoint ended
	pathFails bool      // a direct connection has failed since the detour began
	begun     int       // checks begun that have not reached the endpoint
	first     time.Time
}

// step performs a random operation.
func (m *model) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 4:
		m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "passes")))
	case 1, 5:
		m.check(t, rapid.SampledFrom([]reach.CheckResult{reach.Reached, reach.Unreached, reach.Unreached, reach.Unreached, reach.Unreached, reach.NotCarried, reach.NoCarrier}).Draw(t, "result"))
	case 2:
		if m.path.DirectCheckDue(m.now) {
			assert.Assert(t, m.detoured)
			m.path = m.path.WithDirectFailure(m.outlook.DirectCheckPause(opts, rapid.Float64Range(0, 0.999).Draw(t, "random")), m.now)
			m.pathFails = true
		}
	case 3:
		if m.detoured {
			m.outlook = m.outlook.WithReturn(m.path, 0, m.now)
			m.path, m.detoured, m.missed, m.pathFails = reach.Path{}, false, 0, false
		}
	}
}

// check begins a check if the rules allow it, and ends it.
func (m *model) check(t *rapid.T, result reach.CheckResult) {
	if !m.path.MayCheck(m.now) {
		assert.Assert(t, m.detoured || m.begun > 0 && m.now.Sub(m.endedAt) < opts.MaxRepeatCheck)
		return
	}
	assert.Assert(t, !m.detoured)
	outlook, ok := m.outlook.WithCheckBegun(reach.Silence, opts, m.now)
	m.outlook = outlook
	if !ok {
		return
	}
	m.path = m.path.WithCheck(result, opts, m.now)
	switch result {
	case reach.Reached:
		m.outlook = m.outlook.WithCheckReached(reach.Silence, opts, start, m.now)
		m.detoured = true
		return
	case reach.NotCarried, reach.NoCarrier:
		assert.Assert(t, m.path.MayCheck(m.now.Add(opts.UncarriedPause)))
	case reach.Unreached:
		m.missed++
		pause := min(opts.RepeatCheck<<min(m.missed-1, 10), opts.MaxRepeatCheck)
		assert.Assert(t, !m.path.MayCheck(m.now.Add(pause-1)) && m.path.MayCheck(m.now.Add(pause)))
	}
	assert.Equal(t, m.path.Undecided(), result == reach.NotCarried)
	m.begun++
	m.endedAt = m.now
	if m.first.IsZero() {
		m.first = m.now
	}
	assert.Assert(t, float64(m.begun) <= opts.CheckBurst+opts.CheckRate*m.now.Sub(m.first).Seconds(), "%d checks", m.begun)
}

// TestModel compares paths with a model under random operations.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.step(t)
			assert.Equal(t, m.path.Detoured(), m.detoured)
			assert.Equal(t, m.path.Confirmed(), m.pathFails)
			assert.Equal(t, m.outlook.Detoured() > 0, m.detoured)
		}
	})
}

// TestChecksThatReachNothingAreLimited: by their budget, and for one endpoint by pauses that grow.
func TestChecksThatReachNothingAreLimited(t *testing.T) {
	for cause, factor := range map[reach.Cause]float64{reach.Silence: 1, reach.Failure: opts.FailureFactor} {
		var l reach.Outlook
		begun := 0
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
			var ok bool
			if l, ok = l.WithCheckBegun(cause, opts, at); ok {
				begun++
			}
		}
		limit := factor * (opts.CheckBurst + 10*opts.CheckRate)
		assert.Assert(t, float64(begun) <= limit && float64(begun) >= limit-1, "%d checks", begun)
	}

	var p reach.Path
	var pauses []time.Duration
	at := start
	for range 6 {
		p = p.WithCheck(reach.Unreached, opts, at)
		pause := time.Duration(0)
		for !p.MayCheck(at.Add(pause)) {
			pause += 100 * time.Millisecond
		}
		pauses = append(pauses, pause)
		at = at.Add(pause)
	}
	assert.DeepEqual(t, pauses, []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second})
	assert.Assert(t, !p.Forgettable(opts, at))
	assert.Assert(t, p.Forgettable(opts, at.Add(opts.MaxRepeatCheck+1)))
	assert.Assert(t, !p.WithCheck(reach.Reached, opts, at).Forgettable(opts, at.Add(time.Hour)))
}

// reachedTimes returns the outlook after n checks that reached their endpoints.
func reachedTimes(l reach.Outlook, n int, lastDirect, now time.Time) reach.Outlook {
	for range n {
		l = l.WithCheckReached(reach.Failure, opts, lastDirect, now)
	}
	return l
}

// TestAllPathsCountAsLost: only without a direct response since the first path was lost.
func TestAllPathsCountAsLost(t *testing.T) {
	assert.Assert(t, !reachedTimes(reach.Outlook{}, opts.LostAfter-1, start.Add(-time.Second), start).Lost())
	lost := reachedTimes(reach.Outlook{}, opts.LostAfter, start.Add(-time.Second), start)
	assert.Assert(t, lost.Lost())
	assert.Assert(t, !reachedTimes(reach.Outlook{}, opts.LostAfter, start.Add(time.Millisecond), start.Add(time.Second)).WithReturn(reach.Path{}, 2, start).Lost())
	partly := reach.Outlook{}.WithCheckReached(reach.Silence, opts, start, start)
	assert.Assert(t, !reachedTimes(partly, opts.LostAfter, start.Add(time.Millisecond), start.Add(time.Second)).Lost())
	assert.Assert(t, !lost.WithReturn(reach.Path{}, opts.LostAfter, start).Lost())
	assert.Assert(t, !lost.WithDetoured(0).Lost())
}

// TestFlappingPathIsTriedSeldom: a path that is lost again soon after its return is tried less often.
func TestFlappingPathIsTriedSeldom(t *testing.T) {
	l, now := reach.Outlook{}, start
	var pauses []time.Duration
	for range 6 {
		l = l.WithCheckReached(reach.Failure, opts, start, now)
		pauses = append(pauses, l.DirectCheckPause(opts, 0.5))
		now = now.Add(time.Second)
		l = l.WithReturn(reach.Path{}, 0, now)
	}
	assert.DeepEqual(t, pauses, []time.Duration{opts.DirectCheck, 2 * opts.DirectCheck, 4 * opts.DirectCheck, 8 * opts.DirectCheck, 16 * opts.DirectCheck, opts.MaxDirectCheck})
	l = l.WithCheckReached(reach.Failure, opts, start, now.Add(time.Minute))
	assert.Equal(t, l.DirectCheckPause(opts, 0.5), opts.DirectCheck)
}

// TestUnneededDetoursDelayChecks: on a slow VM probes stay unanswered for longer before a check.
func TestUnneededDetoursDelayChecks(t *testing.T) {
	unneeded := reach.Path{}.WithCheck(reach.Reached, opts, start)
	l := reach.Outlook{}.WithReturn(unneeded, 0, start)
	assert.Equal(t, l.Silence(opts), 2*opts.Silence)
	for range 20 {
		l = l.WithReturn(unneeded, 0, start)
	}
	assert.Equal(t, l.Silence(opts), opts.MaxSilence)
	assert.Equal(t, l.WithReturn(reach.PresumedLost(start), 0, start).Silence(opts), opts.MaxSilence)
	assert.Equal(t, l.WithReturn(unneeded.WithDirectFailure(time.Second, start), 0, start).Silence(opts), opts.Silence)
}

// TestLoneSilenceIsNotSuspicious: an endpoint is checked at once only while others are silent, too, and
// none responds.
func TestLoneSilenceIsNotSuspicious(t *testing.T) {
	var l reach.Outlook
	assert.Assert(t, l.Suspects(opts, 1, start, start.Add(opts.Silence)))
	assert.Assert(t, !l.Suspects(opts, 0, start, start.Add(time.Hour)))
	assert.Assert(t, !l.Suspects(opts, 5, start, start.Add(opts.Silence-1)))
}

// TestRefusesOnceNoneIsReached: requests are refused after some checks and some time, one in each
// pause is let through.
func TestRefusesOnceNoneIsReached(t *testing.T) {
	var c reach.Contact
	for i := range opts.RefuseEndpoints {
		c = c.WithMissed(fmt.Sprint(i), opts, start)
	}
	const usable = 300
	_, refuses := c.Refuses(opts, usable, start.Add(opts.RefuseAfter-1))
	assert.Assert(t, !refuses)
	let := 0
	for at := start.Add(opts.RefuseAfter); at.Before(start.Add(opts.RefuseAfter + time.Second)); at = at.Add(10 * time.Millisecond) {
		if c, refuses = c.Refuses(opts, usable, at); !refuses {
			let++
		}
	}
	assert.Equal(t, let, 10)
	_, refuses = reach.Contact{}.WithMissed("a", opts, start).Refuses(opts, 1, start.Add(time.Hour))
	assert.Assert(t, !refuses)
	assert.Equal(t, reach.RetryAfter(opts, 0), opts.RefuseAfter)
	assert.Assert(t, reach.RetryAfter(opts, 0.999) < 2*opts.RefuseAfter)
}

// TestEndpointsThatAreDownAreNotTheService: checks of few endpoints, however many, show nothing of the
// others.
func TestEndpointsThatAreDownAreNotTheService(t *testing.T) {
	later := start.Add(time.Hour)
	var c reach.Contact
	for range 100 {
		c = c.WithMissed("a", opts, start).WithMissed("b", opts, start)
	}
	assert.Assert(t, c.NoneReached(opts, 2, later))
	assert.Assert(t, !c.NoneReached(opts, 3, later))
	for i := range 2 * opts.RefuseEndpoints {
		assert.Equal(t, c.NoneReached(opts, 1000, later), i >= opts.RefuseEndpoints-2)
		c = c.WithMissed(fmt.Sprint(i), opts, start)
	}
}

// TestCarrierAnswers: a carrier that refused or was silent is asked after the others for a while, also
// if it is named again.
func TestCarrierAnswers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Float64
	list := []reach.Carrier{{Addr: "a"}, {Addr: "b", Near: true}, {Addr: "c", Near: true}}
	for answer, pause := range map[reach.Answer]time.Duration{
		reach.Unreachable: 500 * time.Millisecond, reach.PathLost: time.Second, reach.Busy: 100 * time.Millisecond,
		reach.Stopping: 5 * time.Second, reach.Unlisted: 200 * time.Millisecond, reach.Malformed: 200 * time.Millisecond, reach.Silent: time.Second,
	} {
		c := reach.Carriers{}.WithList(list, start).WithAnswer("b", answer, start).WithList(list, start)
		assert.DeepEqual(t, c.Order(random, start), []string{"c", "a", "b"})
		assert.DeepEqual(t, c.Order(random, start.Add(pause))[2], "a")
		assert.DeepEqual(t, c.WithAnswer("b", reach.Accepted, start).Order(random, start)[2], "a")
	}
	c := reach.Carriers{}.WithList(list, start)
	for range 20 {
		c = c.WithAnswer("b", reach.Silent, start)
	}
	assert.Equal(t, c.Order(random, start.Add(8*time.Second-1))[2], "b")
	assert.Equal(t, c.Order(random, start.Add(8*time.Second))[2], "a")
	assert.Equal(t, c.WithAnswer("x", reach.Busy, start).Len(), 3)
	assert.Equal(t, c.Updated(), start)
	c = c.WithList(nil, start.Add(time.Second))
	assert.Equal(t, c.Len(), 3)
	assert.Equal(t, c.Updated(), start.Add(time.Second))
	assert.Equal(t, c.WithList(list[:1], start).Len(), 1)
}

// TestAdmit: what a carrier answers, by what holds first.
func TestAdmit(t *testing.T) {
	load := reach.Load{Carried: 3, MaxCarried: 4, Listed: true}
	assert.Equal(t, reach.Admit(load), reach.Accepted)
	load.Carried = 4
	assert.Equal(t, reach.Admit(load), reach.Busy)
	load.PathLost = true
	assert.Equal(t, reach.Admit(load), reach.PathLost)
	load.Listed = false
	assert.Equal(t, reach.Admit(load), reach.Unlisted)
	load.Stopping = true
	assert.Equal(t, reach.Admit(load), reach.Stopping)
	assert.Equal(t, reach.Admit(reach.Load{Listed: true}), reach.Busy)
}

// TestConnectionsAreSpreadOverCarriers: none of the carriers gets several times its share, at any
// size and whichever part of the balancers needs them.
func TestConnectionsAreSpreadOverCarriers(t *testing.T) {
	const named, connections = 6, 40
	for _, balancers := range []int{3, 30, 300, 984} {
		for _, lostShare := range []float64{0.34, 0.5, 0.9} {
			rng := rand.New(rand.NewPCG(uint64(balancers), 1))
			lost := int(lostShare * float64(balancers))
			carriers := balancers - lost
			load := make(map[string]int)
			for range lost {
				var list []reach.Carrier
				for _, i := range rng.Perm(carriers)[:min(named, carriers)] {
					list = append(list, reach.Carrier{Addr: string(rune('0' + i)), Near: true})
				}
				c := reach.Carriers{}.WithList(list, start)
				for range connections {
					load[c.Order(rng.Float64, start)[0]]++
				}
			}
			var loads []int
			for _, n := range load {
				loads = append(loads, n)
			}
			mean := float64(lost*connections) / float64(carriers)
			t.Logf("%d balancers, %d lost: %.1f connections a carrier, at most %d", balancers, lost, mean, slices.Max(loads))
			assert.Assert(t, float64(slices.Max(loads)) <= 4*mean, "%d balancers, %d lost: %d of %.1f", balancers, lost, slices.Max(loads), mean)
		}
	}
}
