// Package zpclock reads a clock that is steady and also counts the time for
// which the machine was suspended.
package zpclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. Only differences between two
// readings on one machine have a meaning. Unlike the monotonic reading of
// time.Now it advances while the machine is suspended, so a lease that ran out
// meanwhile is seen to have lapsed.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels before 2.6.39 lack the clock; the wall clock is the nearest one
		// that counts suspension.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
