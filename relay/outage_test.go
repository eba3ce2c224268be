package relay

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestProbeRateIsIndependentOfFleetSize checks that the followers of one relay together probe a
// lost store at a bounded rate whatever their number, and that the first probe comes soon. A probe costs a tenth of
// a call.
func TestProbeRateIsIndependentOfFleetSize(t *testing.T) {
	const outageDuration = 20 * time.Second
	for _, followers := range []int{3, 5, 8, 12, 30, 300, 3000} {
		rng := rand.New(rand.NewPCG(7, 9))
		calls, first := 0, outageDuration
		for range followers {
			o := outage{}.withReport("relay", followers, rng.Float64(), start)
			for now := o.probeAt; now.Sub(start) < outageDuration; now = o.probeAt {
				calls, first = calls+1, min(first, now.Sub(start))
				o = o.withReport("relay", followers, rng.Float64(), now) // the relay repeats its report
				o = o.withProbe(rng.Float64(), now)
			}
		}
		perSecond := float64(calls) / outageDuration.Seconds()
		most := max(6, min(float64(followers)/longestProbeDelay.Seconds(), 1/probeInterval.Seconds()))
		assert.Assert(t, perSecond > 0.5 && perSecond < most, "%d followers: %.1f calls per second, %.1f allowed", followers, perSecond, most)
		assert.Assert(t, first < time.Second, "%d followers: the first call after %v", followers, first)
	}
}

// TestStoreLossReportExpires checks that each relay's report is valid for reportTTL and is
// withdrawn on its own.
func TestStoreLossReportExpires(t *testing.T) {
	var o outage
	assert.Assert(t, !o.reported(start))
	o = o.withReport("a", 10, 0.5, start)
	assert.Assert(t, o.reported(start) && o.reportedBy("a", start) && !o.reportedBy("b", start))
	assert.Equal(t, o.probeAt, start.Add(initialProbeInterval*10/2))
	later := o.withReport("b", 10, 0.9, start.Add(time.Second))
	assert.Equal(t, later.probeAt, o.probeAt, "only the first report sets the time of the first probe")
	assert.Assert(t, !later.reportedBy("a", start.Add(reportTTL)) && later.reportedBy("b", start.Add(reportTTL)))
	assert.Assert(t, !later.withoutReport("b").reported(start.Add(reportTTL)))
	assert.Assert(t, !later.reported(start.Add(time.Second+reportTTL)))
	assert.Equal(t, o.withProbe(0, start).probeAt, start.Add(longestProbeDelay*85/100))
}

// TestSmallGroupProbesAgainSoon covers a relay that the store rejects and its five followers, of
// which the store serves one, and not at first. Users saw a configuration that was served 0.24 s
// later than allowed: a balancer had received nothing for 5.91 s though the store served it. It can
// take that long if each step takes its longest time: the relay's report of the loss (0.8 s), the
// follower's first probe, which fails (1 s), its next probe (3.75 s) and a call that waits meanwhile
// (0.4 s).
func TestSmallGroupProbesAgainSoon(t *testing.T) {
	const followers, soon = 5, 3500 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 9))
	for range 10_000 {
		o := outage{}.withReport("relay", followers, rng.Float64(), start)
		o = o.withProbe(rng.Float64(), o.probeAt)
		assert.Assert(t, o.probeAt.Sub(start) <= soon, "probes again after %v", o.probeAt.Sub(start))
	}
}

// TestOldConfirmationIsNotLeftToTurns guards against a balancer that the store serves waiting for its turn to
// ask it, however old the last proof is that nothing is missing.
func TestOldConfirmationIsNotLeftToTurns(t *testing.T) {
	for _, c := range []struct {
		name      string
		confirmed time.Duration // ago
		want      int64
	}{{"recent", 100 * time.Millisecond, 0}, {"old", 2 * time.Second, 1}, {"unknown", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			lost, lostAddr := startStaticGroup(t, false)
			f := staticFollower{read: new(atomic.Int64), retried: new(atomic.Int64)}
			if c.confirmed > 0 {
				f.confirmed = time.Now().Add(-c.confirmed)
			}
			g := New(Config{ID: "a", Zone: "medina", Addr: "a", Registry: fakeRegistry{}, Log: hclog.NewNullLogger()})
			g.follower = f
			g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
				{Key: "relays/medina", Value: []byte(`{"id":"lost","addr":"` + lostAddr + `"}`), Revision: 2},
			}}, time.Now())
			s := subscription{outage: outage{reportedAt: map[string]time.Time{lostAddr: time.Now()}, askers: 900, probeAt: time.Now().Add(time.Hour)}}
			for range 3 {
				g.followOnce(t.Context(), &s)
			}
			assert.Equal(t, f.read.Load(), c.want, "out of turn, once")
			assert.Assert(t, lost.askerCount() > 0, "it waits at the relay meanwhile")
		})
	}
}

