package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

const (
	// initialPollBatch is how many endpoints are polled in a round until all have
	// been polled since the lease began, and pollBatch how many after that.
	// Endpoints with a load are polled in addition.
	initialPollBatch = 32
	pollBatch        = 4
	// callTimeout limits a call to an endpoint.
	callTimeout = 2 * time.Second
	// graceRounds is the number of round intervals for which an endpoint that does
	// not answer still counts as a holder, and for which a new lease begins no load.
	graceRounds = 2
)

// leaseState is what a holder has learnt since it took the lease. Nothing in it is
// older than the lease.
type leaseState struct {
	lease     provider.Offset
	startedAt time.Time
	// reports are by endpoint; an endpoint that has never answered has an empty
	// status.
	reports map[string]report
	// tasks are the open loads by endpoint.
	tasks map[string]*task
	// backoffs are those of endpoints whose load failed.
	backoffs map[string]backoff
	// lastServing is when an endpoint was last seen serving.
	lastServing map[string]time.Time
}

// report is what an endpoint reports of itself.
type report struct {
	status driver.Status
	// known is set if it has ever answered.
	known bool
	// polledAt is when it was last polled.
	polledAt time.Time
	// fresh is set if the last poll was answered.
	fresh bool
}

func newLeaseState(lease provider.Offset, now time.Time) *leaseState {
	return &leaseState{
		lease:       lease,
		startedAt:   now,
		reports:     make(map[string]report),
		tasks:       make(map[string]*task),
		backoffs:    make(map[string]backoff),
		lastServing: make(map[string]time.Time),
	}
}

// pollTargets returns the endpoints to poll in this round: those with a load, then
// those whose own report differs from what the watchers see, then those not polled
// for the longest time.
func (p *Placer) pollTargets() []string {
	var due []string
	for _, l := range p.view.State().Loads {
		due = append(due, l.Endpoint)
	}
	var others []driver.Endpoint
	for _, e := range p.cfg.Endpoints() {
		if e.Role == provider.RoleEndpoint && e.Serving() && !slices.Contains(due, e.Address) {
			others = append(others, e)
		}
	}
	slices.SortStableFunc(others, func(a, b driver.Endpoint) int {
		return p.pollTime(a).Compare(p.pollTime(b))
	})
	batch := initialPollBatch
	if p.ready(p.cfg.Now()) {
		batch = pollBatch
	}
	for _, e := range others[:min(len(others), batch)] {
		due = append(due, e.Address)
	}
	return due
}

// pollTime returns when an endpoint was last polled; zero if its report differs from
// what the watchers see.
func (p *Placer) pollTime(e driver.Endpoint) time.Time {
	r := p.leaseState.reports[e.Address]
	if r.status.Incarnation != e.Status.Incarnation ||
		!slices.EqualFunc(r.status.Holdings, e.Status.Holdings, sameHolding) {
		return time.Time{}
	}
	return r.polledAt
}

// poll polls endpoints for their reports, all at once.
func (p *Placer) poll(ctx context.Context, addresses []string) {
	now := p.cfg.Now()
	answers := make([]report, len(addresses))
	callAll(len(addresses), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s, err := p.cfg.Engine.Status(ctx, addresses[i])
		answers[i] = report{status: s, known: err == nil, polledAt: now, fresh: err == nil}
	})
	for i, address := range addresses {
		p.recordReport(address, answers[i])
	}
}

// callAll runs n calls at once and waits for all of them to return.
func callAll(n int, call func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { call(i) })
	}
	wg.Wait()
}

// recordReport stores a report. Holdings that changed while no load was open were
// ordered by someone else, which is counted as a contradiction.
func (p *Placer) recordReport(address string, r report) {
	t := p.leaseState
	old := t.reports[address]
	if !r.fresh {
		old.polledAt, old.fresh = r.polledAt, false
		t.reports[address] = old
		return
	}
	t.reports[address] = r
	same := old.status.Incarnation == r.status.Incarnation
	if !old.known || !same || p.hasLoad(address) || slices.EqualFunc(old.status.Holdings, r.status.Holdings, sameHolding) {
		return
	}
	p.count("contradictions")
	p.cfg.Recorder.Warn(recorder.HoldingsUnexpected, zap.String("endpoint", address))
}

// sameHolding reports whether two holdings are equal.
func sameHolding(a, b driver.Holding) bool {
	return covers(a, b) && covers(b, a)
}

// ready reports whether every serving endpoint has been polled since the lease began,
// and the lease is old enough for the node to know all endpoints.
func (p *Placer) ready(now time.Time) bool {
	if now.Sub(p.leaseState.startedAt) < graceRounds*p.cfg.RoundInterval {
		return false
	}
	for _, e := range p.cfg.Endpoints() {
		if e.Role == provider.RoleEndpoint && e.Serving() && p.leaseState.reports[e.Address].polledAt.IsZero() {
			return false
		}
	}
	return true
}

// engines returns the endpoints that the plan takes into account: those that may get
// a load, and those that are unresponsive for now.
func (p *Placer) engines(now time.Time) []Engine {
	t := p.leaseState
	var engines []Engine
	for _, e := range p.cfg.Endpoints() {
		if e.Role != provider.RoleEndpoint {
			continue
		}
		if e.Serving() {
			t.lastServing[e.Address] = now
		}
		r := t.reports[e.Address]
		if e.Status.Leaving || r.status.Leaving || now.Sub(t.lastServing[e.Address]) >= graceRounds*p.cfg.RoundInterval {
			continue
		}
		engine := Engine{Address: e.Address, Status: e.Status, Busy: true}
		if r.known {
			engine.Status = r.status
			engine.Busy = !e.Serving() || !r.fresh || now.Before(t.backoffs[e.Address].until)
		}
		engines = append(engines, p.withLoad(engine))
	}
	return engines
}

// withLoad returns the engine with its open load among its holdings; it is busy
// then.
func (p *Placer) withLoad(e Engine) Engine {
	for _, l := range p.view.State().Loads {
		if l.Endpoint != e.Address {
			continue
		}
		e.Busy = true
		if !l.Cancelled {
			e.Status.Holdings = l.Hold
		}
	}
	return e
}
