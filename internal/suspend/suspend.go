// Package suspend detects that the VM was suspended, before the process acts on state that
// became outdated meanwhile.
//
// While a VM is suspended the monotonic clock stops, and with it every timer, deadline and
// age in the process: after a suspension a report seems as recent as before, a connection
// seems not to have been idle, and a caller's remaining time seems unchanged. A Detector
// compares the monotonic clock with one that kept running. Code that is about to use an age
// or a deadline calls Check first: the first call after a suspension longer than minSuspension
// runs the hooks, and concurrent calls wait until the hooks have run.
//
// A Detector keeps the total duration of the suspensions that it detected. It is meant to be
// used with the clock of package bootclock.
//
// # Usage
//
//	d := suspend.New(bootclock.Suspended)
//	d.OnResume(func(suspended time.Duration) { client.CloseIdle() })
//	before := d.Check()
//	...
//	if suspended := d.Check() - before; suspended > 0 { ... }
package suspend

import (
	"sync"
	"sync/atomic"
	"time"
)

// minSuspension is the time of suspension up to which Check does not run the hooks. The two
// clocks are read one after the other, so they also differ if the process is preempted in between.
const minSuspension = 20 * time.Millisecond

// Detector detects suspensions of the VM. It is safe for concurrent use. Check of a nil Detector
// returns 0.
type Detector struct {
	readSuspended func() time.Duration
	handled       atomic.Int64 // ns, value of readSuspended up to which the hooks have run
	total         atomic.Int64 // ns of suspension since New

	mu    sync.Mutex
	hooks []func(time.Duration)
}

// New returns a detector. readSuspended returns for how long the VM has been suspended so far.
func New(readSuspended func() time.Duration) *Detector {
	d := &Detector{readSuspended: readSuspended}
	d.handled.Store(int64(readSuspended()))
	return d
}

// OnResume adds a hook, which is called with the duration of the suspension. The hook must not
// block and must not call Check.
func (d *Detector) OnResume(hook func(suspended time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hooks = append(d.hooks, hook)
}

// Check runs the hooks if the VM was suspended for longer than minSuspension since they last
// ran, and returns the total time of suspension since New for which the hooks have run.
func (d *Detector) Check() time.Duration {
	if d == nil {
		return 0
	}
	if d.unhandled() > minSuspension {
		d.runHooks()
	}
	return time.Duration(d.total.Load())
}

// unhandled returns for how long the VM was suspended since the hooks last ran.
func (d *Detector) unhandled() time.Duration {
	return d.readSuspended() - time.Duration(d.handled.Load())
}

// runHooks runs each hook once, unless a concurrent call has already run them for this suspension.
func (d *Detector) runHooks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	unhandled := d.unhandled()
	if unhandled <= minSuspension {
		return // a concurrent call has run the hooks
	}
	for _, hook := range d.hooks {
		hook(unhandled)
	}
	d.total.Add(int64(unhandled))
	d.handled.Add(int64(unhandled))
}
