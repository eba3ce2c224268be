package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/relay"
)

// LeavingTopic is that of the notes by which the balancer that an endpoint has told that it leaves
// tells all others. The store may not say so for a while, and who has sent nothing there would send
// one request before it knew.
const LeavingTopic = "leaving"

// fromNote is the source of what another balancer has heard, as it is logged.
const fromNote = "note"

// leavingNote is the data of one, as JSON.
type leavingNote struct {
	ID      string
	Start   int64
	Service string
}

// errNoteOfNobody says that a note names no endpoint.
var errNoteOfNobody = errors.New("direct: note names no endpoint")

// leaves takes an endpoint's word that it leaves, and tells all others where it is news.
func (c *Chooser) leaves(e limits.Endpoint, from string, now time.Time) {
	if !c.markLeaving(e, from, now) || c.cfg.Tell == nil {
		return
	}
	data, err := json.Marshal(leavingNote{ID: e.ID, Start: e.Start, Service: e.Service})
	if err == nil {
		err = c.cfg.Tell(LeavingTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("leaving not told", "id", e.ID, "error", err)
	}
}

// markLeaving marks an endpoint as leaving and reports whether that was news.
func (c *Chooser) markLeaving(e limits.Endpoint, from string, now time.Time) bool {
	listed := "unknown"
	if known, ok := c.cfg.Directory.Endpoint(e.ID); ok {
		listed = known.State.String()
	}
	if !c.cfg.Directory.MarkLeaving(e.ID, e.Start, now) {
		return false
	}
	c.leavers.Inc(1)
	c.cfg.Log.Info("endpoint says that it leaves", "id", e.ID, "service", e.Service, "from", from, "listed", listed)
	return true
}

// HearNote takes a note of another balancer.
func (c *Chooser) HearNote(n relay.Note) error {
	if n.Topic == BackoffTopic {
		return c.hearBackoff(n, time.Now())
	}
	var said leavingNote
	if err := json.Unmarshal(n.Data, &said); err != nil {
		return fmt.Errorf("direct: note: %w", err)
	}
	if said.ID == "" {
		return errNoteOfNobody
	}
	c.markLeaving(limits.Endpoint{ID: said.ID, Start: said.Start, Service: said.Service}, fromNote, time.Now())
	return nil
}
