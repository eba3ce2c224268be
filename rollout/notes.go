package rollout

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
)

// BadVersionTopic is the topic of the notes by which the leader of a rollout tells all other
// balancers that the version is bad. The notes are sent in addition to the rollout's record in the
// store, because the record arrives later and cannot be written while the store is unavailable.
const BadVersionTopic = "rollout/bad"

// badNote is the data of a note on a bad version, encoded as JSON.
type badNote struct {
	Service string
	Order   uint64 // directory.RolloutOrder.ID of the operator's order
	Version string
}

// errIncompleteNote is returned for a note without a service or an order.
var errIncompleteNote = errors.New("rollout: note has no service or no order")

// takeOutOfService takes a bad version out of service at this balancer, and sends a note to all
// others. It does so once for each order.
func (c *Controller) takeOutOfService(r directory.Rollout) {
	if !c.cfg.Directory.MarkBad(r.Order.Service, r.Order.ID(), r.Order.Version, c.cfg.Now()) || c.cfg.Publish == nil {
		return
	}
	data, err := json.Marshal(badNote{Service: r.Order.Service, Order: r.Order.ID(), Version: r.Order.Version})
	if err == nil {
		err = c.cfg.Publish(BadVersionTopic, data)
	}
	if err != nil {
		c.cfg.Log.Warn("bad version not announced to other balancers", "service", r.Order.Service, "version", r.Order.Version, "error", err)
	}
}

// HandleNote handles a note of BadVersionTopic: it takes the version out of service at this
// balancer. It returns an error for a malformed note.
func (c *Controller) HandleNote(n relay.Note) error {
	var bad badNote
	if err := json.Unmarshal(n.Data, &bad); err != nil {
		return fmt.Errorf("rollout: decoding note: %w", err)
	}
	if bad.Service == "" || bad.Order == 0 {
		return errIncompleteNote
	}
	if c.cfg.Directory.MarkBad(bad.Service, bad.Order, bad.Version, c.cfg.Now()) {
		c.cfg.Log.Info("bad version taken out of service", "service", bad.Service, "version", bad.Version, "order", bad.Order, "from", n.Origin)
	}
	return nil
}
