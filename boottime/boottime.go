// Package boottime reads the kernel's clock CLOCK_BOOTTIME. Unlike the monotonic
// clock, it includes the time during which the VM was suspended. Unlike the wall
// clock, it never jumps. Leases and the age of the configuration are measured with
// it, so that a process that resumes after a suspension does not act on a
// lease or a configuration that has expired in the meantime. The package owns no
// state.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM booted, as a time.Time that can be compared
// only with others from the same boot. Linux always provides this clock. If it
// cannot be read, Now panics, because lease expiry could not be determined.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boottime: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Unix())
}
