package directory

import "time"

// leavingNotice names one start of an endpoint that is leaving.
type leavingNotice struct {
	id    string
	start int64
}

// maxLeavingNotices bounds the notices that are kept.
const maxLeavingNotices = 4096

// leavingNotices holds, with the time of their latest arrival, the notices about endpoints whose
// entries are not known yet: another balancer's notice may arrive before the entry does. A notice
// is kept for leavingRetention.
type leavingNotices map[leavingNotice]time.Time

// add keeps a notice. When there are maxLeavingNotices already, it drops the oldest one.
func (n leavingNotices) add(id string, start int64, now time.Time) {
	key := leavingNotice{id, start}
	if _, known := n[key]; !known && len(n) >= maxLeavingNotices {
		n.dropOldest()
	}
	n[key] = now
}

// dropOldest removes the notice whose latest arrival is the longest ago.
func (n leavingNotices) dropOldest() {
	var oldest leavingNotice
	var at time.Time
	for key, arrived := range n {
		if at.IsZero() || arrived.Before(at) {
			oldest, at = key, arrived
		}
	}
	delete(n, oldest)
}

// take removes the notice about a start and reports whether there was one.
func (n leavingNotices) take(id string, start int64) bool {
	key := leavingNotice{id, start}
	_, known := n[key]
	delete(n, key)
	return known
}

// removeExpired removes the notices older than leavingRetention.
func (n leavingNotices) removeExpired(now time.Time) {
	for key, arrived := range n {
		if now.Sub(arrived) > leavingRetention {
			delete(n, key)
		}
	}
}

// Leaving returns the endpoints that are leaving while the store still lists them.
func (d *Directory) Leaving() (all []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.unlisted {
		if e := d.endpoints[id]; e.State == Leaving && !e.Gone {
			all = append(all, e)
		}
	}
	return all
}

// MarkLeaving marks one start of an endpoint as leaving, and reports whether that was new. The start
// either announced that it is leaving, or a different server answers at its address. If the
// endpoint's entry is not known yet, the endpoint is marked when its entry is read.
func (d *Directory) MarkLeaving(id string, start int64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[id]
	switch {
	case known && e.Start == start:
		if e.State == Leaving {
			return false
		}
		d.store(e, e.withState(Leaving, now))
		d.publish(now)
		return true
	case known && start < e.Start:
		return false // an older start than the one known
	}
	_, noted := d.notices[leavingNotice{id, start}]
	d.notices.add(id, start, now)
	return !noted
}
