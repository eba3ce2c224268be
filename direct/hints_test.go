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

// TestBackoffIsToldToOthers, once while it lasts: they send there last, but are free to.
func TestBackoffIsToldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var to told
		r := newTellingRig(2, &to)
		first, second := grant(t, r), grant(t, r)
		assert.Equal(t, first.Endpoint.VM, second.Endpoint.VM)
		r.backsOff(first)
		time.Sleep(100 * time.Millisecond)
		r.backsOff(second)
		assert.Equal(t, len(to.notes), 1)
		assert.Equal(t, to.notes[0].Topic, direct.BackoffTopic)

		o := newTellingRig(2, &told{})
		o.learn(t)
		before := grant(t, o)
		assert.Equal(t, before.Endpoint.VM, first.Endpoint.VM, "the same one is preferred by all")
		o.Complete(before, placement.Result{Outcome: placement.Unused})
		assert.NilError(t, o.HearNote(to.notes[0]))
		for range 20 {
			g := grant(t, o)
			assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
			o.Complete(g, placement.Result{Outcome: placement.Unused})
		}
		time.Sleep(2 * time.Second) // it may be probed again
		for _, id := range []string{"e0", "e1"} {
			if id != first.Endpoint.VM {
				o.prober.set(id, 3, 1) // full
			}
		}
		began := time.Now()
		assert.Equal(t, grant(t, o).Endpoint.VM, first.Endpoint.VM, "nowhere else is room")
		assert.Equal(t, time.Since(began), time.Duration(0), "it binds nobody")
	})
}

// TestHintsAreBounded, however many endpoints want no requests at once, and a backoff that another
// balancer has told of is not told again.
func TestHintsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 50
		var to told
		r := newTellingRig(endpoints, &to)
		for range 2 {
			to.notes = nil
			for range endpoints {
				r.backsOff(grant(t, r))
			}
			assert.Equal(t, len(to.notes), 2)
			time.Sleep(backoff + 5*time.Second)
		}
	})
}

// TestHintsThatMakeNoSense change nothing.
func TestHintsThatMakeNoSense(t *testing.T) {
	var to told
	r := newTellingRig(2, &to)
	for _, data := range []string{"", "{", "7", `{"ID":"e0","Service":"s"}`, `{"ID":"e0","Service":"s","For":-1}`, `{"ID":"e0","Service":"s","For":9e18}`, `{"ID":"","For":1}`} {
		assert.Assert(t, r.HearNote(relay.Note{Topic: direct.BackoffTopic, Data: []byte(data)}) != nil, data)
	}
	for _, data := range []string{`{"ID":"e0","Service":"other","For":1000000000}`, `{"ID":"e0","Service":"s","Start":4,"For":1000000000}`} {
		assert.NilError(t, r.HearNote(relay.Note{Topic: direct.BackoffTopic, Data: []byte(data)}), "it may be listed later")
	}
	assert.Equal(t, grant(t, r).Endpoint.VM, "e0")
	r.backsOff(grant(t, r))
	assert.Equal(t, len(to.notes), 1, "nobody has told of it")
	var s admission.State
	assert.Assert(t, !s.WithHint(-time.Second, time.Now()).Hinted(time.Now()))
}
