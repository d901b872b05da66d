package refuser

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem body.
const ContentType = "application/problem+json"

// Refusal is the final answer to a request that did not succeed. It is an immutable
// value.
type Refusal struct {
	// Code is one of the table's codes.
	Code Code
	// Ran covers all attempts under the request's key.
	Ran Ran
	// Attempt covers this attempt only, and is never higher than Ran.
	Attempt Ran
	// Detail says what was tried and what went wrong.
	Detail string
	// Wait is the delay after which to retry; zero if retrying would not help.
	Wait time.Duration
	// Addresses are the addresses of other nodes to use instead.
	Addresses []string
	// Faults lists all faults of a refused document.
	Faults []string
	// Proved is set if Ran is known to hold for every attempt under the key, not only
	// for those that this node saw.
	Proved bool
}

// New returns a refusal of a request that never ran.
func New(code Code, format string, args ...any) Refusal {
	return Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy that sets both Ran and Attempt.
func (r Refusal) WithRan(ran Ran) Refusal {
	r.Ran = ran
	r.Attempt = ran
	return r
}

// WithEarlier returns a copy that sets Ran for earlier attempts and leaves Attempt
// as it is.
func (r Refusal) WithEarlier(ran Ran) Refusal {
	r.Ran = ran
	return r
}

// WithProof returns a copy that is marked as proved: its Ran holds for every attempt.
func (r Refusal) WithProof() Refusal {
	r.Proved = true
	return r
}

// WithWait returns a copy with the delay after which to retry.
func (r Refusal) WithWait(wait time.Duration) Refusal {
	r.Wait = wait
	return r
}

// WithAddresses returns a copy with the addresses of other nodes.
func (r Refusal) WithAddresses(addresses []string) Refusal {
	r.Addresses = addresses
	return r
}

// WithFaults returns a copy with a list of faults.
func (r Refusal) WithFaults(faults []string) Refusal {
	r.Faults = faults
	return r
}

// Error returns the code's number and name, whether the request ran, and the detail.
func (r Refusal) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", int(r.Code), r.Code, r.Ran, r.Detail)
}

// Problem is the JSON body of a refusal.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Code is the result code's number and Name its name.
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
	// Ran is never, maybe or done, for every attempt under the key.
	Ran string `json:"ran"`
	// Attempt is the same for this attempt alone.
	Attempt string `json:"attempt"`
	// Retry says whether sending the request again may help.
	Retry bool `json:"retry"`
	// RetryAfter is the value of the Retry-After header, in seconds.
	RetryAfter int      `json:"retry_after,omitempty"`
	Addresses  []string `json:"addresses,omitempty"`
	Faults     []string `json:"faults,omitempty"`
}

// Problem returns the refusal's JSON body.
func (r Refusal) Problem() Problem {
	row := Lookup(r.Code)
	return Problem{
		Type:       "urn:banyanquay:code:" + strconv.Itoa(int(r.Code)),
		Title:      row.Title,
		Status:     row.Status,
		Code:       int(r.Code),
		Name:       r.Code.String(),
		Detail:     r.Detail,
		Ran:        r.Ran.String(),
		Attempt:    r.Attempt.String(),
		Retry:      row.Retry,
		RetryAfter: r.seconds(),
		Addresses:  r.Addresses,
		Faults:     r.Faults,
	}
}

// seconds returns the wait, rounded up to whole seconds.
func (r Refusal) seconds() int {
	return int(math.Ceil(r.Wait.Seconds()))
}

// Write sends the refusal as the complete response.
func (r Refusal) Write(w http.ResponseWriter) {
	body, err := json.Marshal(r.Problem())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	if r.Wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(r.seconds()))
	}
	w.WriteHeader(Lookup(r.Code).Status)
	_, _ = w.Write(body)
}
