package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet simulates a store, a directory that follows it, and counters that all controllers
// share.
type testFleet struct {
	now            time.Time
	directory      *directory.Directory
	revision       uint64
	recordRevision uint64 // revision of the rollout's record
	counts         map[string]int64
	written        []rollout.State // states written to the store, in order
	storeDown      bool            // the store does not respond
	appliesWrites  bool            // while storeDown: it applies writes without a response
	zones          []string
}

func (w *testFleet) Snapshot() *directory.Snapshot { return w.directory.Snapshot() }

func (w *testFleet) MarkBad(service string, order uint64, version string, now time.Time) bool {
	return w.directory.MarkBad(service, order, version, now)
}

func (w *testFleet) Add(key string, n int64, _ time.Time) { w.counts[key] += n }

func (w *testFleet) Sums(prefix string) map[string]int64 {
	sums := map[string]int64{}
	for key, n := range w.counts {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			sums[rest] = n
		}
	}
	return sums
}

var errNoResponse = errors.New("no response")

func (w *testFleet) WriteRollout(_ context.Context, name string, value []byte, revision uint64, _ directory.RolloutOrder, state rollout.State) error {
	if w.storeDown && !w.appliesWrites {
		return errNoResponse
	}
	if revision != w.recordRevision {
		return relay.ErrAlreadyRegistered
	}
	w.revision++
	w.recordRevision = w.revision
	w.written = append(w.written, state)
	w.apply(directory.Changes{Registrations: []directory.Record{{Key: name, Value: value, Revision: w.revision}}})
	if w.storeDown {
		return errNoResponse
	}
	return nil
}

func (w *testFleet) apply(c directory.Changes) {
	c.Revision = w.revision
	w.directory.Apply(c, w.now)
}

// orderRollout adds the order to roll out a version to the directory.
func (w *testFleet) orderRollout(version string) {
	w.revision++
	w.apply(directory.Changes{Rollouts: []directory.RolloutOrder{{Service: "s", Version: version, Duration: 12 * time.Second, Revision: w.revision}}})
}

// addEndpoints adds n endpoints of a version to the directory.
func (w *testFleet) addEndpoints(version string, n int) {
	var entries []directory.Entry
	for i := range n {
		w.revision++
		entries = append(entries, directory.Entry{Revision: w.revision, Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: fmt.Sprintf("%s-%d", version, i), Addr: "10.0.0.1:80", Zone: "a", Slots: 3}, Service: "s", Version: version,
		}})
	}
	w.apply(directory.Changes{Entries: entries})
}

// testZone implements Zones for a balancer.
type testZone struct {
	testFleet *testFleet
	serving   bool
}

func (z *testZone) Serving() bool        { return z.serving }
func (z *testZone) RelayZones() []string { return z.testFleet.zones }

func newTestFleet() *testFleet {
	w := &testFleet{now: begin, directory: directory.New(), counts: map[string]int64{}, zones: []string{"a"}}
	w.addEndpoints("v1", 10)
	return w
}

func (w *testFleet) newController(id, zone string) *Controller {
	return New(Config{
		ID: id, Zone: zone, Directory: w, Counts: w, Registry: w, Zones: &testZone{testFleet: w, serving: true}, SettleTime: 2 * time.Second,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Now: func() time.Time { return w.now },
	})
}

// currentRollout returns the rollout in the directory.
func (w *testFleet) currentRollout() directory.Rollout { return w.directory.Snapshot().Rollouts[0] }

// simulate simulates a hundred requests per second, until the rollout has ended, but at most for
// maxTime. While fails returns true, half of the requests at the new version fail. It returns the
// simulated time.
func (w *testFleet) simulate(maxTime time.Duration, fails func(at time.Duration) bool, controllers ...*Controller) time.Duration {
	from := w.now
	for n := 0; w.now.Sub(from) < maxTime; n++ {
		if r := w.currentRollout(); r.Started() && r.Status().State != rollout.Running {
			break
		}
		w.now = w.now.Add(100 * time.Millisecond)
		share := w.currentRollout().Share()
		for i := range 10 {
			newer := float64((n*10+i)%100) < 100*share
			failed := newer && i%2 == 0 && fails(w.now.Sub(from))
			controllers[0].RecordOutcome(direct.RolloutOutcome{Service: "s", Kind: "read", NewVersion: newer, Failed: failed}, w.now)
		}
		for _, k := range controllers {
			k.evaluateAll(context.Background())
		}
	}
	return w.now.Sub(from)
}

