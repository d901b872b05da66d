package forwarder

import (
	"net/http"
	"time"
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
