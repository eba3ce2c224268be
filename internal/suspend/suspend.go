// Package suspend notices that the VM was suspended, before anything is done with what the
// process believes.
//
// While a VM is suspended the steady clock stands still, and with it every timer, deadline
// and age in the process: afterwards a report is as fresh as before, a connection has
// rested for no time, a caller has as long left. A Detector compares with the clock that
// went on. Whoever is about to rest on an age or a deadline calls Check first: the first one
// after a suspension runs the hooks, and everybody else waits until they have run.
//
// The package owns what it has noticed. It relies on package bootclock.
//
// # Usage
//
//	d := suspend.New(bootclock.Suspended)
//	d.OnResume(func(slept time.Duration) { client.CloseIdle() })
//	before := d.Check()
//	...
//	if slept := d.Check() - before; slept > 0 { ... }
package suspend

import (
	"sync"
	"sync/atomic"
	"time"
)

// least is the shortest suspension that counts. The two clocks are read one after the other, so
// that a process that loses its processor in between sees a difference.
const least = 20 * time.Millisecond

// Detector notices suspensions. It is safe for concurrent use; a nil one notices none.
type Detector struct {
	read  func() time.Duration
	seen  atomic.Int64 // ns of suspension that the hooks have been told of
	total atomic.Int64 // ns since New

	mu    sync.Mutex
	hooks []func(time.Duration)
}

// New returns a detector. read tells for how long the VM has been suspended so far.
func New(read func() time.Duration) *Detector {
	d := &Detector{read: read}
	d.seen.Store(int64(read()))
	return d
}

// OnResume adds a hook, which is told for how long the VM was suspended. It must not wait
// for anything, and not call Check.
func (d *Detector) OnResume(hook func(slept time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hooks = append(d.hooks, hook)
}

// Check runs the hooks if the VM was suspended since they were last run, and returns for how
// long it was suspended altogether since New.
func (d *Detector) Check() time.Duration {
	if d == nil {
		return 0
	}
	if d.slept() > least {
		d.resume()
	}
	return time.Duration(d.total.Load())
}

// slept returns for how long the VM was suspended since the hooks were last run.
func (d *Detector) slept() time.Duration { return d.read() - time.Duration(d.seen.Load()) }

// resume runs the hooks, once for each suspension.
func (d *Detector) resume() {
	d.mu.Lock()
	defer d.mu.Unlock()
	slept := d.slept()
	if slept <= least {
		return // somebody else has run them
	}
	for _, hook := range d.hooks {
		hook(slept)
	}
	d.total.Add(int64(slept))
	d.seen.Add(int64(slept))
}
