// Package boottime reads the kernel's boot-time clock. Unlike the steady clock
// it counts the time during which the VM was suspended, and unlike the time of
// day it never steps. Leases and the freshness of configuration are measured
// on it, so that a process that wakes from a suspension does not act on rights
// that have lapsed meanwhile. The package owns no state.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the VM booted, as a time that compares only with
// others of the same boot. The kernel always provides the clock on Linux; an
// error would leave leases without a measure, so it panics.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: the kernel has no boot-time clock: " + err.Error())
	}
	return time.Unix(t.Unix())
}
