package directory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/rollout"
)

// rolloutRecords begins the names of the balancers' records of roll-outs; the service
// follows.
const rolloutRecords = "rollouts/"

// RolloutRecord is what the balancer that leads a roll-out tells all others, as JSON in the
// store.
type RolloutRecord struct {
	Order   uint64        `json:"order"` // revision of the operator's order
	Version string        `json:"version"`
	State   rollout.State `json:"state"`
	Stage   int           `json:"stage"`
	By      string        `json:"by"`            // the balancer that wrote it
	Out     []string      `json:"out,omitempty"` // versions of earlier orders that never came in
}

// mostOut bounds how many versions are kept out: the oldest are forgotten.
const mostOut = 8

// Out returns the versions that are kept out beside the one that the roll-out is about: those
// of earlier orders that were rolled back, taken back or replaced before they were completed.
func (r Rollout) Out() []string {
	out := slices.Clone(r.Record.Out)
	if r.Revision > 0 && r.Record.State != rollout.Completed {
		out = append(out, r.Record.Version)
	}
	out = slices.DeleteFunc(out, func(version string) bool { return version == r.version() })
	return out[max(0, len(out)-mostOut):]
}

// RecordName returns the name of the record of a service's roll-out.
func RecordName(service string) string { return rolloutRecords + service }

// Rollout is what is known of a version of a service that comes in, or has.
type Rollout struct {
	Order  RolloutOrder
	Record RolloutRecord
	// Revision of the record; 0 where there is none.
	Revision uint64
	// Bad: a balancer has found the version bad; the record says so later.
	Bad bool
}

// Status returns how far the roll-out has come. A version that was found bad comes in no more,
// whatever the record says so far.
func (r Rollout) Status() rollout.Status {
	recorded := r.Recorded()
	if r.Bad && !r.Order.Over && recorded.State == rollout.Running {
		recorded.State = rollout.RolledBack
	}
	return recorded
}

// Recorded returns how far it has come by the record. An order that nobody has begun to carry out
// has come nowhere, and of one that was taken back only the end counts.
func (r Rollout) Recorded() rollout.Status {
	begun := r.Revision > 0 && (r.Record.Order == r.Order.Revision || r.Order.Over)
	switch {
	case !begun:
		return rollout.Status{State: rollout.Running}
	case r.Order.Over && r.Record.State == rollout.Running:
		return rollout.Status{State: rollout.RolledBack}
	}
	return rollout.Status{State: r.Record.State, Stage: r.Record.Stage}
}

// Begun reports whether the order that is in force has been begun to be carried out.
func (r Rollout) Begun() bool {
	return r.Revision > 0 && !r.Order.Over && r.Record.Order == r.Order.Revision
}

// Share returns the part of the service's requests that goes to the version that comes in.
func (r Rollout) Share() float64 {
	if !r.Order.Over && !r.Begun() {
		return 0
	}
	return r.Status().Share()
}

// version returns the version that the roll-out is about.
func (r Rollout) version() string {
	if r.Order.Over || r.Order.Version == "" {
		return r.Record.Version
	}
	return r.Order.Version
}

// rollouts are those of all services, by service.
type rollouts map[string]Rollout

// noteOrder keeps an order unless a newer one is known, and reports whether it was news.
func (all rollouts) noteOrder(o RolloutOrder) bool {
	r, known := all[o.Service]
	if known && o.Revision <= r.Order.Revision {
		return false
	}
	if !known && o.Over {
		return false
	}
	if o.Over {
		o.Version, o.Duration = r.Order.Version, r.Order.Duration
	}
	r.Order = o
	all[o.Service] = r
	return true
}

