package placement

import "slices"

// Regions are those in which a request may be served. It is an immutable value; the zero value
// allows all.
type Regions struct {
	bound   bool
	allowed []string
}

// Within returns the regions with these names; all, where there are none.
func Within(names []string) Regions {
	return Regions{bound: len(names) > 0, allowed: names}
}

// With returns the regions that others allow as well: a route and a team both bind.
func (r Regions) With(o Regions) Regions {
	switch {
	case !r.bound:
		return o
	case !o.bound:
		return r
	}
	both := slices.DeleteFunc(slices.Clone(r.allowed), func(name string) bool { return !slices.Contains(o.allowed, name) })
	return Regions{bound: true, allowed: both}
}

// Allow reports whether a request may be served in a region. One that is not known is none of
// those that are named.
func (r Regions) Allow(name string) bool { return !r.bound || slices.Contains(r.allowed, name) }
