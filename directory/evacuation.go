package directory

import "slices"

// evacuations holds the latest evacuation of each availability zone, by zone. An evacuation that
// ended is kept, because a late read may repeat its beginning; zones are few.
type evacuations map[string]Evacuation

// apply stores an evacuation unless a newer one is known, and reports whether the zone became
// evacuated, or stopped being so.
func (z evacuations) apply(e Evacuation) (changed bool) {
	old, known := z[e.Zone]
	if known && e.Revision < old.Revision {
		return false
	}
	e.Began = e.Revision
	if e.Ended {
		e.Began = old.Began
	}
	z[e.Zone] = e
	return e.Ended == (known && !old.Ended)
}

// impliedEnds returns the ends of the evacuations that a full read, at the given revision, does not
// name.
func (z evacuations) impliedEnds(named []Evacuation, at uint64) []Evacuation {
	var ended []Evacuation
	for zone, e := range z {
		isNamed := slices.ContainsFunc(named, func(n Evacuation) bool { return n.Zone == zone })
		if !e.Ended && !isNamed {
			ended = append(ended, Evacuation{Zone: zone, Ended: true, Revision: at})
		}
	}
	return ended
}

// isEvacuated reports whether a zone is evacuated.
func (z evacuations) isEvacuated(zone string) bool {
	e, known := z[zone]
	return known && !e.Ended
}

// evacuatedZones returns the names of the evacuated zones, sorted.
func (z evacuations) evacuatedZones() []string {
	var names []string
	for zone := range z {
		if z.isEvacuated(zone) {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return names
}
