package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/relay"
	"gotest.tools/v3/assert"
)

// failsFrom returns an argument of simulate with which the new version fails from the time begin on.
func failsFrom(begin time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool { return at >= begin }
}

// TestBadVersionTakenOutWithoutStore checks that a bad version found while the store is unavailable
// is taken out of service by a note at all balancers, and that the record is written once the store
// is available again.
func TestBadVersionTakenOutWithoutStore(t *testing.T) {
	leader, other := newTestFleet(), newTestFleet()
	k, heard := leader.newController("vm-1", "a"), other.newController("vm-2", "b")
	var told []relay.Note
	k.cfg.Publish = func(topic string, data []byte) error {
		told = append(told, relay.Note{Origin: "vm-1", Topic: topic, Data: data})
		return nil
	}
	for _, w := range []*testFleet{leader, other} {
		w.addEndpoints("v2", 10)
		w.orderRollout("v2")
	}
	leader.simulate(5*time.Second, neverFails, k) // to a stage before the last one
	assert.Assert(t, leader.currentRollout().Share() > 0 && len(leader.written) > 0)
	leader.storeDown = true
	leader.simulate(20*time.Second, failsFrom(0), k)
	assert.Equal(t, leader.currentRollout().Share(), 0.0)
	assert.Equal(t, leader.written[len(leader.written)-1], rollout.Running)
	assert.Equal(t, len(told), 1, "one note is sent")

	assert.NilError(t, heard.HandleNote(told[0]))
	assert.Equal(t, other.currentRollout().Status().State, rollout.RolledBack)
	assert.Equal(t, other.currentRollout().RecordedStatus().State, rollout.Running)

	leader.storeDown = false
	leader.now = leader.now.Add(maxWritePause)
	k.evaluateAll(context.Background())
	assert.Equal(t, leader.written[len(leader.written)-1], rollout.RolledBack)
}

// TestSuccessorWritesAnnouncedRollback checks that a new leader writes the rollback of a version that its
// predecessor announced as bad, even if its own counts show nothing.
func TestSuccessorWritesAnnouncedRollback(t *testing.T) {
	w := newTestFleet()
	k := w.newController("vm-2", "a")
	w.addEndpoints("v2", 10)
	w.orderRollout("v2")
	k.evaluateAll(context.Background()) // begins the rollout
	assert.NilError(t, k.HandleNote(relay.Note{Data: []byte(`{"Service":"s","Order":21,"Version":"v2"}`)}))
	assert.Equal(t, w.currentRollout().Order.Revision, uint64(21))
	w.now = w.now.Add(time.Second)
	k.evaluateAll(context.Background())
	assert.Equal(t, w.written[len(w.written)-1], rollout.RolledBack)
}

// TestNoteAppliesOnlyToItsOrder checks that a note applies to its own order only, so that a later order
// for the same version starts anew, and that it applies even if it arrives before the order.
func TestNoteAppliesOnlyToItsOrder(t *testing.T) {
	w := newTestFleet()
	k := w.newController("vm-1", "a")
	w.addEndpoints("v2", 10)
	note := relay.Note{Data: []byte(`{"Service":"s","Order":21,"Version":"v2"}`)}
	assert.NilError(t, k.HandleNote(note)) // the order is not known here yet
	w.orderRollout("v2")
	assert.Equal(t, w.currentRollout().Order.Revision, uint64(21))
	assert.Equal(t, w.currentRollout().Status().State, rollout.RolledBack)
	w.orderRollout("v2")
	assert.Equal(t, w.currentRollout().Status().State, rollout.Running)
	assert.NilError(t, k.HandleNote(note))
	assert.Equal(t, w.currentRollout().Status().State, rollout.Running)
}

// TestIncompleteNote checks that a note without a service or an order is an error without effect.
func TestIncompleteNote(t *testing.T) {
	w := newTestFleet()
	k := w.newController("vm-1", "a")
	for _, data := range []string{"", "{}", `{"Service":"s"}`, `{"Order":21}`, `[]`} {
		assert.Assert(t, k.HandleNote(relay.Note{Data: []byte(data)}) != nil, data)
	}
	w.orderRollout("v2")
	assert.Equal(t, w.currentRollout().Status().State, rollout.Running)
}

// TestBadVersionTakenOutWithoutNote checks that a balancer takes a bad version out of service even if it
// cannot send the note.
func TestBadVersionTakenOutWithoutNote(t *testing.T) {
	w := newTestFleet()
	k := w.newController("vm-1", "a")
	k.cfg.Publish = func(string, []byte) error { return errors.New("too long") }
	w.addEndpoints("v2", 10)
	w.orderRollout("v2")
	k.takeOutOfService(w.currentRollout())
	assert.Equal(t, w.currentRollout().Status().State, rollout.RolledBack)
}
