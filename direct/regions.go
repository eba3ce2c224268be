package direct

import (
	"slices"

	"github.com/lotuswing/lotuswing/directory"
)

// Requests whose route or team names regions are served by endpoints of these regions alone.

// allOutOfRegion reports whether there are endpoints and the request may be served at none of
// them because of the region in which it is.
func (c *Chooser) allOutOfRegion(s *search) bool {
	return len(s.listed) > 0 && !slices.ContainsFunc(s.listed, func(e directory.Endpoint) bool { return c.inRegion(s, &e) })
}

// inRegion reports whether the request may be served in the region of an endpoint.
func (c *Chooser) inRegion(s *search, e *directory.Endpoint) bool {
	return s.request.Regions.Allow(c.cfg.Regions[e.Zone])
}
