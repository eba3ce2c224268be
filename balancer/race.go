package balancer

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// hedgeSearchTime limits the search for the endpoint of a hedge. It is the pause between two rounds of
// the Chooser's search, so that a hedge is sent after the first round or not at all.
const hedgeSearchTime = 40 * time.Millisecond

// errOvertaken is the cause with which an attempt is canceled when the other one has answered.
var errOvertaken = errors.New("balancer: another endpoint answered first")

// race is a first attempt and, if its response is late, a hedge. The first attempt runs in the
// goroutine that serves the request, and the hedge in that of a timer.
//
// Until the first attempt has ended, the hedge's goroutine may use the exchange while it holds mu;
// afterwards the exchange belongs to the serving goroutine alone. Fields under mu say who is
// responsible for the hedge's result: its own goroutine if abandoned, otherwise the serving one.
type race struct {
	b             *Balancer
	x             *exchange
	grant         placement.Grant // of the first attempt
	number        int             // of the first attempt
	sentAt        time.Time
	suspendedFor  time.Duration // total suspension of the VM when the first attempt was sent
	firstContext  context.Context
	cancelFirst   context.CancelCauseFunc
	hedgeContext  context.Context
	cancelHedge   context.CancelCauseFunc
	hedgeFinished chan struct{} // closed when a hedge that was sent has ended

	mu         sync.Mutex
	firstEnded bool // no hedge may be sent any more
	begun      bool // the first byte of the first attempt's response has arrived
	sent       bool // the hedge was sent
	ended      bool // the hedge has ended
	abandoned  bool // nobody waits for the hedge's result
	hedge      attempt
}

func newRace(ctx context.Context, b *Balancer, x *exchange, number int, grant placement.Grant) *race {
	r := &race{b: b, x: x, grant: grant, number: number, sentAt: time.Now(), suspendedFor: x.suspendedFor, hedgeFinished: make(chan struct{})}
	// The context of the attempt that answers must live until its response was forwarded. Both end
	// with that of the request.
	r.firstContext, r.cancelFirst = context.WithCancelCause(ctx)
	r.hedgeContext, r.cancelHedge = context.WithCancelCause(ctx)
	return r
}

// run makes the first attempt, and the hedge if there is no response after delay. It returns the
// attempt that answered, or the last one that failed; what the other one showed has been processed.
func (r *race) run(delay time.Duration) attempt {
	request := r.b.upstreamRequest(r.x, r.grant)
	request.OnInformational = r.forwardInformational
	request.OnResponseBegun = r.responseBegun
	timer := time.AfterFunc(delay, r.runHedge)
	first := r.b.transmit(r.firstContext, r.x.route, r.number, r.grant, request)
	timer.Stop()

	r.mu.Lock()
	r.firstEnded = true
	firstWon := r.b.isFinal(r.x, &first)
	r.abandoned = r.sent && !r.ended && firstWon
	abandoned, sent, hedgeSentAt := r.abandoned, r.sent, r.hedge.sentAt
	r.mu.Unlock()
	if sent && !abandoned {
		<-r.hedgeFinished
	}
	if !sent || firstWon {
		r.cancelHedge(errOvertaken)
	}

	first.suspended = r.x.applySuspension(r.b.cfg.Suspensions.Check())
	overtaken := !firstWon && errors.Is(context.Cause(r.firstContext), errOvertaken)
	if (firstWon || overtaken) && !first.suspended {
		r.b.hedges.addResponse(r.x.kindKey(), first.took)
	}
	switch {
	case !sent:
		r.x.logAttempt(&first, time.Now())
		return first
	case abandoned:
		r.x.logAttempt(&first, time.Now())
		r.x.logHedgeEnded(r.number+1, r.hedge.grant.Endpoint.VM, false, time.Since(hedgeSentAt))
		return first
	}
	return r.settle(first, firstWon, overtaken)
}

// settle returns the attempt that answered, or the last failed one, when both have ended; a withdrawn
// hedge was never sent, so the first attempt counts. It processes what the other one showed. The line of
// the returned attempt is logged last.
func (r *race) settle(first attempt, firstWon, overtaken bool) attempt {
	x, second := r.x, r.hedge
	second.suspended = first.suspended
	hedgeWon := !firstWon && r.b.isFinal(x, &second)
	useFirst := firstWon || !hedgeWon && (second.result.Withdrawn || first.hasOwnResponse() && !second.hasOwnResponse())
	kept, dropped := &second, &first
	if useFirst {
		kept, dropped = dropped, kept
	}
	now := time.Now()
	x.logAttempt(dropped, now)
	x.logAttempt(kept, now)
	x.logHedgeEnded(second.number, second.grant.Endpoint.VM, hedgeWon, second.took)
	if hedgeWon {
		r.b.hedges.won.Inc(1)
	}
	r.drop(dropped, overtaken && !useFirst)
	// A hedge that did not run does not use up an attempt of the request.
	kept.number = r.number
	if second.result.Verdict != verdict.NotRun {
		kept.number = r.number + 1
	}
	return *kept
}

