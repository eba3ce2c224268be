// Package reach decides how a balancer reaches its endpoints: directly, or through another balancer,
// called a carrier, while its own path is lost.
//
// An endpoint that does not respond says nothing about the path to it: it may have stopped, be slow, or
// be out of reach for this balancer alone. Only the response of the same endpoint through a carrier
// tells the difference. A Path holds the result for one endpoint, an Outlook what the paths of all
// endpoints together show, a Contact whether any endpoint of a service is reached at all (contact.go),
// and Carriers what is known of the balancers that may carry (carriers.go). Admit decides at a carrier
// about one more connection (admit.go), and Carried.InStop in a planned stop about an open one (carried.go).
//
// The package has no state, no clock and no I/O: all types are immutable values that the caller keeps.
//
// # Usage
//
//	if path.MayCheck(now) {
//		if outlook, ok := outlook.WithCheckBegun(reach.Silence, opts, now); ok {
//			// probe the endpoint through a carrier; if it responds:
//			path = path.WithCheck(reach.Reached, opts, now)
//			outlook = outlook.WithCheckReached(reach.Silence, opts, lastDirect, now)
//		}
//	}
//	if path.Detoured() || outlook.Lost() { ... }
package reach

import (
	"cmp"
	"time"
)

// Options of the rules. Zero fields take their defaults.
type Options struct {
	// Silence is how long a probe stays unanswered before its endpoint counts as silent. It doubles up
	// to MaxSilence with each detour that turns out to be unneeded. Defaults 10 ms and 80 ms.
	Silence    time.Duration
	MaxSilence time.Duration
	// LoneSilence is how long a probe stays unanswered before its endpoint is checked through a carrier
	// even if others respond; default 50 ms.
	LoneSilence time.Duration
	// CheckRate and CheckBurst limit the checks of silent endpoints that find no lost path; defaults 2
	// a second and 4. Checks of endpoints to which no connection opens have a budget of their own,
	// FailureFactor times as large; default 5.
	CheckRate     float64
	CheckBurst    float64
	FailureFactor float64
	// RepeatCheck is how long an endpoint is not checked again after a check that did not reach it. It
	// doubles up to MaxRepeatCheck. Defaults 500 ms and 8 s.
	RepeatCheck    time.Duration
	MaxRepeatCheck time.Duration
	// UncarriedPause is the same after a check for which no carrier opened a connection; default 100 ms.
	UncarriedPause time.Duration
	// DirectCheck is the mean time between two tries of a lost path. It doubles up to MaxDirectCheck
	// while paths are lost again soon after they returned. Defaults 250 ms and 4 s.
	DirectCheck    time.Duration
	MaxDirectCheck time.Duration
	// LostAfter is the number of endpoints whose paths must be lost, with no direct response from any
	// endpoint since, before all paths count as lost; default 3.
	LostAfter int
	// RefuseAfter is how long no endpoint of a service may have responded in any way before requests
	// are refused at once, and RefusePause the time between two requests that are let through to find
	// out whether that has changed. Defaults 500 ms and 100 ms.
	RefuseAfter time.Duration
	RefusePause time.Duration
	// RefuseEndpoints is the number of endpoints of a service, or all of fewer, that checks must have
	// missed before its requests are refused at once; default 5.
	RefuseEndpoints int
}

// flapWindow is the time after a return within which a path that is lost again counts as flapping.
const flapWindow = 10 * time.Second

// WithDefaults returns the options with defaults in place of zero fields.
func (o Options) WithDefaults() Options {
	o.Silence = cmp.Or(o.Silence, 10*time.Millisecond)
	o.MaxSilence = cmp.Or(o.MaxSilence, 80*time.Millisecond)
	o.LoneSilence = cmp.Or(o.LoneSilence, 50*time.Millisecond)
	o.CheckRate = cmp.Or(o.CheckRate, 2)
	o.CheckBurst = cmp.Or(o.CheckBurst, 4)
	o.FailureFactor = cmp.Or(o.FailureFactor, 5)
	o.RepeatCheck = cmp.Or(o.RepeatCheck, 500*time.Millisecond)
	o.MaxRepeatCheck = cmp.Or(o.MaxRepeatCheck, 8*time.Second)
	o.UncarriedPause = cmp.Or(o.UncarriedPause, 100*time.Millisecond)
	o.DirectCheck = cmp.Or(o.DirectCheck, 250*time.Millisecond)
	o.MaxDirectCheck = cmp.Or(o.MaxDirectCheck, 4*time.Second)
	o.LostAfter = cmp.Or(o.LostAfter, 3)
	o.RefuseAfter = cmp.Or(o.RefuseAfter, 500*time.Millisecond)
	o.RefusePause = cmp.Or(o.RefusePause, 100*time.Millisecond)
	o.RefuseEndpoints = cmp.Or(o.RefuseEndpoints, 5)
	return o
}

