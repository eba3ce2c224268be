package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
)

// Status is what a chooser tells operators at /status. Its names are the JSON's.
type Status struct {
	ID        string
	Zone      string
	Ready     bool
	Why       string `json:",omitempty"`
	Version   uint64 // of the configuration
	Revision  uint64 // of the store
	Routes    int
	Evacuated []string `json:",omitempty"` // availability zones that are being emptied
	Endpoints []EndpointStatus
}

// EndpointStatus is the status of one endpoint.
type EndpointStatus struct {
	ID        string
	Service   string
	Zone      string
	State     string  // as listed
	InFlight  int     // requests of this process
	Running   int     // as the endpoint reports
	Waiting   int     // as the endpoint reports
	Pace      float64 // as the endpoint reports
	Slowness  float64 // of its completions against the usual time
	Ejected   bool
	Evacuated bool          // its availability zone is being emptied
	Age       time.Duration // of the last report
}

// Status returns the status.
func (c *Chooser) Status() Status {
	now := time.Now()
	s := c.cfg.Directory.Snapshot()
	st := Status{ID: c.cfg.ID, Zone: c.cfg.Zone, Revision: s.At, Evacuated: s.Evacuated}
	st.Ready, st.Why = c.Ready()
	if s.Config != nil {
		st.Version, st.Routes = s.Config.Version, s.Config.Routes.Len()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, list := range s.Endpoints {
		for _, e := range list {
			st.Endpoints = append(st.Endpoints, c.statusOf(service, e, now))
		}
	}
	return st
}

// peek returns what is remembered of an endpoint, if anything is, without beginning to
// remember it; c.mu is held.
func (c *Chooser) peek(e *directory.Endpoint) selection.Endpoint {
	if known, ok := c.endpoints[e.VM]; ok && known.start == e.Start {
		return known.state
	}
	return selection.NewEndpoint()
}

func (c *Chooser) statusOf(service string, e directory.Endpoint, now time.Time) EndpointStatus {
	known := c.peek(&e)
	load, report := known.Load(), known.Load().Report()
	return EndpointStatus{
		ID: e.VM, Service: service, Zone: e.Zone, State: e.State.String(), InFlight: load.InFlight(),
		Running: report.InFlight, Waiting: report.Waiting, Pace: report.Pace, Slowness: known.Health().Slowness(),
		Ejected: known.Health().Ejected(now), Age: load.Age(now),
		Evacuated: e.Evacuated,
	}
}
