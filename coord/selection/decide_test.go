package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

var (
	options   = selection.Options{}.WithDefaults()
	usual     = selection.Usual{Work: work, Crowding: *learnedCrowding(3, 1, 1, 1)}
	sameZone  = selection.Listing{Slots: 3, SameZone: true}
	otherZone = selection.Listing{Slots: 3}
)

// probed returns an endpoint that has just answered a probe with a load report.
func probed(running int, pace float64) selection.Endpoint {
	report := placement.LoadReport{Known: true, InFlight: running, Slots: 3, Pace: pace, State: placement.Live}
	return selection.NewEndpoint().WithProbe(report, start)
}

// ranked returns a ranking of endpoints in the balancer's zone.
func ranked(endpoints ...selection.Endpoint) *selection.Ranking {
	var r selection.Ranking
	for i := range endpoints {
		r.Add(selection.NewCandidate(&endpoints[i], i, sameZone, &usual, uint32(i), start))
	}
	return &r
}

// TestDecide checks the rules of Decide for a request with a latency target of one second,
// which gives up its search after a fifth of that.
func TestDecide(t *testing.T) {
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	giveUp := options.GiveUpAt(request, start)
	assert.Equal(t, giveUp, start.Add(200*time.Millisecond))
	good, slow, full := probed(0, 1), probed(0, 5), probed(3, 1)
	for _, c := range []struct {
		name  string
		list  *selection.Ranking
		after time.Duration
		blind bool
		left  bool
		want  selection.Decision
	}{
		{"a good endpoint", ranked(slow, good), 0, false, false, selection.Decision{Do: selection.Take}},
		{"no endpoint", ranked(), 0, false, false, selection.Decision{Do: selection.Refuse, Reason: reason.NoEndpoint}},
		{"the caller left", ranked(good), 0, false, true, selection.Decision{Do: selection.Refuse, Reason: reason.CallerLeft}},
		{"slow ones only", ranked(slow), 0, false, false, selection.Decision{Do: selection.Wait, Pause: 40 * time.Millisecond}},
		{"slow ones only, shortly before it gives up", ranked(slow), 195 * time.Millisecond, false, false, selection.Decision{Do: selection.Wait, Pause: 5 * time.Millisecond}},
		{"slow ones only, when it gives up", ranked(slow), 200 * time.Millisecond, false, false, selection.Decision{Do: selection.Take}},
		{"slow ones only, and none can be probed", ranked(slow), 0, true, false, selection.Decision{Do: selection.Take}},
		{"a slow one that would be late", ranked(slow), 600 * time.Millisecond, false, false, selection.Decision{Do: selection.Refuse, Reason: reason.TooLate}},
		{"full ones only, when it gives up", ranked(full), 200 * time.Millisecond, false, false, selection.Decision{Do: selection.Refuse, Reason: reason.TooLate}},
		{"full ones only, past the deadline", ranked(full), 2 * time.Second, false, false, selection.Decision{Do: selection.Refuse, Reason: reason.Expired}},
	} {
		got := options.Decide(c.list, request, selection.Situation{GiveUp: giveUp, Blind: c.blind, CallerLeft: c.left}, start.Add(c.after))
		assert.Equal(t, got, c.want, c.name)
	}
	withoutTarget := placement.Request{Accepted: start, Deadline: start.Add(time.Minute)}
	assert.Equal(t, options.GiveUpAt(withoutTarget, start), start.Add(200*time.Millisecond))
}

// backingOff is the listing of an endpoint that is backing off: it asked for no requests for a second.
var backingOff = selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Access: admission.Shut, Cause: admission.BackingOff, OpensIn: time.Second}}

// TestBlockedEndpointHidesNoOther checks that an endpoint that is backing off, and so looks idle,
// does not rank before another one. Otherwise a request would be refused although the other
// endpoint, which is acceptable but not good, could take it.
func TestBlockedEndpointHidesNoOther(t *testing.T) {
	idle, crowded := probed(0, 1), probed(0, 1).WithOutcome(placement.Shed, 1, start)
	var r selection.Ranking
	r.Add(selection.NewCandidate(&idle, 0, backingOff, &usual, 0, start))
	r.Add(selection.NewCandidate(&crowded, 1, sameZone, &usual, 1, start))
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	d := options.Decide(&r, request, selection.Situation{GiveUp: options.GiveUpAt(request, start), Blind: true}, start)
	assert.Equal(t, d.Do, selection.Take)
	assert.Equal(t, r.Best().Index, 1)
}

