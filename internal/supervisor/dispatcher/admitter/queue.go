package admitter

import (
	"math"
	"slices"
	"time"

	"banyanquay/internal/refuser"
)

// item is one waiting or running request.
type item struct {
	id uint64
	Request
	arrived time.Time
	started time.Time
	// borrowed is set if it exceeded its organisation's share on arrival.
	borrowed bool
}

// cost returns the expected work of the request in tokens, at least 1.
func (i *item) cost() float64 {
	return float64(max(i.Tokens, 1))
}

// flow holds the requests of one organisation.
type flow struct {
	name   string
	weight float64
	// start is the virtual start time of its next request. It decreases only
	// when a request used fewer tokens than expected. While it is below the
	// queue's virtual time, the flow has had less than its share.
	start   float64
	running int
	// waiting is sorted by priority, then by arrival.
	waiting []*item
}

// busy reports whether the flow has running or waiting requests.
func (f *flow) busy() bool {
	return f.running > 0 || len(f.waiting) > 0
}

// queue is a start-time fair queue over organisations, which share
// cfg.Capacity slots. It reads no clock: the caller passes the time of every
// event.
type queue struct {
	cfg   Config
	flows map[string]*flow
	// virtualTime is the highest virtual start time of the requests granted so
	// far. It never decreases until the queue is idle, which resets it to 0.
	virtualTime float64
	// running has at least cfg.Capacity entries while any request waits, and
	// more only after the capacity was lowered.
	running map[*item]bool
	// tokenTime is the smoothed time per token of one request.
	tokenTime time.Duration
	lastID    uint64
}

// newQueue returns an empty queue.
func newQueue(cfg Config) *queue {
	return &queue{
		cfg:       cfg,
		flows:     make(map[string]*flow),
		running:   make(map[*item]bool),
		tokenTime: cfg.TokenTime,
	}
}

// serviceTime returns the expected run time of a request with that many tokens.
func (q *queue) serviceTime(tokens float64) time.Duration {
	return time.Duration(tokens * float64(q.tokenTime))
}

// updateFlow returns the flow of the request's organisation, created if it is
// missing, with the request's weight. It raises the start of every flow to the
// minimum that follows from the new weights.
func (q *queue) updateFlow(req Request) *flow {
	f := q.flows[req.Organisation]
	if f == nil {
		f = &flow{name: req.Organisation, start: math.Inf(-1)}
		q.flows[req.Organisation] = f
	}
	f.weight = req.Weight
	floor := q.minStart(q.totalWeight(f))
	for _, each := range q.flows {
		each.start = max(each.start, floor)
	}
	return f
}

// offer adds a request to the queue, or rejects it at once. Requests are
// granted only by next.
func (q *queue) offer(now time.Time, req Request) (*item, error) {
	if req.Weight <= 0 {
		req.Weight = q.cfg.Weight
	}
	f := q.updateFlow(req)
	q.lastID++
	it := &item{id: q.lastID, Request: req, arrived: now, borrowed: !q.withinShare(f)}
	if err := q.checkWait(now, f, it); err != nil {
		q.prune()
		return nil, err
	}
	at, _ := slices.BinarySearchFunc(f.waiting, it, compareItems)
	f.waiting = slices.Insert(f.waiting, at, it)
	return it, nil
}

// compareItems orders the requests of one organisation: by priority, highest
// first, then by arrival.
func compareItems(a, b *item) int {
	if a.Priority != b.Priority {
		return b.Priority - a.Priority
	}
	return int(int64(a.id) - int64(b.id))
}

// checkWait rejects a request that can't be served in time. A request within
// its organisation's share is rejected only if it would be late even on an idle
// node.
func (q *queue) checkWait(now time.Time, f *flow, it *item) error {
	service := q.serviceTime(it.cost())
	if !it.Deadline.IsZero() && now.Add(service).After(it.Deadline) {
		return refuser.New(refuser.DeadlineTooClose,
			"work of %d tokens takes %v, but the deadline is in %v", it.Tokens, service, it.Deadline.Sub(now))
	}
	if !it.borrowed {
		return nil
	}
	wait := q.estimateWait(now, f, it)
	if !it.Deadline.IsZero() && now.Add(wait+service).After(it.Deadline) {
		return refuser.New(refuser.DeadlineTooClose,
			"the deadline is too close for %v in the queue and %d tokens in %v", wait, it.Tokens, service).WithWait(wait)
	}
	if wait > q.cfg.MaxWait {
		code := refuser.QueueTooLong
		if q.totalWeight(f) > f.weight {
			code = refuser.OverShare
		}
		return refuser.New(code, "the expected queue time of organisation %s is %v", it.Organisation, wait).WithWait(wait)
	}
	return nil
}

