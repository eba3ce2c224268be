// Package selection chooses an endpoint for a request in a balancer that does so itself, rather
// than ask the balancer that grants the service's slots. The choice is based on load reports, on
// the results of the balancer's own requests, and on the directory's entries for the endpoints.
//
// A load report says how many requests an endpoint holds and how slow it is. Its pace is the
// slowdown factor: 1 at the usual speed, 5 if work takes five times as long. Both change
// within milliseconds, so the best endpoints are probed for a fresh report just before the
// choice, and the weight of a report decays with its age.
//
// A search runs in rounds. In each round NewCandidate rates every endpoint, and a Ranking orders
// the candidates by cost (candidate.go). NeedsProbe and NextProbe select the endpoint to probe
// before a decision (probe.go); if the best candidate is good already, the latest probes tell
// whether a further one pays (probehistory.go). Decide then takes the best candidate, waits for the
// next round, or refuses the request (decide.go). The state of an endpoint is in endpoint.go
// and load.go, and the learning of usual service times in learn.go. Rules for endpoints that are
// warming up are in warmup.go, those for services whose endpoints are full in pressure.go, and those
// for a balancer that is starting in start.go.
//
// The package keeps no state: Endpoint, ProbeBudget, ServiceTime, Crowding, ProbeHistory,
// Pressure and WarmupBackoff are immutable values that the caller keeps. It has no clock, does no input or
// output and starts no goroutine; times and random numbers are arguments.
//
// # Usage
//
//	ranking.Reset(len(listed))
//	for i, e := range listed {
//		ranking.Add(selection.NewCandidate(known[e.ID], i, e.Listing, params, random, now))
//	}
//	ranking.DropEjected()
//	switch d := options.Decide(&ranking, request, state, now); d.Action { ... }
package selection

import (
	"cmp"
	"time"
)

// Options of the choice. WithDefaults replaces zero fields by the defaults, which are used
// everywhere except in tests.
type Options struct {
	MaxFreshAge time.Duration // an endpoint whose report is at most so old is not probed; default 4 ms
	ProbeRate   float64       // probes per second of this process to one endpoint; default 3
	ProbeBurst  float64       // size of the token bucket for these probes; default 6
	SearchShare float64       // share of the latency target after which the search for an endpoint ends; default 0.2
	RoundPause  time.Duration // usual pause between two search rounds; default 40 ms
}

// Defaults of Options.
const (
	defaultMaxFreshAge = 4 * time.Millisecond
	defaultProbeRate   = 3
	defaultProbeBurst  = 6
	defaultSearchShare = 0.2
	defaultRoundPause  = 40 * time.Millisecond
)

// WithDefaults returns the options with zero fields filled in.
func (o Options) WithDefaults() Options {
	o.MaxFreshAge = cmp.Or(o.MaxFreshAge, defaultMaxFreshAge)
	o.ProbeRate = cmp.Or(o.ProbeRate, defaultProbeRate)
	o.ProbeBurst = cmp.Or(o.ProbeBurst, defaultProbeBurst)
	o.SearchShare = cmp.Or(o.SearchShare, defaultSearchShare)
	o.RoundPause = cmp.Or(o.RoundPause, defaultRoundPause)
	return o
}
