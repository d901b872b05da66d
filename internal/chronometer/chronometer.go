// Package chronometer provides a clock that is unaffected by changes of the wall clock
// and keeps running while the VM is suspended.
package chronometer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Chronometer measures time from its start. It is an immutable value.
type Chronometer struct {
	// origin is the wall-clock time at the start, without a monotonic reading.
	origin time.Time
	// bootTime is the reading of the boot clock (CLOCK_BOOTTIME) at the start.
	bootTime time.Duration
}

// New returns a chronometer started at the current time.
func New() Chronometer {
	return Chronometer{origin: time.Now().Round(0), bootTime: sinceBoot()}
}

// Now returns the origin plus the time elapsed since, including suspensions. Two times
// of one process can be subtracted; times of different processes can't.
func (c Chronometer) Now() time.Time {
	return c.origin.Add(sinceBoot() - c.bootTime)
}

// sinceBoot reads the boot clock, which includes suspensions. If the kernel doesn't
// support it, the process's monotonic clock is used instead.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the reference time of the fallback.
var processStart = time.Now()
