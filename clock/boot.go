package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that only rises and, unlike the monotonic readings of System,
// also counts the time during which the VM was suspended. Its readings mean
// nothing to other processes.
type Boot struct{}

// Now returns the time since the VM was started, as a time after the epoch.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be judged.
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
