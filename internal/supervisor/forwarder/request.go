package forwarder

import (
	"net/http"
	"time"
)

// Request is a caller's request, decoded. It is an immutable value.
type Request struct {
	ID     string
	Method string
	// Path selects the route; Target is it with the query, as it was sent.
	Path   string
	Target string
	Host   string
	// Header is what goes on to an endpoint.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Wait is how long the caller waits from Arrived on; 0 if it didn't say.
	Wait    time.Duration
	Arrived time.Time
	// Model and the token counts are given for generations. Answer is the most
	// tokens and Hint the caller's estimate; 0 if not given.
	Model  string
	Prompt int
	Answer int
	Hint   int
	// After is the ID of the last event that the caller has; empty if none.
	After string
}

// remaining returns the time left until the caller or the route gives up, and
// whether there is such a limit.
func (r Request) remaining(now time.Time, timeout time.Duration) (time.Duration, bool) {
	limit := r.Wait
	if limit <= 0 || (timeout > 0 && timeout < limit) {
		limit = timeout
	}
	return limit - now.Sub(r.Arrived), limit > 0
}

// tokens is the room that a request is expected to need at its end.
func (r Request) tokens() int {
	answer := r.Answer
	if r.Hint > 0 {
		answer = min(answer, r.Hint)
	}
	return r.Prompt + answer
}
