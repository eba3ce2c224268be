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
	params    = selection.ScoringParams{Work: work, Crowding: *learnedCrowding(3, 1, 1, 1)}
	sameZone  = selection.Listing{Slots: 3, SameZone: true}
	otherZone = selection.Listing{Slots: 3}
)

// probedEndpoint returns an endpoint that has just answered a probe with a load report.
func probedEndpoint(running int, pace float64) selection.Endpoint {
	report := placement.LoadReport{Known: true, InFlight: running, Slots: 3, Pace: pace, State: placement.Live}
	return selection.NewEndpoint().WithProbe(report, start)
}

// rankingOf returns a ranking of endpoints in the balancer's zone.
func rankingOf(endpoints ...selection.Endpoint) *selection.Ranking {
	var r selection.Ranking
	for i := range endpoints {
		r.Add(selection.NewCandidate(&endpoints[i], i, sameZone, &params, uint32(i), start))
	}
	return &r
}

// TestDecide checks the rules of Decide for a request with a latency target of one second,
// which gives up its search after a fifth of that.
func TestDecide(t *testing.T) {
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	deadline := options.SearchDeadline(request, start)
	assert.Equal(t, deadline, start.Add(200*time.Millisecond))
	good, slow, full := probedEndpoint(0, 1), probedEndpoint(0, 5), probedEndpoint(3, 1)
	for _, c := range []struct {
		name       string
		list       *selection.Ranking
		after      time.Duration
		blind      bool
		callerLeft bool
		want       selection.Decision
	}{
		{"a good endpoint", rankingOf(slow, good), 0, false, false, selection.Decision{Action: selection.Take}},
		{"no endpoint", rankingOf(), 0, false, false, selection.Decision{Action: selection.Refuse, Reason: reason.NoEndpoint}},
		{"the caller left", rankingOf(good), 0, false, true, selection.Decision{Action: selection.Refuse, Reason: reason.CallerLeft}},
		{"slow ones only", rankingOf(slow), 0, false, false, selection.Decision{Action: selection.Wait, Pause: 40 * time.Millisecond}},
		{"slow ones only, shortly before it gives up", rankingOf(slow), 195 * time.Millisecond, false, false, selection.Decision{Action: selection.Wait, Pause: 5 * time.Millisecond}},
		{"slow ones only, when it gives up", rankingOf(slow), 200 * time.Millisecond, false, false, selection.Decision{Action: selection.Take}},
		{"slow ones only, and none can be probed", rankingOf(slow), 0, true, false, selection.Decision{Action: selection.Take}},
		{"a slow one that would be late", rankingOf(slow), 600 * time.Millisecond, false, false, selection.Decision{Action: selection.Refuse, Reason: reason.TooLate}},
		{"full ones only, when it gives up", rankingOf(full), 200 * time.Millisecond, false, false, selection.Decision{Action: selection.Refuse, Reason: reason.TooLate}},
		{"full ones only, past the deadline", rankingOf(full), 2 * time.Second, false, false, selection.Decision{Action: selection.Refuse, Reason: reason.Expired}},
	} {
		got := options.Decide(c.list, request, selection.SearchState{Deadline: deadline, NoneProbed: c.blind, CallerLeft: c.callerLeft}, start.Add(c.after))
		assert.Equal(t, got, c.want, c.name)
	}
	withoutTarget := placement.Request{Accepted: start, Deadline: start.Add(time.Minute)}
	assert.Equal(t, options.SearchDeadline(withoutTarget, start), start.Add(200*time.Millisecond))
}

// backingOff is the listing of an endpoint that asked balancers to send it nothing for one second.
var backingOff = selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Access: admission.Closed, Cause: admission.BackingOff, OpensIn: time.Second}}

// TestBlockedEndpointHidesNoOther checks that an idle endpoint in a backoff does not rank before one
// that is acceptable but not good. Otherwise a request would be refused although the other endpoint
// could take it.
func TestBlockedEndpointHidesNoOther(t *testing.T) {
	idle, shed := probedEndpoint(0, 1), probedEndpoint(0, 1).WithOutcome(placement.Shed, 1, start)
	var r selection.Ranking
	r.Add(selection.NewCandidate(&idle, 0, backingOff, &params, 0, start))
	r.Add(selection.NewCandidate(&shed, 1, sameZone, &params, 1, start))
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	d := options.Decide(&r, request, selection.SearchState{Deadline: options.SearchDeadline(request, start), NoneProbed: true}, start)
	assert.Equal(t, d.Action, selection.Take)
	assert.Equal(t, r.Best().Index, 1)
}

