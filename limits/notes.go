package limits

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/relay"
)

// Topic is that of the notes by which an endpoint's owner tells all balancers that the endpoint
// names a limit, a rather different one, or none any more. Those that never sent there would
// send one request each before they knew.
const Topic = "limit"

// note is the data of one, as JSON.
type note struct {
	Target limit.Target
	Word   limit.WireObservation
}

// tellAll tells all balancers what they should hear of an endpoint, now or as soon as it may be
// told again; k.mu is held.
func (k *Keeper) tellAll(e Endpoint, now time.Time) {
	if k.carrier == nil {
		return
	}
	t := e.target()
	if told, ok := k.book.TakeNote(t, now); ok {
		go k.publish(k.carrier, note{Target: t, Word: told})
		return
	}
	after, due := k.book.NoteDelay(t, now)
	if !due || k.noting[t] {
		return
	}
	k.noting[t] = true
	time.AfterFunc(after, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.noting, t)
		k.tellAll(e, time.Now())
	})
}

// publish tells all balancers a note.
func (k *Keeper) publish(c Carrier, n note) {
	data, err := json.Marshal(n)
	if err == nil {
		err = c.Publish(Topic, data)
	}
	if err != nil {
		k.cfg.Log.Warn("limit not told", "endpoint", n.Target.ID, "error", err)
	}
}

// Hear takes a note of another balancer.
func (k *Keeper) Hear(r relay.Note) error {
	var n note
	if err := json.Unmarshal(r.Data, &n); err != nil {
		return fmt.Errorf("limits: note: %w", err)
	}
	n.Word.AskedAge += r.Age
	n.Word.HeardAge += r.Age
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.book.Observation(n.Target)
	k.book.MergeRemote(n.Target, n.Word, now)
	k.noteWord(k.endpointOf(n.Target), before, fromNote, now)
	return nil
}
