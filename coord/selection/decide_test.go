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
	options = selection.Options{}.WithDefaults()
	usual   = selection.Usual{Work: work, Crowding: *learnt(3, 1, 1, 1)}
	near    = selection.Listing{Slots: 3, SameZone: true}
	far     = selection.Listing{Slots: 3}
)

// probed returns an endpoint that has just told its load.
func probed(running int, pace float64) selection.Endpoint {
	report := placement.LoadReport{Known: true, InFlight: running, Slots: 3, Pace: pace, State: placement.Live}
	return selection.NewEndpoint().WithProbe(report, start)
}

// ranked makes candidates of endpoints of the own zone.
func ranked(endpoints ...selection.Endpoint) *selection.Ranking {
	var r selection.Ranking
	for i := range endpoints {
		r.Add(selection.NewCandidate(&endpoints[i], i, near, &usual, uint32(i), start))
	}
	return &r
}

// TestDecide goes through the rules for a request with a target of a second, of
// which a fifth may pass before it gives up.
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
		{"slow ones only, and nothing can be learnt", ranked(slow), 0, true, false, selection.Decision{Do: selection.Take}},
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

// shut is of an endpoint that wants no requests.
var shut = selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Access: admission.Shut, Cause: admission.BackingOff, OpensIn: time.Second}}

// TestEndpointThatIsShutHidesNoOther: one that wants no requests looks idle; a request that may go to
// another one, which is no good choice, is not refused for that.
func TestEndpointThatIsShutHidesNoOther(t *testing.T) {
	idle, crowded := probed(0, 1), probed(0, 1).WithOutcome(placement.Shed, 1, start)
	var r selection.Ranking
	r.Add(selection.NewCandidate(&idle, 0, shut, &usual, 0, start))
	r.Add(selection.NewCandidate(&crowded, 1, near, &usual, 1, start))
	request := placement.Request{Accepted: start, Target: time.Second, Deadline: start.Add(2 * time.Second)}
	d := options.Decide(&r, request, selection.Situation{GiveUp: options.GiveUpAt(request, start), Blind: true}, start)
	assert.Equal(t, d.Do, selection.Take)
	assert.Equal(t, r.Best().Index, 1)
}

// TestOrderOfCandidates: what makes an endpoint worse than another one.
func TestOrderOfCandidates(t *testing.T) {
	idle := probed(0, 1)
	ejected, shed, unanswered := idle, idle, idle.WithoutProbe()
	for range 3 {
		ejected = ejected.WithOutcome(placement.Failed, 1, start)
	}
	shed = shed.WithOutcome(placement.Shed, 1, start)
	silent := selection.NewEndpoint()
	for _, c := range []struct {
		name           string
		better, worse  selection.Endpoint
		betterL, worsL selection.Listing
	}{
		{"idle before slow", idle, probed(0, 2), near, near},
		{"room before speed", probed(0, 5), probed(3, 1), near, near},
		{"the own zone", idle, idle, near, far},
		{"the own zone, at a pace of 1.5", probed(0, 1.5), idle, near, far},
		{"another zone, where the own one is at a pace of 2", idle, probed(0, 2), far, near},
		{"warm before cold", idle, idle, near, selection.Listing{Slots: 3, SameZone: true, WarmAt: start.Add(time.Second)}},
		{"an open connection", probed(0, 1.8), silent, near, near},
		{"answered probes", idle, unanswered, near, near},
		{"one that did not refuse", probed(0, 5), shed, near, near},
		{"one that may get the request, though it just refused another", shed, idle, near, shut},
		{"one that refuses nobody else", probed(0, 1.4), idle, near, selection.Listing{Slots: 3, SameZone: true, Admission: admission.Decision{Deferred: true}}},
	} {
		var r selection.Ranking
		r.Add(selection.NewCandidate(&c.worse, 0, c.worsL, &usual, 0, start))
		r.Add(selection.NewCandidate(&c.better, 1, c.betterL, &usual, 1, start))
		assert.Equal(t, r.Best().Index, 1, c.name)
	}
	r := ranked(ejected, probed(0, 5))
	r.DropEjected()
	assert.Equal(t, r.Len(), 1)
	assert.Equal(t, r.Best().Index, 1)
	r = ranked(ejected)
	r.DropEjected()
	assert.Equal(t, r.Len(), 1, "the last one is used whatever it did")
}

