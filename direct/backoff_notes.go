package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/relay"
)

// BackoffTopic is the topic of the notes by which a balancer tells all others that an endpoint
// asked it for a backoff. The others may still send requests to the endpoint, but prefer other
// endpoints. With hundreds of balancers, each sends less than one request to an endpoint during a
// backoff, so most would not learn of the backoff from requests of their own.
const BackoffTopic = relay.BriefTopicPrefix + "backoff"

// backoffNote is the payload of a note under BackoffTopic, as JSON.
type backoffNote struct {
	ID      string // of the endpoint
	Start   int64  // of the endpoint
	Service string
	For     time.Duration // length of the backoff in nanoseconds, from when the note was published
}

// maxBackoffFromNote is the longest backoff that is accepted from another balancer.
const maxBackoffFromNote = time.Hour

// errInvalidBackoffNote is returned for a note without an endpoint ID, or with a duration or an age
// that is out of range.
var errInvalidBackoffNote = errors.New("direct: backoff note has no endpoint ID, or an invalid duration or age")

// publishBackoff tells all other balancers about a backoff, unless a note about it has been
// published before or the balancers have published too many notes recently.
func (c *Chooser) publishBackoff(e limits.Endpoint, d time.Duration, now time.Time) {
	if c.cfg.Publish == nil || !c.reserveBackoffNote(e, d, now) {
		return
	}
	data, err := json.Marshal(backoffNote{ID: e.ID, Start: e.Start, Service: e.Service, For: d})
	if err == nil {
		err = c.cfg.Publish(BackoffTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("failed to publish backoff note", "id", e.ID, "error", err)
	}
}

// reserveBackoffNote reports whether this balancer may publish a note about a backoff. If so, it
// counts the note against the limit on notes, and marks the backoff in the endpoint's state as
// published.
func (c *Chooser) reserveBackoffNote(e limits.Endpoint, d time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.endpoints[e.ID]
	if !ok || state.start != e.Start || !c.backoffNotes.Allow(state.admission, now) {
		return false
	}
	state.admission = state.admission.WithHint(d, now)
	c.backoffNotes = c.backoffNotes.WithSent(now)
	return true
}

// applyBackoffNote applies another balancer's note under BackoffTopic to the endpoint's state. A
// note about an endpoint or a start that is not listed only counts against the limit on notes.
func (c *Chooser) applyBackoffNote(n relay.Note, now time.Time) error {
	var note backoffNote
	if err := json.Unmarshal(n.Data, &note); err != nil {
		return fmt.Errorf("direct: decoding backoff note: %w", err)
	}
	if note.ID == "" || note.For <= 0 || note.For > maxBackoffFromNote || n.Age < 0 {
		return errInvalidBackoffNote
	}
	listed, ok := c.cfg.Directory.Snapshot().Find(note.Service, note.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffNotes = c.backoffNotes.WithReceived(now)
	if ok && listed.Start == note.Start {
		state := c.state(listed)
		state.admission = state.admission.WithHint(note.For, now.Add(-n.Age))
	}
	return nil
}
