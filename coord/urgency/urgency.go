// Package urgency decides whether requests that compete for capacity are ordered by urgency, and how
// long the caller of a request has been trying.
//
// Operators ask for an order in the settings, or by ranking routes in the configuration (Mode.Enabled).
// The age of a request is not stated by its caller. UsualWait infers it from the time that the caller
// still waits.
//
// The package has no clock; its values are immutable.
//
// # Usage
//
//	ordered := mode.Enabled(routes.HasPriority(urgency.MostUrgent))
//	age := usual.Age(declared)
//	usual = usual.With(declared)
package urgency

// MostUrgent is the priority of routes that operators rank above all others.
const MostUrgent = 0

// Mode says when requests are ordered by urgency, as written in the settings.
type Mode string

// The modes.
const (
	Auto Mode = "auto" // if the configuration has a route of priority MostUrgent
	On   Mode = "on"
	Off  Mode = "off"
)

// Valid reports whether m is one of the modes.
func (m Mode) Valid() bool { return m == Auto || m == On || m == Off }

// Enabled reports whether requests are ordered by urgency. ranked says whether the configuration in
// force has a route of priority MostUrgent. The zero Mode is Off.
func (m Mode) Enabled(ranked bool) bool { return m == On || m == Auto && ranked }
