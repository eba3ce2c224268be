package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/tenant"
)

// Config is a version of the shared configuration.
type Config struct {
	Version  uint64
	Routes   *tenant.PrefixTable
	Services map[string]tenant.Service
	Teams    *access.Table // nil where callers need no keys
	Faults   []error       // parts of the version that cannot be used; the others are in force
}

// withWithdrawnKeys returns the configuration with Teams that also remember which keys of the
// previous configuration, before, no longer belong to any team.
func (c *Config) withWithdrawnKeys(before *Config) *Config {
	if before == nil {
		return c
	}
	next := *c
	next.Teams = c.Teams.WithHistory(before.Teams)
	return &next
}

// Entry is the store's entry for one endpoint.
type Entry struct {
	Endpoint Endpoint
	Leaving  bool
	Warmup   time.Duration // remaining warm-up when the entry was written
	Revision uint64
}

// RemovedEntry says that an endpoint's entry was deleted or cannot be read.
type RemovedEntry struct {
	ID         string
	Revision   uint64
	Unreadable bool // the entry exists but cannot be read
}

// Evacuation says that an availability zone is evacuated, so that its endpoints get no
// more requests, or that its evacuation has ended.
type Evacuation struct {
	Zone     string
	Ended    bool
	Revision uint64
	Began    uint64 // revision of the latest order to evacuate the zone; set by the directory
}

// ID identifies an order of a service in records and notes of all balancers, together with its version. It is
// the order's revision without the era, which balancers that started after a restore of the store do not know.
func (o RolloutOrder) ID() uint64 { return position.Revision(o.Revision) }

// RolloutOrder is an operator's order to roll out a version of a service, or the end of
// that order.
type RolloutOrder struct {
	Service   string
	Version   string        // to roll out
	Duration  time.Duration // within which the rollout should complete
	Withdrawn bool          // the order was withdrawn
	Revision  uint64
}

// Record is a key of the store with its value, or the deletion of the key. Processes pass the
// records of Changes.Records on to one another unchanged, as JSON with the names of the fields, and
// only a Source interprets them.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64 // lease that the key is attached to; 0 for none
	Gone     bool
}

// Changes are changes read from the store. Config is nil when it has not changed.
type Changes struct {
	Config  *Config
	Entries []Entry
	Gone    []RemovedEntry
	// Evacuations are the availability zones whose evacuation began or ended.
	Evacuations []Evacuation
	// Rollouts are the orders to roll out versions that were given or withdrawn.
	Rollouts []RolloutOrder
	// Registrations are the keys that balancers write for one another, under the names
	// that the balancers gave them.
	Registrations []Record
	Revision      uint64   // revision up to which the changes are complete
	Partial       bool     // the changes are one part of a full read; the store has entries that are not in it
	Complete      bool     // the changes are a full read, of all that the store holds; what is not in them was deleted
	Errors        []error  // errors of records that could not be read
	Records       []Record // the store's records of all of the above

	// Via says how this process learnt of the changes, for logs and metrics.
	Via Via
	// Since is a time before which the store had accepted none of the changes that are new to this
	// process, as far as its checks tell; zero where that is unknown.
	Since time.Time
}

// Via is a way by which a process learns of changes.
type Via string

// The ways.
const (
	ViaWatch Via = "watch" // a watch of the store
	ViaRead  Via = "read"  // a full read of the store, or of all registrations
	ViaRelay Via = "relay" // the answer of another balancer
	ViaCopy  Via = "copy"  // a first copy of another balancer
)

// Age returns for how long the store may have had the newest of the changes, 0 if that is unknown.
func (c Changes) Age(now time.Time) time.Duration {
	if c.Since.IsZero() {
		return 0
	}
	return max(0, now.Sub(c.Since))
}

// Outdated reports whether the changes are a full read at a position below known, or a part of a
// full read that arrives after a complete one. known is the position up to which all changes are
// applied; 0 before the first full read. Applying outdated changes would restore keys that were
// deleted before the latest full read, because no record of those deletions is kept. Changes are
// outdated when two first copies are read at once and the older one arrives last.
func (c Changes) Outdated(known uint64) bool {
	return c.Complete && c.Revision < known || c.Partial && known > 0
}

// Count returns the number of changes.
func (c Changes) Count() int {
	n := len(c.Entries) + len(c.Gone) + len(c.Evacuations) + len(c.Registrations) + len(c.Rollouts)
	if c.Config != nil {
		n++
	}
	return n
}

// Applied says what the changes did to the directory.
type Applied struct {
	Version      uint64       // of a configuration that was applied, 0 for none
	Faults       []error      // parts of that configuration that cannot be used
	Ignored      uint64       // of a configuration that is older than the present one, 0 for none
	StateChanges []Change     // new states of endpoints
	Zones        []Evacuation // zones whose evacuation began or ended
	Restored     bool         // the changes are the first full read since the store was restored from a copy

	Rollouts []Rollout // rollouts that changed
	Errors   []error   // errors of records that could not be read
}

// Change is an endpoint's new state.
type Change struct {
	ID      string
	Service string
	State   State
}