// TestWhoIsProbed: the best one whose report is no longer fresh, within its budget.
func TestWhoIsProbed(t *testing.T) {
	always := func(int) bool { return true }
	fresh, never := probed(0, 1), selection.NewEndpoint()
	assert.Assert(t, !options.NeedsProbe(ranked(fresh, never), &usual), "a good endpoint with a fresh report is taken as it is")
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
	assert.Assert(t, may, "three a second are earned")
}

// TestLearning: completions teach the usual time, and those at a crowded endpoint what
// the crowding costs.
func TestLearning(t *testing.T) {
	var w selection.Workload
	var c selection.Crowding
	assert.Equal(t, w.Usual(0), 100*time.Millisecond)
	assert.Equal(t, w.Usual(600*time.Millisecond), 200*time.Millisecond, "a third of the target")
	spare, last := placement.Choice{Pace: 2, Busy: 1}, placement.Choice{Pace: 1, Busy: 3}
	w, c = selection.Learn(w, c, placement.Choice{Busy: 1}, time.Hour, 3)
	assert.Equal(t, w.Usual(0), 100*time.Millisecond, "nothing is learnt without a report")
	w, c = selection.Learn(w, c, placement.Choice{Pace: 1, Busy: 4}, time.Hour, 3)
	assert.Equal(t, w.Usual(0), 100*time.Millisecond, "nor from one that waited for a slot")
	for range 20 {
		w, c = selection.Learn(w, c, spare, 80*time.Millisecond, 3)
	}
	assert.Equal(t, w.Usual(0), 40*time.Millisecond, "divided by the pace at the choice")
	assert.Equal(t, w.Ratio(60*time.Millisecond), 1.5)
	w, c = selection.Learn(w, c, last, 80*time.Millisecond, 3)
	assert.Assert(t, c.Factor(3, 3) > 1.35 && c.Factor(3, 3) < 1.45, "%v", c.Factor(3, 3))
	for range 400 {
		w, c = selection.Learn(w, c, last, 80*time.Millisecond, 3)
		w, c = selection.Learn(w, c, spare, 80*time.Millisecond, 3)
	}
	assert.Assert(t, (w.Usual(0)-40*time.Millisecond).Abs() < time.Millisecond, "%v: the crowding is divided out", w.Usual(0))
	assert.Assert(t, c.Factor(3, 3) > 1.95 && c.Factor(3, 3) < 2.05, "%v", c.Factor(3, 3))
}

// TestJoinedEndpointIsTried once it is warm and as long as nothing was heard of it,
// before a known one whose report is old, by balancers of its zone.
func TestJoinedEndpointIsTried(t *testing.T) {
	now := start.Add(time.Second)
	cold := near
	cold.WarmAt = start.Add(time.Hour)
	for _, c := range []struct {
		name    string
		joined  selection.Endpoint
		listing selection.Listing
		first   bool
	}{
		{"joined", selection.NewJoined(), near, true},
		{"listed from the start", selection.NewEndpoint(), near, false},
		{"still cold", selection.NewJoined(), cold, false},
		{"of another zone", selection.NewJoined(), far, false},
		{"without a response to a probe", selection.NewJoined().WithoutProbe(), near, false},
		{"on its way to being known", selection.NewJoined().WithSent(), near, false},
	} {
		known := probed(0, 1)
		var r selection.Ranking
		r.Add(selection.NewCandidate(&known, 0, near, &usual, 0, now))
		r.Add(selection.NewCandidate(&c.joined, 1, c.listing, &usual, 1, now))
		assert.Equal(t, r.Best().Index == 1, c.first, c.name)
	}
}

// TestJoinedEndpointIsLikeOthersWhileCold: nothing is taken to be known of it before it is warm.
func TestJoinedEndpointIsLikeOthersWhileCold(t *testing.T) {
	cold := near
	cold.WarmAt = start.Add(time.Hour)
	listed, joined := selection.NewEndpoint(), selection.NewJoined()
	var r selection.Ranking
	r.Add(selection.NewCandidate(&listed, 0, cold, &usual, 0, start))
	r.Add(selection.NewCandidate(&joined, 1, cold, &usual, 1, start))
	assert.Equal(t, r.Best().Index, 0, "of equals the lower tie")
}

// TestProbeRounds: many in the first looks, few in those of a request that has asked many.
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
