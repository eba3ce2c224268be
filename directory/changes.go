package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/tenant"
)

// Config is a version of the shared configuration.
type Config struct {
	Version  uint64
	Routes   *tenant.PrefixTable
	Services map[string]tenant.Service
	Teams    *access.Table // nil where callers need no keys
}

// after returns the configuration with what it has to remember of the one in force before.
func (c *Config) after(before *Config) *Config {
	if before == nil {
		return c
	}
	next := *c
	next.Teams = c.Teams.After(before.Teams)
	return &next
}

// Entry is what the store holds of one endpoint.
type Entry struct {
	Endpoint Endpoint
	Leaving  bool
	Warmup   time.Duration // how much longer it is slow
	Revision uint64
}

// Gone says that an endpoint's entry went, or that what stands there cannot be read.
type Gone struct {
	ID       string
	Revision uint64
	Spoiled  bool // an entry stands there that names no server
}

// Evacuation says that an availability zone is emptied, so that its endpoints get
// nothing more, or that it is taken back.
type Evacuation struct {
	Zone     string
	Over     bool
	Revision uint64
}

// RolloutOrder is an operator's order to bring a version of a service in, or its end.
type RolloutOrder struct {
	Service  string
	Version  string        // that comes in
	Duration time.Duration // in which it should have come in
	Over     bool          // the order was taken back
	Revision uint64
}

// Record is a key of the store, or its end. Its meaning is the source's alone;
// processes hand it on to one another as it is, as JSON with the names of its
// fields.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64 // with which the key ends; 0 for none
	Gone     bool
}

// Changes are news from the store. Config is nil when it has not changed.
type Changes struct {
	Config  *Config
	Entries []Entry
	Gone    []Gone
	// Evacuations are the availability zones that are emptied or taken back.
	Evacuations []Evacuation
	// Rollouts are orders to bring versions in, or their ends.
	Rollouts []RolloutOrder
	// Registrations are the keys that balancers keep, by the names that they
	// gave them.
	Registrations []Record
	At            uint64   // revision up to which all changes are known
	Part          bool     // a part of a first copy: of the entries others are there that it does not name
	Whole         bool     // the entries are all there are; others have gone
	Faults        []error  // of what could not be read
	Records       []Record // all of the above as the store holds it
}

// Outdated reports whether the changes are a whole reading that is older than what is
// known up to a revision, or a part of one after everything is known. It would bring keys
// back whose ends were told before the reading that began what is known, and so are
// remembered by nobody: two first copies may come at once, the older one last.
func (c Changes) Outdated(known uint64) bool { return c.Whole && c.At < known || c.Part && known > 0 }

// count returns how many changes there are.
func (c Changes) count() int {
	n := len(c.Entries) + len(c.Gone) + len(c.Evacuations) + len(c.Registrations) + len(c.Rollouts)
	if c.Config != nil {
		n++
	}
	return n
}

// Applied says what changes did.
type Applied struct {
	Version uint64       // of a configuration that came into force, 0 for none
	Ignored uint64       // of a configuration that is older than the one in force, 0 for none
	Moved   []Change     // endpoints whose state changed
	Zones   []Evacuation // that are emptied or taken back since

	Rollouts []Rollout // of which something is new
	Faults   []error   // of records that could not be read
}

// Change is an endpoint's new state.
type Change struct {
	ID      string
	Service string
	State   State
}
