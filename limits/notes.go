package limits

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/relay"
)

// Topic is the topic of notes. With a note, the owner of an endpoint tells all balancers that the
// endpoint names a limit, that the limit has changed significantly, or that it is lifted. Without
// notes, each balancer that has not sent there yet would send one request before it learns the
// limit.
const Topic = "limit"

// note is the data of a relay.Note with topic Topic, written as JSON.
type note struct {
	Target limit.Target
	Word   limit.WireObservation
}

// publishNews publishes a note about an endpoint if there is news: now or, if the last note was
// too recent, after a delay. k.mu must be held.
func (k *Keeper) publishNews(e Endpoint, now time.Time) {
	if k.transport == nil {
		return
	}
	t := e.target()
	if news, ok := k.limiter.TakeNote(t, now); ok {
		go k.publish(k.transport, note{Target: t, Word: news})
		return
	}
	after, due := k.limiter.NoteDelay(t, now)
	if !due || k.noteScheduled[t] {
		return
	}
	k.noteScheduled[t] = true
	time.AfterFunc(after, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.noteScheduled, t)
		k.publishNews(e, time.Now())
	})
}

// publish sends a note to all other balancers.
func (k *Keeper) publish(c Transport, n note) {
	data, err := json.Marshal(n)
	if err == nil {
		err = c.Publish(Topic, data)
	}
	if err != nil {
		k.cfg.Log.Warn("limit not published", "endpoint", n.Target.ID, "error", err)
	}
}

// HandleNote merges the observation in a note from another balancer. It returns an error if the
// note cannot be decoded.
func (k *Keeper) HandleNote(r relay.Note) error {
	var n note
	if err := json.Unmarshal(r.Data, &n); err != nil {
		return fmt.Errorf("limits: note: %w", err)
	}
	n.Word.AskedAge += r.Age
	n.Word.HeardAge += r.Age
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.limiter.Observation(n.Target)
	k.limiter.MergeRemote(n.Target, n.Word, now)
	k.logObservation(k.endpointOf(n.Target), before, fromNote, now)
	return nil
}
