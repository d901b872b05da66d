// Package assessor records what this node observes of endpoints in the work that it
// gives them: requests and tokens in progress, latency, failures, slowness, and
// which endpoints are suspect.
package assessor

import (
	"math"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the smoothed values.
	sampleWeight = 0.25
	// failureHalfLife is the time in which a failure rate decays by half, so that an
	// endpoint that has recovered is tried again.
	failureHalfLife = 3 * time.Second
)

// Record holds the measurements of an endpoint. It is an immutable value.
type Record struct {
	// Requests and Tokens are this node's work in progress at the endpoint.
	Requests int
	Tokens   int
	// Latency is the smoothed duration of a successful request.
	Latency time.Duration
	// FailureRate is the smoothed share of requests that failed, 0 to 1.
	FailureRate float64
	// failureRateAt is the time for which FailureRate holds; it decays after that.
	failureRateAt time.Time
	// SuspectUntil is the time until which the endpoint is avoided.
	SuspectUntil time.Time
	// rejections counts consecutive rejections, each after the end of the suspicion
	// that the one before caused, and rejectedAt is the time of the last one.
	rejections int
	rejectedAt time.Time
	// FullUntil is the time until which the endpoint counts as full. fulls counts the
	// consecutive refusals for lack of room, each after the end of the time that the one
	// before caused, and fullAt is the time of the last one.
	FullUntil time.Time
	fulls     int
	fullAt    time.Time
	// bias is by how much more than estimated the endpoint was loaded at biasAt.
	bias   float64
	biasAt time.Time
	// PrefillUntil is the time at which the endpoint is expected to have read all
	// prompts that this node has given it. It is this node's estimate.
	PrefillUntil time.Time
	// Pace is how many times slower than usual the endpoint was at PacedAt. Polled
	// is set if this node polled the endpoint for it: a pace that another node
	// reported is not passed on.
	Pace    float64
	PacedAt time.Time
	Polled  bool
}

// maxPaceAge is how long a pace counts. Endpoints are slow for seconds at a time.
const maxPaceAge = 2500 * time.Millisecond

// CurrentPace returns how many times slower than usual the endpoint is; 1 if it is not
// known to be slow, or if the pace is too old.
func (r Record) CurrentPace(now time.Time) float64 {
	if r.Pace <= 1 || now.Sub(r.PacedAt) > maxPaceAge {
		return 1
	}
	return r.Pace
}

// biasHalfLife is the time in which a known underestimate of an endpoint's load decays by
// half. The loads of other nodes change as fast.
const biasHalfLife = 2 * time.Second

// Bias returns how many times higher than estimated the endpoint's load is taken to be,
// since it refused requests for lack of room that it should have had room for; at least 1.
func (r Record) Bias(now time.Time) float64 {
	if r.bias <= 1 {
		return 1
	}
	return 1 + (r.bias-1)*math.Exp2(-float64(now.Sub(r.biasAt))/float64(biasHalfLife))
}

// Backlog returns how long the endpoint still takes to read the prompts that this
// node has given it, in milliseconds.
func (r Record) Backlog(now time.Time) float64 {
	return max(float64(r.PrefillUntil.Sub(now))/float64(time.Millisecond), 0)
}

// failureRate returns the failure rate, decayed until now.
func (r Record) failureRate(now time.Time) float64 {
	return r.FailureRate * math.Exp2(-float64(now.Sub(r.failureRateAt))/float64(failureHalfLife))
}

// Assessor keeps a record of each endpoint. It is safe for concurrent use.
type Assessor struct {
	now func() time.Time

	mu      sync.Mutex
	records map[string]Record
}

// New returns an Assessor without records.
func New(now func() time.Time) *Assessor {
	return &Assessor{now: now, records: make(map[string]Record)}
}

// Record returns an endpoint's record, with the failure rate as of now.
func (a *Assessor) Record(id string) Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	now := a.now()
	r.FailureRate, r.failureRateAt = r.failureRate(now), now
	return r
}

// Tokens returns the tokens in progress by endpoint; endpoints without any are left
// out.
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

// IsSuspect reports whether an endpoint is suspect now.
func (a *Assessor) IsSuspect(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now().Before(a.records[id].SuspectUntil)
}

// SetPace records an endpoint's pace; polled is set if this node polled the
// endpoint, and not set if another node reported the pace.
func (a *Assessor) SetPace(id string, pace float64, polled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	r.Pace, r.PacedAt, r.Polled = pace, a.now(), polled
	a.records[id] = r
}

