// Package arranger assigns the layers of models to engines and orders the engines to
// load them. The plan is a pure function of what the engines report and of the
// orders that are pending; a load counts as done only once it is reported.
package arranger

import (
	"context"
	"maps"
	"slices"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

const (
	// planInterval is the time between two plans.
	planInterval = 300 * time.Millisecond
	// settleDelay is how long no endpoint must have been added before a leader's
	// first plan, so that engines that start together are planned together.
	settleDelay = 700 * time.Millisecond
	// targetRequests is the number of usual requests for which an engine keeps free
	// memory in addition to its layers, unless Reserve.Requests gives more. An engine in
	// a data centre with one holder of each layer serves all requests of the data centre,
	// and half as many again while another data centre has no complete path.
	targetRequests = 105
	// minRequests replaces targetRequests where a data centre has no other way to
	// hold all layers.
	minRequests = 42
	// unusablePace is the pace from which an engine doesn't count as a holder of its
	// layers: it can no longer keep up with the prompts of its data centre.
	unusablePace = 3
	// tileDelay is how long a data centre must lack layers before all its layers
	// are reassigned. Engines that restart or are replaced are back by then. An
	// engine that changes its layers is out of service for the streams that it still
	// has, and during the load.
	tileDelay = 6 * time.Second
)

// Config configures an Arranger.
type Config struct {
	// Configuration returns nil until a configuration has been read.
	Configuration func() *mapper.Configuration
	Endpoints     func() *registrar.Table
	Report        func(ctx context.Context, address, endpoint string) (driver.Report, error)
	Place         func(ctx context.Context, address, endpoint string, p driver.Placement) error
	// Pace returns how many times slower than usual an engine is; 0 if it is not
	// known to be slow.
	Pace func(endpoint string) float64
	// SpareCopies is Reserve.SpareCopies.
	SpareCopies int
	// Plan assigns layers to engines; nil means the function Plan.
	Plan func(layers int, holders []Holder, relayout func(centre string) bool) []Range
	// Leads reports whether this node leads as far as it knows, and Confirm asks the
	// store.
	Leads    func() bool
	Confirm  func(ctx context.Context) (fence uint64, ok bool)
	Fenced   func()
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// Arranger sends orders to engines while this node leads.
type Arranger struct {
	cfg Config
	// pending has the orders by engine ID; only the step's goroutine uses it.
	pending map[string]pendingOrder
	// awaited has the last load of engines whose entries did not show it in time.
	awaited map[string]ended
	// lastJoined is when the number of endpoints last grew, and endpointCount is
	// that number. planned is set once this node has made a plan since it became the
	// leader.
	lastJoined    time.Time
	endpointCount int
	planned       bool
	// choices has the number of requests for which engines keep memory, by service,
	// since this node became the leader.
	choices map[string]choice
	// uncoveredSince holds, for each data centre that lacks layers, when it began to
	// lack them.
	uncoveredSince map[string]time.Time
}

// New returns an Arranger.
func New(cfg Config) *Arranger {
	if cfg.Plan == nil {
		cfg.Plan = Plan
	}
	return &Arranger{
		cfg: cfg, pending: make(map[string]pendingOrder), choices: make(map[string]choice), awaited: make(map[string]ended),
		uncoveredSince: make(map[string]time.Time),
	}
}

// Step plans and sends orders until its context ends.
func (a *Arranger) Step() grouper.Step {
	return grouper.Step{Name: "arranger", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, planInterval) {
			a.cfg.Recorder.Guard("placement", func() { a.reconcile(ctx) })
		}
		return nil
	}}
}

// assignment is an order to send.
type assignment struct {
	entry registrar.Entry
	rng   Range
	load  time.Duration
	// maxParallelLoads is how many loads run at once before they slow each other
	// down.
	maxParallelLoads int
	// engines is the number of engines of the service.
	engines int
}

// reconcile compares what engines hold with the plan and sends the missing orders.
func (a *Arranger) reconcile(ctx context.Context) {
	cfg, table := a.cfg.Configuration(), a.cfg.Endpoints()
	if cfg == nil || !a.cfg.Leads() {
		clear(a.pending)
		clear(a.choices)
		clear(a.awaited)
		a.planned = false
		return
	}
	now := a.cfg.Now()
	if n := table.Len(); n > a.endpointCount {
		a.lastJoined = now
	}
	a.endpointCount = table.Len()
	if !a.planned && now.Sub(a.lastJoined) < settleDelay {
		return
	}
	a.planned = true
	a.checkPending(ctx, now, table)
	var orders []assignment
	for _, service := range cfg.Services() {
		if service.Engine != nil && service.Engine.Layers > 0 {
			orders = append(orders, a.assignments(now, service, len(cfg.Priorities(service.Name).Routes), table)...)
		}
	}
	if len(orders) == 0 {
		return
	}
	fence, ok := a.cfg.Confirm(ctx)
	if !ok {
		return
	}
	a.sendOrders(ctx, fence, orders)
}

// assignments returns the orders that a service needs.
func (a *Arranger) assignments(now time.Time, service mapper.Service, priorities int, table *registrar.Table) []assignment {
	engine := service.Engine
	all := slices.DeleteFunc(table.All(), func(e registrar.Entry) bool {
		return e.Service != service.Name || !e.FitsModel(engine.Layers)
	})
	requests := a.requests(service.Name, NewReserve(engine, priorities, a.cfg.SpareCopies, all))
	var holders []Holder
	entries := make(map[string]registrar.Entry)
	for _, e := range all {
		if e.Leaving || a.cfg.Pace(e.ID) >= unusablePace {
			continue
		}
		entries[e.ID] = e
		holders = append(holders, a.holder(engine, e, requests))
	}
	a.fixCentres(now, holders)
	var orders []assignment
	for _, r := range a.cfg.Plan(engine.Layers, holders, a.relayoutDue(now, engine.Layers, holders)) {
		part := float64(r.Last-r.First) / float64(engine.Layers)
		load := time.Duration(part * float64(engine.LoadTime))
		orders = append(orders, assignment{
			entry: entries[r.ID], rng: r, load: load, maxParallelLoads: engine.MaxParallelLoads, engines: len(holders),
		})
	}
	return orders
}

// relayoutDue records which data centres lack layers, and returns a function that
// reports whether a data centre has lacked layers for at least tileDelay.
func (a *Arranger) relayoutDue(now time.Time, layers int, holders []Holder) func(centre string) bool {
	centres := UncoveredCentres(layers, holders)
	maps.DeleteFunc(a.uncoveredSince, func(centre string, _ time.Time) bool { return !slices.Contains(centres, centre) })
	for _, centre := range centres {
		if _, ok := a.uncoveredSince[centre]; !ok {
			a.uncoveredSince[centre] = now
		}
	}
	return func(centre string) bool {
		since, ok := a.uncoveredSince[centre]
		return ok && now.Sub(since) >= tileDelay
	}
}

// holder returns the state of an engine for the plan. An engine with a pending order
// counts as a holder of the ordered range until its entry shows the load, the load turns
// out not to run, or the engine restarts.
func (a *Arranger) holder(engine *mapper.Engine, e registrar.Entry, requests int) Holder {
	h := newHolder(engine, e.Accelerator, requests, e.Last-e.First)
	h.ID, h.Centre, h.First, h.Last = e.ID, e.Centre, e.First, e.Last
	o, ok := a.pending[e.ID]
	switch {
	case !ok:
	case o.born != e.Born, o.reported(e):
		delete(a.pending, e.ID)
	default:
		h.First, h.Last, h.Fixed = o.first, o.last, true
	}
	return h
}
