package relay

import (
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
)

// This file holds the rules of following and registering as functions without side effects.

const (
	// unsettledPenaltyDivisor shortens the penalty of a relay that answers but is not settled:
	// asking it again costs little.
	unsettledPenaltyDivisor = 4
	// otherRelaysJitterFactor lengthens the registration jitter while relays of other zones serve:
	// registration is not urgent then, and balancers that follow a relay of another zone learn late
	// that one of them has registered.
	otherRelaysJitterFactor = 10
)

// unsettledError reports that the balancer that was asked does not have the store's current state.
type unsettledError struct {
	lost        bool   // the store does not answer it
	askers      int    // number of balancers that asked it lately
	alternative string // address of a balancer to ask instead; empty for none
}

// Error implements error.
func (e unsettledError) Error() string {
	if e.lost {
		return "relay: peer is not up to date: store does not answer it"
	}
	return "relay: peer is not up to date"
}

// nextRelay returns the relay to ask, and false if there is none. It prefers the relay of this
// balancer's own zone, then selects another one by offset, so that the balancers of a zone without
// a relay spread over the others. It skips relays whose penalty lasts.
func nextRelay(all []Relay, own Relay, penalized map[string]time.Time, offset int, now time.Time) (Relay, bool) {
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
	return candidates[offset%len(candidates)], true
}

const (
	// minOtherRelayPause and otherRelayPausePerAsker set how often a balancer that waits at a relay without the store
	// asks one of the other relays, which may have it back. All balancers of a fleet do so.
	minOtherRelayPause      = 300 * time.Millisecond
	otherRelayPausePerAsker = 4 * time.Millisecond
)

// otherRelayPause returns the time between two questions to other relays while a balancer waits at one that has
// lost the store and has the given number of askers.
func otherRelayPause(askers int) time.Duration {
	return max(minOtherRelayPause, time.Duration(askers)*otherRelayPausePerAsker)
}

// otherRelay returns the n-th relay, in rotation, besides this balancer and the one that it waits at, and false if
// there is none. Penalties do not count: the question costs little, and a relay that had lost the store may have it
// back long before its penalty ends.
func otherRelay(all []Relay, own, waitingAt string, n int) (Relay, bool) {
	var others []Relay
	for _, r := range all {
		if r.Addr != own && r.Addr != waitingAt {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return Relay{}, false
	}
	return others[n%len(others)], true
}

// penalty returns how long a relay that failed with err is not asked. A relay that has lost the
// store gets the full penalty: followers learn of its recovery by patient calls, which ignore
// penalties and go to the relay of their own zone first.
func (o Options) penalty(err error) time.Duration {
	var unsettled unsettledError
	if errors.As(err, &unsettled) && !unsettled.lost {
		return o.Penalty / unsettledPenaltyDivisor
	}
	return o.Penalty
}

// mustWatchStore reports whether the last answer of a settled relay is so old that this balancer
// has to watch the store in the meantime: other relays may fail in the same way.
func (o Options) mustWatchStore(lastSettledAnswer, now time.Time) bool {
	return now.Sub(lastSettledAnswer) > o.Wait+o.Slack
}

// probeDue returns when a balancer whose relays have lost the store asks the store itself: in its turn, or
// earlier if the store's content was confirmed so long ago that a change would be known too late. confirmed is
// the latest time at which nothing was missing, zero if unknown. A balancer asks out of turn once: probedFor is
// the confirmed time for which it has asked. So an outage costs one call of each balancer beyond the turns.
func (o Options) probeDue(turn, confirmed, probedFor time.Time) time.Time {
	if confirmed.IsZero() || confirmed.Equal(probedFor) {
		return turn
	}
	if due := confirmed.Add(o.AskStoreAfter); due.Before(turn) {
		return due
	}
	return turn
}

// maxJitter returns the upper bound of the random part of the wait before a registration, given the
// number of registered relays.
func (o Options) maxJitter(relays int) time.Duration {
	if relays > 0 {
		return o.BackoffJitter * otherRelaysJitterFactor
	}
	return o.BackoffJitter
}

// minJitterShare is the least fraction of its upper bound that the random part of the wait takes.
// The wait of a VM grows with the inverse of its processor share. With this fraction, all VMs of a
// zone with four times the share of the others have finished their wait before the first of the
// others may register, whatever their number. Small VMs should not become relays, because their
// network links are narrow.
const minJitterShare = 0.25

// jitterPosition returns the balancer's position in the jitter range, from 0 to 1, given a random
// number from 0 to 1. Seeds come after all other balancers of their size: they serve first copies
// anyway, so a fleet that starts has more balancers to ask if its relays are not seeds.
func jitterPosition(isSeed bool, random float64) float64 {
	if isSeed {
		return (1 + random) / 2
	}
	return random / 2
}

// jitterAt returns the random part of the wait, given its upper bound and the balancer's position
// in the jitter range, from 0 to 1.
func jitterAt(bound time.Duration, position float64) time.Duration {
	return time.Duration((minJitterShare + (1-minJitterShare)*position) * float64(bound))
}

// backoff returns how long a balancer waits before it registers, given the random part of the wait
// and its processor share in cores.
func (o Options) backoff(jitter time.Duration, cores float64) time.Duration {
	return bootstrap.ScaleByCores(o.BackoffBase+jitter, cores)
}
