package tenant

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// Share is one part of a weighted split of a route.
type Share struct {
	Service string
	Weight  float64 // in proportion to those of the other parts
	Fault   string  // why the part cannot be served; empty if it can
}

// PrefixRoute is a route that is recognised by host and path prefix. Its fields
// are those of a request kind, except that it may divide its requests among
// several services.
type PrefixRoute struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Repeatable  bool
	Timeout     time.Duration // longest time a request is held
	Target      time.Duration // an answer within it has its full worth
	Priority    int           // 0 the most urgent
	MaxAttempts int           // endpoints that one request may be sent to
	MaxBody     int64         // bytes of a request's body; 0 for the process's limit alone
	Split       []Share       // at least one
	Public      bool          // callers need no key, where teams have keys
	Regions     []string      // in which requests may be served; empty for all
	Fault       string        // why the route cannot be used as configured; empty if it can
}

// WithDefaults returns the route with values for the fields that are not configured: its target is its
// timeout, and a request is sent to one endpoint.
func (r PrefixRoute) WithDefaults() PrefixRoute {
	if r.Target == 0 {
		r.Target = r.Timeout
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = 1
	}
	return r
}

// Checked returns the route as far as it can be used, and its faults. A part whose service is not configured
// has a Fault; any other fault is one of the route as a whole. The prefix of such a route is completed, so
// that its requests are refused and do not take the route of a shorter prefix. ok is false if the route
// has no host, so that no request can have it.
func (r PrefixRoute) Checked(services map[string]Service) (checked PrefixRoute, faults []error, ok bool) {
	faults = r.Faults(services)
	if own := r.fieldFaults(); len(own) > 0 {
		r.Fault = cmp.Or(r.Fault, strings.ReplaceAll(errors.Join(own...).Error(), "\n", "; "))
		r.Prefix = strings.ReplaceAll("/"+strings.Trim(r.Prefix, "/")+"/", "//", "/")
	}
	r.Split = slices.Clone(r.Split)
	for i, fault := range r.unknownServices(services) {
		r.Split[i].Fault = fault.Error()
	}
	return r, faults, r.Host != ""
}

// Faults returns what is wrong with the route: its fields in their order, then its services.
func (r PrefixRoute) Faults(services map[string]Service) []error {
	faults := r.fieldFaults()
	unknown := r.unknownServices(services)
	for _, i := range slices.Sorted(maps.Keys(unknown)) {
		faults = append(faults, unknown[i])
	}
	return faults
}

// unknownServices returns the faults of the parts whose service is not configured, by their index.
func (r PrefixRoute) unknownServices(services map[string]Service) map[int]error {
	faults := map[int]error{}
	for i, share := range r.Split {
		if _, known := services[share.Service]; !known {
			faults[i] = fmt.Errorf("route %q: split[%d].service: is %q, which is no service", r.Name, i, share.Service)
		}
	}
	return faults
}

// fieldFaults returns what is wrong with the route, in the order of its fields, apart from its services.
func (r PrefixRoute) fieldFaults() []error {
	var faults []error
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf("route %q: %s: %s", r.Name, field, fmt.Sprintf(format, args...)))
		}
	}
	check(r.Fault == "", "spec", "%s", r.Fault)
	if r.Fault != "" {
		return faults
	}
	check(r.Host != "", "host", "is missing")
	check(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "prefix", "is %q; it begins and ends with a slash", r.Prefix)
	check(r.Timeout > 0, "timeout", "is %v; a positive time belongs here", r.Timeout)
	check(r.Target > 0, "target", "is %v; a positive time belongs here", r.Target)
	check(r.MaxAttempts > 0, "attempts", "is %d; at least 1", r.MaxAttempts)
	check(len(r.Split) > 0, "service", "is missing")
	weights := 0.0
	for i, share := range r.Split {
		check(share.Weight >= 0, fmt.Sprintf("split[%d].weight", i), "is %v; at least 0", share.Weight)
		weights += share.Weight
	}
	check(len(r.Split) == 0 || weights > 0, "split", "has no weight above 0")
	check(!math.IsInf(weights, 0), "split", "has weights whose sum is too large")
	return faults
}

// prefixEntry is a route with the kinds it leads to, one for each share.
type prefixEntry struct {
	prefix string
	kinds  []Kind
	ends   []float64 // running sums of the weights
}

// PrefixTable finds the route of a request by its host and the longest prefix
// of its path. It is an immutable value.
type PrefixTable struct {
	tenant     string
	byHost     map[string][]prefixEntry // longest prefix first
	priorities map[int]bool             // of all routes
	total      int
}

// NewPrefixTable returns the table of the routes. Each one without a Fault must have no faults; the kind of
// another one, or of a part that cannot be served, has a Fault.
func NewPrefixTable(tenantName string, routes []PrefixRoute) *PrefixTable {
	t := &PrefixTable{tenant: tenantName, byHost: map[string][]prefixEntry{}, priorities: map[int]bool{}, total: len(routes)}
	for _, r := range routes {
		t.priorities[r.Priority] = true
		t.byHost[r.Host] = append(t.byHost[r.Host], newPrefixEntry(r))
	}
	for _, entries := range t.byHost {
		slices.SortStableFunc(entries, func(a, b prefixEntry) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	return t
}

func newPrefixEntry(r PrefixRoute) prefixEntry {
	entry := prefixEntry{prefix: r.Prefix}
	if r.Fault != "" {
		r.Split = []Share{{Weight: 1}}
	}
	sum := 0.0
	for _, share := range r.Split {
		sum += share.Weight
		entry.ends = append(entry.ends, sum)
		entry.kinds = append(entry.kinds, Kind{
			Name:        r.Name,
			Path:        r.Prefix,
			Service:     share.Service,
			Class:       placement.Interactive,
			Repeatable:  r.Repeatable,
			Patience:    r.Timeout,
			Timeout:     r.Timeout,
			Target:      r.Target,
			Priority:    r.Priority,
			MaxAttempts: r.MaxAttempts,
			MaxBody:     r.MaxBody,
			Public:      r.Public,
			Regions:     placement.NewRegions(r.Regions),
			Fault:       cmp.Or(r.Fault, share.Fault),
		})
	}
	return entry
}

// Len returns the number of routes.
func (t *PrefixTable) Len() int { return t.total }

// HasPriority reports whether a route has the given priority.
func (t *PrefixTable) HasPriority(priority int) bool { return t.priorities[priority] }

// Route finds the route of a request. draw is a random number, uniform among all values of its type, that
// decides among the parts of a split.
func (t *PrefixTable) Route(host, path string, draw uint64) (Route, reason.Code) {
	entries, ok := t.byHost[host]
	if !ok {
		return Route{}, reason.NoTeam
	}
	for i := range entries {
		e := &entries[i]
		if strings.HasPrefix(path, e.prefix) {
			return Route{Tenant: t.tenant, Team: host, Kind: e.kind(draw)}, ""
		}
	}
	return Route{}, reason.NoKind
}

func (e *prefixEntry) kind(draw uint64) *Kind {
	last := len(e.ends) - 1
	place := float64(draw>>11) / (1 << 53) * e.ends[last]
	for i, end := range e.ends {
		if place < end {
			return &e.kinds[i]
		}
	}
	return &e.kinds[last]
}
