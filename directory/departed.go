package directory

import "time"

// departure names one start of an endpoint.
type departure struct {
	id    string
	start int64
}

// mostDeparted bounds how many departures are kept of endpoints whose entries are not known.
const mostDeparted = 4096

// departures are the starts of endpoints that are known to leave while no entry of them is: the
// word of one balancer may reach another one before the entry does. They are kept for as long as
// what is known of an endpoint that left.
type departures map[departure]time.Time

// add keeps a departure. Where there are too many the oldest goes.
func (d departures) add(id string, start int64, now time.Time) {
	key := departure{id, start}
	if _, known := d[key]; !known && len(d) >= mostDeparted {
		d.dropOldest()
	}
	d[key] = now
}

func (d departures) dropOldest() {
	var oldest departure
	var at time.Time
	for key, heard := range d {
		if at.IsZero() || heard.Before(at) {
			oldest, at = key, heard
		}
	}
	delete(d, oldest)
}

// take removes the departure of a start and reports whether there was one.
func (d departures) take(id string, start int64) bool {
	key := departure{id, start}
	_, known := d[key]
	delete(d, key)
	return known
}

// forget drops departures that are too old.
func (d departures) forget(now time.Time) {
	for key, heard := range d {
		if now.Sub(heard) > leavingFor {
			delete(d, key)
		}
	}
}

// Leaving returns the endpoints that leave and that the store still lists.
func (d *Directory) Leaving() (all []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.ended {
		if e := d.endpoints[id]; e.State == Leaving && !e.Gone {
			all = append(all, e)
		}
	}
	return all
}

// MarkLeaving notes that one start of an endpoint said that it leaves, or that another
// incarnation answers at its address. It reports whether that was news. An endpoint whose entry is
// read later is known to leave then.
func (d *Directory) MarkLeaving(id string, start int64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[id]
	switch {
	case known && e.Start == start:
		if e.State == Leaving {
			return false
		}
		d.keep(e, e.withState(Leaving, now))
		d.publish(now)
		return true
	case known && start < e.Start:
		return false // a start before the one that is known
	}
	_, noted := d.departed[departure{id, start}]
	d.departed.add(id, start, now)
	return !noted
}
