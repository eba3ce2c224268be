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

// world is a store, a directory that follows it, and counts that all keepers share.
type world struct {
	now       time.Time
	directory *directory.Directory
	revision  uint64
	record    uint64 // revision of the balancers' record
	counts    map[string]int64
	written   []rollout.State // as operators see them
	lost      bool            // the store does not answer
	late      bool            // it does what it does not answer
	zones     []string
}

func (w *world) Snapshot() *directory.Snapshot { return w.directory.Snapshot() }

func (w *world) MarkBad(service string, order uint64, now time.Time) bool {
	return w.directory.MarkBad(service, order, now)
}

func (w *world) Add(key string, n int64, _ time.Time) { w.counts[key] += n }

func (w *world) Sums(prefix string) map[string]int64 {
	sums := map[string]int64{}
	for key, n := range w.counts {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			sums[rest] = n
		}
	}
	return sums
}

var errLost = errors.New("no answer")

func (w *world) WriteRollout(_ context.Context, name string, value []byte, revision uint64, _ directory.RolloutOrder, state rollout.State) error {
	if w.lost && !w.late {
		return errLost
	}
	if revision != w.record {
		return relay.ErrTaken
	}
	w.revision++
	w.record = w.revision
	w.written = append(w.written, state)
	w.apply(directory.Changes{Registrations: []directory.Record{{Key: name, Value: value, Revision: w.revision}}})
	if w.lost {
		return errLost
	}
	return nil
}

func (w *world) apply(c directory.Changes) {
	c.At = w.revision
	w.directory.Apply(c, w.now)
}

// order has a version come in.
func (w *world) order(version string) {
	w.revision++
	w.apply(directory.Changes{Rollouts: []directory.RolloutOrder{{Service: "s", Version: version, Duration: 12 * time.Second, Revision: w.revision}}})
}

// endpoints lists endpoints of a version.
func (w *world) endpoints(version string, n int) {
	var entries []directory.Entry
	for i := range n {
		w.revision++
		entries = append(entries, directory.Entry{Revision: w.revision, Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: fmt.Sprintf("%s-%d", version, i), Addr: "10.0.0.1:80", Zone: "a", Slots: 3}, Service: "s", Version: version,
		}})
	}
	w.apply(directory.Changes{Entries: entries})
}

// zone is a balancer that may be its zone's relay.
type zone struct {
	world   *world
	serving bool
}

func (z *zone) Serving() bool        { return z.serving }
func (z *zone) RelayZones() []string { return z.world.zones }

func newWorld() *world {
	w := &world{now: begin, directory: directory.New(), counts: map[string]int64{}, zones: []string{"a"}}
	w.endpoints("v1", 10)
	return w
}

func (w *world) keeper(id, name string) *Keeper {
	return New(Config{
		ID: id, Zone: name, Directory: w, Counts: w, Registry: w, Zones: &zone{world: w, serving: true}, Settle: 2 * time.Second,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Now: func() time.Time { return w.now },
	})
}

// status returns how far the roll-out has come, for balancers.
func (w *world) status() directory.Rollout { return w.directory.Snapshot().Rollouts[0] }

// play lets time pass, in which the service gets a hundred requests a second and its new
// version fails a part of its own, until a condition holds. It returns how long that took.
func (w *world) play(most time.Duration, fails func(at time.Duration) bool, keepers ...*Keeper) time.Duration {
	from := w.now
	for n := 0; w.now.Sub(from) < most; n++ {
		if r := w.status(); r.Begun() && r.Status().State != rollout.Running {
			break
		}
		w.now = w.now.Add(100 * time.Millisecond)
		share := w.status().Share()
		for i := range 10 {
			newer := float64((n*10+i)%100) < 100*share
			failed := newer && i%2 == 0 && fails(w.now.Sub(from))
			keepers[0].Note(direct.Trial{Service: "s", Kind: "read", Newer: newer, Failed: failed}, w.now)
		}
		for _, k := range keepers {
			k.look(context.Background())
		}
	}
	return w.now.Sub(from)
}

