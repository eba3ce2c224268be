package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Promise names a promise that a soak checks.
type Promise string

// The promises, as callers and back ends can see them.
const (
	RunsOnce         Promise = "a request that is not repeatable runs at most once"
	NotRunIsTrue     Promise = "a request that was answered with 429 or 503, or counts as not read, never runs"
	OwnAnswer        Promise = "a success is the endpoint's whole answer to its own request"
	NothingElse      Promise = "endpoints run only what callers sent, unchanged"
	RightService     Promise = "a request runs only where some configuration sent it"
	NoLateWork       Promise = "an endpoint that leaves gets no new requests after a while"
	NothingToEmptied Promise = "an endpoint of an emptied zone gets nothing after a while"
	FewToCold        Promise = "an endpoint that warms up gets few requests in a second"
	LimitsHold       Promise = "an endpoint that names a limit gets no more than the operators bear with"
	WordsHold        Promise = "an endpoint that says that it leaves, or wants no requests, gets none"
	QuotasHold       Promise = "a team has no more run than its quota and what the operators bear with"
	KeysStay         Promise = "an endpoint learns whose request it gets, and never a key"
	KeysEnd          Promise = "a key that was taken away serves nobody after a while, and one that is held is known"
	InForce          Promise = "a configuration is in force after a while and never reverts"
	CrashesEnd       Promise = "a request that crashes endpoints is sent a few times more at most once the fleet can know it"
	NoSoundRefused   Promise = "no sound request is refused for what crashed endpoints"
	ServedAround     Promise = "callers of a balancer without paths to endpoints are served while others have theirs"
	FinalInTime      Promise = "the final answer comes by the route's timeout"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise
	Request string
	Detail  string
}

// String renders the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Promise, v.Request, v.Detail) }

// sentRequest is what a caller knows of a request it sent.
type sentRequest struct {
	id         string
	method     string
	path       string
	repeatable bool
	balancer   string
	team, key  string // of the caller; empty where callers have none
	at         time.Time
	turn       time.Time // when all responses before it had come; zero where nothing is known of that
	ended      time.Time
	lost       time.Time   // when its connection had ended without a whole response; of kept ones
	partial    bool        // a part of the response had come by then
	mayHaveRun bool        // a 502 or 504 that says so
	kind       string      // of its caller, for reports
	status     int         // 0 where no whole answer came
	reason     reason.Code // of an answer that the balancer made itself
	unread     bool        // it stood behind an answer that closed the connection
}

// ledger holds what callers sent and got, and what endpoints ran.
type ledger struct {
	mu         sync.Mutex
	sent       map[string]*sentRequest
	violations []Violation
	statuses   map[int]int
}

func newLedger() *ledger {
	return &ledger{sent: map[string]*sentRequest{}, statuses: map[int]int{}}
}

func (l *ledger) begin(r *sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[r.id] = r
}

func (l *ledger) end(r *sentRequest, status int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.status, r.ended = status, at
	l.statuses[status]++
}

// endUnread notes a request without an answer; unread says that callers may take it for
// never read and send it again, whatever its kind.
func (l *ledger) endUnread(r *sentRequest, unread bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.unread = unread
	l.statuses[0]++
}

// endLost notes a request whose connection ended without a whole response; partial says that a part of
// it had come.
func (l *ledger) endLost(r *sentRequest, partial bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.lost, r.partial = at, partial
	l.statuses[0]++
}

func (l *ledger) broken(p Promise, request, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, Violation{p, request, fmt.Sprintf(format, args...)})
}

// checkAnswer compares a whole successful answer with the request.
func (l *ledger) checkAnswer(r *sentRequest, resp *http.Response, body, payload string) {
	want := fmt.Sprintf("%s %s %s from ", r.method, r.path, payload)
	switch {
	case resp.Header.Get(dialect.RequestID) != r.id:
		l.broken(OwnAnswer, r.id, "the answer names %q", resp.Header.Get(dialect.RequestID))
	case len(body) < len(want) || body[:len(want)] != want:
		l.broken(OwnAnswer, r.id, "the answer is %q, want %q...", body, want)
	case resp.Header.Get(dialect.Signature) != platformtest.Signature(r.id, body):
		l.broken(OwnAnswer, r.id, "the signature does not fit the body")
	}
}

// checkRuns compares all runs with what callers sent and were told.
func (l *ledger) checkRuns(endpoints []*endpoint) {
	runs := map[string]int{}
	for _, e := range endpoints {
		for _, run := range e.server.Runs() {
			runs[run.Request]++
			l.checkRun(run, e)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.sent {
		n := runs[id]
		if !r.repeatable && n > 1 {
			l.violations = append(l.violations, Violation{RunsOnce, id, fmt.Sprintf("it ran %d times", n)})
		}
		promised := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		if !r.repeatable && r.unread && n > 0 {
			l.violations = append(l.violations, Violation{NotRunIsTrue, id, fmt.Sprintf("behind an answer of %s that closed the connection, and it ran", r.balancer)})
		}
		if !r.repeatable && promised && n > 0 {
			l.violations = append(l.violations, Violation{NotRunIsTrue, id, fmt.Sprintf("answered with %d by %s, and it ran", r.status, r.balancer)})
		}
	}
}

func (l *ledger) checkRun(run platformtest.Run, e *endpoint) {
	l.mu.Lock()
	r, known := l.sent[run.Request]
	l.mu.Unlock()
	switch {
	case !known:
		l.broken(NothingElse, run.Request, "nobody sent it; it ran at %s", e.server.ID)
	case run.Method != r.method || run.Path != r.path:
		l.broken(NothingElse, run.Request, "sent as %s %s, ran as %s %s", r.method, r.path, run.Method, run.Path)
	case !e.mayServe(r.path):
		l.broken(RightService, run.Request, "%s ran at service %s", r.path, e.service)
	}
}
