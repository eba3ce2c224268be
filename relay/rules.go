package relay

import (
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
)

// The rules of following and registering, as functions of their arguments.

const (
	// unsettledDivisor shortens the penalty of a relay that answers but is not settled: asking it
	// again costs little.
	unsettledDivisor = 4
	// otherRelaysFactor lengthens the random wait while relays of other zones serve: nothing
	// presses then, and what another balancer registers becomes known late.
	otherRelaysFactor = 10
)

// unsettledError says that a balancer that was asked is not up to date itself.
type unsettledError struct {
	lost    bool   // because the store does not answer it
	askers  int    // balancers that asked it lately
	instead string // address of one that may be asked; empty for none
}

// Error tells it.
func (e unsettledError) Error() string {
	if e.lost {
		return "relay: not settled, store lost"
	}
	return "relay: not settled"
}

// nextRelay returns the relay to ask: that of the own zone first, then others in
// an order of this balancer's own, so that the balancers of a zone without a relay
// spread. Those that failed lately are left out.
func nextRelay(all []Relay, own Relay, penalized map[string]time.Time, turn int, now time.Time) (Relay, bool) {
	var candidates []Relay
	for _, r := range all {
		if r.Addr != own.Addr && !now.Before(penalized[r.Addr]) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return Relay{}, false
	}
	for _, r := range candidates {
		if r.Zone == own.Zone {
			return r, true
		}
	}
	return candidates[turn%len(candidates)], true
}

// penalty returns for how long a relay that failed with err is left alone. One that has
// lost the store is asked seldom: its followers wait at the relay of their own zone.
func (o Options) penalty(err error) time.Duration {
	var unsettled unsettledError
	if errors.As(err, &unsettled) && !unsettled.lost {
		return o.Penalty / unsettledDivisor
	}
	return o.Penalty
}

// outOfTouch reports whether no settled relay has answered for so long that the
// store has to be followed meanwhile: others may fail in the same way.
func (o Options) outOfTouch(lastGood, now time.Time) bool {
	return now.Sub(lastGood) > o.Wait+o.Slack
}

// jitter returns the bound of the random part of the wait before a registration.
func (o Options) jitter(relays int) time.Duration {
	if relays > 0 {
		return o.BackoffJitter * otherRelaysFactor
	}
	return o.BackoffJitter
}

// leastScatter is the part of its bound that the random part of the wait has at least. The
// wait of a VM grows with the inverse of its processor share, so that with this part all of
// a zone's VMs with four times the share of the others have waited to the end before the
// first of these may register, however many they are: their links are narrow.
const leastScatter = 0.25

// turn returns which part of the random wait a balancer draws, given a random number from 0
// to 1. Seeds come after all others of their size: they are asked for first copies anyway,
// so that a fleet that starts has more balancers to ask where its relays are others.
func turn(isSeed bool, random float64) float64 {
	if isSeed {
		return (1 + random) / 2
	}
	return random / 2
}

// scatter returns the random part of the wait, given its bound. random is from 0 to 1.
func scatter(bound time.Duration, random float64) time.Duration {
	return time.Duration((leastScatter + (1-leastScatter)*random) * float64(bound))
}

// backoff returns how long a balancer with a processor share, in cores, leaves a
// vacancy to others. random is the random part.
func (o Options) backoff(random time.Duration, cores float64) time.Duration {
	return bootstrap.BySize(o.BackoffBase+random, cores)
}
