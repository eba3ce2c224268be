package directory

import "time"

// MarkBad notes that the version of an order was found bad, and reports whether that was news. The
// order may be told later.
func (d *Directory) MarkBad(service string, order uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if order <= d.bad[service] {
		return false
	}
	d.bad[service] = order
	if d.applyBad(service) {
		d.touchAll(service)
		d.publish(now)
	}
	return true
}

// applyBad notes of a service's roll-out whether its version was found bad, and reports whether it
// was.
func (d *Directory) applyBad(service string) bool {
	r, known := d.rollouts[service]
	if !known {
		return false
	}
	r.Bad = r.Order.Revision == d.bad[service]
	d.rollouts[service] = r
	return r.Bad
}
