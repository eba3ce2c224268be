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

// failsAfter has the new version fail half of its requests from a time on.
func failsAfter(begin time.Duration) func(time.Duration) bool {
	return func(at time.Duration) bool { return at >= begin }
}

// TestBadVersionGoesWhileTheStoreIsAway: all balancers take it out by a note, of which the store
// learns when it is back.
func TestBadVersionGoesWhileTheStoreIsAway(t *testing.T) {
	leader, other := newWorld(), newWorld()
	k, heard := leader.keeper("vm-1", "a"), other.keeper("vm-2", "b")
	var told []relay.Note
	k.cfg.Tell = func(topic string, data []byte) error {
		told = append(told, relay.Note{Origin: "vm-1", Topic: topic, Data: data})
		return nil
	}
	for _, w := range []*world{leader, other} {
		w.endpoints("v2", 10)
		w.order("v2")
	}
	leader.play(5*time.Second, never, k) // it has come in in part
	assert.Assert(t, leader.status().Share() > 0 && len(leader.written) > 0)
	leader.lost = true
	leader.play(20*time.Second, failsAfter(0), k)
	assert.Equal(t, leader.status().Share(), 0.0)
	assert.Equal(t, leader.written[len(leader.written)-1], rollout.Running)
	assert.Equal(t, len(told), 1, "it is told once")

	assert.NilError(t, heard.Hear(told[0]))
	assert.Equal(t, other.status().Status().State, rollout.RolledBack)
	assert.Equal(t, other.status().Recorded().State, rollout.Running)

	leader.lost = false
	leader.now = leader.now.Add(longestPause)
	k.look(context.Background())
	assert.Equal(t, leader.written[len(leader.written)-1], rollout.RolledBack)
}

// TestSuccessorWritesWhatItWasTold: a leader that has counted nothing itself rolls a version back that
// its predecessor found bad.
func TestSuccessorWritesWhatItWasTold(t *testing.T) {
	w := newWorld()
	k := w.keeper("vm-2", "a")
	w.endpoints("v2", 10)
	w.order("v2")
	k.look(context.Background()) // begins it
	assert.NilError(t, k.Hear(relay.Note{Data: []byte(`{"Service":"s","Order":21,"Version":"v2"}`)}))
	assert.Equal(t, w.status().Order.Revision, uint64(21))
	w.now = w.now.Add(time.Second)
	k.look(context.Background())
	assert.Equal(t, w.written[len(w.written)-1], rollout.RolledBack)
}

// TestNoteBindsItsOrderAlone: the same version may come in again by another order, and a note that
// comes before its order binds that.
func TestNoteBindsItsOrderAlone(t *testing.T) {
	w := newWorld()
	k := w.keeper("vm-1", "a")
	w.endpoints("v2", 10)
	note := relay.Note{Data: []byte(`{"Service":"s","Order":21,"Version":"v2"}`)}
	assert.NilError(t, k.Hear(note)) // the order is not known here yet
	w.order("v2")
	assert.Equal(t, w.status().Order.Revision, uint64(21))
	assert.Equal(t, w.status().Status().State, rollout.RolledBack)
	w.order("v2")
	assert.Equal(t, w.status().Status().State, rollout.Running)
	assert.NilError(t, k.Hear(note))
	assert.Equal(t, w.status().Status().State, rollout.Running)
}

// TestNoteThatNamesNothing is an error and changes nothing.
func TestNoteThatNamesNothing(t *testing.T) {
	w := newWorld()
	k := w.keeper("vm-1", "a")
	for _, data := range []string{"", "{}", `{"Service":"s"}`, `{"Order":21}`, `[]`} {
		assert.Assert(t, k.Hear(relay.Note{Data: []byte(data)}) != nil, data)
	}
	w.order("v2")
	assert.Equal(t, w.status().Status().State, rollout.Running)
}

// TestBadVersionThatCannotBeTold is taken out here all the same.
func TestBadVersionThatCannotBeTold(t *testing.T) {
	w := newWorld()
	k := w.keeper("vm-1", "a")
	k.cfg.Tell = func(string, []byte) error { return errors.New("too long") }
	w.endpoints("v2", 10)
	w.order("v2")
	k.takeOut(w.status())
	assert.Equal(t, w.status().Status().State, rollout.RolledBack)
}