// TestServedBalancerKnowsChangeInTime guards against steps that together take longer than the bound: drawn fleets,
// all of whose relays are turned away, and a change at any time after that.
func TestServedBalancerKnowsChangeInTime(t *testing.T) {
	const bound, spare = 2 * time.Second, 300 * time.Millisecond
	opts := OptionsWithin(bound).withDefaults()
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		turnedAway := start
		// A relay checks exactly each second, and its followers ask again after Wait.
		confirmed := turnedAway.Add(-draw("age of the proof", time.Second+opts.Wait))
		// A relay counts as settled until its last answer is as old as a period of checks, a call and a slack.
		heard := turnedAway.Add(draw("until the relay reports it", 1175*time.Millisecond) + draw("until the follower hears", opts.Wait))
		change := turnedAway.Add(draw("until the change", 5*time.Second))
		call := draw("call to the store", 40*time.Millisecond)
		askers := rapid.IntRange(1, 7257).Draw(t, "askers")
		o := outage{}.withReport("relay", askers, rapid.Float64Range(0, 1).Draw(t, "turn"), heard)
		asked := opts.probeDue(o.probeAt, confirmed, time.Time{})
		if asked.Before(heard) {
			asked = heard
		}
		known := asked.Add(3 * call) // the question, a watch or an exact check, and a full read
		if change.After(asked) {
			known = change.Add(call) // it follows the store by then
		}
		assert.Assert(t, known.Sub(change) <= bound-spare, "known %v after the change", known.Sub(change))
	})
}

// TestServedFollowerProbesAgainInTime guards against a follower that the store serves again, and its relay not, being
// in touch with the store for longer than operators allow without learning of it: it counts as in touch after 3 s.
func TestServedFollowerProbesAgainInTime(t *testing.T) {
	const inTouch = 3 * time.Second
	const checkTimeout = 600 * time.Millisecond // of a probe that the store does not answer
	rng := rand.New(rand.NewPCG(77, 8))
	for _, followers := range []int{1, 3, 5, 12, 17, 40} {
		for range 10_000 {
			o := outage{}.withReport("relay", followers, rng.Float64(), start).withProbe(rng.Float64(), start)
			longest := o.probeAt.Sub(start) + checkTimeout
			assert.Assert(t, longest <= inTouch, "%d followers: %v", followers, longest)
		}
	}
}

// TestAskers checks that balancers that asked lately are counted, and that the one in touch with
// the store is named until it reports otherwise or stops asking.
func TestAskers(t *testing.T) {
	var a askers
	for i := range 5 {
		assert.Assert(t, !a.record(ChangesArgs{From: fmt.Sprint(i)}, start))
	}
	assert.Assert(t, !a.record(ChangesArgs{}, start), "callers of an earlier version send no address")
	assert.Equal(t, len(a.lastAsked), 5)
	assert.Equal(t, a.lastInTouch(start), "")
	assert.Assert(t, a.record(ChangesArgs{From: "3", InTouch: true}, start.Add(time.Second)))
	assert.Equal(t, a.lastInTouch(start.Add(time.Second)), "3")
	a.record(ChangesArgs{From: "2"}, start.Add(askerTTL))
	assert.Equal(t, len(a.lastAsked), 2)
	assert.Equal(t, a.lastInTouch(start.Add(askerTTL)), "3")
	assert.Equal(t, a.lastInTouch(start.Add(askerTTL+time.Second)), "")
	a.record(ChangesArgs{From: "3", InTouch: true}, start.Add(askerTTL))
	a.record(ChangesArgs{From: "3"}, start.Add(askerTTL))
	assert.Equal(t, a.lastInTouch(start.Add(askerTTL)), "")
}

// TestOnlyRelayFollowsAsker checks that a relay that has lost the store follows an asker in touch
// with it, and that a balancer that is no relay does not, since two could follow each other.
func TestOnlyRelayFollowsAsker(t *testing.T) {
	for own, want := range map[string]string{"10.0.0.1:1": "10.0.0.9:1", "10.0.0.2:1": "10.0.0.1:1"} {
		g := New(Config{Zone: "medina", Addr: own})
		g.replica.apply(directory.Changes{Revision: 2, Complete: true, Registrations: []directory.Record{
			{Key: "relays/medina", Value: []byte(`{"id":"vm","addr":"10.0.0.1:1"}`), Revision: 2},
		}}, start)
		g.askers.record(ChangesArgs{From: "10.0.0.9:1", InTouch: true}, start)
		got, ok := g.chooseTarget(&subscription{}, start)
		assert.Assert(t, ok)
		assert.Equal(t, got.Addr, want, own)
	}
}
