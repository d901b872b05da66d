package forwarder

import (
	"context"
	"errors"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/listener"
)

// interruption returns the refusal of a request that can't go on, whatever its endpoints
// do, and whether there is one: its caller has left, the gate has closed before it was sent to
// an endpoint, or the stop's deadline has passed.
func (f *Forwarder) interruption(c *call) (r refuser.Refusal, ok bool) {
	switch {
	case c.expired():
		r = refuser.New(refuser.Leaving, "the deadline of the node's stop has passed")
		if c.runs > 0 {
			return r.WithRan(refuser.Maybe), true
		}
		return r.WithWait(otherNodeDelay), true
	case c.r.Context().Err() != nil:
		return c.callerLeft(), true
	case !c.arrived && f.cfg.Gate.Closed():
		// Little of the stop's time may be left for the answer, and another node has all of it.
		return refuser.New(refuser.Leaving, "the node is stopping").WithWait(otherNodeDelay), true
	}
	return r, false
}

// countInterrupted counts an attempt that ended with its request as a run, unless it was not sent.
func (c *call) countInterrupted(err error) {
	var unsent *driver.Unsent
	if !errors.As(err, &unsent) {
		c.runs++
	}
}

// expired reports whether the stop's deadline ended the request.
func (c *call) expired() bool {
	return errors.Is(context.Cause(c.r.Context()), listener.ErrExpired)
}

// waitContext returns the context of a request's waits: until the request was sent, it also
// ends when the gate closes.
func (c *call) waitContext() context.Context {
	if c.arrived {
		return c.r.Context()
	}
	return c.unsent
}

// sleep waits, and reports whether the request goes on.
func (c *call) sleep(d time.Duration) bool { return grouper.Sleep(c.waitContext(), d) }
