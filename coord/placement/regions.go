package placement

import "slices"

// Regions is the set of regions in which a request may be served. It is an immutable value; the
// zero value allows all regions.
type Regions struct {
	restricted bool
	allowed    []string
}

// NewRegions returns the regions with the given names, or all regions if there are no names.
func NewRegions(names []string) Regions {
	return Regions{restricted: len(names) > 0, allowed: names}
}

// Intersect returns the regions that both r and o allow, such as those of a route and of its team.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case !r.restricted:
		return o
	case !o.restricted:
		return r
	}
	both := slices.DeleteFunc(slices.Clone(r.allowed), func(name string) bool { return !slices.Contains(o.allowed, name) })
	return Regions{restricted: true, allowed: both}
}

// Allows reports whether a request may be served in a region. The empty name, for an unknown
// region, is allowed only if all regions are.
func (r Regions) Allows(name string) bool { return !r.restricted || slices.Contains(r.allowed, name) }