// estimateWait returns the expected time of a request in the queue. The work
// ahead of it keeps every slot busy until it starts, so the wait is the total
// time of that work divided by the number of slots: the rest of the running
// requests, and the waiting ones with an earlier virtual start.
func (q *queue) estimateWait(now time.Time, f *flow, it *item) time.Duration {
	if len(q.running) < q.cfg.Capacity {
		return 0
	}
	ownWork := 0.0
	for _, other := range f.waiting {
		if other.Priority >= it.Priority {
			ownWork += other.cost()
		}
	}
	start := f.start + ownWork/f.weight
	workAhead := ownWork
	for _, other := range q.flows {
		if other != f {
			workAhead += other.workBefore(start)
		}
	}
	return (q.serviceTime(workAhead) + q.remainingTime(now)) / time.Duration(q.cfg.Capacity)
}

// workBefore returns the cost of the flow's waiting requests whose virtual
// start is not after start.
func (f *flow) workBefore(start float64) float64 {
	work := 0.0
	for _, it := range f.waiting {
		if f.start+work/f.weight > start {
			break
		}
		work += it.cost()
	}
	return work
}

// remainingTime returns the sum of the expected remaining times of the running
// requests.
func (q *queue) remainingTime(now time.Time) time.Duration {
	var sum time.Duration
	for it := range q.running {
		sum += max(q.serviceTime(it.cost())-now.Sub(it.started), 0)
	}
	return sum
}

// waitDeadline returns when a request that still waits is rejected.
func (q *queue) waitDeadline(it *item) time.Time {
	end := it.arrived.Add(q.cfg.MaxWait)
	if it.Deadline.IsZero() {
		return end
	}
	latestStart := it.Deadline.Add(-q.serviceTime(it.cost()))
	if latestStart.Before(end) {
		return latestStart
	}
	return end
}

// next grants the first request of the flow with the lowest start. It returns
// nil if no slot is free or no request waits.
func (q *queue) next(now time.Time) *item {
	if len(q.running) >= q.cfg.Capacity {
		return nil
	}
	f := q.minStartFlow()
	if f == nil {
		return nil
	}
	it := f.waiting[0]
	f.waiting = slices.Delete(f.waiting, 0, 1)
	it.started = now
	f.running++
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += it.cost() / f.weight
	q.running[it] = true
	return it
}

// minStartFlow returns the flow with the lowest start among those with waiting
// requests. Ties are broken by name.
func (q *queue) minStartFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || f.start < best.start || (f.start == best.start && f.name < best.name) {
			best = f
		}
	}
	return best
}

// remove removes a waiting request and reports whether it was in the queue.
func (q *queue) remove(it *item) bool {
	f := q.flows[it.Organisation]
	if f == nil {
		return false
	}
	at := slices.Index(f.waiting, it)
	if at < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, at, at+1)
	q.prune()
	return true
}

// finish ends a running request. It charges its flow for the tokens used
// instead of those expected, and updates the token time.
func (q *queue) finish(now time.Time, it *item, tokens int) {
	f := q.flows[it.Organisation]
	f.running--
	delete(q.running, it)
	f.start += (float64(tokens) - it.cost()) / f.weight
	if tokens > 0 {
		took := now.Sub(it.started) / time.Duration(tokens)
		q.tokenTime += (took - q.tokenTime) / tokenTimeSamples
	}
	q.prune()
}

// prune deletes the flows without work whose start is no higher than a new
// flow's, and every flow once the queue is idle, so that state is kept only for
// organisations in use.
func (q *queue) prune() {
	busyWeight := 0.0
	for _, f := range q.flows {
		if f.busy() {
			busyWeight += f.weight
		}
	}
	if busyWeight == 0 {
		clear(q.flows)
		q.virtualTime = 0
		return
	}
	for name, f := range q.flows {
		if !f.busy() && f.start <= q.minStart(busyWeight+f.weight) {
			delete(q.flows, name)
		}
	}
}
