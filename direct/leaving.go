package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/relay"
)

// LeavingTopic is the topic of the notes by which a balancer tells all others that an endpoint has
// announced that it is leaving. The store may list the endpoint for a while longer, and without a
// note each balancer would find out only from the response to a request that it sends there.
const LeavingTopic = "leaving"

// sourceNote is the logged source of an announcement that another balancer passed on.
const sourceNote = "note"

// leavingNote is the payload of a note under LeavingTopic, as JSON.
type leavingNote struct {
	ID      string // of the endpoint
	Start   int64  // of the endpoint
	Service string
}

// errNoEndpointID is returned for a note that names no endpoint.
var errNoEndpointID = errors.New("direct: leaving note has no endpoint ID")

// handleLeaving marks an endpoint that has announced that it is leaving, and tells all other
// balancers unless the endpoint was known to be leaving.
func (c *Chooser) handleLeaving(e limits.Endpoint, source string, now time.Time) {
	if !c.markLeaving(e, source, now) || c.cfg.Publish == nil {
		return
	}
	data, err := json.Marshal(leavingNote{ID: e.ID, Start: e.Start, Service: e.Service})
	if err == nil {
		err = c.cfg.Publish(LeavingTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("failed to publish leaving note", "id", e.ID, "error", err)
	}
}

// markLeaving marks an endpoint as leaving in the directory. It returns false if the
// endpoint is marked already.
func (c *Chooser) markLeaving(e limits.Endpoint, source string, now time.Time) bool {
	listed := "unknown"
	if current, ok := c.cfg.Directory.Endpoint(e.ID); ok {
		listed = current.State.String()
	}
	if !c.cfg.Directory.MarkLeaving(e.ID, e.Start, now) {
		return false
	}
	c.leavingEndpoints.Inc(1)
	c.cfg.Log.Info("endpoint announced that it is leaving", "id", e.ID, "service", e.Service, "from", source, "listed", listed)
	return true
}

// HandleNote processes a note of another balancer under BackoffTopic or LeavingTopic.
func (c *Chooser) HandleNote(n relay.Note) error {
	if n.Topic == BackoffTopic {
		return c.applyBackoffNote(n, time.Now())
	}
	var note leavingNote
	if err := json.Unmarshal(n.Data, &note); err != nil {
		return fmt.Errorf("direct: decoding leaving note: %w", err)
	}
	if note.ID == "" {
		return errNoEndpointID
	}
	c.markLeaving(limits.Endpoint{ID: note.ID, Start: note.Start, Service: note.Service}, sourceNote, time.Now())
	return nil
}
