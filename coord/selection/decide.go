package selection

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// refuseAfter is for requests without a target what RefuseShare is for others.
const refuseAfter = 200 * time.Millisecond

// GiveUpAt returns when a request that has found no good endpoint takes the best
// one that will do, or is refused. began is when it was first looked for one.
func (o Options) GiveUpAt(r placement.Request, began time.Time) time.Time {
	if r.Target <= 0 {
		return began.Add(refuseAfter)
	}
	return r.Accepted.Add(time.Duration(o.RefuseShare * float64(r.Target)))
}

// Situation is what Decide needs to know beside the candidates.
type Situation struct {
	GiveUp     time.Time
	Blind      bool // no endpoint could be probed, so waiting teaches nothing
	CallerLeft bool
	Evacuated  bool // the zones of all endpoints are being emptied
	// OutOfRegion: the request may be served in no region that has endpoints.
	OutOfRegion bool
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Wait   Action = iota // and look at the endpoints again
	Take                 // the best candidate
	Refuse               // the request
)

// Decision says what to do.
type Decision struct {
	Do     Action
	Reason reason.Code   // where it is Refuse
	Pause  time.Duration // where it is Wait
	After  time.Duration // where it is Refuse: when there may be room; 0 where that is not known
}

// Decide is the rule for a request and its candidates. A good candidate is taken at
// once. While there is none the request looks again, until its time to give up has
// passed; then it takes the best one if that is acceptable.
func (o Options) Decide(list *Ranking, r placement.Request, s Situation, now time.Time) Decision {
	giveUp := !now.Before(s.GiveUp)
	first, shut := list.Shut()
	switch {
	case list.Len() == 0 && s.OutOfRegion:
		return Decision{Do: Refuse, Reason: reason.OutOfRegion}
	case list.Len() == 0 && s.Evacuated:
		return Decision{Do: Refuse, Reason: reason.Evacuated}
	case list.Len() == 0:
		return Decision{Do: Refuse, Reason: reason.NoEndpoint}
	case s.CallerLeft:
		return Decision{Do: Refuse, Reason: reason.CallerLeft}
	case shut && (giveUp || now.Add(first.OpensIn).After(s.GiveUp)):
		return Decision{Do: Refuse, Reason: whyShut(first.Cause), After: first.OpensIn}
	case shut:
		return Decision{Do: Wait, Pause: cmp.Or(min(first.OpensIn, s.GiveUp.Sub(now)), o.LookAgain)}
	case list.Best().Good, (s.Blind || giveUp) && list.Best().acceptable(r, now):
		return Decision{Do: Take}
	case !now.Before(r.Deadline):
		return Decision{Do: Refuse, Reason: reason.Expired}
	case giveUp:
		return Decision{Do: Refuse, Reason: reason.TooLate}
	}
	return Decision{Do: Wait, Pause: min(o.LookAgain, s.GiveUp.Sub(now))}
}

// whyShut returns why a request is refused that no endpoint may get.
func whyShut(c admission.Cause) reason.Code {
	if c == admission.Limited {
		return reason.EndpointsLimited
	}
	return reason.EndpointsBackingOff
}

// acceptable reports whether a candidate has a free slot and is thought to respond
// within the target. A request never waits at an endpoint: it would start there at
// whatever pace the endpoint has when a slot becomes free, and an endpoint whose
// slots are all taken is slower for everybody.
func (c *Candidate) acceptable(r placement.Request, now time.Time) bool {
	if c.Closed || !c.Admission.Admits() || c.Busy >= c.Slots {
		return false
	}
	return r.Target <= 0 || !now.Add(c.Estimate).After(r.Accepted.Add(r.Target))
}

// Search counts what was known of the candidates, for the log.
func (r *Ranking) Search(probes int) placement.Search {
	s := placement.Search{Known: len(r.list), Probes: probes}
	for i := range r.list {
		if r.list[i].Ejected {
			s.Ejected++
		}
		if r.list[i].Full {
			s.Full++
		}
		switch r.list[i].Admission.Cause {
		case admission.Limited:
			s.Limited++
		case admission.BackingOff, admission.SlowStart:
			s.BackingOff++
		}
	}
	if len(r.list) > 0 {
		s.Best = r.Best().Estimate
	}
	return s
}
