package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// boottime returns a steady time that, unlike the runtime's, goes on while
// the host is suspended. An owner judges by it whether it still may order.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("control: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