func neverFails(time.Duration) bool  { return false }
func alwaysFails(time.Duration) bool { return true }

// countBySide returns the number of usable endpoints by version and placement.RolloutSide, such as
// v1/1 for v1 on OldSide.
func (w *testFleet) countBySide() map[string]int {
	n := map[string]int{}
	for _, e := range w.directory.Snapshot().Endpoints["s"] {
		if e.Usable(w.now) {
			n[fmt.Sprintf("%s/%d", e.Version, e.Side)]++
		}
	}
	return n
}

// TestGoodVersionIsCompleted checks the rollout of a good version: one endpoint serves first, the
// rollout is completed in time, and the old version gets no requests any more after that.
func TestGoodVersionIsCompleted(t *testing.T) {
	w := newTestFleet()
	k := w.newController("one", "a")
	w.orderRollout("v2")
	w.addEndpoints("v2", 10)
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v1/1": 10})
	k.evaluateAll(context.Background())
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v1/1": 10, "v2/2": 1})
	took := w.simulate(12*time.Second, neverFails, k)
	assert.Assert(t, took < 11*time.Second, "%v", took)
	assert.Equal(t, w.currentRollout().Status().State, rollout.Completed)
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v2/0": 10})
	assert.Equal(t, w.written[0], rollout.Running)
	assert.Equal(t, w.written[len(w.written)-1], rollout.Completed)
	assert.Equal(t, len(w.written), 4, "%v", w.written)
}

// TestBadVersionIsRolledBack checks that a version that is bad from the start, or turns bad later, is
// rolled back and gets no more requests.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, fails := range map[string]func(time.Duration) bool{
		"from the start": alwaysFails,
		"later":          func(at time.Duration) bool { return at > 6*time.Second },
	} {
		w := newTestFleet()
		k := w.newController("one", "a")
		w.orderRollout("v2")
		w.addEndpoints("v2", 10)
		w.simulate(12*time.Second, fails, k)
		assert.Equal(t, w.currentRollout().Status().State, rollout.RolledBack, name)
		assert.DeepEqual(t, w.countBySide(), map[string]int{"v1/1": 10})
		assert.Equal(t, w.written[len(w.written)-1], rollout.RolledBack)
	}
}

// TestOneLeader checks that only one relay of several zones writes records, and that another one
// continues the rollout once the leader's zone has no relay any more.
func TestOneLeader(t *testing.T) {
	w := newTestFleet()
	w.zones = []string{"a", "b", "c"}
	controllers := []*Controller{w.newController("one", "a"), w.newController("two", "b"), w.newController("three", "c")}
	w.orderRollout("v2")
	w.addEndpoints("v2", 10)
	w.simulate(6*time.Second, neverFails, controllers...)
	first := w.currentRollout().Record.By
	assert.Assert(t, first != "")
	before := len(w.written)
	w.zones = nil
	for _, k := range controllers {
		if k.cfg.ID != first {
			w.zones = append(w.zones, k.cfg.Zone)
		}
	}
	w.simulate(8*time.Second, neverFails, controllers...)
	assert.Equal(t, w.currentRollout().Status().State, rollout.Completed)
	assert.Assert(t, w.currentRollout().Record.By != first)
	assert.Assert(t, len(w.written) > before && len(w.written) <= 4, "%v", w.written)
}

// TestTwoLeadersWriteOnce checks that of two balancers that both consider themselves the leader, as
// after a network partition, neither overwrites a record of the other.
func TestTwoLeadersWriteOnce(t *testing.T) {
	w := newTestFleet()
	one, two := w.newController("one", "a"), w.newController("two", "a")
	w.orderRollout("v2")
	w.addEndpoints("v2", 10)
	w.simulate(12*time.Second, neverFails, one, two)
	assert.Equal(t, len(w.written), 4, "%v", w.written)
	stale := w.currentRollout()
	stale.Revision--
	err := one.writeStatus(context.Background(), stale, rollout.Status{State: rollout.RolledBack})
	assert.Equal(t, err, relay.ErrAlreadyRegistered)
	assert.Equal(t, w.currentRollout().Status().State, rollout.Completed)
}

