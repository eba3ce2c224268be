// Package bootclock reads a clock that keeps running while the VM is suspended and does not
// jump when the time of day is set.
//
// Go's monotonic clock, on which deadlines, timers and ages are based, stops while a VM is
// suspended; the wall clock advances, but operators set it. The kernel's CLOCK_BOOTTIME
// neither stops nor jumps. Code that compares a local time with events elsewhere (how long
// a connection has been idle, how old a report is, whether a lease has expired) uses this
// package to learn whether the VM has been suspended in between.
//
// The package owns no resources. It requires Linux.
//
// # Usage
//
//	before := bootclock.Now()
//	...
//	age := bootclock.Now().Sub(before)
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// startTime and startBoot are the wall clock and CLOCK_BOOTTIME at the start of the process.
var (
	startTime = time.Now().Round(0)
	startBoot = readClock(unix.CLOCK_BOOTTIME)
)

// Now returns the current time of this clock. It may be compared only with times that Now
// returned in the same process.
func Now() time.Time { return startTime.Add(readClock(unix.CLOCK_BOOTTIME) - startBoot) }

// Suspended returns for how long the VM has been suspended since it booted: the difference
// between CLOCK_BOOTTIME and the monotonic clock. It reads the monotonic clock last, so that
// a process that is preempted between the two reads gets a value that is too small, never
// a suspension that did not happen.
func Suspended() time.Duration {
	return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC)
}

// readClock returns the value of the kernel clock with the given ID.
func readClock(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic(fmt.Sprintf("bootclock: clock %d: %v", clock, err)) // Linux has had both clocks since 2.6.39
	}
	return time.Duration(t.Nano())
}
