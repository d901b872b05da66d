package forwarder

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
	"banyanquay/internal/mapper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/listener"
)

// Request is a caller's decoded request. It is an immutable value.
type Request struct {
	ID     string
	Method string
	// Path selects the route. Target is the path with the query, as it was sent.
	Path   string
	Target string
	Host   string
	// Header holds the headers that are passed on to an endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Timeout is how long the caller waits from Arrived on; 0 if not given.
	Timeout time.Duration
	Arrived time.Time
	// Model and the token counts are given for generations. MaxAnswerTokens is the
	// maximum of answer tokens and AnswerHint the caller's estimate of them; 0 if
	// not given.
	Model           string
	PromptTokens    int
	MaxAnswerTokens int
	AnswerHint      int
	// SharedParts holds the IDs of the parts of the prompt that other requests may have,
	// too, in their order.
	SharedParts []string
	// LastEventID is the ID of the last event that the caller has; empty if none.
	LastEventID string
}

// remaining returns the time left until the timeout of the caller or of the route,
// and whether there is one.
func (r Request) remaining(now time.Time, timeout time.Duration) (time.Duration, bool) {
	limit := r.Timeout
	if limit <= 0 || (timeout > 0 && timeout < limit) {
		limit = timeout
	}
	return limit - now.Sub(r.Arrived), limit > 0
}

// estimatedTokens is the number of tokens that a request is expected to hold at its
// end.
func (r Request) estimatedTokens() int {
	answer := r.MaxAnswerTokens
	if r.AnswerHint > 0 {
		answer = min(answer, r.AnswerHint)
	}
	return r.PromptTokens + answer
}

// readRequest decodes the request within the configured limits.
func (f *Forwarder) readRequest(c *call, limits mapper.Limits) error {
	if limits.HeaderBytes > 0 && listener.HeaderBytes(c.r) > limits.HeaderBytes {
		return refuser.New(refuser.HeaderTooLarge, "the limit is %d bytes", limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 {
		if c.r.ContentLength > limits.BodyBytes {
			return refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
		}
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limits.BodyBytes)
	}
	// A body that is still being sent must not hold up the answer at the end of a stop. Setting the
	// deadline fails only if there is no connection any more.
	stop := context.AfterFunc(c.r.Context(), func() { _ = http.NewResponseController(c.w).SetReadDeadline(time.Now()) })
	req, err := f.decode(c)
	stop()
	var large *http.MaxBytesError
	switch r, ended := f.interruption(c); {
	case err != nil && ended && c.r.Context().Err() != nil:
		return r
	case errors.As(err, &large):
		return refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, bounder.ErrExhausted):
		c.unread = true
		return refuser.New(refuser.NodeOverload, "%v", err).WithWait(noMemoryDelay)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuser.New(refuser.CallerLeft, "%v", err)
	case err != nil:
		return refuser.New(refuser.BadRequest, "%v", err)
	}
	c.Request, c.neededTokens, c.lastEventID = req, req.estimatedTokens(), req.LastEventID
	return nil
}

const (
	// noMemoryDelay is the Retry-After of a request for whose body there is no memory. Callers
	// that send at the usual pace hold theirs for less.
	noMemoryDelay = time.Second
	// discardTimeout limits the time for which the rest of a refused body is read.
	discardTimeout = 5 * time.Second
)

// decode reads the body into memory of the pool and decodes the request.
func (f *Forwarder) decode(c *call) (Request, error) {
	var body []byte
	if c.r.ContentLength != 0 {
		limit := c.r.ContentLength
		if limit < 0 {
			limit = math.MaxInt64 - 1 // the pool has a lower one
		}
		data, held, err := f.cfg.Memory.Requests.ReadAll(c.r.Body, limit)
		c.reservations = append(c.reservations, held)
		if err != nil {
			return Request{}, trace.Wrap(err, "reading the body")
		}
		body = data
	}
	return f.cfg.Decode(c.r, body, c.Arrived)
}

// releaseMemory returns the memory of the request's body and of its answers.
func (c *call) releaseMemory() {
	for _, held := range c.reservations {
		held.Release()
	}
}

// discardBody reads the rest of a body after the answer, without keeping it: a connection that is
// closed before would be reset, and the caller might lose the answer.
func (c *call) discardBody() {
	control := http.NewResponseController(c.w)
	stop := context.AfterFunc(c.r.Context(), func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTimeout)) != nil || c.r.Context().Err() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.r.Body) // the answer is sent, whatever comes of the rest
}