func never(time.Duration) bool  { return false }
func always(time.Duration) bool { return true }

// sides counts the endpoints that may get requests by what they run.
func (w *world) sides() map[string]int {
	n := map[string]int{}
	for _, e := range w.directory.Snapshot().Endpoints["s"] {
		if e.Usable(w.now) {
			n[fmt.Sprintf("%s/%d", e.Version, e.Side)]++
		}
	}
	return n
}

// TestGoodVersionComesIn: a small part of it serves first, everything is completed in time,
// and the old version gets nothing before it is said to be done with.
func TestGoodVersionComesIn(t *testing.T) {
	w := newWorld()
	k := w.keeper("one", "a")
	w.order("v2")
	w.endpoints("v2", 10)
	assert.DeepEqual(t, w.sides(), map[string]int{"v1/1": 10})
	k.look(context.Background())
	assert.DeepEqual(t, w.sides(), map[string]int{"v1/1": 10, "v2/2": 1})
	took := w.play(12*time.Second, never, k)
	assert.Assert(t, took < 11*time.Second, "%v", took)
	assert.Equal(t, w.status().Status().State, rollout.Completed)
	assert.DeepEqual(t, w.sides(), map[string]int{"v2/0": 10})
	assert.Equal(t, w.written[0], rollout.Running)
	assert.Equal(t, w.written[len(w.written)-1], rollout.Completed)
	assert.Equal(t, len(w.written), 4, "%v", w.written)
}

// TestBadVersionIsRolledBack, from the start or later, and gets nothing more.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, fails := range map[string]func(time.Duration) bool{
		"from the start": always,
		"later":          func(at time.Duration) bool { return at > 6*time.Second },
	} {
		w := newWorld()
		k := w.keeper("one", "a")
		w.order("v2")
		w.endpoints("v2", 10)
		w.play(12*time.Second, fails, k)
		assert.Equal(t, w.status().Status().State, rollout.RolledBack, name)
		assert.DeepEqual(t, w.sides(), map[string]int{"v1/1": 10})
		assert.Equal(t, w.written[len(w.written)-1], rollout.RolledBack)
	}
}

// TestOneLeads: of the relays of several zones one writes, and when its zone has none any
// more, another one goes on where it stopped.
func TestOneLeads(t *testing.T) {
	w := newWorld()
	w.zones = []string{"a", "b", "c"}
	keepers := []*Keeper{w.keeper("one", "a"), w.keeper("two", "b"), w.keeper("three", "c")}
	w.order("v2")
	w.endpoints("v2", 10)
	w.play(6*time.Second, never, keepers...)
	first := w.status().Record.By
	assert.Assert(t, first != "")
	before := len(w.written)
	w.zones = nil
	for _, k := range keepers {
		if k.cfg.ID != first {
			w.zones = append(w.zones, k.cfg.Zone)
		}
	}
	w.play(8*time.Second, never, keepers...)
	assert.Equal(t, w.status().Status().State, rollout.Completed)
	assert.Assert(t, w.status().Record.By != first)
	assert.Assert(t, len(w.written) > before && len(w.written) <= 4, "%v", w.written)
}

// TestTwoLeadersWriteOnce: a leader that was cut off while another took its place writes
// nothing over what that one wrote.
func TestTwoLeadersWriteOnce(t *testing.T) {
	w := newWorld()
	one, two := w.keeper("one", "a"), w.keeper("two", "a")
	w.order("v2")
	w.endpoints("v2", 10)
	w.play(12*time.Second, never, one, two)
	assert.Equal(t, len(w.written), 4, "%v", w.written)
	stale := w.status()
	stale.Revision--
	err := one.write(context.Background(), stale, rollout.Status{State: rollout.RolledBack})
	assert.Equal(t, err, relay.ErrTaken)
	assert.Equal(t, w.status().Status().State, rollout.Completed)
}

