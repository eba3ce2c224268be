package direct_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/relay"
	"gotest.tools/v3/assert"
)

// TestBackoffIsPublished checks that a backoff is published once while it lasts, and that other
// balancers then prefer other endpoints but may still use this one.
func TestBackoffIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent publisher
		r := newPublishingFixture(2, &sent)
		first, second := grant(t, r), grant(t, r)
		assert.Equal(t, first.Endpoint.VM, second.Endpoint.VM)
		r.requestBackoff(first)
		time.Sleep(100 * time.Millisecond)
		r.requestBackoff(second)
		assert.Equal(t, len(sent.notes), 1)
		assert.Equal(t, sent.notes[0].Topic, direct.BackoffTopic)

		o := newPublishingFixture(2, &publisher{})
		o.learn(t)
		before := grant(t, o)
		assert.Equal(t, before.Endpoint.VM, first.Endpoint.VM, "all balancers prefer the same endpoint")
		o.Complete(before, placement.Result{Outcome: placement.Unused})
		assert.NilError(t, o.HandleNote(sent.notes[0]))
		for range 20 {
			g := grant(t, o)
			assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
			o.Complete(g, placement.Result{Outcome: placement.Unused})
		}
		time.Sleep(2 * time.Second) // its probe budget is refilled
		for _, id := range []string{"e0", "e1"} {
			if id != first.Endpoint.VM {
				o.prober.set(id, 3, 1) // full
			}
		}
		began := time.Now()
		assert.Equal(t, grant(t, o).Endpoint.VM, first.Endpoint.VM, "no other endpoint has room")
		assert.Equal(t, time.Since(began), time.Duration(0), "a backoff from a note delays no request")
	})
}

// TestPublishedBackoffsAreBounded checks that a balancer publishes only a few backoffs, however
// many endpoints ask for one at once.
func TestPublishedBackoffsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 50
		var sent publisher
		r := newPublishingFixture(endpoints, &sent)
		for range 2 {
			sent.notes = nil
			for range endpoints {
				r.requestBackoff(grant(t, r))
			}
			assert.Equal(t, len(sent.notes), 2)
			time.Sleep(backoff + 5*time.Second)
		}
	})
}

// TestInvalidBackoffNotes checks that malformed notes are rejected, and that notes about endpoints
// or starts that are not listed change nothing.
func TestInvalidBackoffNotes(t *testing.T) {
	var sent publisher
	r := newPublishingFixture(2, &sent)
	for _, data := range []string{"", "{", "7", `{"ID":"e0","Service":"s"}`, `{"ID":"e0","Service":"s","For":-1}`, `{"ID":"e0","Service":"s","For":9e18}`, `{"ID":"","For":1}`} {
		assert.Assert(t, r.HandleNote(relay.Note{Topic: direct.BackoffTopic, Data: []byte(data)}) != nil, data)
	}
	for _, data := range []string{`{"ID":"e0","Service":"other","For":1000000000}`, `{"ID":"e0","Service":"s","Start":4,"For":1000000000}`} {
		assert.NilError(t, r.HandleNote(relay.Note{Topic: direct.BackoffTopic, Data: []byte(data)}), "the endpoint may be listed later")
	}
	assert.Equal(t, grant(t, r).Endpoint.VM, "e0")
	r.requestBackoff(grant(t, r))
	assert.Equal(t, len(sent.notes), 1, "the rejected notes do not count as published")
	var s admission.State
	assert.Assert(t, !s.WithHint(-time.Second, time.Now()).Hinted(time.Now()))
}