// TestOrderOfCandidates checks which of two endpoints ranks first, and that ejected ones are dropped.
func TestOrderOfCandidates(t *testing.T) {
	idle := probed(0, 1)
	ejected, shed, unanswered := idle, idle, idle.WithoutProbe()
	for range 3 {
		ejected = ejected.WithOutcome(placement.Failed, 1, start)
	}
	shed = shed.WithOutcome(placement.Shed, 1, start)
	silent := selection.NewEndpoint()
	for _, c := range []struct {
		name                        string
		better, worse               selection.Endpoint
		betterListing, worseListing selection.Listing
	}{
		{"idle before slow", idle, probed(0, 2), sameZone, sameZone},
		{"room before speed", probed(0, 5), probed(3, 1), sameZone, sameZone},
		{"same zone", idle, idle, sameZone, otherZone},
		{"same zone, at a pace of 1.5", probed(0, 1.5), idle, sameZone, otherZone},
		{"another zone, if the endpoint of the same zone has a pace of 2", idle, probed(0, 2), otherZone, sameZone},
		{"warm before cold", idle, idle, sameZone, selection.Listing{Slots: 3, SameZone: true, WarmAt: start.Add(time.Second)}},
		{"an open connection", probed(0, 1.8), silent, sameZone, sameZone},
		{"answered probes", idle, unanswered, sameZone, sameZone},
		{"no recent refusal", probed(0, 5), shed, sameZone, sameZone},
		{"not backing off, even after a recent refusal", shed, idle, sameZone, backingOff},
		{"not deferred", probed(0, 1.4), idle, sameZone, selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Deferred: true}}},
	} {
		var r selection.Ranking
		r.Add(selection.NewCandidate(&c.worse, 0, c.worseListing, &usual, 0, start))
		r.Add(selection.NewCandidate(&c.better, 1, c.betterListing, &usual, 1, start))
		assert.Equal(t, r.Best().Index, 1, c.name)
	}
	r := ranked(ejected, probed(0, 5))
	r.DropEjected()
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, r.Best().Index, 1)
	r = ranked(ejected)
	r.DropEjected()
	assert.Equal(t, r.Len(), 1, "the last endpoint is kept even if it is ejected")
}

// TestNextProbe checks that the best endpoint without a fresh report is probed, within the limit of
// its probe budget.
func TestNextProbe(t *testing.T) {
	always := func(int) bool { return true }
	fresh, never := probed(0, 1), selection.NewEndpoint()
	assert.Assert(t, !options.NeedsProbe(ranked(fresh, never), &usual), "a good endpoint with a fresh report needs no probe")
	assert.Assert(t, options.NeedsProbe(ranked(never), &usual))
	assert.Assert(t, !options.NeedsProbe(ranked(), &usual))
	index, ok := options.NextProbe(ranked(fresh, never), always)
	assert.Assert(t, ok)
	assert.Equal(t, index, 1)
	_, ok = options.NextProbe(ranked(never), func(int) bool { return false })
	assert.Assert(t, !ok)

	budget, may := options.NewProbeBudget(), true
	for range 6 {
		budget, may = budget.WithProbe(options, start)
		assert.Assert(t, may)
	}
	budget, may = budget.WithProbe(options, start)
	assert.Assert(t, !may)
	_, may = budget.WithProbe(options, start.Add(time.Second/3+time.Millisecond))
	assert.Assert(t, may, "the budget grows by three probes per second")
}

