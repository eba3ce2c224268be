package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
)

// Status is what a chooser reports to operators at /status. The field names are also the JSON
// names.
type Status struct {
	ID        string
	Zone      string
	Ready     bool
	Why       string   `json:",omitempty"` // reason why it is not ready
	Version   uint64   // of the configuration
	Revision  uint64   // position in the store's content, see package coord/position
	Routes    int      // number of configured routes
	Evacuated []string `json:",omitempty"` // availability zones that are being evacuated
	ByUrgency bool     // requests that find no room are served by urgency
	Pressed   []string `json:",omitempty"` // services of which many endpoints were full or did not answer a moment ago, if ByUrgency
	Endpoints []EndpointStatus
}

// EndpointStatus is the status of one endpoint.
type EndpointStatus struct {
	ID        string
	Service   string
	Zone      string
	State     string  // in the directory
	InFlight  int     // requests of this process
	Running   int     // as the endpoint reports
	Waiting   int     // as the endpoint reports
	Pace      float64 // as the endpoint reports
	Slowness  float64 // of its completions relative to the usual time
	Ejected   bool
	Resets    int           `json:",omitempty"` // probes and requests that it reset since the last report, if ByUrgency
	Evacuated bool          // its availability zone is being evacuated
	Age       time.Duration // of the last report
}

// Status returns the current status of the chooser and of all listed endpoints.
func (c *Chooser) Status() Status {
	now := time.Now()
	s := c.cfg.Directory.Snapshot()
	st := Status{ID: c.cfg.ID, Zone: c.cfg.Zone, Revision: s.Revision, Evacuated: s.Evacuated, ByUrgency: c.OrdersByUrgency()}
	st.Ready, st.Why = c.Ready()
	if s.Config != nil {
		st.Version, st.Routes = s.Config.Version, s.Config.Routes.Len()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st.Pressed = c.pressedServices(now)
	for service, list := range s.Endpoints {
		for _, e := range list {
			st.Endpoints = append(st.Endpoints, c.endpointStatus(service, e, now))
		}
	}
	return st
}

// observedState returns what was observed of an endpoint, without creating a state if there is
// none; c.mu must be held.
func (c *Chooser) observedState(e *directory.Endpoint) selection.Endpoint {
	if state, ok := c.endpoints[e.VM]; ok && state.start == e.Start {
		return state.observed
	}
	return selection.NewEndpoint()
}

// endpointStatus returns the status of one endpoint; c.mu must be held.
func (c *Chooser) endpointStatus(service string, e directory.Endpoint, now time.Time) EndpointStatus {
	state := c.observedState(&e)
	load, report := state.Load(), state.Load().Report()
	return EndpointStatus{
		ID: e.VM, Service: service, Zone: e.Zone, State: e.State.String(), InFlight: load.InFlight(),
		Running: report.InFlight, Waiting: report.Waiting, Pace: report.Pace, Slowness: state.Health().Slowness(),
		Ejected: state.Health().Ejected(now), Resets: state.Resets(), Age: load.Age(now),
		Evacuated: e.Evacuated,
	}
}
