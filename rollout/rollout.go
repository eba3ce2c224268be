// Package rollout brings new versions of services in, as operators order it, and takes bad
// ones out.
//
// All balancers count what became of their requests at the old and at the new version
// (Note), and package fleet adds that up. One balancer leads a roll-out: of the zones that
// have a relay a hash of the service names one, and its relay judges the sums and writes how
// far the roll-out has come, for all balancers and for the operators, under the condition
// that nobody else has written meanwhile. So a leader that is paused, cut off or replaced
// writes nothing over what its successor wrote, and who leads need not be agreed. What the
// store holds comes to every balancer like any other change (package directory), and decides
// there which endpoints take part. While the store is away nothing grows and nothing is
// completed. A version that turns out bad is told to all balancers by a note as well, which take
// it out at once (notes.go); whoever leads then writes it.
//
// A Keeper owns what was judged so far, which a successor learns anew, and the loop. It
// relies on a Directory for orders and records, on Counts, on a Registry for the store, and
// on Zones for who leads. The rules are in coord/rollout.
//
// # Usage
//
//	k := rollout.New(rollout.Config{ID: id, Zone: zone, Directory: d, Counts: fleet, Registry: store, Zones: relays, Log: log})
//	go k.Run(ctx)
package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/rcrowley/go-metrics"
)

// Directory knows orders and records, and the endpoints of services.
type Directory interface {
	Snapshot() *directory.Snapshot
	// MarkBad notes that the version of an order was found bad, and reports whether that was news.
	MarkBad(service string, order uint64, now time.Time) bool
}

// Counts adds up over the fleet.
type Counts interface {
	// Add counts n more under a key.
	Add(key string, n int64, now time.Time)
	// Sums returns what all balancers have counted under the keys that begin with a prefix,
	// by what follows it; at a relay.
	Sums(prefix string) map[string]int64
}

// Registry writes how far a roll-out has come. It returns relay.ErrTaken where the record
// has another revision than the one given.
type Registry interface {
	WriteRollout(ctx context.Context, name string, value []byte, revision uint64, order directory.RolloutOrder, state rollout.State) error
}

// Zones knows the zones that have a relay.
type Zones interface {
	// Serving reports whether this balancer is its zone's relay.
	Serving() bool
	// RelayZones returns the zones that have one, in order.
	RelayZones() []string
}

// Config of a Keeper.
type Config struct {
	ID, Zone  string
	Directory Directory
	Counts    Counts
	Registry  Registry
	// Tell tells all other balancers something; nil where there are none.
	Tell  func(topic string, data []byte) error
	Zones Zones // nil where this balancer is the only one
	// Settle is how long a change takes to be in force at all balancers, and what was sent
	// before to be answered.
	Settle  time.Duration
	Log     hclog.Logger
	Metrics metrics.Registry
	// Now is the clock; nil for the machine's.
	Now func() time.Time
}

// Keeper carries roll-outs out. It is safe for concurrent use.
type Keeper struct {
	cfg  Config
	wake chan struct{} // of one place: there is an order

	mu     sync.Mutex
	trials map[string]*trial // by service
}

// trial is what this balancer knows of one roll-out beside the store's records.
type trial struct {
	order    uint64    // revision of the operator's order
	seen     time.Time // when the order was first seen here
	status   rollout.Status
	revision uint64    // of the record
	reached  time.Time // when the status was first seen here
	tried    time.Time // when it was last tried to write a status
	pause    time.Duration
	kinds    map[string]*kind // by request kind
}

// kind is what is held against the new version for one kind of request.
type kind struct {
	newer, older rollout.Sample // so far
	test         rollout.SequentialTest
}

// New returns a keeper; Run does its work.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Keeper{cfg: cfg, wake: make(chan struct{}, 1), trials: map[string]*trial{}}
}

// Observe looks at changes that are in force; give it to the follower.
func (k *Keeper) Observe(directory.Changes) {
	if len(k.cfg.Directory.Snapshot().Rollouts) == 0 {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default: // it is awake
	}
}
