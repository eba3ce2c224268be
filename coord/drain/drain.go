// Package drain decides what a process still does once a planned stop of it has begun.
//
// A Plan is the schedule of one stop. It follows from when the stop began, how long others need to
// notice it, and after how long the process is killed. The present time then lies in one Phase, and
// Action says for each Intake, that is each way in which work reaches the process, what becomes of it.
// All parts of a process ask the same Plan, so that no way in stays open longer than another.
//
// Notice: callers are still sent here and served, but each response ends its connection. Draining: no
// caller is sent here any more. What still arrives comes on connections that were open, and is served
// only if it is sure to end in time; otherwise it is refused at once, since it has not run and its
// caller is better served elsewhere. Ending: what is still at endpoints is given up with a true answer,
// so that the responses behind it on the same connections can be delivered. Over: all is closed.
//
// The package has no state, no clock and no I/O: a Plan is an immutable value that the caller keeps.
//
// # Usage
//
//	plan := drain.NewPlan(now, drain.Times{Notice: 3 * time.Second, Limit: time.Hour, Grace: 6 * time.Second})
//	if !plan.AcceptsRequest(deadline, now) {
//		// refuse it
//	}
//	if !plan.BeginsAttempt(target, deadline, now) {
//		// do not send it
//	}
package drain

import (
	"time"
)

// Times are what operators set of planned stops.
type Times struct {
	Notice time.Duration // until no caller is sent here any more
	Limit  time.Duration // after the notice, for requests in flight
	Grace  time.Duration // after which the process is killed; 0 for never
}

const (
	// noticeShare is the largest part of the grace that the notice takes.
	noticeShare = 0.5
	// spareShare is the part of the grace that a process on a small part of a core needs for its end.
	spareShare = 0.07
	// answerShare is the part of a stop that is left for delivering responses once attempts are given up,
	// and maxAnswerTime its longest.
	answerShare   = 0.03
	maxAnswerTime = 200 * time.Millisecond
)

// within returns the times shortened so that the stop ends before the process is killed.
func (t Times) within() Times {
	if t.Grace == 0 {
		return t
	}
	t.Notice = min(t.Notice, time.Duration(noticeShare*float64(t.Grace)))
	t.Limit = min(t.Limit, time.Duration((1-spareShare)*float64(t.Grace))-t.Notice)
	return t
}

// Plan is the schedule of a planned stop. The zero value is that of a process that does not stop.
type Plan struct {
	began  time.Time
	notice time.Duration // from the beginning until callers are not sent here any more
	cut    time.Duration // from the beginning until attempts are given up
	end    time.Duration // from the beginning until all is closed
}

// NewPlan returns the plan of a stop that began at a time.
func NewPlan(began time.Time, t Times) Plan {
	t = t.within()
	end := t.Notice + t.Limit
	return Plan{
		began: began, notice: t.Notice, end: end,
		cut: end - min(time.Duration(answerShare*float64(end)), maxAnswerTime),
	}
}

// WithSuspension returns the plan after the VM was suspended for d. The time until the process is
// killed went on meanwhile, and the clock of the process did not.
func (p Plan) WithSuspension(d time.Duration) Plan {
	if p.Stopping() {
		p.began = p.began.Add(-d)
	}
	return p
}

// Stopping reports whether a planned stop has begun.
func (p Plan) Stopping() bool { return !p.began.IsZero() }

// Began returns when the stop began; zero if there is none.
func (p Plan) Began() time.Time { return p.began }

// NoticeEnds returns when no caller is sent here any more.
func (p Plan) NoticeEnds() time.Time { return p.began.Add(p.notice) }

// CutAt returns when attempts are given up.
func (p Plan) CutAt() time.Time { return p.began.Add(p.cut) }

// EndsAt returns when all is closed.
func (p Plan) EndsAt() time.Time { return p.began.Add(p.end) }

// Phase is a part of a planned stop.
type Phase uint8

// The phases, in their order.
const (
	Running  Phase = iota // no stop has begun
	Notice                // callers are still sent here
	Draining              // what is in flight ends
	Ending                // attempts are given up, and responses delivered
	Over                  // all is closed
)

// String returns the name of the phase in logs and status.
func (p Phase) String() string {
	return [...]string{"running", "notice", "draining", "ending", "over"}[p]
}

// Phase returns the phase at a time.
func (p Plan) Phase(now time.Time) Phase {
	switch {
	case !p.Stopping():
		return Running
	case now.Before(p.NoticeEnds()):
		return Notice
	case now.Before(p.CutAt()):
		return Draining
	case now.Before(p.EndsAt()):
		return Ending
	}
	return Over
}

// AcceptsRequest reports whether a request that arrives now, on whatever connection, is served. After
// the notice it is only if its deadline, which bounds how long it may take, comes before attempts are
// given up.
func (p Plan) AcceptsRequest(deadline, now time.Time) bool {
	return p.serves(Request, deadline, now)
}

// BeginsAttempt reports whether an attempt may begin: the first one of a request that was accepted, one
// after a wait for an endpoint, or a retry. During the notice it may if it is expected to end before
// attempts are given up; after that, however long ago the request was accepted, if its deadline is before.
func (p Plan) BeginsAttempt(expected time.Duration, deadline, now time.Time) bool {
	end := deadline
	if p.Phase(now) == Notice {
		end = now.Add(expected)
	}
	return p.serves(Attempt, end, now)
}

// BeginsHedge reports whether a hedge that is expected to take some time may begin.
func (p Plan) BeginsHedge(expected time.Duration, now time.Time) bool {
	return p.serves(Hedge, now.Add(expected), now)
}

// AcceptsSession reports whether a connection may be upgraded to a session, whose end nobody knows.
func (p Plan) AcceptsSession(now time.Time) bool { return p.Action(Session, now) == Serve }

// serves reports whether what comes by an intake and ends at a time is served.
func (p Plan) serves(i Intake, end, now time.Time) bool {
	switch p.Action(i, now) {
	case Serve, ServeLast:
		return true
	case ServeInTime:
		return !end.After(p.CutAt())
	case Refuse, Close:
	}
	return false
}