// TestOrderOfCandidates checks which of two endpoints ranks first, and that ejected ones are dropped.
// Each case is named after the advantage of the better endpoint.
func TestOrderOfCandidates(t *testing.T) {
	idle := probedEndpoint(0, 1)
	ejected, shed, unanswered := idle, idle, idle.WithUnansweredProbe()
	for range 3 {
		ejected = ejected.WithOutcome(placement.Failed, 1, start)
	}
	shed = shed.WithOutcome(placement.Shed, 1, start)
	unreported := selection.NewEndpoint()
	for _, c := range []struct {
		name                        string
		better, worse               selection.Endpoint
		betterListing, worseListing selection.Listing
	}{
		{"idle before slow", idle, probedEndpoint(0, 2), sameZone, sameZone},
		{"a free slot before speed", probedEndpoint(0, 5), probedEndpoint(3, 1), sameZone, sameZone},
		{"same zone", idle, idle, sameZone, otherZone},
		{"same zone, at a pace of 1.5", probedEndpoint(0, 1.5), idle, sameZone, otherZone},
		{"another zone, if the endpoint of the same zone has a pace of 2", idle, probedEndpoint(0, 2), otherZone, sameZone},
		{"warm before cold", idle, idle, sameZone, selection.Listing{Slots: 3, SameZone: true, WarmUntil: start.Add(time.Second)}},
		{"an open connection", probedEndpoint(0, 1.8), unreported, sameZone, sameZone},
		{"answered probes", idle, unanswered, sameZone, sameZone},
		{"no recent refusal", probedEndpoint(0, 5), shed, sameZone, sameZone},
		{"not backing off, even after a recent refusal", shed, idle, sameZone, backingOff},
		{"not deferred", probedEndpoint(0, 1.4), idle, sameZone, selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Deferred: true}}},
	} {
		var r selection.Ranking
		r.Add(selection.NewCandidate(&c.worse, 0, c.worseListing, &params, 0, start))
		r.Add(selection.NewCandidate(&c.better, 1, c.betterListing, &params, 1, start))
		assert.Equal(t, r.Best().Index, 1, c.name)
	}
	r := rankingOf(ejected, probedEndpoint(0, 5))
	r.DropEjected()
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, r.Best().Index, 1)
	r = rankingOf(ejected)
	r.DropEjected()
	assert.Equal(t, r.Len(), 1, "the last endpoint is kept even if it is ejected")
}

// TestNextProbe checks that the best endpoint without a fresh report is probed, within the limit of
// its probe budget.
func TestNextProbe(t *testing.T) {
	always := func(int) bool { return true }
	fresh, unreported := probedEndpoint(0, 1), selection.NewEndpoint()
	assert.Assert(t, !options.NeedsProbe(rankingOf(fresh, unreported), &params), "a good endpoint with a fresh report needs no probe")
	assert.Assert(t, options.NeedsProbe(rankingOf(unreported), &params))
	assert.Assert(t, !options.NeedsProbe(rankingOf(), &params))
	index, ok := options.NextProbe(rankingOf(fresh, unreported), always)
	assert.Assert(t, ok)
	assert.Equal(t, index, 1)
	_, ok = options.NextProbe(rankingOf(unreported), func(int) bool { return false })
	assert.Assert(t, !ok)

	budget, allowed := options.NewProbeBudget(), true
	for range 6 {
		budget, allowed = budget.WithProbe(options, start)
		assert.Assert(t, allowed)
	}
	budget, allowed = budget.WithProbe(options, start)
	assert.Assert(t, !allowed)
	_, allowed = budget.WithProbe(options, start.Add(time.Second/3+time.Millisecond))
	assert.Assert(t, allowed, "the budget grows by three probes per second")
}

