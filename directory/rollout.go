package directory

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/internal/untrusted"
)

// rolloutRecordPrefix is the prefix of the names of the rollout records that balancers write; the
// service follows.
const rolloutRecordPrefix = "rollouts/"

// RolloutRecord is the state of a rollout that the balancer leading it writes to the store for
// all others, as JSON.
type RolloutRecord struct {
	Order   uint64        `json:"order"` // RolloutOrder.ID of the operator's order
	Version string        `json:"version"`
	State   rollout.State `json:"state"`
	Stage   int           `json:"stage"`
	By      string        `json:"by"`            // balancer that wrote the record
	Out     []string      `json:"out,omitempty"` // versions of earlier orders that were not completed
}

// maxHeldVersions bounds how many versions are kept from requests by HeldBackVersions, which drops the oldest.
const maxHeldVersions = 8

// HeldBackVersions returns the versions, besides the one that is rolled out, whose endpoints get no requests:
// those of earlier orders that were rolled back, withdrawn or replaced before they were completed.
func (r Rollout) HeldBackVersions() []string {
	out := slices.Clone(r.Record.Out)
	if r.Revision > 0 && r.Record.State != rollout.Completed {
		out = append(out, r.Record.Version)
	}
	out = slices.DeleteFunc(out, func(version string) bool { return version == r.version() })
	return out[max(0, len(out)-maxHeldVersions):]
}

// RolloutRecordName returns the name of the record of a service's rollout.
func RolloutRecordName(service string) string { return rolloutRecordPrefix + service }

// Rollout is the state of a service's latest rollout.
type Rollout struct {
	Order  RolloutOrder
	Record RolloutRecord
	// Revision is the revision of the record; 0 if there is none.
	Revision uint64
	// Bad says that a balancer has found the version bad; the record follows later.
	Bad bool
}

// Status returns how far the rollout has come. A version that was found bad is rolled back,
// even while the record does not say so yet.
func (r Rollout) Status() rollout.Status {
	recorded := r.RecordedStatus()
	if r.Bad && !r.Order.Withdrawn && recorded.State == rollout.Running {
		recorded.State = rollout.RolledBack
	}
	return recorded
}

// RecordedStatus returns how far the rollout has come according to the record. An order that no balancer
// has begun to carry out is running at stage 0, and its Share is 0 until it has begun. A withdrawn
// order that was not completed counts as rolled back.
func (r Rollout) RecordedStatus() rollout.Status {
	begun := r.Revision > 0 && (r.recordIsOfOrder() || r.Order.Withdrawn)
	switch {
	case !begun:
		return rollout.Status{State: rollout.Running}
	case r.Order.Withdrawn && r.Record.State == rollout.Running:
		return rollout.Status{State: rollout.RolledBack}
	}
	return rollout.Status{State: r.Record.State, Stage: r.Record.Stage}
}

// Started reports whether a balancer has begun to carry out the latest order, unless
// that was withdrawn.
func (r Rollout) Started() bool {
	return r.Revision > 0 && !r.Order.Withdrawn && r.recordIsOfOrder()
}

// recordIsOfOrder reports whether the record is about the latest order.
func (r Rollout) recordIsOfOrder() bool {
	return r.Record.Order == r.Order.ID() && r.Record.Version == r.Order.Version
}

// Share returns the share of the service's requests that goes to the version being rolled out,
// from 0 to 1.
func (r Rollout) Share() float64 {
	if !r.Order.Withdrawn && !r.Started() {
		return 0
	}
	return r.Status().Share()
}

// version returns the version that the rollout is about.
func (r Rollout) version() string {
	if r.Order.Withdrawn || r.Order.Version == "" {
		return r.Record.Version
	}
	return r.Order.Version
}

// rollouts holds the latest rollout of each service, by service.
type rollouts map[string]Rollout

// applyOrder stores an order unless it or a newer one is known, and reports whether it did. The end
// of an order for an unknown service is ignored.
func (all rollouts) applyOrder(o RolloutOrder) bool {
	r, known := all[o.Service]
	if known && o.Revision <= r.Order.Revision {
		return false
	}
	if !known && o.Withdrawn {
		return false
	}
	if o.Withdrawn {
		o.Version, o.Duration = r.Order.Version, r.Order.Duration
	}
	r.Order = o
	all[o.Service] = r
	return true
}

