package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

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
	req, err := f.cfg.Decode(c.r, c.Arrived)
	stop()
	var large *http.MaxBytesError
	switch r, ended := f.interruption(c); {
	case err != nil && ended && c.r.Context().Err() != nil:
		return r
	case errors.As(err, &large):
		return refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuser.New(refuser.CallerLeft, "%v", err)
	case err != nil:
		return refuser.New(refuser.BadRequest, "%v", err)
	}
	c.Request, c.neededTokens, c.lastEventID = req, req.estimatedTokens(), req.LastEventID
	return nil
}
