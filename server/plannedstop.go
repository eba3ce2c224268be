package server

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
)

// stopPoll is the longest time between two looks at the plan. A timer does not run while the VM is
// suspended, so that after a suspension a step would come late by its length.
const stopPoll = 50 * time.Millisecond

// stopSteps are the steps of a planned stop. None of them blocks; a channel is closed once nothing is
// left of what the step ends, or at once when ctx ends.
type stopSteps interface {
	// SetPlan is called when the stop begins, and again when a suspension has moved the plan.
	SetPlan(plan drain.Plan)
	// HandOver begins to hand duties over to other balancers.
	HandOver(ctx context.Context) <-chan struct{}
	// DrainCarried begins to end the connections that are carried for other balancers.
	DrainCarried(ctx context.Context) <-chan struct{}
	// CloseListener closes the listener and begins to end callers' connections and sessions.
	CloseListener(ctx context.Context) <-chan struct{}
	// Drained reports whether nothing is left of what CloseListener ends.
	Drained() bool
	// CutAttempts gives up all attempts and returns how many there were.
	CutAttempts() int
	// CloseAll closes what callers have open and returns how many requests were in flight.
	CloseAll() int64
}

// plannedStop goes through the steps of a planned stop at the times of its plan.
type plannedStop struct {
	steps     stopSteps
	suspended func() time.Duration // for how long the VM has been suspended in total

	mu             sync.Mutex
	plan           drain.Plan
	phase          drain.Phase // the last one whose step was made
	suspendedSoFar time.Duration
	givenUp        int64         // attempts
	closed         int64         // requests in flight when all was closed
	handedOver     bool          // in time
	handOverTook   time.Duration // until duties were handed over
}

// newPlannedStop returns a stop that begins now.
func newPlannedStop(steps stopSteps, times drain.Times, suspended func() time.Duration, now time.Time) *plannedStop {
	return &plannedStop{steps: steps, suspended: suspended, plan: drain.NewPlan(now, times), suspendedSoFar: suspended()}
}

// run makes the steps and returns as soon as nothing is left, at the end of the plan, or when ctx ends.
// It reports whether nothing of what callers have open was left.
func (p *plannedStop) run(ctx context.Context) (drained bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.steps.SetPlan(p.plan)
	handedOver, carried := p.watchHandOver(p.steps.HandOver(ctx)), p.steps.DrainCarried(ctx)
	var callers <-chan struct{} // nil until the listener is closed
	for {
		open := firstOpen(callers, carried, handedOver)
		if callers != nil && open == nil && p.steps.Drained() {
			return true
		}
		switch p.nextStep(ctx, time.Now()) {
		case drain.Draining:
			callers = p.steps.CloseListener(ctx)
		case drain.Ending:
			p.countGivenUp(p.steps.CutAttempts())
		case drain.Over:
			cancel()
			return p.end(callers, carried)
		case drain.Running, drain.Notice:
			p.wait(ctx, open)
		}
	}
}

// end closes what is left of callers' connections, and reports whether nothing was.
func (p *plannedStop) end(callers, carried <-chan struct{}) (drained bool) {
	awaitAll(stopPoll, callers, carried)
	if p.steps.Drained() {
		return true
	}
	p.countClosed(p.steps.CloseAll())
	return false
}

// nextStep returns the phase whose step is due, and Running if none is. It moves the plan if the VM was
// suspended. All steps are due once ctx has ended.
func (p *plannedStop) nextStep(ctx context.Context, now time.Time) drain.Phase {
	p.followSuspension()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.phase == drain.Running {
		p.phase = drain.Notice
	}
	if ctx.Err() == nil && p.plan.Phase(now) <= p.phase {
		return drain.Running
	}
	p.phase++
	return p.phase
}

// followSuspension moves the plan by what the VM was suspended since the last call.
func (p *plannedStop) followSuspension() {
	total := p.suspended()
	p.mu.Lock()
	slept := total - p.suspendedSoFar
	p.suspendedSoFar = total
	p.plan = p.plan.WithSuspension(slept)
	plan := p.plan
	p.mu.Unlock()
	if slept > 0 {
		p.steps.SetPlan(plan)
	}
}

// wait waits until a step is due, at most stopPoll, or until open is closed or ctx ends.
func (p *plannedStop) wait(ctx context.Context, open <-chan struct{}) {
	timer := time.NewTimer(min(stopPoll, time.Until(p.nextAt())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-open:
	case <-ctx.Done():
	}
}

// nextAt returns when the next step is due.
func (p *plannedStop) nextAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.phase {
	case drain.Running, drain.Notice:
		return p.plan.NoticeEnds()
	case drain.Draining:
		return p.plan.CutAt()
	case drain.Ending, drain.Over:
	}
	return p.plan.EndsAt()
}

// watchHandOver notes how long handing over took, and returns a channel that is closed after that.
func (p *plannedStop) watchHandOver(done <-chan struct{}) <-chan struct{} {
	noted := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(noted)
		<-done
		p.mu.Lock()
		defer p.mu.Unlock()
		p.handedOver, p.handOverTook = p.phase != drain.Over, time.Since(began)
	}()
	return noted
}

func (p *plannedStop) countGivenUp(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.givenUp += int64(count)
}

func (p *plannedStop) countClosed(count int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed += count
}

// cut returns how many requests were given up or closed. A request that was given up can still be in
// flight when all is closed, and is counted once.
func (p *plannedStop) cut() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.givenUp, p.closed)
}

// isClosed reports whether a channel that nothing is sent on has been closed; a nil one has not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// firstOpen returns the first channel that is not closed, nil included.
func firstOpen(channels ...<-chan struct{}) <-chan struct{} {
	for _, c := range channels {
		if !isClosed(c) {
			return c
		}
	}
	return nil
}

// awaitAll waits until all channels are closed, for at most limit, and reports whether they are.
func awaitAll(limit time.Duration, channels ...<-chan struct{}) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for _, c := range channels {
		select {
		case <-c:
		case <-timer.C:
			return false
		}
	}
	return true
}