// applyRecord stores a balancer's record unless it or a newer one is known, and reports whether it
// did. It ignores the deletion of a record, and returns an error for an invalid one.
func (all rollouts) applyRecord(record Record) (changed bool, err error) {
	service, ok := strings.CutPrefix(record.Key, rolloutRecordPrefix)
	if !ok || record.Gone {
		return false, nil
	}
	r := all[service]
	if record.Revision <= r.Revision {
		return false, nil
	}
	var decoded RolloutRecord
	if err := untrusted.Unmarshal(record.Value, untrusted.MaxRecord, &decoded); err != nil {
		return false, untrusted.NewRecordError(record.Key, record.Revision, fmt.Errorf("directory: rollout record: %w", err))
	}
	if err := decoded.check(); err != nil {
		return false, untrusted.NewRecordError(record.Key, record.Revision, fmt.Errorf("directory: rollout record: %w", err))
	}
	if r.Order.Service == "" {
		r.Order = RolloutOrder{Service: service, Withdrawn: true} // the order arrives later, or was withdrawn
	}
	r.Record, r.Revision = decoded, record.Revision
	all[service] = r
	return true, nil
}

// check returns an error if the state or the stage of a record is invalid.
func (r RolloutRecord) check() error {
	switch r.State {
	case rollout.Running, rollout.Completed, rollout.RolledBack:
	default:
		return fmt.Errorf("unknown state %q", r.State)
	}
	if r.Stage < 0 || r.Stage >= len(rollout.Stages) {
		return fmt.Errorf("stage %d out of range", r.Stage)
	}
	return nil
}

// sorted returns the rollouts in order of their services.
func (all rollouts) sorted() []Rollout {
	if len(all) == 0 {
		return nil
	}
	list := make([]Rollout, 0, len(all))
	for _, service := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[service])
	}
	return list
}

// impliedEnds returns the ends of the orders that a full read, at the given revision, does not name.
func (all rollouts) impliedEnds(named []RolloutOrder, at uint64) []RolloutOrder {
	var over []RolloutOrder
	for service, r := range all {
		isNamed := slices.ContainsFunc(named, func(o RolloutOrder) bool { return o.Service == service })
		if !r.Order.Withdrawn && !isNamed {
			over = append(over, RolloutOrder{Service: service, Withdrawn: true, Revision: at})
		}
	}
	return over
}

// assignSides sets the Side of a service's endpoints and returns the share of the requests that
// goes to the new version. Of the endpoints of the new version, it uses as many as that share
// needs, so that each is as busy as any other endpoint.
func (r Rollout) assignSides(list []Endpoint) (share float64) {
	out := r.HeldBackVersions()
	var newer, older []int
	for i := range list {
		switch version := list[i].Version; {
		case version == r.version():
			newer = append(newer, i)
		case slices.Contains(out, version):
			list[i].Side = placement.ExcludedSide
		default:
			older = append(older, i)
		}
	}
	switch {
	case len(newer) == 0:
		return 0
	case r.Status().State == rollout.Completed:
		setSide(list, older, placement.ExcludedSide)
		return 0
	}
	share = r.Share()
	setSide(list, older, placement.OldSide)
	setSide(list, newer, placement.ExcludedSide)
	setSide(list, selectByShare(list, newer, share), placement.NewSide)
	return share
}

// setSide sets the side of the endpoints at indices.
func setSide(list []Endpoint, indices []int, side placement.RolloutSide) {
	for _, i := range indices {
		list[i].Side = side
	}
}

// selectByShare returns the indices of the given share of the endpoints at newer. All balancers
// select the same endpoints. It sorts newer.
func selectByShare(list []Endpoint, newer []int, share float64) []int {
	slices.SortFunc(newer, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(list[a].VM), xxhash.Sum64String(list[b].VM))
	})
	return newer[:int(math.Ceil(share*float64(len(newer))))]
}

// applyRollouts applies rollout orders and the balancers' rollout records.
func (d *Directory) applyRollouts(c Changes, applied *Applied) {
	orders := c.Rollouts
	if c.Complete {
		orders = append(slices.Clone(orders), d.rollouts.impliedEnds(c.Rollouts, c.Revision)...)
	}
	for _, o := range orders {
		previous := d.rollouts[o.Service]
		if d.rollouts.applyOrder(o) {
			d.carryBad(previous, o)
			d.updateBad(o.Service)
			d.markAllChanged(o.Service)
			applied.Rollouts = append(applied.Rollouts, d.rollouts[o.Service])
		}
	}
	for _, r := range c.Registrations {
		changed, err := d.rollouts.applyRecord(r)
		if err != nil {
			applied.Errors = append(applied.Errors, err)
		}
		if changed {
			service := strings.TrimPrefix(r.Key, rolloutRecordPrefix)
			d.markAllChanged(service)
			applied.Rollouts = append(applied.Rollouts, d.rollouts[service])
		}
	}
}
