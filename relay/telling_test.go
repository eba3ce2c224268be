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

// noteBook keeps the notes that a balancer was told.
type noteBook struct {
	mu    sync.Mutex
	texts []string
}

func (b *noteBook) note(n relay.Note) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.texts = append(b.texts, n.Topic+" "+string(n.Data))
}

// has reports whether a note was told, and panics if it was told twice.
func (b *noteBook) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.texts {
		if t == text {
			n++
		}
	}
	if n > 1 {
		panic(fmt.Sprintf("%q told %d times", text, n))
	}
	return n == 1
}

// tell has a balancer tell something and waits until all others have heard of it.
func tell(t *testing.T, from *vm, text string, all ...*vm) {
	t.Helper()
	assert.NilError(t, from.group.Publish("topic", []byte(text)))
	for i, m := range all {
		if m != from {
			until(t, fmt.Sprintf("%q at %d", text, i), func() bool { return m.heard.has("topic " + text) })
		}
	}
	assert.Assert(t, !from.heard.has("topic "+text), "its own note")
}

// following waits until all follow a relay.
func following(t *testing.T, all ...*vm) {
	t.Helper()
	for _, m := range all {
		until(t, "following a relay", func() bool {
			following := m.group.Status(time.Now()).Following
			return following != "" && following != "store"
		})
	}
}

// TestNotesReachEverybody: what one balancer tells all others hear, once, in its own zone
// and in others, whoever tells it, and the store is not called for it.
func TestNotesReachEverybody(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, chosen, others := settled(t, store, 3)
	far := begin(t, store, "tribunal")
	inForce(t, store, 2, append(all, far)...)
	until(t, "a relay of the other zone", func() bool { return len(store.Keys("lotuswing/relays/")) == 2 })
	everybody := append(slices.Clone(all), far)
	tell(t, others[0], "from a follower", everybody...)
	tell(t, chosen, "from the relay", everybody...)
	tell(t, far, "from another zone", everybody...)
	assert.DeepEqual(t, store.Keys("lotuswing/"), []string{"lotuswing/relays/medina", "lotuswing/relays/tribunal"})
}

// TestNotesWhileTheStoreIsDown: notes need no store.
func TestNotesWhileTheStoreIsDown(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	all, chosen, others := settled(t, store, 3)
	following(t, others...)
	store.SetFaults(platformtest.Faults{Refuse: true})
	until(t, "the relay has lost the store", chosen.follower.Lost)
	tell(t, others[0], "while it is down", all...)
	tell(t, chosen, "from the relay", all...)
	store.SetFaults(platformtest.Faults{})
	inForce(t, store, 2, all...)
}

// TestNotesSurviveTheRelay: a relay that ends keeps nobody from hearing: the next one is told
// what the last one took, and a balancer that starts hears what was told before.
func TestNotesSurviveTheRelay(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	_, chosen, others := settled(t, store, 3)
	following(t, others...)
	assert.NilError(t, others[0].group.Publish("topic", []byte("told to the one that ends")))
	chosen.kill()
	until(t, "another relay", func() bool { return len(active(others)) == 1 })
	until(t, "the other one has heard", func() bool { return others[1].heard.has("topic told to the one that ends") })
	late := begin(t, store, "medina")
	until(t, "the late one has heard", func() bool { return late.heard.has("topic told to the one that ends") })
}

// TestNoteTooLong: a note that no balancer would take is refused where it is told.
func TestNoteTooLong(t *testing.T) {
	store := platformtest.NewStore()
	publish(store, 1)
	m := begin(t, store, "medina")
	assert.ErrorIs(t, m.group.Publish("topic", []byte(strings.Repeat("x", 2000))), relay.ErrNoteTooLong)
}
