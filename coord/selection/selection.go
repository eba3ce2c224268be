// Package selection is the rule by which a balancer that decides on its own
// chooses an endpoint: from load reports, from what its own requests showed, and
// from what is listed of the endpoints.
//
// A load report says how many requests an endpoint holds and how long work takes
// there (its pace: 1 as usual, 5 for five times as long). Both change within
// milliseconds, so the best endpoints are asked for a fresh report, a probe, just
// before the choice, and an old report loses its weight.
//
// One choice goes like this. Rank makes a Candidate of each endpoint and orders
// them by cost (candidate.go). Whether the best one should be probed first is told
// by NeedsProbe and NextProbe (probe.go), and whether to probe another one though it will
// do by what those probed lately were like (prospect.go). Decide then says whether to take the best
// one, to wait and look again, or to refuse (decide.go). What an endpoint's report
// and its results change is in endpoint.go and load.go, what they teach about the
// usual time of work in learn.go.
//
// The package decides and owns no state: Endpoint, ProbeBudget, Workload, Crowding and
// Prospect are immutable values that the caller keeps. It has no clock, does no input or output
// and starts no goroutine; times are arguments, and so are random numbers.
//
// # Usage
//
//	ranking.Reset(len(listed))
//	for i, e := range listed {
//		ranking.Add(selection.NewCandidate(known[e.ID], i, e.Listing, usual, random, now))
//	}
//	ranking.DropEjected()
//	switch d := selection.Decide(&ranking, request, situation, now); d.Do { ... }
package selection

import (
	"cmp"
	"time"
)

// Options of the choice. Zero fields take the defaults, which are in force
// everywhere but in tests.
type Options struct {
	ProbeFresh  time.Duration // an endpoint with so young a report is not probed; default 4 ms
	ProbeRate   float64       // probes a second of this process for one endpoint; default 3
	ProbeBurst  float64       // probes beyond the rate; default 6
	RefuseShare float64       // part of the target after which a request without an endpoint is refused; default 0.2
	LookAgain   time.Duration // pause before the endpoints are looked at again; default 40 ms
}

// Defaults of Options.
const (
	probeFresh  = 4 * time.Millisecond
	probeRate   = 3
	probeBurst  = 6
	refuseShare = 0.2
	lookAgain   = 40 * time.Millisecond
)

// WithDefaults returns the options with zero fields filled in.
func (o Options) WithDefaults() Options {
	o.ProbeFresh = cmp.Or(o.ProbeFresh, probeFresh)
	o.ProbeRate = cmp.Or(o.ProbeRate, probeRate)
	o.ProbeBurst = cmp.Or(o.ProbeBurst, probeBurst)
	o.RefuseShare = cmp.Or(o.RefuseShare, refuseShare)
	o.LookAgain = cmp.Or(o.LookAgain, lookAgain)
	return o
}
