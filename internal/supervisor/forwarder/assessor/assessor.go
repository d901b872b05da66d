// Package assessor judges endpoints by the work that this node gives them:
// requests and tokens in progress, latency, failures, and doubts.
package assessor

import (
	"math"
	"sync"
	"time"
)

const (
	// share is the weight of a new sample in the smoothed values.
	share = 0.25
	// forget is the time in which half of a failure rate wears off, so that an
	// endpoint that has recovered is tried again.
	forget = 3 * time.Second
)

// Record is what is known of an endpoint. It is an immutable value.
type Record struct {
	// Requests and Tokens are in progress for this node.
	Requests int
	Tokens   int
	// Latency is the smoothed time of a successful request.
	Latency time.Duration
	// Failures is the smoothed share of requests that failed, 0 to 1.
	Failures float64
	// at is when Failures was last true.
	at time.Time
	// Doubted is until when the endpoint is avoided.
	Doubted time.Time
	// refusals counts those in a row, each after the doubt of the one before, and
	// refused is when the last came.
	refusals int
	refused  time.Time
	// Reading is until when the endpoint reads the prompts that this node has given
	// it, as far as known.
	Reading time.Time
	// Pace is how many times slower than usual the endpoint was when it was
	// last asked, and Paced when that was. Asked is set if this node asked: what
	// others told is not told on.
	Pace  float64
	Paced time.Time
	Asked bool
}

// paceFresh is how long a pace counts: slow spells last seconds.
const paceFresh = 2500 * time.Millisecond

// Slowness returns the pace as it counts now; 1 is usual.
func (r Record) Slowness(now time.Time) float64 {
	if r.Pace <= 1 || now.Sub(r.Paced) > paceFresh {
		return 1
	}
	return r.Pace
}

// Backlog returns how long the endpoint still reads what this node has given it, in
// milliseconds.
func (r Record) Backlog(now time.Time) float64 {
	return max(float64(r.Reading.Sub(now))/float64(time.Millisecond), 0)
}

// failures returns the failure rate as it counts now.
func (r Record) failures(now time.Time) float64 {
	return r.Failures * math.Exp2(-float64(now.Sub(r.at))/float64(forget))
}

// Assessor keeps a record of each endpoint. It is safe for concurrent use.
type Assessor struct {
	now func() time.Time

	mu      sync.Mutex
	records map[string]Record
}

// New returns an assessor without records.
func New(now func() time.Time) *Assessor {
	return &Assessor{now: now, records: make(map[string]Record)}
}

// Record returns an endpoint's record, with the failure rate as of now.
func (a *Assessor) Record(id string) Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	now := a.now()
	r.Failures, r.at = r.failures(now), now
	return r
}

// Tokens returns the tokens in progress by endpoint, of those with any.
func (a *Assessor) Tokens() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	tokens := make(map[string]int, len(a.records))
	for id, r := range a.records {
		if r.Tokens > 0 {
			tokens[id] = r.Tokens
		}
	}
	return tokens
}

// Doubtful tells whether an endpoint is avoided now.
func (a *Assessor) Doubtful(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now().Before(a.records[id].Doubted)
}

// Paced takes in an endpoint's pace, as this node has asked or been told.
func (a *Assessor) Paced(id string, pace float64, asked bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	r.Pace, r.Paced, r.Asked = pace, a.now(), asked
	a.records[id] = r
}

// Slow returns the records of the endpoints that are slower than a bound.
func (a *Assessor) Slow(bound float64) map[string]Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	slow := make(map[string]Record)
	for id, r := range a.records {
		if r.Slowness(now) > bound {
			slow[id] = r
		}
	}
	return slow
}

// Reads takes in that an endpoint was given prompts that take some time to read.
func (a *Assessor) Reads(id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	if now := a.now(); r.Reading.Before(now) {
		r.Reading = now
	}
	r.Reading = r.Reading.Add(d)
	a.records[id] = r
}

// Begin counts work at endpoints as in progress until the function returned is
// called; more than once has no effect.
func (a *Assessor) Begin(ids []string, tokens int) (end func()) {
	a.add(ids, 1, tokens)
	var once sync.Once
	return func() { once.Do(func() { a.add(ids, -1, -tokens) }) }
}

// add changes the counts of work in progress.
func (a *Assessor) add(ids []string, requests, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		r := a.records[id]
		r.Requests += requests
		r.Tokens += tokens
		a.records[id] = r
	}
}

// Succeeded takes in that an endpoint answered well.
func (a *Assessor) Succeeded(id string, took time.Duration) {
	a.observe(id, 0, func(r *Record) {
		if r.Latency == 0 {
			r.Latency = took
		}
		r.Latency += time.Duration(share * float64(took-r.Latency))
		r.Doubted = time.Time{}
	})
}

// Failed takes in that an endpoint failed a request.
func (a *Assessor) Failed(id string) {
	a.observe(id, 1, func(*Record) {})
}

// Doubt lets an endpoint be avoided for a while.
func (a *Assessor) Doubt(id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	if until := a.now().Add(d); until.After(r.Doubted) {
		r.Doubted = until
	}
	a.records[id] = r
}

// refusalsApart is after how long a refusal is no longer in a row with the one before.
const refusalsApart = 5 * time.Second

// Refused takes in that an endpoint refused a request, and returns how many times in a
// row it did, at least 1. One that comes while the endpoint is avoided was sent before.
func (a *Assessor) Refused(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.records[id], a.now()
	if now.Sub(r.refused) > refusalsApart {
		r.refusals = 0
	}
	if r.refusals == 0 || !now.Before(r.Doubted) {
		r.refusals++
	}
	r.refused = now
	a.records[id] = r
	return r.refusals
}

// Accepted takes in that endpoints took a request: the next refusal is a first one.
func (a *Assessor) Accepted(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if r := a.records[id]; r.refusals > 0 {
			r.refusals = 0
			a.records[id] = r
		}
	}
}

// Trust ends a doubt.
func (a *Assessor) Trust(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[id]
	if !ok || r.Doubted.IsZero() {
		return
	}
	r.Doubted = time.Time{}
	a.records[id] = r
}

// observe moves the failure rate towards a sample.
func (a *Assessor) observe(id string, sample float64, change func(*Record)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r := a.records[id]
	rate := r.failures(now)
	r.Failures, r.at = rate+share*(sample-rate), now
	change(&r)
	a.records[id] = r
}

// Keep forgets all endpoints without work but those named.
func (a *Assessor) Keep(known func(id string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.records {
		if r.Requests == 0 && !known(id) {
			delete(a.records, id)
		}
	}
}