// TestLearning checks that completions determine the usual service time, and that completions at
// an endpoint with all slots taken determine the crowding factor without distorting that time.
func TestLearning(t *testing.T) {
	var w selection.Workload
	var c selection.Crowding
	assert.Equal(t, w.Usual(0), 100*time.Millisecond)
	assert.Equal(t, w.Usual(600*time.Millisecond), 200*time.Millisecond, "a third of the target")
	spare, last := placement.Choice{Pace: 2, Busy: 1}, placement.Choice{Pace: 1, Busy: 3}
	w, c = selection.Learn(w, c, placement.Choice{Busy: 1}, time.Hour, 3)
	assert.Equal(t, w.Usual(0), 100*time.Millisecond, "a completion without a report is ignored")
	w, c = selection.Learn(w, c, placement.Choice{Pace: 1, Busy: 4}, time.Hour, 3)
	assert.Equal(t, w.Usual(0), 100*time.Millisecond, "a completion that waited for a slot is ignored")
	for range 20 {
		w, c = selection.Learn(w, c, spare, 80*time.Millisecond, 3)
	}
	assert.Equal(t, w.Usual(0), 40*time.Millisecond, "the time is divided by the pace at the choice")
	assert.Equal(t, w.Ratio(60*time.Millisecond), 1.5)
	w, c = selection.Learn(w, c, last, 80*time.Millisecond, 3)
	assert.Assert(t, c.SlowdownFactor(3, 3) > 1.35 && c.SlowdownFactor(3, 3) < 1.45, "%v", c.SlowdownFactor(3, 3))
	for range 400 {
		w, c = selection.Learn(w, c, last, 80*time.Millisecond, 3)
		w, c = selection.Learn(w, c, spare, 80*time.Millisecond, 3)
	}
	assert.Assert(t, (w.Usual(0)-40*time.Millisecond).Abs() < time.Millisecond, "%v: the time is divided by the crowding factor", w.Usual(0))
	assert.Assert(t, c.SlowdownFactor(3, 3) > 1.95 && c.SlowdownFactor(3, 3) < 2.05, "%v", c.SlowdownFactor(3, 3))
}

// TestJoinedEndpointIsPreferred checks that balancers of its zone prefer an endpoint that joined to a
// known one with an old report, from the end of its warm-up until it is first used or probed.
func TestJoinedEndpointIsPreferred(t *testing.T) {
	now := start.Add(time.Second)
	cold := sameZone
	cold.WarmAt = start.Add(time.Hour)
	for _, c := range []struct {
		name    string
		joined  selection.Endpoint
		listing selection.Listing
		first   bool
	}{
		{"joined", selection.NewJoined(), sameZone, true},
		{"listed from the start", selection.NewEndpoint(), sameZone, false},
		{"still cold", selection.NewJoined(), cold, false},
		{"of another zone", selection.NewJoined(), otherZone, false},
		{"without a response to a probe", selection.NewJoined().WithoutProbe(), sameZone, false},
		{"with a request in flight", selection.NewJoined().WithSent(), sameZone, false},
	} {
		known := probed(0, 1)
		var r selection.Ranking
		r.Add(selection.NewCandidate(&known, 0, sameZone, &usual, 0, now))
		r.Add(selection.NewCandidate(&c.joined, 1, c.listing, &usual, 1, now))
		assert.Equal(t, r.Best().Index == 1, c.first, c.name)
	}
}

// TestJoinedEndpointIsNotPreferredWhileCold checks that an endpoint that joined is not preferred while it
// is warming up.
func TestJoinedEndpointIsNotPreferredWhileCold(t *testing.T) {
	cold := sameZone
	cold.WarmAt = start.Add(time.Hour)
	listed, joined := selection.NewEndpoint(), selection.NewJoined()
	var r selection.Ranking
	r.Add(selection.NewCandidate(&listed, 0, cold, &usual, 0, start))
	r.Add(selection.NewCandidate(&joined, 1, cold, &usual, 1, start))
	assert.Equal(t, r.Best().Index, 0, "equal candidates rank by their tie breaker")
}

// TestProbeRounds checks that the first search rounds allow many probes, and later ones only a few.
func TestProbeRounds(t *testing.T) {
	total := 0
	var rounds []int
	for range 6 {
		n := selection.ProbeRounds(total)
		rounds = append(rounds, n)
		total += n
	}
	assert.DeepEqual(t, rounds, []int{12, 12, 2, 2, 2, 2})
	assert.Equal(t, selection.ProbeRounds(20), 4)
}
