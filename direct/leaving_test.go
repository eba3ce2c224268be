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

// reportWith returns a report that has just arrived, with an endpoint's announcement.
func reportWith(w admission.Signal) upstream.Report {
	now := time.Now()
	return upstream.Report{SentAt: now, ReceivedAt: now, Admission: w}
}

// leaving is an endpoint's announcement that it is leaving.
var leaving = admission.Signal{Leaving: true}

// publisher records the notes that a chooser publishes.
type publisher struct{ notes []relay.Note }

func (t *publisher) publish(topic string, data []byte) error {
	t.notes = append(t.notes, relay.Note{Topic: topic, Data: data})
	return nil
}

// newPublishingFixture is newFixture with a chooser that publishes its notes to a publisher.
func newPublishingFixture(endpoints int, sent *publisher) *fixture {
	r := newFixture(endpoints, selection.Options{})
	r.Chooser = direct.New(direct.Config{
		ID: "vm-1", Zone: "near", Directory: r.directory, Client: r.prober, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(), Publish: sent.publish,
	})
	return r
}

// grant acquires a grant and fails the test if the request is refused.
func grant(t *testing.T, r *fixture) placement.Grant {
	t.Helper()
	g, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil, "%+v", refused)
	return g
}

// TestLeavingEndpointGetsNothing checks that once an endpoint announces that it is leaving, it gets
// no requests, even if they were granted before, and no probes. Requests are refused at once if
// there is no other endpoint.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	r := newFixture(2, selection.Options{})
	first := grant(t, r)
	assert.Assert(t, r.StillAccepts(first, time.Now()))
	r.ObserveResponse(first, reportWith(leaving))
	assert.Assert(t, !r.StillAccepts(first, time.Now()))
	probes := r.prober.probesTo(first.Endpoint.VM)
	for range 20 {
		g := grant(t, r)
		assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	assert.Equal(t, r.prober.probesTo(first.Endpoint.VM), probes)
	r.ObserveResponse(grant(t, r), reportWith(leaving))
	_, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.NoEndpoint)
}

// TestProbeReportsLeaving checks that an endpoint may announce in the response to a probe that it
// is leaving.
func TestProbeReportsLeaving(t *testing.T) {
	r := newFixture(4, selection.Options{})
	for _, id := range []string{"e0", "e2"} {
		answer := r.prober.answers[id]
		answer.Admission, answer.ReceivedAt = leaving, time.Now()
		r.prober.answers[id] = answer
	}
	for range 20 {
		g := grant(t, r)
		assert.Assert(t, g.Endpoint.VM == "e1" || g.Endpoint.VM == "e3", g.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
}

// TestLeavingIsPublishedOnce checks that a balancer publishes once that an endpoint is leaving, and
// that a balancer that learns it from a note does not publish it again.
func TestLeavingIsPublishedOnce(t *testing.T) {
	var sent publisher
	r := newPublishingFixture(2, &sent)
	g := grant(t, r)
	for range 3 {
		r.ObserveResponse(g, reportWith(leaving))
	}
	assert.Equal(t, len(sent.notes), 1)
	assert.Equal(t, sent.notes[0].Topic, direct.LeavingTopic)

	var other publisher
	o := newPublishingFixture(2, &other)
	assert.NilError(t, o.HandleNote(sent.notes[0]))
	assert.Equal(t, len(other.notes), 0, "a note is not published again")
	for range 5 {
		next := grant(t, o)
		assert.Assert(t, next.Endpoint.VM != g.Endpoint.VM)
		o.Complete(next, placement.Result{Outcome: placement.Unused})
	}
}

// TestLeavingAppliesToOneStart checks that a note that an endpoint is leaving applies only to the
// start that it names, whether the note or the directory entry comes first.
func TestLeavingAppliesToOneStart(t *testing.T) {
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
	usable := func(r *fixture) bool {
		_, ok := r.directory.Snapshot().Find("s", "e9")
		return ok
	}
	r := newFixture(1, selection.Options{})
	assert.NilError(t, r.HandleNote(note(7)))
	r.directory.Apply(entry(7), time.Now())
	assert.Assert(t, !usable(r), "the note came before the entry")
	r.directory.Apply(entry(8), time.Now())
	assert.Assert(t, usable(r), "another start")
	assert.NilError(t, r.HandleNote(note(7)))
	assert.Assert(t, usable(r), "a late note about the previous start")
	assert.NilError(t, r.HandleNote(note(9)))
	assert.Assert(t, usable(r), "a note about a start that is not listed yet")
	r.directory.Apply(entry(9), time.Now())
	assert.Assert(t, !usable(r))
}

// TestInvalidLeavingNotes checks that malformed notes are rejected and change nothing.
func TestInvalidLeavingNotes(t *testing.T) {
	r := newFixture(2, selection.Options{})
	for _, data := range []string{"", "{", "7", `{"ID":""}`, `{"ID":3}`, `{"Start":1}`} {
		assert.Assert(t, r.HandleNote(relay.Note{Data: []byte(data)}) != nil, data)
	}
	assert.Equal(t, r.directory.Snapshot().ListedCount, 2)
}
