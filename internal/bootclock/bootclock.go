// Package bootclock tells time that goes on while the VM is suspended and does not jump when
// somebody sets the clock.
//
// Go's steady clock, on which deadlines, timers and ages rest, stands still while a VM is
// suspended; the time of day counts on, but operators set it. The kernel's CLOCK_BOOTTIME
// does neither. Whoever compares its own past with what happened elsewhere meanwhile (how
// long a connection has rested, how old a report is, whether a lease is over) asks here
// whether the VM was suspended since.
//
// The package owns nothing. It relies on Linux.
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

// began ties the clock to the time of day at the start of the process.
var (
	began     = time.Now().Round(0)
	beganBoot = read(unix.CLOCK_BOOTTIME)
)

// Now returns the present time by this clock. Only times of this clock and of this process
// may be compared with it.
func Now() time.Time { return began.Add(read(unix.CLOCK_BOOTTIME) - beganBoot) }

// Suspended returns for how long the VM was suspended since it booted: by how much the
// steady clock has fallen behind. It reads that one last, so that a process that loses its
// processor in between sees less, never a suspension that was none.
func Suspended() time.Duration { return read(unix.CLOCK_BOOTTIME) - read(unix.CLOCK_MONOTONIC) }

// read reads one of the kernel's clocks.
func read(clock int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic(fmt.Sprintf("bootclock: clock %d: %v", clock, err)) // every Linux since 2.6.39 has both
	}
	return time.Duration(t.Nano())
}
