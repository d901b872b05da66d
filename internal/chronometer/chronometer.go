// Package chronometer tells time that neither jumps with the time of day nor
// stands still while the VM is suspended.
package chronometer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Chronometer counts from its start. It is an immutable value.
type Chronometer struct {
	// origin is the time of day at the start, without a monotonic part.
	origin time.Time
	// bootTime is the boot clock at the start.
	bootTime time.Duration
}

// New returns a chronometer that starts now.
func New() Chronometer {
	return Chronometer{origin: time.Now().Round(0), bootTime: sinceBoot()}
}

// Now returns the origin plus the time since, suspensions included. Two such
// times of one process can be subtracted; those of two processes can't.
func (c Chronometer) Now() time.Time {
	return c.origin.Add(sinceBoot() - c.bootTime)
}

// sinceBoot reads the clock that counts suspensions. Where the kernel lacks
// it, the process's monotonic clock stands in.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the reference of the fallback.
var processStart = time.Now()