// noteRecord keeps a balancers' record unless a newer one is known, and reports whether it
// was news. A record that went says nothing new.
func (all rollouts) noteRecord(record Record) (news bool, err error) {
	service, ok := strings.CutPrefix(record.Key, rolloutRecords)
	if !ok || record.Gone {
		return false, nil
	}
	r := all[service]
	if record.Revision <= r.Revision {
		return false, nil
	}
	var said RolloutRecord
	if err := json.Unmarshal(record.Value, &said); err != nil {
		return false, fmt.Errorf("directory: roll-out of %s: %w", service, err)
	}
	if err := said.check(); err != nil {
		return false, fmt.Errorf("directory: roll-out of %s: %w", service, err)
	}
	if r.Order.Service == "" {
		r.Order = RolloutOrder{Service: service, Over: true} // the order is told later, or was taken back
	}
	r.Record, r.Revision = said, record.Revision
	all[service] = r
	return true, nil
}

// check returns what is wrong with a record.
func (r RolloutRecord) check() error {
	switch r.State {
	case rollout.Running, rollout.Completed, rollout.RolledBack:
	default:
		return fmt.Errorf("state %q", r.State)
	}
	if r.Stage < 0 || r.Stage >= len(rollout.Stages) {
		return fmt.Errorf("stage %d", r.Stage)
	}
	return nil
}

// all returns them in the order of the services.
func (all rollouts) all() []Rollout {
	if len(all) == 0 {
		return nil
	}
	list := make([]Rollout, 0, len(all))
	for _, service := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[service])
	}
	return list
}

// absentOrders returns the ends of the orders that a reading of everything up to a revision
// does not name.
func (all rollouts) absentOrders(named []RolloutOrder, at uint64) []RolloutOrder {
	var over []RolloutOrder
	for service, r := range all {
		isNamed := slices.ContainsFunc(named, func(o RolloutOrder) bool { return o.Service == service })
		if !r.Order.Over && !isNamed {
			over = append(over, RolloutOrder{Service: service, Over: true, Revision: at})
		}
	}
	return over
}

// divide says of each endpoint of a service which version it runs, as far as that matters,
// and returns the part of the requests that goes to the new one. As many endpoints of a new
// version take part as its part of the requests needs, so that each is as busy as any other.
func (r Rollout) divide(list []Endpoint) (share float64) {
	out := r.Out()
	var newer, older []int
	for i := range list {
		switch version := list[i].Version; {
		case version == r.version():
			newer = append(newer, i)
		case slices.Contains(out, version):
			list[i].Side = placement.HeldSide
		default:
			older = append(older, i)
		}
	}
	switch {
	case len(newer) == 0:
		return 0
	case r.Status().State == rollout.Completed:
		setSide(list, older, placement.HeldSide)
		return 0
	}
	share = r.Share()
	setSide(list, older, placement.OldSide)
	setSide(list, newer, placement.HeldSide)
	setSide(list, takingPart(list, newer, share), placement.NewSide)
	return share
}

// setSide sets the side of some endpoints.
func setSide(list []Endpoint, indices []int, side placement.Side) {
	for _, i := range indices {
		list[i].Side = side
	}
}

// takingPart returns the indices of the endpoints that take part in a share, the same ones at
// all balancers.
func takingPart(list []Endpoint, newer []int, share float64) []int {
	slices.SortFunc(newer, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(list[a].VM), xxhash.Sum64String(list[b].VM))
	})
	return newer[:int(math.Ceil(share*float64(len(newer))))]
}

// applyRollouts notes orders and records of versions that come in.
func (d *Directory) applyRollouts(c Changes, applied *Applied) {
	orders := c.Rollouts
	if c.Whole {
		orders = append(slices.Clone(orders), d.rollouts.absentOrders(c.Rollouts, c.At)...)
	}
	for _, o := range orders {
		if d.rollouts.noteOrder(o) {
			d.applyBad(o.Service)
			d.touchAll(o.Service)
			applied.Rollouts = append(applied.Rollouts, d.rollouts[o.Service])
		}
	}
	for _, r := range c.Registrations {
		news, err := d.rollouts.noteRecord(r)
		if err != nil {
			applied.Faults = append(applied.Faults, err)
		}
		if news {
			service := strings.TrimPrefix(r.Key, rolloutRecords)
			d.touchAll(service)
			applied.Rollouts = append(applied.Rollouts, d.rollouts[service])
		}
	}
}
