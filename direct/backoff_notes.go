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
// wants no requests from it for a while. The others may still send requests there, but prefer other
// endpoints. With hundreds of balancers each sends an endpoint less than one request during a
// backoff, so none would learn of it from its own requests.
const BackoffTopic = relay.Brief + "backoff"

// backoffNote is the payload of a note under BackoffTopic, as JSON.
type backoffNote struct {
	ID      string
	Start   int64
	Service string
	For     time.Duration
}

// maxHintedBackoff is the longest backoff that is accepted from another balancer.
const maxHintedBackoff = time.Hour

// errInvalidBackoffNote is returned for a note that cannot describe a current backoff.
var errInvalidBackoffNote = errors.New("direct: backoff note has no endpoint ID, or an invalid duration or age")

// publishBackoff tells all other balancers about a backoff, unless they know of it already or too
// many were published.
func (c *Chooser) publishBackoff(e limits.Endpoint, d time.Duration, now time.Time) {
	if c.cfg.Tell == nil || !c.reserveHint(e, d, now) {
		return
	}
	data, err := json.Marshal(backoffNote{ID: e.ID, Start: e.Start, Service: e.Service, For: d})
	if err == nil {
		err = c.cfg.Tell(BackoffTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("failed to publish backoff note", "id", e.ID, "error", err)
	}
}

// reserveHint reports whether this balancer may tell the others about a backoff. If so, it counts
// that, and stores the backoff in the endpoint's state as known to others.
func (c *Chooser) reserveHint(e limits.Endpoint, d time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.endpoints[e.ID]
	if !ok || state.start != e.Start || !c.hints.Allow(state.admission, now) {
		return false
	}
	state.admission = state.admission.WithHint(d, now)
	c.hints = c.hints.Told(now)
	return true
}

// applyBackoffNote processes a note of another balancer under BackoffTopic.
func (c *Chooser) applyBackoffNote(n relay.Note, now time.Time) error {
	var note backoffNote
	if err := json.Unmarshal(n.Data, &note); err != nil {
		return fmt.Errorf("direct: decoding backoff note: %w", err)
	}
	if note.ID == "" || note.For <= 0 || note.For > maxHintedBackoff || n.Age < 0 {
		return errInvalidBackoffNote
	}
	listed, ok := c.cfg.Directory.Snapshot().Find(note.Service, note.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hints = c.hints.Heard(now)
	if ok && listed.Start == note.Start {
		state := c.state(listed)
		state.admission = state.admission.WithHint(note.For, now.Add(-n.Age))
	}
	return nil
}
