package logread

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/telemetry"
)

// Cause is what a request that ended late, or was not served, lost its time or its answer
// to: the first of the causes that holds, in the order of Causes.
type Cause string

// The causes.
const (
	CauseRefused  Cause = "no endpoint"        // none was found in time, so that it was refused
	CauseAttempt  Cause = "an attempt before"  // its first endpoint failed or refused it
	CauseFailed   Cause = "endpoint failed"    // its only attempt brought no success
	CauseBehind   Cause = "behind others"      // its answer waited for those before it on the connection
	CauseWaited   Cause = "waited"             // more than a fifth of its target passed before it was sent
	CauseCold     Cause = "cold"               // its endpoint warmed up
	CausePace     Cause = "slow endpoint"      // its endpoint had reported that work takes longer there
	CauseLastSlot Cause = "not alone"          // its endpoint worked on others, too
	CauseLuck     Cause = "longer than others" // chosen well, and its work took longer
)

// Causes lists all of them, in their order.
var Causes = []Cause{
	CauseRefused, CauseAttempt, CauseFailed, CauseBehind, CauseWaited, CauseCold, CausePace, CauseLastSlot, CauseLuck,
}

const (
	// waitedShare is the part of a target after which a request counts as having waited.
	waitedShare = 0.2
	// slowPace is the pace from which an endpoint counts as slow.
	slowPace = 1.3
)

// Late is what became of the requests with one target, as far as logs tell. Logs above
// their rate leave out requests that succeeded, so that Served is at least so many.
type Late struct {
	Target   time.Duration
	Requests int // that ended
	Served   int // with success within the target
	Causes   map[Cause]int
	Places   []Place // in order
}

// Place tells how the requests fared that took one attempt, succeeded, and were chosen as
// the last of so many at their endpoint.
type Place struct {
	Busy     int
	Requests int
	Late     int
	Estimate time.Duration // mean of what was estimated
	Took     time.Duration // mean of what the attempt took
}

// story is what the lines of a request have told so far.
type story struct {
	attempts int
	refused  bool // no endpoint was chosen
	hedged   bool // a second attempt was made beside the first one
	busy     int
	cold     bool
	pace     float64
	estimate float64 // ms, of the last choice
	waited   float64 // ms, before the first choice
	took     float64 // ms, of the last attempt
}

// cause returns what a request lost its time or its answer to, given its last line.
func (s story) cause(ended string, served bool) Cause {
	target := number(ended, "target_ms")
	switch {
	case s.refused || s.attempts == 0:
		return CauseRefused
	case s.attempts > 1:
		return CauseAttempt
	case !served:
		return CauseFailed
	case number(ended, "took_ms")-number(ended, "behind_ms") <= target:
		return CauseBehind
	case s.waited > waitedShare*target:
		return CauseWaited
	case s.cold:
		return CauseCold
	case s.pace > slowPace:
		return CausePace
	case s.busy > 1:
		return CauseLastSlot
	}
	return CauseLuck
}

// lateness puts the lines of requests together.
type lateness struct {
	open    map[requestKey]*story
	targets map[float64]*Late
}

// LateRequests returns what became of the requests of the logs, by target, the shortest
// first, and what those lost their time to that were late or not served.
func LateRequests(sources []Source) ([]Late, error) {
	l := lateness{open: map[requestKey]*story{}, targets: map[float64]*Late{}}
	for _, source := range sources {
		if err := scan(source.Log, l.note); err != nil {
			return nil, fmt.Errorf("logread: %s: %w", source.Name, err)
		}
	}
	var all []Late
	for _, late := range l.targets {
		late.finish()
		all = append(all, *late)
	}
	slices.SortFunc(all, func(a, b Late) int { return cmp.Compare(a.Target, b.Target) })
	return all, nil
}

// note takes a line in.
func (l *lateness) note(process string, _ time.Time, text string) {
	key := requestKey{process, Value(text, "request")}
	if isEvent(text, telemetry.EventAdmitted) {
		l.open[key] = &story{}
		return
	}
	s, ok := l.open[key]
	if !ok {
		return
	}
	switch {
	case isEvent(text, telemetry.EventChosen):
		s.choose(text)
	case isEvent(text, telemetry.EventNoEndpoint):
		s.refused = true
	case isEvent(text, telemetry.EventHedgeStarted):
		s.hedged = true
	case isEvent(text, telemetry.EventAttempt):
		s.took = number(text, "took_ms")
	case isEvent(text, telemetry.EventEnded):
		delete(l.open, key)
		l.end(*s, text)
	}
}

// choose notes a choice.
func (s *story) choose(text string) {
	if s.attempts == 0 {
		s.waited = number(text, "waited_ms")
	}
	s.attempts++
	s.refused = false
	s.busy = int(number(text, "busy"))
	s.cold = Value(text, "cold") == "true" // absent in logs of earlier versions
	s.pace = number(text, "pace")
	s.estimate = number(text, "estimate_ms")
}

// end counts a request that has ended. One without a target is never late.
func (l *lateness) end(s story, text string) {
	target := number(text, "target_ms")
	late := l.targets[target]
	if late == nil {
		late = &Late{Target: milliseconds(target), Causes: map[Cause]int{}}
		l.targets[target] = late
	}
	served := Value(text, "verdict") == verdict.Ran.String() && number(text, "status") < http.StatusBadRequest
	inTime := served && (target <= 0 || number(text, "took_ms") <= target)
	late.Requests++
	if inTime {
		late.Served++
	} else {
		late.Causes[s.cause(text, served)]++
	}
	if served && s.attempts == 1 && !s.hedged {
		late.place(s, inTime)
	}
}

// place counts a request by its place at its endpoint; sums stand in the means until
// finish.
func (l *Late) place(s story, inTime bool) {
	i := slices.IndexFunc(l.Places, func(p Place) bool { return p.Busy == s.busy })
	if i < 0 {
		i = len(l.Places)
		l.Places = append(l.Places, Place{Busy: s.busy})
	}
	p := &l.Places[i]
	p.Requests++
	p.Estimate += milliseconds(s.estimate)
	p.Took += milliseconds(s.took)
	if !inTime {
		p.Late++
	}
}

// finish makes means of the sums and orders the places.
func (l *Late) finish() {
	for i := range l.Places {
		p := &l.Places[i]
		p.Estimate /= time.Duration(p.Requests)
		p.Took /= time.Duration(p.Requests)
	}
	slices.SortFunc(l.Places, func(a, b Place) int { return cmp.Compare(a.Busy, b.Busy) })
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
