package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a monotonic clock that, unlike System, also counts the time during
// which the VM was suspended. Its readings must not be compared with those of
// other processes.
type Boot struct{}

// Now returns the time since the VM booted, as a time after the Unix epoch.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it lease expiry is unknown.
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
