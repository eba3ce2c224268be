package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// ErrPathLost means that an attempt was given up because the path to its endpoint is lost. The
// endpoint may run the request.
var ErrPathLost = errors.New("upstream: path to the endpoint lost")

// ErrUnreachable means that another balancer could not open a connection to the endpoint either.
var ErrUnreachable = errors.New("upstream: another balancer does not reach the endpoint")

// ErrNoCarrier means that no other balancer is known.
var ErrNoCarrier = errors.New("upstream: no other balancer is known")

// Paths says how endpoints are reached: directly, or over connections that other balancers open while
// the path of this one is lost. Package detour implements it.
type Paths interface {
	// Detoured reports whether connections to an endpoint are opened by other balancers.
	Detoured(addr string) bool
	// DialDetour opens such a connection. It fails with ErrUnreachable if the other balancer could not,
	// and with ErrNoCarrier if there is none.
	DialDetour(ctx context.Context, network, addr string) (net.Conn, error)
	// Silence is how long a probe may stay unanswered before its endpoint counts as silent.
	Silence() time.Duration
	// BeginSilence records that an endpoint is silent, until end is called, and returns after how long
	// it may be checked over a detour.
	BeginSilence(addr string) (checkAfter time.Duration, end func())
	// BeginCheck returns whether an endpoint that does not respond may be checked over a detour. If
	// so, EndCheck must be called, unless the check is given up.
	BeginCheck(addr string, c reach.Cause) CheckPermit
	// EndCheck records what a check showed.
	EndCheck(addr string, c reach.Cause, r reach.CheckResult)
	// Responded records that an endpoint has responded.
	Responded(addr string, detoured bool)
	// OnLost calls f once the direct path to an endpoint is confirmed lost, unless release is called
	// before.
	OnLost(addr string, f func()) (release func())
	// OnIdle registers a function that closes idle connections, detoured or direct ones.
	OnIdle(closeIdle func(detoured bool))
}

// CheckPermit is whether an endpoint may be checked over a detour.
type CheckPermit uint8

// The permits.
const (
	CheckNow      CheckPermit = iota // it may
	CheckedBefore                    // a recent check shows what to expect
	CheckDenied                      // the budget of checks is spent, or the last check was not carried
)

// sendChecked sends a request directly. If no connection can be opened, it sends the request over a
// detour, if there is one; nothing was sent before.
func (c *Client) sendChecked(ctx context.Context, r Request) Result {
	res := c.sendOver(ctx, c.transport, r)
	if res.Reason != reason.DialFailed || ctx.Err() != nil || !r.Body.Replayable() {
		return res
	}
	if c.opts.Paths.Detoured(r.Addr) {
		return c.sendOver(ctx, c.detours, r)
	}
	if c.opts.Paths.BeginCheck(r.Addr, reach.Failure) != CheckNow {
		return res
	}
	detoured := c.sendOver(ctx, c.detours, r)
	if ctx.Err() != nil {
		return detoured
	}
	// A connection that opens is enough: the response may take long.
	c.opts.Paths.EndCheck(r.Addr, reach.Failure, checkResult(detoured.connected, detoured.connected, detoured.Err))
	if !detoured.connected {
		return res
	}
	return detoured
}

// checkResult returns what a check shows that ended with err. opened says whether a connection was
// opened, and responded whether the endpoint responded.
func checkResult(opened, responded bool, err error) reach.CheckResult {
	switch {
	case responded:
		return reach.Reached
	case opened, errors.Is(err, ErrUnreachable):
		return reach.Unreached
	case errors.Is(err, ErrNoCarrier):
		return reach.NoCarrier
	}
	return reach.NotCarried
}

// probeChecked sends a probe directly, and another one over a detour if the endpoint is silent or the
// direct one fails. The first response counts.
func (c *Client) probeChecked(ctx context.Context, addr, path string) (Report, error) {
	directCtx, cancelDirect := context.WithCancel(ctx)
	defer cancelDirect()
	checkCtx, cancelCheck := context.WithCancel(ctx)
	defer cancelCheck()
	check := &probeCheck{client: c, addr: addr, path: path, reached: cancelDirect, done: make(chan struct{})}
	directCtx = context.WithValue(directCtx, dialBegunKey{}, &check.dialBegun)
	timer := time.AfterFunc(c.opts.Paths.Silence(), func() { check.runAfterSilence(checkCtx) })
	defer timer.Stop()
	report, err := c.probeOver(directCtx, c.transport, addr, path, &check.direct)
	if err == nil {
		return report, nil // a check that has begun is given up
	}
	if !check.started.Load() && (ctx.Err() != nil || errors.Is(err, ErrReset)) {
		return report, err // nobody waits any more, or the endpoint was reached and is full
	}
	check.run(checkCtx, reach.Failure)
	<-check.done
	switch {
	case check.err == nil:
		return check.report, nil
	case check.undecided:
		// The refused connection is no evidence that the endpoint has stopped.
		return Report{}, fmt.Errorf("%w: %s", errUnchecked, err.Error())
	}
	return Report{}, err
}

// probeCheck is the probe of an endpoint over a detour, after a direct one without a response.
type probeCheck struct {
	client     *Client
	addr, path string
	reached    func() // called if the endpoint responds
	direct     connTracker
	dialBegun  atomic.Bool // a connection for the direct probe is, or was, being opened
	started    atomic.Bool
	done       chan struct{} // closed at the end
	report     Report
	err        error // nil if the endpoint responded
	undecided  bool  // it shows nothing of the endpoint
}

// Errors of checks over a detour that are not made.
var (
	errUnchecked     = errors.New("upstream: endpoint not checked over a detour")
	errCheckedBefore = errors.New("upstream: endpoint was checked over a detour before")
)

// runAfterSilence runs the check once the endpoint may be checked, unless ctx ends before.
func (p *probeCheck) runAfterSilence(ctx context.Context) {
	if p.direct.connection() == nil && !p.dialBegun.Load() {
		return // it waits for a connection that other requests use
	}
	checkAfter, end := p.client.opts.Paths.BeginSilence(p.addr)
	defer end()
	pause.For(ctx, checkAfter)
	if ctx.Err() == nil {
		p.run(ctx, reach.Silence)
	}
}

// run probes the endpoint once, whoever calls it.
func (p *probeCheck) run(ctx context.Context, c reach.Cause) {
	if p.started.Swap(true) {
		return
	}
	defer close(p.done)
	paths := p.client.opts.Paths
	switch paths.BeginCheck(p.addr, c) {
	case CheckedBefore:
		p.err = errCheckedBefore
		return
	case CheckDenied:
		p.err, p.undecided = errUnchecked, true
		return
	case CheckNow:
	}
	var tracker connTracker
	p.report, p.err = p.client.probeOver(ctx, p.client.detours, p.addr, p.path, &tracker)
	if p.err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return // given up: the direct probe was answered
	}
	result := checkResult(tracker.connected(), p.err == nil, p.err)
	p.undecided = result == reach.NotCarried
	paths.EndCheck(p.addr, c, result)
	if p.err == nil {
		p.reached()
	}
}