// TestLostAnswersAreTriedAgain: whether the store did what it did not answer is seen from its
// changes, and nothing is written twice.
func TestLostAnswersAreTriedAgain(t *testing.T) {
	for _, late := range []bool{false, true} {
		w := newWorld()
		k := w.keeper("one", "a")
		w.order("v2")
		w.endpoints("v2", 10)
		w.lost, w.late = true, late
		w.play(3*time.Second, never, k)
		w.lost = false
		w.play(12*time.Second, never, k)
		assert.Equal(t, w.status().Status().State, rollout.Completed)
		assert.Equal(t, len(w.written), 4, "%v", w.written)
	}
}

// TestOrders: one that is replaced, taken back, or names a version that nobody runs.
func TestOrders(t *testing.T) {
	w := newWorld()
	k := w.keeper("one", "a")
	w.order("v2")
	k.look(context.Background())
	assert.DeepEqual(t, w.sides(), map[string]int{"v1/0": 10}) // nobody runs it
	w.play(14*time.Second, never, k)
	assert.Equal(t, w.status().Status().State, rollout.Running)
	w.endpoints("v2", 10)
	w.endpoints("v3", 10)
	w.order("v3")
	assert.Assert(t, !w.status().Begun())
	assert.DeepEqual(t, w.sides(), map[string]int{"v1/1": 10}) // the version that was replaced gets nothing any more
	w.play(12*time.Second, never, k)
	assert.Equal(t, w.status().Status().State, rollout.Completed)
	assert.DeepEqual(t, w.sides(), map[string]int{"v3/0": 10})
	assert.DeepEqual(t, w.status().Record.Out, []string{"v2"})
	w.order("v2")
	k.look(context.Background())
	w.revision++
	w.apply(directory.Changes{Rollouts: []directory.RolloutOrder{{Service: "s", Over: true, Revision: w.revision}}})
	assert.Equal(t, w.sides()["v2/2"], 0, "taken back")
	k.look(context.Background())
	assert.Equal(t, w.written[len(w.written)-1], rollout.Running, "nothing is written of an order that is no more")
}

// TestOperatorStops a version that comes in, once.
func TestOperatorStops(t *testing.T) {
	w := newWorld()
	k := w.keeper("one", "a")
	assert.Equal(t, k.Stop(context.Background(), "s"), ErrNone)
	w.order("v2")
	w.endpoints("v2", 10)
	k.look(context.Background())
	assert.NilError(t, k.Stop(context.Background(), "s"))
	assert.Equal(t, w.status().Status().State, rollout.RolledBack)
	assert.Equal(t, k.Stop(context.Background(), "s"), ErrNone)
	list := k.List()
	assert.Assert(t, len(list) == 1 && list[0].State == rollout.RolledBack && list[0].Leads, "%+v", list)
}

// TestOneKindAloneIsEnough to find a version bad, though the other kinds are many more.
func TestOneKindAloneIsEnough(t *testing.T) {
	var tr trial
	tr.kinds = map[string]*kind{}
	sums := map[string]int64{"old/asked/many": 10000, "old/asked/few": 300, "new/asked/many": 2000, "new/asked/few": 40, "new/failed/few": 12, "nonsense": 3}
	bad, _ := tr.judge(sums)
	assert.Assert(t, bad)
	assert.Assert(t, !tr.kinds[allKinds].test.Bad())
}

// FuzzRecord: whatever stands in the store, a roll-out is read or passed over.
func FuzzRecord(f *testing.F) {
	raw, err := json.Marshal(directory.RolloutRecord{Order: 1, Version: "v2", State: rollout.Running, Stage: 1})
	assert.NilError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"state":"running","stage":99}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w := newWorld()
		w.order("v2")
		w.endpoints("v2", 3)
		w.apply(directory.Changes{Registrations: []directory.Record{{Key: directory.RecordName("s"), Value: value, Revision: 99}}})
		if share := w.status().Share(); share < 0 || share > 1 {
			t.Fatal(share)
		}
	})
}
