// Package auditor checks what callers and endpoints observed against the guarantees
// of the nodes. It opens no socket.
package auditor

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"banyanquay/platform/imitator"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of a request's route, which decides what may be done with it.
type Kind int

// Kinds of requests. Their texts are the names of the imitator's routes.
const (
	Stream        Kind = iota // stream
	Idempotent                // look
	NonIdempotent             // book
)

// Request is one request as its caller saw it. It is an immutable value.
type Request struct {
	ID   string
	Kind Kind
	Key  string
	// Sent is when it was sent; for a stream, when its last attempt was.
	Sent time.Time
	// FirstEvent is when the first event of a stream's last attempt arrived.
	FirstEvent time.Time
	// Status is 0 if there was no complete answer.
	Status int
	// Want is the body of a correct answer, and Body the one that arrived.
	Want string
	Body string
	// Corrupt is set for a stream whose events didn't arrive each once and in order.
	Corrupt bool
	// Err is the reason why there was no complete answer.
	Err string
}

// Served reports whether the caller got a correct and complete answer.
func (r Request) Served() bool { return r.Status == http.StatusOK && !r.Corrupt && r.Body == r.Want }

// guaranteesNotRun reports whether a status guarantees that the request has not run
// and never will.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// revocation is a period in which no configuration has a key.
type revocation struct {
	key  string
	from time.Time
	// until is zero while it lasts.
	until time.Time
}

// Config configures an Auditor.
type Config struct {
	// MaxRevokeDelay is how long a revoked key may still work.
	MaxRevokeDelay time.Duration
	// Runs returns when the plain service ran a request.
	Runs func(id string) []time.Time
	// MaxLeaveDelay is how long an endpoint may get requests after its announcement
	// that it leaves was accepted, and Arrivals returns a request's arrivals at
	// endpoints.
	MaxLeaveDelay time.Duration
	Arrivals      func(id string) []imitator.Arrival
	// Grace is the time from a process's SIGTERM to its SIGKILL.
	Grace time.Duration
}

// Auditor keeps the requests of a run. It is safe for concurrent use.
type Auditor struct {
	cfg Config

	mu           sync.Mutex
	requests     []Request
	revocations  []revocation
	exchanges    []Exchange
	disturbances []*disturbance
	silences     []*disturbance
	unsound      []*disturbance
	stops        []*stop
}

// New returns an auditor without requests.
func New(cfg Config) *Auditor { return &Auditor{cfg: cfg} }

// Record adds a request that has ended.
func (a *Auditor) Record(r Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, r)
}

// KeyRevoked records that a configuration without a key was accepted.
func (a *Auditor) KeyRevoked(key string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revocations = append(a.revocations, revocation{key: key, from: at})
}

// KeyRestored records that a configuration with a revoked key is about to be
// published.
func (a *Auditor) KeyRestored(key string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.revocations {
		if rev := &a.revocations[i]; rev.key == key && rev.until.IsZero() {
			rev.until = at
		}
	}
}

// CountSince returns how many requests with a key, sent since a time, were served,
// and how many there were.
func (a *Auditor) CountSince(key string, since time.Time) (served, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.requests {
		if r.Key != key || r.Sent.Before(since) {
			continue
		}
		all++
		if r.Served() {
			served++
		}
	}
	return served, all
}

// Count returns how many requests were served, and how many there were.
func (a *Auditor) Count() (served, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.requests {
		if r.Served() {
			served++
		}
	}
	return served, len(a.requests)
}

// Outcomes counts the requests by kind and outcome, and the exchanges that ended without
// an answer by whether that is a violation.
func (a *Auditor) Outcomes() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcomes := make(map[string]int)
	for _, r := range a.requests {
		outcome := fmt.Sprint(r.Status)
		if r.Status == 0 {
			outcome = "no complete answer"
		}
		outcomes[r.Kind.String()+" "+outcome]++
	}
	for _, e := range a.exchanges {
		if e.closed() && a.checkEnd(e) == "" {
			outcomes["closed and excused"]++
		} else if e.closed() {
			outcomes["closed and lost"]++
		}
	}
	return outcomes
}

// Violations lists the violations of guarantees so far.
func (a *Auditor) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var violations []string
	for _, r := range a.requests {
		violations = append(violations, a.check(r)...)
	}
	for _, e := range a.exchanges {
		if violation := a.checkEnd(e); violation != "" {
			violations = append(violations, violation)
		}
	}
	for _, s := range a.stops {
		if s.killed && !a.disturbed(s.address, s.from, s.gone) {
			violations = append(violations, fmt.Sprintf("%s outlasted the grace period of %v after its SIGTERM at %s", s.address, a.cfg.Grace, s.from.Format("15:04:05.000")))
		}
	}
	return violations
}

// check returns the violations that a request shows. a.mu must be held.
func (a *Auditor) check(r Request) []string {
	var violations []string
	add := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("%s %s sent %s: ", r.Kind, r.ID, r.Sent.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	runs := a.cfg.Runs(r.ID)
	if r.Corrupt {
		add("corrupt stream: %s", r.Err)
	}
	if r.Kind != Stream && r.Status == http.StatusOK && r.Body != r.Want {
		add("got %q, want %q", r.Body, r.Want)
	}
	if r.Kind == NonIdempotent && len(runs) > 1 {
		add("ran %d times", len(runs))
	}
	if guaranteesNotRun(r.Status) && len(runs) > 0 {
		add("refused with %d and ran %v after it was sent", r.Status, runs[0].Sub(r.Sent))
	}
	if r.Kind == Stream && r.Status == http.StatusOK {
		runs = append(runs, r.FirstEvent)
	}
	for _, arrival := range a.lateArrivals(r) {
		add("arrived at %s and was sent %v after the endpoint announced that it leaves", arrival.Endpoint, r.Sent.Sub(arrival.LeavingSince))
	}
	for _, rev := range a.revocations {
		for _, at := range runs {
			if rev.forbids(r, at, a.cfg.MaxRevokeDelay) {
				add("ran %v after its key was revoked", at.Sub(rev.from))
			}
		}
	}
	return violations
}

// lateArrivals returns the arrivals of a request that was sent more than
// MaxLeaveDelay after the endpoint's announcement that it leaves.
func (a *Auditor) lateArrivals(r Request) []imitator.Arrival {
	return slices.DeleteFunc(slices.Clone(a.cfg.Arrivals(r.ID)), func(arrival imitator.Arrival) bool {
		return arrival.LeavingSince.IsZero() || r.Sent.Sub(arrival.LeavingSince) <= a.cfg.MaxLeaveDelay
	})
}

// forbids reports whether a request was sent so late that its key must not work, and
// ran before the key was restored. One that waited at a node until then may run.
func (rev revocation) forbids(r Request, ran time.Time, revoke time.Duration) bool {
	return rev.key == r.Key && r.Sent.After(rev.from.Add(revoke)) && (rev.until.IsZero() || ran.Before(rev.until))
}