// Slow returns the records of the endpoints whose current pace exceeds a threshold.
func (a *Assessor) Slow(threshold float64) map[string]Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	slow := make(map[string]Record)
	for id, r := range a.records {
		if r.CurrentPace(now) > threshold {
			slow[id] = r
		}
	}
	return slow
}

// AddPrefill adds the time that an endpoint needs to read prompts that this node has
// given it.
func (a *Assessor) AddPrefill(id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	if now := a.now(); r.PrefillUntil.Before(now) {
		r.PrefillUntil = now
	}
	r.PrefillUntil = r.PrefillUntil.Add(d)
	a.records[id] = r
}

// Begin counts work at endpoints as in progress until the returned function is
// called. Further calls of that function have no effect.
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

// Succeeded records a successful request, which ends a suspicion.
func (a *Assessor) Succeeded(id string, took time.Duration) {
	a.observe(id, 0, func(r *Record) {
		if r.Latency == 0 {
			r.Latency = took
		}
		r.Latency += time.Duration(sampleWeight * float64(took-r.Latency))
		r.SuspectUntil = time.Time{}
	})
}

// Failed records a failed request.
func (a *Assessor) Failed(id string) {
	a.observe(id, 1, func(*Record) {})
}

// MarkSuspect makes an endpoint suspect for a while. It does not shorten an earlier
// suspicion.
func (a *Assessor) MarkSuspect(id string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.records[id]
	if until := a.now().Add(d); until.After(r.SuspectUntil) {
		r.SuspectUntil = until
	}
	a.records[id] = r
}

// maxRejectionGap is the longest time between two consecutive rejections; after it,
// the count starts again.
const maxRejectionGap = 5 * time.Second

// Rejected records that an endpoint rejected a request, and returns the number of
// consecutive rejections, at least 1. Another rejection while the endpoint is
// suspect is not counted: its request was sent before.
func (a *Assessor) Rejected(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.records[id], a.now()
	if now.Sub(r.rejectedAt) > maxRejectionGap {
		r.rejections = 0
	}
	if r.rejections == 0 || !now.Before(r.SuspectUntil) {
		r.rejections++
	}
	r.rejectedAt = now
	a.records[id] = r
	return r.rejections
}

const (
	// fullPeriod is how long an endpoint counts as full after it refused a request for
	// lack of room. Reports of its load are up to 1.8 s old and may say otherwise.
	// Consecutive refusals double it, up to maxFullDoublings times.
	fullPeriod       = 150 * time.Millisecond
	maxFullDoublings = 2
)

// MarkFull records that an endpoint refused a request for lack of room, and returns the
// number of consecutive such refusals. Another one while it counts as full changes nothing
// and returns 0: its request was sent before.
func (a *Assessor) MarkFull(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.records[id], a.now()
	if now.Before(r.FullUntil) {
		return 0
	}
	if now.Sub(r.fullAt) > maxRejectionGap {
		r.fulls = 0
	}
	r.FullUntil, r.fullAt = now.Add(fullPeriod<<min(r.fulls, maxFullDoublings)), now
	r.fulls++
	a.records[id] = r
	return r.fulls
}

// Underestimated records that an endpoint's load is higher than estimated by a factor.
func (a *Assessor) Underestimated(id string, factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.records[id], a.now()
	r.bias, r.biasAt = max(r.Bias(now), factor), now
	a.records[id] = r
}

// Accepted records that endpoints accepted a request, which resets their count of
// rejections, and that of refusals for lack of room unless they count as full: such a
// request was sent before.
func (a *Assessor) Accepted(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		r := a.records[id]
		if r.rejections == 0 && r.fulls == 0 {
			continue
		}
		r.rejections = 0
		if !a.now().Before(r.FullUntil) {
			r.fulls = 0
		}
		a.records[id] = r
	}
}

// ClearSuspicion ends the suspicion of an endpoint.
func (a *Assessor) ClearSuspicion(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.records[id]
	if !ok || r.SuspectUntil.IsZero() {
		return
	}
	r.SuspectUntil = time.Time{}
	a.records[id] = r
}

// observe updates the smoothed failure rate with a sample and changes the record.
func (a *Assessor) observe(id string, sample float64, change func(*Record)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	r := a.records[id]
	rate := r.failureRate(now)
	r.FailureRate, r.failureRateAt = rate+sampleWeight*(sample-rate), now
	change(&r)
	a.records[id] = r
}

// Retain deletes the records of endpoints that are not known and have no work in
// progress.
func (a *Assessor) Retain(known func(id string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, r := range a.records {
		if r.Requests == 0 && !known(id) {
			delete(a.records, id)
		}
	}
}
