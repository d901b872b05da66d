package forwarder

import (
	"net/http"
	"time"
)

const (
	// minWriteTime is how long a caller may take to read what is written at the end of its
	// request's time. A request has its final answer within half a second after that.
	minWriteTime = 400 * time.Millisecond
	// maxWriteTime is how long a caller may take to read each part of an answer if its request's
	// time isn't limited.
	maxWriteTime = 30 * time.Second
)

// writeLimit limits the time of writes to a caller: one that doesn't read would otherwise keep the
// memory of its answer in use, and its place, for as long as it likes.
type writeLimit struct {
	control *http.ResponseController
	// each is set if each write has maxWriteTime, as the request's time isn't limited.
	each bool
}

// limitWrites makes writes to the caller fail after its request's time, until the limit ends.
func (f *Forwarder) limitWrites(c *call) writeLimit {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	l := writeLimit{control: http.NewResponseController(c.w), each: !limited}
	if limited {
		l.set(time.Now().Add(max(left, minWriteTime)))
	}
	l.next()
	return l
}

// next is called before a write.
func (l writeLimit) next() {
	if l.each {
		l.set(time.Now().Add(maxWriteTime))
	}
}

// end removes the limit.
func (l writeLimit) end() { l.set(time.Time{}) }

// set sets the time at which writes fail, which itself fails only if there is no connection any more.
func (l writeLimit) set(at time.Time) { _ = l.control.SetWriteDeadline(at) }
