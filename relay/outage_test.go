package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// TestProbeRateIsIndependentOfFleetSize checks that the followers of one relay together probe a
// lost store at a bounded rate whatever their number, and that the first probe comes soon.
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
		assert.Assert(t, perSecond > 0.5 && perSecond < 6, "%d followers: %.1f calls per second", followers, perSecond)
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
	assert.Equal(t, o.withProbe(0, start).probeAt, start.Add(probeInterval*(10-uncountedFollowers)/2))
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
