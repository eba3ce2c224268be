// Package verdict says whether a request may have run at an endpoint.
//
// A verdict is a claim made to a caller. The zero value is the claim that is
// always safe to make, MayHaveRun: a code path that forgets to decide makes no
// false promise.
//
// It owns no state. What an attempt proves is decided in package upstream, what all
// attempts of a request prove together in package balancer.
//
// # Usage
//
//	v := verdict.MayHaveRun
//	if bytesWritten == 0 {
//		v = verdict.NotRun
//	}
//	w.Header().Set(verdict.Header, v.String())
package verdict

import "fmt"

// Verdict is the claim about one request.
type Verdict uint8

const (
	// MayHaveRun claims nothing: the request may or may not have run.
	MayHaveRun Verdict = iota
	// NotRun claims that the request did not run and will not run later.
	NotRun
	// Ran claims that an endpoint answered the request.
	Ran
)

// Header is the HTTP header that carries a verdict.
const Header = "Lotuswing-Verdict"

// ReasonHeader is the HTTP header that carries the reason code of an answer
// that the balancer made itself.
const ReasonHeader = "Lotuswing-Reason"

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the form used in headers and logs.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		panic(fmt.Sprintf("verdict: unknown value %d", uint8(v)))
	}
	return names[v]
}

// MayRepeat reports whether a request with this verdict may be sent again,
// given whether its kind is repeatable.
func (v Verdict) MayRepeat(repeatable bool) bool {
	switch v {
	case NotRun:
		return true
	case MayHaveRun:
		return repeatable
	case Ran:
		return false
	}
	panic("verdict: unreachable")
}
