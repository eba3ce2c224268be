package rollout

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/relay"
)

// Topic is that of the notes by which the balancer that leads a roll-out tells all others that the
// version is bad. The store tells it later, and not at all while it is away.
const Topic = "rollout/bad"

// badNote is the data of one, as JSON.
type badNote struct {
	Service string
	Order   uint64 // revision of the operator's order
	Version string
}

// errNoVersion says that a note names no version.
var errNoVersion = errors.New("rollout: note names no version")

// takeOut takes a bad version out at this balancer and tells all others, once for each order.
func (k *Keeper) takeOut(r directory.Rollout) {
	if !k.cfg.Directory.MarkBad(r.Order.Service, r.Order.Revision, k.cfg.Now()) || k.cfg.Tell == nil {
		return
	}
	data, err := json.Marshal(badNote{Service: r.Order.Service, Order: r.Order.Revision, Version: r.Order.Version})
	if err == nil {
		err = k.cfg.Tell(Topic, data)
	}
	if err != nil {
		k.cfg.Log.Warn("bad version not told", "service", r.Order.Service, "version", r.Order.Version, "error", err)
	}
}

// Hear takes a note of Topic.
func (k *Keeper) Hear(n relay.Note) error {
	var said badNote
	if err := json.Unmarshal(n.Data, &said); err != nil {
		return fmt.Errorf("rollout: note: %w", err)
	}
	if said.Service == "" || said.Order == 0 {
		return errNoVersion
	}
	if k.cfg.Directory.MarkBad(said.Service, said.Order, k.cfg.Now()) {
		k.cfg.Log.Info("bad version taken out", "service", said.Service, "version", said.Version, "order", said.Order, "from", n.Origin)
	}
	return nil
}
