package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
)

// badOrder names a rollout order whose version was found bad.
type badOrder struct {
	id      uint64 // RolloutOrder.ID
	version string
}

// MarkBad records that the version of a service's rollout order was found bad, and reports whether
// that was new. id is RolloutOrder.ID of the order, which may be read later. A mark of an earlier order than
// the known one is ignored.
func (d *Directory) MarkBad(service string, id uint64, version string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	bad := badOrder{id: id, version: version}
	if old, marked := d.badOrders[service]; marked && (old == bad || id < old.id && !d.isLatestOrder(service, bad)) {
		return false
	}
	d.badOrders[service] = bad
	if d.updateBad(service) {
		d.markAllChanged(service)
		d.publish(now)
	}
	return true
}

// isLatestOrder reports whether a mark is of the latest order known of a service; d.mu is held.
func (d *Directory) isLatestOrder(service string, bad badOrder) bool {
	o := d.rollouts[service].Order
	return o.ID() == bad.id && o.Version == bad.version
}

// carryBad keeps a mark when an operator's order that a restored store had lost is written again, at another
// revision; d.mu is held.
func (d *Directory) carryBad(previous Rollout, o RolloutOrder) {
	again := position.Restored(previous.Order.Revision, o.Revision) && o.Version == previous.Order.Version && o.Duration == previous.Order.Duration
	if previous.Bad && again && !o.Withdrawn {
		d.badOrders[o.Service] = badOrder{id: o.ID(), version: o.Version}
	}
}

// updateBad sets the field Bad of a service's rollout and returns its new value; d.mu is held.
func (d *Directory) updateBad(service string) bool {
	r, known := d.rollouts[service]
	if !known {
		return false
	}
	bad, marked := d.badOrders[service]
	r.Bad = marked && d.isLatestOrder(service, bad)
	d.rollouts[service] = r
	return r.Bad
}