// maxDoublings keeps doubled durations from overflowing before they are bounded.
const maxDoublings = 10

// doubled returns d doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	return min(d<<min(n, maxDoublings), limit)
}

// Path is what is known of the path to one endpoint. The zero value is a path that works.
type Path struct {
	detouredAt time.Time // when a carrier reached the endpoint that does not respond directly; zero for a direct path
	presumed   bool      // the endpoint was not tried directly, because all paths counted as lost
	confirmed  bool      // a direct connection has failed to open since
	missed     int       // consecutive checks that did not reach the endpoint either
	checkAfter time.Time // no check before this time
	undecided  bool      // no carrier made the last check
	directAt   time.Time // of a detoured path: the next direct check
}

// PresumedLost returns the path to an endpoint that is not tried directly, because all paths count as
// lost.
func PresumedLost(now time.Time) Path { return Path{detouredAt: now, directAt: now, presumed: true} }

// Presumed reports whether nothing is known of the path itself.
func (p Path) Presumed() bool { return p.presumed }

// Detoured reports whether the endpoint is reached through a carrier.
func (p Path) Detoured() bool { return !p.detouredAt.IsZero() }

// Confirmed reports whether a direct connection has failed to open since the path was detoured, so
// that responses outstanding on the direct path are not to be expected.
func (p Path) Confirmed() bool { return p.confirmed }

// DetouredAt returns since when the path is detoured; zero for a direct path.
func (p Path) DetouredAt() time.Time { return p.detouredAt }

// MayCheck reports whether an endpoint that does not respond may be checked through a carrier.
func (p Path) MayCheck(now time.Time) bool { return !p.Detoured() && !now.Before(p.checkAfter) }

// CheckResult is what a check of an endpoint through a carrier shows.
type CheckResult uint8

// The results of checks.
const (
	Reached    CheckResult = iota // the endpoint responded
	Unreached                     // a carrier did not reach it, or reached it and it did not respond
	NotCarried                    // no carrier tried to open a connection, or none answered in time
	NoCarrier                     // there is no other balancer
)

// WithCheck returns the path after a check through a carrier. Of an endpoint that a carrier does not
// reach either, the path is not to blame. A check that was not carried shows nothing of the endpoint.
func (p Path) WithCheck(r CheckResult, o Options, now time.Time) Path {
	switch r {
	case Reached:
		return Path{detouredAt: now, directAt: now.Add(o.DirectCheck)}
	case Unreached:
		p.checkAfter = now.Add(doubled(o.RepeatCheck, p.missed, o.MaxRepeatCheck))
		p.missed++
	case NotCarried, NoCarrier:
		p.checkAfter = now.Add(o.UncarriedPause)
	}
	p.undecided = r == NotCarried
	return p
}

// Undecided reports whether the last check was NotCarried: it shows nothing of the endpoint.
func (p Path) Undecided() bool { return p.undecided }

// WithDirectFailure returns a detoured path after a direct connection failed to open. pause is the
// time until the next try.
func (p Path) WithDirectFailure(pause time.Duration, now time.Time) Path {
	p.presumed, p.confirmed, p.directAt = false, true, now.Add(pause)
	return p
}

// WithDirectCheckDue returns a detoured path whose next direct check is due, because another path
// works again.
func (p Path) WithDirectCheckDue(now time.Time) Path {
	p.directAt = now
	return p
}

// Forgettable reports whether nothing needs to be remembered of a path that is not detoured.
func (p Path) Forgettable(o Options, now time.Time) bool {
	return !p.Detoured() && now.Sub(p.checkAfter) > o.MaxRepeatCheck
}

// DirectCheckDue reports whether a direct connection should be tried.
func (p Path) DirectCheckDue(now time.Time) bool { return p.Detoured() && !now.Before(p.directAt) }

