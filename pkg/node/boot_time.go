package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the machine's time since its start as a time of which only
// differences mean something. Unlike Go's monotonic clock it counts the time for
// which the machine was suspended, and unlike the time of day it never jumps.
// What a VM must not use longer than for some seconds is measured with it.
func bootTime() time.Time {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Every Linux since 2.6.39 has this clock.
		return time.Now()
	}
	return time.Unix(at.Unix())
}
