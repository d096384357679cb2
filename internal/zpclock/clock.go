// Package zpclock reads a monotonic clock that also counts the time for
// which the machine was suspended.
package zpclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. Only differences between two
// readings on one machine are meaningful. Unlike the monotonic reading of
// time.Now it advances while the machine is suspended, so a lease that expired
// meanwhile is detected.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Kernels before 2.6.39 lack CLOCK_BOOTTIME; the wall clock is the closest one
		// that counts suspension.
		return time.Now().Round(0)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
