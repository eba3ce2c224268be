package direct

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/relay"
)

// BackoffTopic is that of the notes by which a balancer tells all others that an endpoint wants no
// requests from it for a while. They are free to send there, and do so last: with hundreds of
// balancers each sends one endpoint less than a request in that time, so that none would learn from
// its own.
const BackoffTopic = relay.Brief + "backoff"

// backoffNote is the data of one, as JSON.
type backoffNote struct {
	ID      string
	Start   int64
	Service string
	For     time.Duration
}

// mostHinted bounds what is believed of a backoff that another balancer tells of.
const mostHinted = time.Hour

// errNoBackoff says that a note tells of no backoff.
var errNoBackoff = errors.New("direct: note tells of no backoff")

// tellBackoff tells all others of a backoff, where that may help them.
func (c *Chooser) tellBackoff(e limits.Endpoint, d time.Duration, now time.Time) {
	if c.cfg.Tell == nil || !c.mayTell(e, d, now) {
		return
	}
	data, err := json.Marshal(backoffNote{ID: e.ID, Start: e.Start, Service: e.Service, For: d})
	if err == nil {
		err = c.cfg.Tell(BackoffTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("backoff not told", "id", e.ID, "error", err)
	}
}

// mayTell reports whether this balancer tells others of a backoff, and counts that it does.
func (c *Chooser) mayTell(e limits.Endpoint, d time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[e.ID]
	if !ok || known.start != e.Start || !c.hints.Allow(known.admission, now) {
		return false
	}
	known.admission = known.admission.WithHint(d, now)
	c.hints = c.hints.Told(now)
	return true
}

// hearBackoff takes another balancer's word of a backoff.
func (c *Chooser) hearBackoff(n relay.Note, now time.Time) error {
	var said backoffNote
	if err := json.Unmarshal(n.Data, &said); err != nil {
		return fmt.Errorf("direct: note: %w", err)
	}
	if said.ID == "" || said.For <= 0 || said.For > mostHinted || n.Age < 0 {
		return errNoBackoff
	}
	listed, ok := c.cfg.Directory.Snapshot().Find(said.Service, said.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hints = c.hints.Heard(now)
	if ok && listed.Start == said.Start {
		known := c.known(listed)
		known.admission = known.admission.WithHint(said.For, now.Add(-n.Age))
	}
	return nil
}
