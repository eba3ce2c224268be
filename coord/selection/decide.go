package selection

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// searchTimeWithoutTarget is how long the search for an endpoint lasts for a request without a
// latency target.
const searchTimeWithoutTarget = 200 * time.Millisecond

// SearchDeadline returns when the search for a good endpoint ends. The request then takes the best
// acceptable endpoint, or is refused. began is when the search started; it is used only if the
// request has no latency target.
func (o Options) SearchDeadline(r placement.Request, began time.Time) time.Time {
	if r.Target <= 0 {
		return began.Add(searchTimeWithoutTarget)
	}
	return r.Accepted.Add(time.Duration(o.SearchShare * float64(r.Target)))
}

// SearchState is the state of a request's search beside its candidates.
type SearchState struct {
	Deadline   time.Time // end of the search, from SearchDeadline
	NoneProbed bool      // no endpoint could be probed, so waiting yields no new information
	CallerLeft bool      // the caller no longer waits for the response
	Evacuated  bool      // operators are evacuating the zones of all endpoints
	// OutOfRegion: all endpoints are in regions in which the request may not be served.
	OutOfRegion bool
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Wait   Action = iota // wait, then evaluate the endpoints again
	Take                 // take the best candidate
	Refuse               // refuse the request
)

// Decision is the result of Decide.
type Decision struct {
	Action     Action
	Reason     reason.Code   // of Refuse
	Pause      time.Duration // of Wait: until the next evaluation
	RetryAfter time.Duration // of Refuse: time from now until an endpoint may accept requests; 0 if unknown
}

// Decide returns what to do with a request, given its candidates. It takes a good candidate at
// once. While there is none, it waits for the next evaluation until the time to give up; then it
// takes the best candidate if that is acceptable, and refuses the request otherwise.
func (o Options) Decide(list *Ranking, r placement.Request, s SearchState, now time.Time) Decision {
	giveUp := !now.Before(s.Deadline)
	list.demoteUnproven()
	earliest, allBlocked := list.AllBlocked()
	switch {
	case list.Len() == 0 && s.OutOfRegion:
		return Decision{Action: Refuse, Reason: reason.OutOfRegion}
	case list.Len() == 0 && s.Evacuated:
		return Decision{Action: Refuse, Reason: reason.Evacuated}
	case list.Len() == 0:
		return Decision{Action: Refuse, Reason: reason.NoEndpoint}
	case s.CallerLeft:
		return Decision{Action: Refuse, Reason: reason.CallerLeft}
	case allBlocked && (giveUp || now.Add(earliest.OpensIn).After(s.Deadline)):
		return Decision{Action: Refuse, Reason: blockedReason(earliest.Cause), RetryAfter: earliest.OpensIn}
	case allBlocked:
		return Decision{Action: Wait, Pause: cmp.Or(min(earliest.OpensIn, s.Deadline.Sub(now)), o.RoundPause)}
	case list.Best().Good && (!list.Best().Admission.Warmup || list.Best().acceptable(r, now)), (s.NoneProbed || giveUp) && list.Best().acceptable(r, now):
		return Decision{Action: Take}
	case !now.Before(r.Deadline):
		return Decision{Action: Refuse, Reason: reason.Expired}
	case giveUp:
		return Decision{Action: Refuse, Reason: reason.TooLate}
	}
	return Decision{Action: Wait, Pause: min(o.RoundPause, s.Deadline.Sub(now))}
}

// blockedReason returns the reason code for refusing a request because all candidates are blocked by
// admission. c is the cause at the candidate that opens earliest.
func blockedReason(c admission.Cause) reason.Code {
	switch c {
	case admission.Limited:
		return reason.EndpointsLimited
	case admission.WarmingUp:
		return reason.EndpointsWarmingUp
	}
	return reason.EndpointsBackingOff
}

// acceptable reports whether a candidate has a free slot and is expected to respond
// within the latency target. A request is never queued at an endpoint: the endpoint's pace
// at the time a slot becomes free cannot be predicted, and an endpoint whose slots are all
// taken is slower for all its requests.
func (c *Candidate) acceptable(r placement.Request, now time.Time) bool {
	if c.ColdBlocked || c.Unproven || !c.Admission.Admits() || c.Busy >= c.Slots {
		return false
	}
	return r.Target <= 0 || !now.Add(c.Estimate).After(r.Accepted.Add(r.Target))
}

// Summary returns the counts of candidates by state and the lowest estimate, for the log. probes is
// the number of probes that the request has sent.
func (r *Ranking) Summary(probes int) placement.Search {
	s := placement.Search{Known: len(r.list), Probes: probes}
	for i := range r.list {
		if r.list[i].Ejected {
			s.Ejected++
		}
		if r.list[i].Full {
			s.Full++
		}
		if r.list[i].Unanswered {
			s.Unanswered++
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