// TestLearning checks that completions determine the usual service time, and that completions at
// an endpoint with all slots taken determine the crowding factor without distorting that time.
func TestLearning(t *testing.T) {
	var w selection.ServiceTime
	var c selection.Crowding
	assert.Equal(t, w.Expected(0), 100*time.Millisecond)
	assert.Equal(t, w.Expected(600*time.Millisecond), 200*time.Millisecond, "a third of the target")
	firstSlot, lastSlot := placement.Choice{Pace: 2, Busy: 1}, placement.Choice{Pace: 1, Busy: 3}
	w, c = selection.WithCompletion(w, c, placement.Choice{Busy: 1}, time.Hour, 3)
	assert.Equal(t, w.Expected(0), 100*time.Millisecond, "a completion without a report is ignored")
	w, c = selection.WithCompletion(w, c, placement.Choice{Pace: 1, Busy: 4}, time.Hour, 3)
	assert.Equal(t, w.Expected(0), 100*time.Millisecond, "a completion that waited for a slot is ignored")
	for range 20 {
		w, c = selection.WithCompletion(w, c, firstSlot, 80*time.Millisecond, 3)
	}
	assert.Equal(t, w.Expected(0), 40*time.Millisecond, "the time is divided by the pace at the choice")
	assert.Equal(t, w.Ratio(60*time.Millisecond), 1.5)
	w, c = selection.WithCompletion(w, c, lastSlot, 80*time.Millisecond, 3)
	assert.Assert(t, c.CrowdingFactor(3, 3) > 1.35 && c.CrowdingFactor(3, 3) < 1.45, "%v", c.CrowdingFactor(3, 3))
	for range 400 {
		w, c = selection.WithCompletion(w, c, lastSlot, 80*time.Millisecond, 3)
		w, c = selection.WithCompletion(w, c, firstSlot, 80*time.Millisecond, 3)
	}
	assert.Assert(t, (w.Expected(0)-40*time.Millisecond).Abs() < time.Millisecond, "%v: the time is divided by the crowding factor", w.Expected(0))
	assert.Assert(t, c.CrowdingFactor(3, 3) > 1.95 && c.CrowdingFactor(3, 3) < 2.05, "%v", c.CrowdingFactor(3, 3))
}

// TestJoinedEndpointIsPreferred checks that balancers of its zone prefer an endpoint that joined to a
// known one with an old report, from the end of its warm-up until it is first used or probed.
func TestJoinedEndpointIsPreferred(t *testing.T) {
	now := start.Add(time.Second)
	cold := sameZone
	cold.WarmUntil = start.Add(time.Hour)
	for _, c := range []struct {
		name      string
		joined    selection.Endpoint
		listing   selection.Listing
		preferred bool
	}{
		{"joined", selection.NewJoinedEndpoint(), sameZone, true},
		{"listed from the start", selection.NewEndpoint(), sameZone, false},
		{"still cold", selection.NewJoinedEndpoint(), cold, false},
		{"of another zone", selection.NewJoinedEndpoint(), otherZone, false},
		{"without a response to a probe", selection.NewJoinedEndpoint().WithUnansweredProbe(), sameZone, false},
		{"with a request in flight", selection.NewJoinedEndpoint().WithRequestSent(), sameZone, false},
	} {
		known := probedEndpoint(0, 1)
		var r selection.Ranking
		r.Add(selection.NewCandidate(&known, 0, sameZone, &params, 0, now))
		r.Add(selection.NewCandidate(&c.joined, 1, c.listing, &params, 1, now))
		assert.Equal(t, r.Best().Index == 1, c.preferred, c.name)
	}
}

// TestJoinedEndpointIsNotPreferredWhileCold checks that an endpoint that joined is not preferred while it
// is warming up.
func TestJoinedEndpointIsNotPreferredWhileCold(t *testing.T) {
	cold := sameZone
	cold.WarmUntil = start.Add(time.Hour)
	listed, joined := selection.NewEndpoint(), selection.NewJoinedEndpoint()
	var r selection.Ranking
	r.Add(selection.NewCandidate(&listed, 0, cold, &params, 0, start))
	r.Add(selection.NewCandidate(&joined, 1, cold, &params, 1, start))
	assert.Equal(t, r.Best().Index, 0, "equal candidates rank by their tie breaker")
}

// TestMaxProbes checks that the first search rounds allow many probes, and later ones only a few.
func TestMaxProbes(t *testing.T) {
	total := 0
	var rounds []int
	for range 6 {
		n := selection.MaxProbes(total)
		rounds = append(rounds, n)
		total += n
	}
	assert.DeepEqual(t, rounds, []int{12, 12, 2, 2, 2, 2})
	assert.Equal(t, selection.MaxProbes(20), 4)
}
