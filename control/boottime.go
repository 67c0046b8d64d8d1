package control

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns a monotonic time that, unlike Go's, also advances while the
// host is suspended. Owners use it to check that they may still issue orders.
func boottime() time.Duration {
	if now := virtualClock.Load(); now != nil {
		return (*now)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("control: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// virtualClock replaces the clock in tests in virtual time.
var virtualClock atomic.Pointer[func() time.Duration]
