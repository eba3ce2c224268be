package direct_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// word is a report that says something of whether requests are wanted.
func word(w admission.Word) upstream.Report {
	now := time.Now()
	return upstream.Report{Asked: now, Heard: now, Word: w}
}

var leaving = admission.Word{Leaving: true}

// told are the notes that a chooser tells others.
type told struct{ notes []relay.Note }

func (t *told) tell(topic string, data []byte) error {
	t.notes = append(t.notes, relay.Note{Topic: topic, Data: data})
	return nil
}

// newTellingRig is newRig with notes to others.
func newTellingRig(endpoints int, to *told) *rig {
	r := newRig(endpoints, selection.Options{})
	r.Chooser = direct.New(direct.Config{
		ID: "vm-1", Zone: "near", Directory: r.directory, Client: r.prober, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Tell: to.tell,
	})
	return r
}

// grant returns a grant of an endpoint.
func grant(t *testing.T, r *rig) placement.Grant {
	t.Helper()
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil, "%+v", refused)
	return g
}

// TestEndpointThatLeavesGetsNothing from the moment of its word, neither what was granted before
// nor a probe; where none is left, requests are refused at once.
func TestEndpointThatLeavesGetsNothing(t *testing.T) {
	r := newRig(2, selection.Options{})
	first := grant(t, r)
	assert.Assert(t, r.Admits(first, time.Now()))
	r.Hear(first, word(leaving))
	assert.Assert(t, !r.Admits(first, time.Now()))
	probes := r.prober.total(first.Endpoint.VM)
	for range 20 {
		g := grant(t, r)
		assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	assert.Equal(t, r.prober.total(first.Endpoint.VM), probes)
	r.Hear(grant(t, r), word(leaving))
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.NoEndpoint)
}

// TestProbeTellsThatAnEndpointLeaves as any answer does; another instance at the address speaks
// for itself alone.
func TestProbeTellsThatAnEndpointLeaves(t *testing.T) {
	r := newRig(4, selection.Options{})
	for _, id := range []string{"e0", "e2"} {
		answer := r.prober.answers[id]
		answer.Word, answer.Heard = leaving, time.Now()
		r.prober.answers[id] = answer
	}
	for range 20 {
		g := grant(t, r)
		assert.Assert(t, g.Endpoint.VM == "e1" || g.Endpoint.VM == "e3", g.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
}

// TestLeavingIsToldOnce to all others, also where its entry says so already: then not at all.
func TestLeavingIsToldOnce(t *testing.T) {
	var to told
	r := newTellingRig(2, &to)
	g := grant(t, r)
	for range 3 {
		r.Hear(g, word(leaving))
	}
	assert.Equal(t, len(to.notes), 1)
	assert.Equal(t, to.notes[0].Topic, direct.LeavingTopic)

	var other told
	o := newTellingRig(2, &other)
	assert.NilError(t, o.HearNote(to.notes[0]))
	assert.Equal(t, len(other.notes), 0, "a note is not told again")
	for range 5 {
		next := grant(t, o)
		assert.Assert(t, next.Endpoint.VM != g.Endpoint.VM)
		o.Complete(next, placement.Result{Outcome: placement.Unused})
	}
}

// TestAnotherStartIsAnotherEndpoint: what the one before said does not bind it, whichever of word
// and entry comes first.
func TestAnotherStartIsAnotherEndpoint(t *testing.T) {
	entry := func(start int64) directory.Changes {
		return directory.Changes{Entries: []directory.Entry{{
			Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: "e9", Addr: "e9", Zone: "near", Slots: 3}, Service: "s", Start: start}, Revision: uint64(start),
		}}}
	}
	note := func(start int64) relay.Note {
		data, err := json.Marshal(map[string]any{"ID": "e9", "Start": start, "Service": "s"})
		assert.NilError(t, err)
		return relay.Note{Topic: direct.LeavingTopic, Data: data}
	}
	usable := func(r *rig) bool {
		_, ok := r.directory.Snapshot().Find("s", "e9")
		return ok
	}
	r := newRig(1, selection.Options{})
	assert.NilError(t, r.HearNote(note(7)))
	r.directory.Apply(entry(7), time.Now())
	assert.Assert(t, !usable(r), "the word came before the entry")
	r.directory.Apply(entry(8), time.Now())
	assert.Assert(t, usable(r), "another start")
	assert.NilError(t, r.HearNote(note(7)))
	assert.Assert(t, usable(r), "a word of the start before, late")
	assert.NilError(t, r.HearNote(note(9)))
	assert.Assert(t, usable(r), "a word of a start that is not listed yet")
	r.directory.Apply(entry(9), time.Now())
	assert.Assert(t, !usable(r))
}

// TestNotesThatMakeNoSense change nothing.
func TestNotesThatMakeNoSense(t *testing.T) {
	r := newRig(2, selection.Options{})
	for _, data := range []string{"", "{", "7", `{"ID":""}`, `{"ID":3}`, `{"Start":1}`} {
		assert.Assert(t, r.HearNote(relay.Note{Data: []byte(data)}) != nil, data)
	}
	assert.Equal(t, r.directory.Snapshot().Known, 2)
}