// drop processes what an attempt showed that is not the one to return.
func (r *race) drop(a *attempt, overtaken bool) {
	chooser := r.b.cfg.Chooser
	a.observe(chooser)
	switch {
	case overtaken:
		r.x.recordFailure(a)
		a.complete(chooser, overtakenResult(a))
	case r.b.isFinal(r.x, a):
		a.complete(chooser, unneededResult(a, r.x.callerLeft()))
	default:
		r.b.reportToQuarantine(r.firstContext, r.x, a)
		r.b.completeFailed(r.x, a)
	}
	a.result.Close()
}

// runHedge makes the hedge, if the rules allow it and another endpoint is found.
func (r *race) runHedge() {
	request, ok := r.prepare()
	if !ok {
		return
	}
	search, cancel := context.WithTimeout(r.hedgeContext, hedgeSearchTime)
	defer cancel()
	grant, refused := r.b.cfg.Chooser.Acquire(search, request)
	if refused != nil {
		r.deny(deniedNoEndpoint)
		return
	}
	outgoing, ok := r.start(grant)
	if !ok {
		r.b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
		return
	}
	a := r.b.transmit(r.hedgeContext, r.x.route, r.number+1, grant, outgoing)
	r.finish(a)
}

// prepare returns the request for the endpoint of a hedge; ok is false if there is to be none.
func (r *race) prepare() (request placement.Request, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded || r.begun {
		return request, false
	}
	if why := r.b.hedgeDenied(r.x, time.Now()); why != "" {
		r.denyLocked(why)
		return request, false
	}
	request = r.b.placementRequest(r.x)
	request.Hedge = true
	request.Avoid = append(append([]string(nil), r.x.tried...), r.grant.Endpoint.VM)
	return request, true
}

// start charges and logs a hedge that is about to be sent and returns what is sent; ok is false if it
// must not be sent.
func (r *race) start(grant placement.Grant) (outgoing upstream.Request, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded || r.begun {
		return outgoing, false
	}
	if grant.Endpoint.VM == r.grant.Endpoint.VM {
		r.denyLocked(deniedNoEndpoint)
		return outgoing, false
	}
	now := time.Now()
	if why := r.b.chargeHedge(r.x, now); why != "" {
		r.denyLocked(why)
		return outgoing, false
	}
	r.b.hedges.started.Inc(1)
	r.x.logHedgeStarted(r.number+1, grant, now.Sub(r.sentAt))
	r.x.log.FlushWithin(now)
	r.sent = true
	r.hedge = attempt{number: r.number + 1, grant: grant, sentAt: now}
	outgoing = r.b.upstreamRequest(r.x, grant)
	outgoing.OnInformational = nil // those of the first attempt are forwarded
	return outgoing, true
}

// finish hands the hedge's result to the serving goroutine, and cancels the first attempt if the hedge
// answered. If the first attempt has answered meanwhile, the result is dropped.
func (r *race) finish(a attempt) {
	r.mu.Lock()
	r.ended = true
	abandoned := r.abandoned
	if !abandoned {
		r.hedge = a
		if r.b.isFinal(r.x, &a) {
			r.cancelFirst(errOvertaken)
		}
	}
	r.mu.Unlock()
	close(r.hedgeFinished)
	if abandoned {
		r.dropAbandoned(&a)
	}
}

// dropAbandoned processes a hedge that was canceled because the first attempt had answered. It must not
// use the exchange. What the endpoint answered up to then still counts.
func (r *race) dropAbandoned(a *attempt) {
	a.suspended = r.b.cfg.Suspensions.Check() != r.suspendedFor
	a.observe(r.b.cfg.Chooser)
	a.complete(r.b.cfg.Chooser, placement.Result{Outcome: placement.Unused, Backoff: a.report().Admission.Backoff})
	a.result.Close()
}

// deny records why there is no hedge, unless the first attempt has ended.
func (r *race) deny(why hedgeDenial) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.firstEnded && !r.begun {
		r.denyLocked(why)
	}
}

// denyLocked implements deny; r.mu must be held.
func (r *race) denyLocked(why hedgeDenial) {
	r.b.hedges.denied.Inc(1)
	r.x.logHedgeDenied(why, time.Since(r.sentAt))
}

// responseBegun records that the response to the first attempt has begun.
func (r *race) responseBegun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = true
}

// forwardInformational forwards a 1xx response to the first attempt while that is under way.
func (r *race) forwardInformational(code int, header http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.firstEnded {
		r.x.forwardInformational(code, header)
	}
}
