package directory

import "time"

// MarkBad records that the version of a service's rollout order was found bad, and reports whether
// that was new. orderRevision is the store's revision of the order, which may be read later.
func (d *Directory) MarkBad(service string, orderRevision uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if orderRevision <= d.badOrderRevisions[service] {
		return false
	}
	d.badOrderRevisions[service] = orderRevision
	if d.updateBad(service) {
		d.markAllChanged(service)
		d.publish(now)
	}
	return true
}

// updateBad sets the field Bad of a service's rollout and returns its new value; d.mu is held.
func (d *Directory) updateBad(service string) bool {
	r, known := d.rollouts[service]
	if !known {
		return false
	}
	r.Bad = r.Order.Revision == d.badOrderRevisions[service]
	d.rollouts[service] = r
	return r.Bad
}
