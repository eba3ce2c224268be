// Package rollout carries out canary rollouts of new versions of services, as operators order
// them, and rolls bad versions back.
//
// All balancers count the results of their requests at the old and at the new version
// (Note), and package fleet adds up these counts. One balancer is the leader of a rollout: a hash
// of the service's name selects one of the zones that have a relay, and the relay of that zone
// leads. The leader evaluates the sums and writes the rollout's record to the store, for all
// balancers and for operators. The write is conditional on the record's revision, so a leader
// that was paused, partitioned or replaced cannot overwrite the record of its successor, and
// no agreement on the leader is needed. The record reaches every balancer like any other change of
// the store (package directory), and determines there which endpoints take part. While the store
// is unavailable, no rollout advances or is completed. A version that is found bad is also
// announced to all balancers by a note, on which they take it out of service at once (notes.go);
// the leader at that time then writes the record.
//
// A Controller owns the state of the tests so far, which a new leader computes anew, and the loop
// that evaluates rollouts (Run). It relies on a Directory for orders and records, on Counts, on a
// Registry for the store, and on Zones to find the leader. The rules are in coord/rollout.
//
// # Usage
//
//	c := rollout.New(rollout.Config{ID: id, Zone: zone, Directory: d, Counts: fleet, Registry: store, Zones: relays, Log: log})
//	go c.Run(ctx)
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

// Directory has the orders and records of rollouts, and the endpoints of services.
type Directory interface {
	Snapshot() *directory.Snapshot
	// MarkBad records that the version of an order was found bad, and reports whether that was
	// unknown before.
	MarkBad(service string, order uint64, version string, now time.Time) bool
}

// Counts is a set of counters that are summed over all balancers.
type Counts interface {
	// Add adds n to the counter of a key.
	Add(key string, n int64, now time.Time)
	// Sums returns the sums over all balancers of the counters whose keys begin with a prefix, by
	// the rest of the key. Only relays have them.
	Sums(prefix string) map[string]int64
}

// Registry writes the records of rollouts. WriteRollout returns relay.ErrAlreadyRegistered if the record
// does not have the given revision.
type Registry interface {
	WriteRollout(ctx context.Context, name string, value []byte, revision uint64, order directory.RolloutOrder, state rollout.State) error
}

// Zones is the list of zones that have a relay.
type Zones interface {
	// Serving reports whether this balancer is its zone's relay.
	Serving() bool
	// RelayZones returns the zones that have a relay, in order.
	RelayZones() []string
}

// Config is the configuration of a Controller.
type Config struct {
	ID, Zone  string // of this balancer
	Directory Directory
	Counts    Counts
	Registry  Registry
	// Publish sends a note to all other balancers; nil if there are none.
	Publish func(topic string, data []byte) error
	Zones   Zones // nil if this balancer is the only one
	// SettleTime is how long it takes until all balancers apply a change and the requests sent
	// before that have ended.
	SettleTime time.Duration
	Log        hclog.Logger
	Metrics    metrics.Registry
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// Controller carries out rollouts. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	wake chan struct{} // buffered with one element: signals Run that there is an order

	mu     sync.Mutex
	states map[string]*rolloutState // by service
}

// rolloutState is the state of one rollout at this balancer, beside the record in the store.
type rolloutState struct {
	order      uint64    // directory.RolloutOrder.ID of the operator's order
	version    string    // of the order
	orderSeen  time.Time // when the order was first seen here
	status     rollout.Status
	revision   uint64                   // of the record
	statusSeen time.Time                // when the status was first seen here
	lastWrite  time.Time                // when a status was last written, with or without success
	writePause time.Duration            // minimum time from lastWrite to the next write
	kinds      map[string]*kindEvidence // by request kind
}

// kindEvidence is the evidence for one kind of request.
type kindEvidence struct {
	newer, older rollout.Sample // total counts so far
	test         rollout.SequentialTest
}

// New returns a controller. Its Run has to be called for it to work.
func New(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{cfg: cfg, wake: make(chan struct{}, 1), states: map[string]*rolloutState{}}
}

// Observe wakes Run if there are rollouts. It has to be called after changes of the directory.
func (c *Controller) Observe(directory.Changes) {
	if len(c.cfg.Directory.Snapshot().Rollouts) == 0 {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default: // a signal is pending already
	}
}
