package forwarder

import (
	"context"
	"time"

	"banyanquay/internal/grouper"
	"banyanquay/internal/refuser"
)

// interruption returns the refusal of a request that can't go on, whatever its endpoints
// do, and whether there is one: its caller has left, or the gate has closed before it was
// sent.
func (f *Forwarder) interruption(c *call) (r refuser.Refusal, ok bool) {
	switch {
	case c.r.Context().Err() != nil:
		return c.callerLeft(), true
	case c.sends == 0 && f.cfg.Gate.Closed():
		// Little of the stop's time may be left for the answer, and another node has all of it.
		return refuser.New(refuser.Leaving, "the node is stopping").WithWait(otherNodeDelay), true
	}
	return r, false
}

// waitContext returns the context of a request's waits: until the request was sent, it also
// ends when the gate closes.
func (c *call) waitContext() context.Context {
	if c.sends > 0 {
		return c.r.Context()
	}
	return c.unsent
}

// sleep waits, and reports whether the request goes on.
func (c *call) sleep(d time.Duration) bool { return grouper.Sleep(c.waitContext(), d) }
