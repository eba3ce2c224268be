package directory

import "time"

// MarkBad records that the version of the rollout order with the given revision was found bad, and
// reports whether that was new. The order itself may become known later.
func (d *Directory) MarkBad(service string, order uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if order <= d.badOrders[service] {
		return false
	}
	d.badOrders[service] = order
	if d.applyBad(service) {
		d.markAllChanged(service)
		d.publish(now)
	}
	return true
}

// applyBad sets Bad in a service's rollout and returns it; d.mu is held.
func (d *Directory) applyBad(service string) bool {
	r, known := d.rollouts[service]
	if !known {
		return false
	}
	r.Bad = r.Order.Revision == d.badOrders[service]
	d.rollouts[service] = r
	return r.Bad
}
