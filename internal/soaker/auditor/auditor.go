// Package auditor checks what callers and endpoints saw against the promises of
// the nodes. It opens no socket.
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

// Kind is what may be done with a request.
type Kind int

// Kinds.
const (
	Stream Kind = iota // stream
	Look               // look
	Book               // book
)

// Request is one request as its caller saw it. It is an immutable value.
type Request struct {
	ID   string
	Kind Kind
	Key  string
	// Sent is when it was sent, the last attempt of a stream.
	Sent time.Time
	// Began is when the first event of a stream's last attempt came.
	Began time.Time
	// Status is 0 if there was no whole answer.
	Status int
	// Want is the body of a right answer, and Body what came.
	Want string
	Body string
	// Torn is set for a stream whose events are not each once and in order.
	Torn bool
	// Err says why there was no whole answer.
	Err string
}

// Served tells whether the caller got a right and whole answer.
func (r Request) Served() bool { return r.Status == http.StatusOK && !r.Torn && r.Body == r.Want }

// refuses tells whether a status promises that the request has not run and never
// will.
func refuses(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// absence is a time in which no configuration has a key.
type absence struct {
	key  string
	from time.Time
	// until is zero while it lasts.
	until time.Time
}

// Config says what holds.
type Config struct {
	// Revoke is how long a key that was taken away may still work.
	Revoke time.Duration
	// Runs tells when the plain service ran a request.
	Runs func(id string) []time.Time
	// Leave is how long an endpoint may get requests after its word that it leaves was
	// accepted, and Visits tells at which such endpoints a request came.
	Leave  time.Duration
	Visits func(id string) []imitator.Visit
}

// Auditor keeps what was seen. It is safe for concurrent use.
type Auditor struct {
	cfg Config

	mu       sync.Mutex
	requests []Request
	absences []absence
}

// New returns an auditor that has seen nothing.
func New(cfg Config) *Auditor { return &Auditor{cfg: cfg} }

// Saw takes in a request that has ended.
func (a *Auditor) Saw(r Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, r)
}

// Taken takes in that a configuration without a key was accepted, and Given that one
// with it is about to be written.
func (a *Auditor) Taken(key string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.absences = append(a.absences, absence{key: key, from: at})
}

// Given ends the absence of a key.
func (a *Auditor) Given(key string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.absences {
		if b := &a.absences[i]; b.key == key && b.until.IsZero() {
			b.until = at
		}
	}
}

// Share returns how many requests sent since a moment were served, and how many
// there were; of one key.
func (a *Auditor) Share(key string, since time.Time) (served, all int) {
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

// Count returns how many requests were seen, and how many were served.
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

// Ends counts the requests by kind and by how they ended, in words.
func (a *Auditor) Ends() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	ends := make(map[string]int)
	for _, r := range a.requests {
		end := fmt.Sprint(r.Status)
		if r.Status == 0 {
			end = "no whole answer"
		}
		ends[r.Kind.String()+" "+end]++
	}
	return ends
}

// Broken lists the promises that were broken so far.
func (a *Auditor) Broken() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var broken []string
	for _, r := range a.requests {
		broken = append(broken, a.check(r)...)
	}
	return broken
}

// check returns what is wrong with a request. It needs the lock.
func (a *Auditor) check(r Request) []string {
	var broken []string
	add := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s %s sent %s: ", r.Kind, r.ID, r.Sent.Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
	runs := a.cfg.Runs(r.ID)
	if r.Torn {
		add("torn: %s", r.Err)
	}
	if r.Kind != Stream && r.Status == http.StatusOK && r.Body != r.Want {
		add("got %q, want %q", r.Body, r.Want)
	}
	if r.Kind == Book && len(runs) > 1 {
		add("ran %d times", len(runs))
	}
	if refuses(r.Status) && len(runs) > 0 {
		add("refused with %d and ran %v after it was sent", r.Status, runs[0].Sub(r.Sent))
	}
	if r.Kind == Stream && r.Status == http.StatusOK {
		runs = append(runs, r.Began)
	}
	for _, v := range a.late(r) {
		add("came to %s and was sent %v after that said that it leaves", v.Endpoint, r.Sent.Sub(v.Left))
	}
	for _, b := range a.absences {
		for _, at := range runs {
			if b.forbids(r, at, a.cfg.Revoke) {
				add("ran %v after its key was taken away", at.Sub(b.from))
			}
		}
	}
	return broken
}

// late lists the endpoints at which a request came that had left long before.
func (a *Auditor) late(r Request) []imitator.Visit {
	return slices.DeleteFunc(slices.Clone(a.cfg.Visits(r.ID)), func(v imitator.Visit) bool {
		return r.Sent.Sub(v.Left) <= a.cfg.Leave
	})
}

// forbids tells whether a request was sent so late that its key must not work, and ran
// before the key was back. One that waited at a node until then may run.
func (b absence) forbids(r Request, ran time.Time, revoke time.Duration) bool {
	return b.key == r.Key && r.Sent.After(b.from.Add(revoke)) && (b.until.IsZero() || ran.Before(b.until))
}
