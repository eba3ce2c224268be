// Package tenant is the operators' document of one tenant: services, templates
// of request kinds, and teams that fill in a template's parameters.
//
// A document becomes a Config in render.go; requests are routed in route.go, and on
// the operators' platform by host and longest prefix in prefix.go. The package owns no
// state and relies on package jsonc for the place of each fault.
//
// # Usage
//
//	cfg, err := tenant.Parse("bennani.jsonc", raw)
//	route, why := cfg.Route(host, method, path)
//
// A Config is immutable; it is what the request path reads.
package tenant

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/budget"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// Document is the form that operators write.
type Document struct {
	Tenant    string              `json:"tenant"`
	Measuring Measuring           `json:"measuring"`
	Services  map[string]Service  `json:"services"`
	Templates map[string]Template `json:"templates"`
	Teams     map[string]Team     `json:"teams"`
}

// Measuring is what measuring endpoints may cost, in endpoint time.
type Measuring struct {
	Rate        time.Duration `json:"rate"`         // per second, for the whole fleet
	Burst       time.Duration `json:"burst"`        // above the rate, in any window
	Reserve     time.Duration `json:"reserve"`      // part of the burst kept for delayed probes
	ProbeCost   time.Duration `json:"probe_cost"`   // of one probe
	ConnectCost time.Duration `json:"connect_cost"` // of one new connection
}

// Limit returns the budget's limit.
func (m Measuring) Limit() budget.Limit {
	return budget.Limit{Rate: m.Rate, Burst: m.Burst, Reserve: m.Reserve}
}

// Cost returns what one probe on a new connection costs.
func (m Measuring) Cost() time.Duration { return m.ProbeCost + m.ConnectCost }

// Service is a pool of endpoints.
type Service struct {
	Slots       int    `json:"slots"`       // requests that one endpoint serves at a time
	Connections int    `json:"connections"` // that one endpoint accepts in all
	ProbePath   string `json:"probe_path"`  // asked by GET to measure an endpoint
	Protocol    string `json:"protocol"`    // http/1.1 or h2c; default http/1.1

	// WarmupRate is how many requests a second one endpoint bears while it warms up, from
	// all balancers; 0 where it is not known. Only the operators' platform tells it.
	WarmupRate float64 `json:"-"`
}

// Template declares request kinds with parameters.
type Template struct {
	Parameters map[string]Parameter `json:"parameters"`
	Kinds      []KindSpec           `json:"kinds"`
}

// Parameter of a template.
type Parameter struct {
	Type    string `json:"type"` // duration, string or service
	Min     string `json:"min"`
	Max     string `json:"max"`
	Default string `json:"default"`
	Doc     string `json:"doc"`
}

// KindSpec is a request kind as written; its texts may use ${parameter}.
type KindSpec struct {
	Name       string   `json:"name"`
	Methods    []string `json:"methods"`
	Path       string   `json:"path"` // segments; {name} matches one, a last * any rest
	Service    string   `json:"service"`
	Class      string   `json:"class"` // interactive or patient
	Repeatable bool     `json:"repeatable"`
	Patience   string   `json:"patience"` // how long it may wait for a slot
	Timeout    string   `json:"timeout"`  // for the whole request
}

// Team fills in a template.
type Team struct {
	Template   string            `json:"template"`
	Hosts      []string          `json:"hosts"`
	Parameters map[string]string `json:"parameters"`
}

// Config is what a document becomes. It is an immutable value.
type Config struct {
	Tenant    string
	Measuring Measuring
	Services  map[string]Service
	Teams     []RenderedTeam
	byHost    map[string]*RenderedTeam
}

// RenderedTeam is a team with its parameters filled in.
type RenderedTeam struct {
	Name  string
	Hosts []string
	Kinds []Kind
}

// Kind is a request kind in force.
type Kind struct {
	Name       string
	Methods    []string
	Path       string
	Service    string
	Class      placement.Class
	Repeatable bool
	Patience   time.Duration
	Timeout    time.Duration

	// Of routes by prefix; zero in templates.
	Target      time.Duration // an answer within it has its full worth
	Priority    int           // 0 the most urgent; that of a team goes before it
	MaxAttempts int           // endpoints that one request may be sent to; 0 for the default
	MaxBody     int64         // bytes of a request's body; 0 for the process's limit alone
	Public      bool          // callers need no key, where teams have keys
	Regions     placement.Regions
	Fault       string // why requests cannot be served as configured; empty if they can

	segments []string
}
