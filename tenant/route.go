package tenant

import (
	"slices"
	"strings"

	"github.com/lotuswing/lotuswing/coord/reason"
)

// Route is where a request belongs.
type Route struct {
	Tenant  string
	Team    string
	Kind    *Kind
	Version uint64 // of the configuration that decided; 0 where it is not told
}

// ServiceKey names a service among all tenants.
func (r Route) ServiceKey() string { return r.Tenant + "/" + r.Kind.Service }

// ServiceName returns a service's name without its tenant.
func ServiceName(key string) string {
	if _, name, ok := strings.Cut(key, "/"); ok {
		return name
	}
	return key
}

// Route finds the team and kind of a request. The host has no port. The
// reason is empty when there is a route.
func (c *Config) Route(host, method, path string) (Route, reason.Code) {
	team, ok := c.byHost[host]
	if !ok {
		return Route{}, reason.NoTeam
	}
	for i := range team.Kinds {
		k := &team.Kinds[i]
		if slices.Contains(k.Methods, method) && matches(k.segments, path) {
			return Route{Tenant: c.Tenant, Team: team.Name, Kind: k}, ""
		}
	}
	return Route{}, reason.NoKind
}

// matches compares a path with a pattern's segments without allocating.
func matches(pattern []string, path string) bool {
	for i, want := range pattern {
		if want == "*" && i == len(pattern)-1 {
			return true
		}
		segment, rest, more := strings.Cut(path, "/")
		if strings.HasPrefix(want, "{") {
			if segment == "" {
				return false
			}
		} else if segment != want {
			return false
		}
		if !more {
			return i == len(pattern)-1
		}
		path = rest
	}
	return false
}