// TestLostResponsesAreRetried checks that a write without a response is retried if the store did not
// apply it, and that nothing is written twice if it did.
func TestLostResponsesAreRetried(t *testing.T) {
	for _, appliesWrites := range []bool{false, true} {
		w := newTestFleet()
		k := w.newController("one", "a")
		w.orderRollout("v2")
		w.addEndpoints("v2", 10)
		w.storeDown, w.appliesWrites = true, appliesWrites
		w.simulate(3*time.Second, neverFails, k)
		w.storeDown = false
		w.simulate(12*time.Second, neverFails, k)
		assert.Equal(t, w.currentRollout().Status().State, rollout.Completed)
		assert.Equal(t, len(w.written), 4, "%v", w.written)
	}
}

// TestReplacedAndWithdrawnOrders checks an order for a version that no endpoint runs, one that is
// replaced, and one that is withdrawn.
func TestReplacedAndWithdrawnOrders(t *testing.T) {
	w := newTestFleet()
	k := w.newController("one", "a")
	w.orderRollout("v2")
	k.evaluateAll(context.Background())
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v1/0": 10}) // no endpoint runs v2
	w.simulate(14*time.Second, neverFails, k)
	assert.Equal(t, w.currentRollout().Status().State, rollout.Running)
	w.addEndpoints("v2", 10)
	w.addEndpoints("v3", 10)
	w.orderRollout("v3")
	assert.Assert(t, !w.currentRollout().Started())
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v1/1": 10}) // the version of the replaced order gets no requests
	w.simulate(12*time.Second, neverFails, k)
	assert.Equal(t, w.currentRollout().Status().State, rollout.Completed)
	assert.DeepEqual(t, w.countBySide(), map[string]int{"v3/0": 10})
	assert.DeepEqual(t, w.currentRollout().Record.Out, []string{"v2"})
	w.orderRollout("v2")
	k.evaluateAll(context.Background())
	w.revision++
	w.apply(directory.Changes{Rollouts: []directory.RolloutOrder{{Service: "s", Withdrawn: true, Revision: w.revision}}})
	assert.Equal(t, w.countBySide()["v2/2"], 0, "the order is withdrawn")
	k.evaluateAll(context.Background())
	assert.Equal(t, w.written[len(w.written)-1], rollout.Running, "nothing is written for a withdrawn order")
}

// TestStop checks that an operator can roll back a new version, and only once.
func TestStop(t *testing.T) {
	w := newTestFleet()
	k := w.newController("one", "a")
	assert.Equal(t, k.Stop(context.Background(), "s"), ErrNoRollout)
	w.orderRollout("v2")
	w.addEndpoints("v2", 10)
	k.evaluateAll(context.Background())
	assert.NilError(t, k.Stop(context.Background(), "s"))
	assert.Equal(t, w.currentRollout().Status().State, rollout.RolledBack)
	assert.Equal(t, k.Stop(context.Background(), "s"), ErrNoRollout)
	list := k.Statuses()
	assert.Assert(t, len(list) == 1 && list[0].State == rollout.RolledBack && list[0].Leads, "%+v", list)
}

// TestOneKindSufficesForBad checks that a version is found bad by the failures of one request kind, even
// if other kinds without failures have many more requests.
func TestOneKindSufficesForBad(t *testing.T) {
	var tr rolloutState
	tr.kinds = map[string]*kindEvidence{}
	sums := map[string]int64{"old/asked/many": 10000, "old/asked/few": 300, "new/asked/many": 2000, "new/asked/few": 40, "new/failed/few": 12, "nonsense": 3}
	bad, _ := tr.evaluate(sums)
	assert.Assert(t, bad)
	assert.Assert(t, !tr.kinds[allKinds].test.Bad())
}

// FuzzRecord checks that a record with any content in the store is either read or ignored.
func FuzzRecord(f *testing.F) {
	raw, err := json.Marshal(directory.RolloutRecord{Order: 1, Version: "v2", State: rollout.Running, Stage: 1})
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"state":"running","stage":99}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := newTestFleet()
		w.orderRollout("v2")
		w.addEndpoints("v2", 3)
		w.apply(directory.Changes{Registrations: []directory.Record{{Key: directory.RolloutRecordName("s"), Value: value, Revision: 99}}})
		if share := w.currentRollout().Share(); share < 0 || share > 1 {
			t.Fatal(share)
		}
	})
}
