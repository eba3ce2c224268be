// Package audit compares what callers were told with what endpoints ran, and
// other promises with what was seen.
//
// The demo and the tests with separate processes rely on it; it owns no state.
//
// # Usage
//
//	found := audit.Answers(told, runs)
//	found = append(found, audit.Measuring(spent, limit, elapsed)...)
//	for _, v := range found { fmt.Println(v) }
package audit

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/budget"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/standin"
)

// Rule is a promise of the product.
type Rule string

// The rules.
const (
	OnlyOwnAnswer Rule = "each caller gets the whole answer to its own request"
	NotRunIsTrue  Rule = "told not run means not run"
	RanIsTrue     Rule = "told ran means ran"
	AtMostOnce    Rule = "not repeatable runs at most once"
	WithinBudget  Rule = "measuring stays within its budget"
	NoWorkLeaving Rule = "a leaving endpoint gets no new work"
	NeverReverts  Rule = "a configuration never reverts"
	InForce       Rule = "an accepted change is in force everywhere"
	CrashesEnd    Rule = "a request that crashes endpoints is stopped, and no other one for it"
	PathsLost     Rule = "a balancer without paths to endpoints serves while others have theirs"
	LimitsHold    Rule = "an endpoint gets no more than the limit that it names allows, from all balancers together"
	BackoffsHold  Rule = "an endpoint that asks for a time without requests gets none in it"
)

// Violation is a broken promise.
type Violation struct {
	Rule Rule
	What string
}

// String returns the rule and what broke it.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.What) }

// LimitWindow is the time in which the operators count what an endpoint with a limit gets, and
// limitFactor and limitExtra are what they bear with in it: so many times the limit and some more.
const (
	LimitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// LimitAllows returns how many requests an endpoint may get in a LimitWindow that takes so many a
// second.
func LimitAllows(perSecond float64) float64 {
	return limitFactor*perSecond*LimitWindow.Seconds() + limitExtra
}

// Told is what one caller was told.
type Told struct {
	Key     string
	Once    bool // the request's kind is not repeatable
	Failed  bool // no answer arrived
	Status  int
	Verdict string
	Reason  string
	Whole   bool   // the body arrived to its end
	Body    string // as it arrived
	Want    string // the body that an endpoint sends to this caller
}

// Answers compares what callers were told with what ran, by key.
func Answers(told []Told, runs map[string][]standin.Run) []Violation {
	var out []Violation
	add := func(rule Rule, format string, args ...any) {
		out = append(out, Violation{Rule: rule, What: fmt.Sprintf(format, args...)})
	}
	for _, t := range told {
		n := len(runs[t.Key])
		if t.Once && n > 1 {
			add(AtMostOnce, "%s ran %d times", t.Key, n)
		}
		if t.Failed {
			continue
		}
		if t.Verdict == verdict.NotRun.String() && n > 0 {
			add(NotRunIsTrue, "%s was told so by %s and ran", t.Key, t.Reason)
		}
		if t.Verdict == verdict.Ran.String() && n == 0 {
			add(RanIsTrue, "%s did not run", t.Key)
		}
		if t.Whole && t.Status == http.StatusOK && t.Body != t.Want {
			add(OnlyOwnAnswer, "%s got %q", t.Key, t.Body)
		}
	}
	return out
}

// Measuring compares what was spent in a time with the limit.
func Measuring(spent time.Duration, limit budget.Limit, elapsed time.Duration) []Violation {
	if allowed := limit.Allowed(elapsed); spent > allowed {
		return []Violation{{WithinBudget, fmt.Sprintf("spent %v in %v, allowed %v", spent, elapsed, allowed)}}
	}
	return nil
}

// Leaving looks for work that began at an endpoint more than within after it has said that it leaves.
// elapsed returns how much of a time counts.
func Leaving(vm string, runs []standin.Run, said time.Time, within time.Duration, elapsed func(from, to time.Time) time.Duration) []Violation {
	var out []Violation
	for _, r := range runs {
		if late := elapsed(said, r.Began) - within; late > 0 {
			out = append(out, Violation{NoWorkLeaving, fmt.Sprintf("%s began at %s %v late", r.Key, vm, late)})
		}
	}
	return out
}

// Versions looks for a step back among the versions that one balancer had in
// force, and for its not having reached the last one.
func Versions(balancer string, seen []uint64, last uint64) []Violation {
	var out []Violation
	for i := 1; i < len(seen); i++ {
		if seen[i] < seen[i-1] {
			out = append(out, Violation{NeverReverts, fmt.Sprintf("%s went from version %d to %d", balancer, seen[i-1], seen[i])})
		}
	}
	if len(seen) == 0 || seen[len(seen)-1] < last {
		out = append(out, Violation{InForce, fmt.Sprintf("%s has %v, not version %d", balancer, seen, last)})
	}
	return out
}
