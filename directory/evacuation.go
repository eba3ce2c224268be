package directory

import "slices"

// evacuations are the availability zones of which it was told that they are emptied or
// taken back, by name. What was told last stays remembered for good, because a late read
// may repeat what was told before it; zones are few.
type evacuations map[string]Evacuation

// note keeps what is told of a zone unless something newer is known, and reports whether
// it was news for the request path.
func (z evacuations) note(e Evacuation) (news bool) {
	old, known := z[e.Zone]
	if known && e.Revision < old.Revision {
		return false
	}
	z[e.Zone] = e
	return e.Over == (known && !old.Over)
}

// missing returns the ends of the evacuations that a reading of everything up to a
// revision does not name.
func (z evacuations) missing(named []Evacuation, at uint64) []Evacuation {
	var over []Evacuation
	for zone, e := range z {
		isNamed := slices.ContainsFunc(named, func(n Evacuation) bool { return n.Zone == zone })
		if !e.Over && !isNamed {
			over = append(over, Evacuation{Zone: zone, Over: true, Revision: at})
		}
	}
	return over
}

// inForce reports whether a zone is being emptied.
func (z evacuations) inForce(zone string) bool {
	e, known := z[zone]
	return known && !e.Over
}

// zones returns the zones that are being emptied, in the order of their names.
func (z evacuations) zones() []string {
	var names []string
	for zone := range z {
		if z.inForce(zone) {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return names
}
