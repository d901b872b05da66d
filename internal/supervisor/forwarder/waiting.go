package forwarder

import (
	"time"
)

const (
	// resumedTimeout is how long a request that resumes a stream waits for a path, a retry
	// or a permit before it is refused, and a stream that may be whole before it counts as
	// whole. Any other stream in progress waits until its time is up.
	// After resumedTimeout it polls every slowPollInterval instead of pollInterval.
	resumedTimeout   = 1300 * time.Millisecond
	pollInterval     = 50 * time.Millisecond
	slowPollInterval = 200 * time.Millisecond
)

// patience is how long a request may wait for what its next attempt needs. A refusal tells a
// caller without events more than silence does; a stream whose answer has begun can only be cut
// off, so that it waits until its time is up.
func (f *Forwarder) patience(c *call) time.Duration {
	switch left, limited := c.remaining(f.cfg.Now(), c.route.Timeout); {
	case !c.begun():
		return 0
	case c.presumedWhole():
		return max(resumedTimeout-f.cfg.Now().Sub(c.presumedAt), 0)
	case !c.answered:
		return resumedTimeout
	case limited:
		return max(left-minRemaining, 0)
	default:
		return maxSilence
	}
}

// wait waits for a moment until what a request's next attempt needs may be there. It
// reports whether the request goes on: until it has waited for limit since began, and until its
// caller leaves or, if it was not sent, the gate closes.
func (f *Forwarder) wait(c *call, began time.Time, limit time.Duration) bool {
	waited := f.cfg.Now().Sub(began)
	if waited > limit || limit <= 0 {
		return false
	}
	interval := pollInterval
	if waited > resumedTimeout {
		interval = slowPollInterval
	}
	return c.sleep(interval)
}
