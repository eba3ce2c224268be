package direct

import (
	"slices"

	"github.com/lotuswing/lotuswing/directory"
)

// Requests whose route or team names regions are served only by endpoints in these regions.

// allOutOfRegion reports whether there are endpoints but none is in a region where the request may
// be served.
func (c *Chooser) allOutOfRegion(s *search) bool {
	return len(s.listed) > 0 && !slices.ContainsFunc(s.listed, func(e directory.Endpoint) bool { return c.inRegion(s, &e) })
}

// inRegion reports whether the request may be served in the region of an endpoint.
func (c *Chooser) inRegion(s *search, e *directory.Endpoint) bool {
	return s.request.Regions.Allows(c.cfg.Regions[e.Zone])
}
