package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/tally"
)

// TestAsks: which requests wait for a word.
func TestAsks(t *testing.T) {
	small, large := Limit{Rate: 8, Burst: 8}, Limit{Rate: 800, Burst: 800}
	limitOf := func(team string) (Limit, bool) { return map[string]Limit{"small": small, "large": large}[team], true }
	relay, book := NewBook("relay", "medina", 1), NewBook("follower", "medina", 2)
	relay.SetRelay(true, simStart)
	for i := range 30 { // balancers that are heard of
		relay.Hear(tally.Report{From: fmt.Sprint(i), Zone: "medina", Life: 1, Number: 1}, limitOf, simStart)
	}
	now := simStart
	exchange := func() {
		r := book.Report(now)
		book.Answered(r, relay.Hear(r, limitOf, now), now)
	}
	assert.Assert(t, book.Asks("small", small, now) && book.Asks("large", large, now), "nothing is known of the others")
	assert.Assert(t, !book.Asks("none", Limit{}, now), "it has no quota")
	exchange()
	assert.Assert(t, !book.Asks("small", small, now), "the word has just come")
	now = now.Add(recent)
	assert.Assert(t, !book.Asks("large", large, now), "each balancer's part is many requests")
	assert.Assert(t, book.Asks("small", small, now))
	due, ok := book.Due(now)
	assert.Assert(t, ok && !due.After(now), "it is asked for at once")

	asked := book.Report(now)
	now = now.Add(AskWithin)
	assert.Assert(t, book.Asks("small", small, now))
	now = now.Add(time.Millisecond)
	assert.Assert(t, !book.Asks("small", small, now), "the relay does not answer")
	book.Failed(now)
	assert.Assert(t, !book.Asks("small", small, now.Add(time.Second)), "nor is it reached")
	book.Answered(asked, relay.Hear(asked, limitOf, now), now)
	assert.Assert(t, book.Asks("small", small, now.Add(recent)), "it is again")
	assert.Assert(t, !relay.Asks("small", small, now.Add(time.Second)), "a relay knows itself")
}