// Outlook is what the paths of all endpoints together show. The zero value has all paths working.
type Outlook struct {
	detoured   int       // endpoints whose paths are detoured
	since      time.Time // when the first of them was detoured
	lost       bool      // all paths count as lost
	returnedAt time.Time // when a lost path last worked again
	flaps      int       // consecutive losses within flapWindow of a return
	unneeded   int       // consecutive detours of paths that had not failed
	silences   budget    // of checks of silent endpoints
	failures   budget    // of checks of endpoints to which no connection opens
}

// Silence returns how long a probe stays unanswered before its endpoint counts as silent.
func (l Outlook) Silence(o Options) time.Duration {
	return doubled(o.Silence, l.unneeded, o.MaxSilence)
}

// Suspects reports whether a silent endpoint should be checked at once: others are silent as well, and
// none has responded directly for a while. An endpoint that is silent alone is most likely slow.
func (l Outlook) Suspects(o Options, othersSilent int, lastDirect, now time.Time) bool {
	return othersSilent > 0 && now.Sub(lastDirect) >= l.Silence(o)
}

// Lost reports whether all paths count as lost, also those of endpoints that were not tried.
func (l Outlook) Lost() bool { return l.lost }

// Detoured returns the number of endpoints whose paths are detoured.
func (l Outlook) Detoured() int { return l.detoured }

// Cause is why an endpoint is checked.
type Cause uint8

// The causes.
const (
	Silence Cause = iota // it does not respond
	Failure              // no connection to it opens
)

// budget is a token bucket of checks. The zero value is full.
type budget struct {
	tokens float64
	spent  time.Time // when tokens was last updated; zero for a full bucket
}

// take takes a token, and reports whether there was one.
func (b budget) take(rate, burst float64, now time.Time) (budget, bool) {
	if b.spent.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.spent).Seconds())
	}
	b.spent = now
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// give returns a token.
func (b budget) give(burst float64) budget {
	b.tokens = min(burst, b.tokens+1)
	return b
}

// WithCheckBegun takes a token for a check, and reports whether there was one.
func (l Outlook) WithCheckBegun(c Cause, o Options, now time.Time) (Outlook, bool) {
	var ok bool
	if c == Failure {
		l.failures, ok = l.failures.take(o.FailureFactor*o.CheckRate, o.FailureFactor*o.CheckBurst, now)
	} else {
		l.silences, ok = l.silences.take(o.CheckRate, o.CheckBurst, now)
	}
	return l, ok
}

// WithCheckReached returns the outlook after a check that reached its endpoint. The token is returned:
// checks that find lost paths are not limited. lastDirect is when an endpoint last responded directly.
func (l Outlook) WithCheckReached(c Cause, o Options, lastDirect, now time.Time) Outlook {
	if c == Failure {
		l.failures = l.failures.give(o.FailureFactor * o.CheckBurst)
	} else {
		l.silences = l.silences.give(o.CheckBurst)
	}
	if l.detoured == 0 {
		l.since = now
		if !l.returnedAt.IsZero() && now.Sub(l.returnedAt) < flapWindow {
			l.flaps++
		} else {
			l.flaps = 0
		}
	}
	l.detoured++
	l.lost = l.lost || l.detoured >= o.LostAfter && lastDirect.Before(l.since)
	return l
}

// WithReturn returns the outlook after the path p was found to work again. n is the number of paths
// that are still detoured.
func (l Outlook) WithReturn(p Path, n int, now time.Time) Outlook {
	switch {
	case p.Presumed():
	case p.Confirmed():
		l.unneeded = 0
	default:
		l.unneeded++
	}
	l.detoured, l.lost, l.returnedAt = n, false, now
	return l
}

// WithDetoured returns the outlook after paths to endpoints that are gone were dropped. n is the number
// of paths that are still detoured.
func (l Outlook) WithDetoured(n int) Outlook {
	l.detoured, l.lost = n, l.lost && n > 0
	return l
}

// DirectCheckPause returns the time until a lost path is tried again. random is in [0, 1).
func (l Outlook) DirectCheckPause(o Options, random float64) time.Duration {
	mean := doubled(o.DirectCheck, l.flaps, o.MaxDirectCheck)
	return time.Duration((0.5 + random) * float64(mean))
}
