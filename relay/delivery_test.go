package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/relay"
	"gotest.tools/v3/assert"
)

// noteRecorder records the notes that a balancer receives.
type noteRecorder struct {
	mu    sync.Mutex
	texts []string
}

func (b *noteRecorder) record(n relay.Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.texts = append(b.texts, n.Topic+" "+string(n.Data))
}

// has reports whether a note was received, and panics if it was received twice.
func (b *noteRecorder) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.texts {
		if t == text {
			n++
		}
	}
	if n > 1 {
		panic(fmt.Sprintf("note %q received %d times", text, n))
	}
	return n == 1
}

// publishNote publishes a note on one balancer and waits until all others have received it.
func publishNote(t *testing.T, from *testBalancer, text string, all ...*testBalancer) {
	t.Helper()
	assert.NilError(t, from.group.Publish("topic", []byte(text)))
	for i, m := range all {
		if m != from {
			waitUntil(t, fmt.Sprintf("%q at %d", text, i), func() bool { return m.received.has("topic " + text) })
		}
	}
	assert.Assert(t, !from.received.has("topic "+text), "a balancer receives its own note")
}

// waitUntilFollowing waits until all balancers follow a relay.
func waitUntilFollowing(t *testing.T, all ...*testBalancer) {
	t.Helper()
	for _, m := range all {
		waitUntil(t, "following a relay", func() bool {
			following := m.group.Status(time.Now()).Following
			return following != "" && following != "store"
		})
	}
}

// TestNotesReachEverybody checks that a note reaches all other balancers once, in its own zone and
// in others, whoever publishes it, and that it writes nothing to the store.
func TestNotesReachEverybody(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, zoneRelay, others := startZone(t, store, 3)
	far := startBalancer(t, store, "tribunal")
	publishAndWait(t, store, 2, append(all, far)...)
	waitUntil(t, "a relay of the other zone", func() bool { return len(store.Keys("lotuswing/relays/")) == 2 })
	balancers := append(slices.Clone(all), far)
	publishNote(t, others[0], "from a follower", balancers...)
	publishNote(t, zoneRelay, "from the relay", balancers...)
	publishNote(t, far, "from another zone", balancers...)
	assert.DeepEqual(t, store.Keys("lotuswing/"), []string{"lotuswing/relays/medina", "lotuswing/relays/tribunal"})
}

// TestNotesWhileTheStoreIsDown checks that notes are delivered without the store.
func TestNotesWhileTheStoreIsDown(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, zoneRelay, others := startZone(t, store, 3)
	waitUntilFollowing(t, others...)
	store.SetFaults(platformtest.Faults{Refuse: true})
	waitUntil(t, "the relay has lost the store", zoneRelay.follower.Lost)
	publishNote(t, others[0], "while it is down", all...)
	publishNote(t, zoneRelay, "from the relay", all...)
	store.SetFaults(platformtest.Faults{})
	publishAndWait(t, store, 2, all...)
}

// TestNotesSurviveTheRelay checks that notes survive the end of a relay: the publisher delivers
// them again to the next relay, and a balancer that starts later receives them.
func TestNotesSurviveTheRelay(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	_, zoneRelay, others := startZone(t, store, 3)
	waitUntilFollowing(t, others...)
	assert.NilError(t, others[0].group.Publish("topic", []byte("told to the one that ends")))
	zoneRelay.kill()
	waitUntil(t, "another relay", func() bool { return len(settledBalancers(others)) == 1 })
	waitUntil(t, "note received by the other follower", func() bool { return others[1].received.has("topic told to the one that ends") })
	late := startBalancer(t, store, "medina")
	waitUntil(t, "note received by the late balancer", func() bool { return late.received.has("topic told to the one that ends") })
}

// TestNoteTooLong checks that Publish rejects a note that no balancer would accept.
func TestNoteTooLong(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	m := startBalancer(t, store, "medina")
	assert.ErrorIs(t, m.group.Publish("topic", []byte(strings.Repeat("x", 2000))), relay.ErrNoteTooLong)
}
