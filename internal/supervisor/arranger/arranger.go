// Package arranger gives the layers of models to engines and orders them to
// load. The plan is a pure function of what the engines report; nothing that
// was ordered is believed before it is reported.
package arranger

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

const (
	// tick is the time between two looks at what is missing.
	tick = 300 * time.Millisecond
	// settle is how long an engine's first entry is waited for before a leader's
	// first plan, so that engines that start together are planned together.
	settle = 700 * time.Millisecond
	// roomRequests is for how many usual requests an engine keeps room beside
	// its layers. A path's engine in a data centre with one holder of each layer
	// sees all requests of the data centre, and half as many again while
	// another data centre has no whole path.
	roomRequests = 105
	// leastRequests is the same where a data centre has no other way to hold
	// all layers.
	leastRequests = 42
	// uselessPace is from which pace on an engine doesn't count as a holder of
	// its layers: it can't read the prompts of its data centre any more.
	uselessPace = 3
	// reportTime is how long an engine may take beyond the load to report it: two
	// entries in the store and their reading.
	reportTime = 3 * time.Second
	// refusedTime and unansweredTime are the waits before another order to an
	// engine that refused one, or did not answer.
	refusedTime    = time.Second
	unansweredTime = tick
	// tilePatience is how long a data centre lacks layers before it is laid out anew.
	// Engines that restart or are replaced are back by then; one that changes its
	// layers is out of service for the streams that it still has, and for the load.
	tilePatience = 6 * time.Second
	// parallel bounds the orders on their way.
	parallel = 16
)

// Config is what an arranger needs.
type Config struct {
	// Configuration is nil until one has been read.
	Configuration func() *mapper.Configuration
	Endpoints     func() *registrar.Table
	Report        func(ctx context.Context, address, endpoint string) (driver.Report, error)
	Place         func(ctx context.Context, address, endpoint string, p driver.Placement) error
	// Pace is how many times slower than usual an engine is; 0 if it is not
	// known to be.
	Pace func(endpoint string) float64
	// Plan gives out layers; nil means the function Plan.
	Plan func(layers int, holders []Holder, anew func(centre string) bool) []Range
	// Leads tells whether this node gives orders, and Confirm asks the store.
	Leads    func() bool
	Confirm  func(ctx context.Context) (fence uint64, ok bool)
	Fenced   func()
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// order is one that was given and is not yet reported.
type order struct {
	born  int64
	first int
	last  int
	until time.Time
}

// Arranger orders engines while this node leads.
type Arranger struct {
	cfg Config
	// orders are by the engine's ID; they belong to the step's goroutine.
	orders map[string]order
	// seen is when the number of endpoints last grew, and count that number. planned
	// is set once this node has made a plan since it leads.
	seen    time.Time
	count   int
	planned bool
	// lacking is since when data centres lack layers.
	lacking map[string]time.Time
}

// New returns an arranger.
func New(cfg Config) *Arranger {
	if cfg.Plan == nil {
		cfg.Plan = Plan
	}
	return &Arranger{cfg: cfg, orders: make(map[string]order), lacking: make(map[string]time.Time)}
}

// Step orders engines until its context ends.
func (a *Arranger) Step() grouper.Step {
	return grouper.Step{Name: "arranger", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, tick) {
			a.look(ctx)
		}
		return nil
	}}
}

// job is an order to give.
type job struct {
	entry registrar.Entry
	rng   Range
	load  time.Duration
	// atOnce is how many loads run before they slow each other down.
	atOnce int
}

// look orders what is missing.
func (a *Arranger) look(ctx context.Context) {
	cfg, table := a.cfg.Configuration(), a.cfg.Endpoints()
	if cfg == nil || !a.cfg.Leads() {
		clear(a.orders)
		a.planned = false
		return
	}
	now := a.cfg.Now()
	if n := table.Len(); n > a.count {
		a.seen = now
	}
	a.count = table.Len()
	if !a.planned && now.Sub(a.seen) < settle {
		return
	}
	a.planned = true
	var jobs []job
	for _, service := range cfg.Services() {
		if service.Engine != nil && service.Engine.Layers > 0 {
			jobs = append(jobs, a.jobs(now, service, table)...)
		}
	}
	if len(jobs) == 0 {
		return
	}
	fence, ok := a.cfg.Confirm(ctx)
	if !ok {
		return
	}
	a.give(ctx, fence, jobs)
}

// jobs returns the orders that a service needs.
func (a *Arranger) jobs(now time.Time, service mapper.Service, table *registrar.Table) []job {
	engine := service.Engine
	var holders []Holder
	entries := make(map[string]registrar.Entry)
	for _, e := range table.All() {
		if e.Service != service.Name || e.Leaving || a.cfg.Pace(e.ID) >= uselessPace {
			continue
		}
		entries[e.ID] = e
		holders = append(holders, a.holder(now, engine, e))
	}
	var jobs []job
	for _, r := range a.cfg.Plan(engine.Layers, holders, a.lasting(now, engine.Layers, holders)) {
		part := float64(r.Last-r.First) / float64(engine.Layers)
		load := time.Duration(part * float64(engine.Load))
		jobs = append(jobs, job{entry: entries[r.ID], rng: r, load: load, atOnce: engine.LoadsAtOnce})
	}
	return jobs
}

// lasting notes which data centres lack layers, and tells of those that have done so
// for long.
func (a *Arranger) lasting(now time.Time, layers int, holders []Holder) func(centre string) bool {
	lacking := Lacking(layers, holders)
	maps.DeleteFunc(a.lacking, func(centre string, _ time.Time) bool { return !slices.Contains(lacking, centre) })
	for _, centre := range lacking {
		if _, ok := a.lacking[centre]; !ok {
			a.lacking[centre] = now
		}
	}
	return func(centre string) bool {
		since, ok := a.lacking[centre]
		return ok && now.Sub(since) >= tilePatience
	}
}

// holder returns an engine as the plan sees it. One that was given an order
// counts as holding the range until the order is reported or given up.
func (a *Arranger) holder(now time.Time, engine *mapper.Engine, e registrar.Entry) Holder {
	h := Holder{
		ID: e.ID, Centre: e.Centre, First: e.First, Last: e.Last,
		Capacity: capacity(engine, e.Accelerator, roomRequests),
		Most:     capacity(engine, e.Accelerator, leastRequests),
	}
	o, ok := a.orders[e.ID]
	switch {
	case !ok:
	case o.born != e.Born, o.first == e.First && o.last == e.Last, now.After(o.until):
		delete(a.orders, e.ID)
	default:
		h.First, h.Last, h.Fixed = o.first, o.last, true
	}
	return h
}

// capacity is how many layers an engine may hold and still have room for a
// number of usual requests; one if that leaves hardly any.
func capacity(engine *mapper.Engine, kind string, requests int) int {
	accelerator, ok := engine.Accelerator(kind)
	if !ok || engine.LayerMB <= 0 {
		return 0
	}
	most := min(int(math.Floor(accelerator.MB/engine.LayerMB)), engine.Layers)
	usual := max(engine.Prompt+engine.Answer, 1)
	for n := most; n > 1; n-- {
		if engine.Room(accelerator, n) >= requests*usual {
			return n
		}
	}
	return min(most, 1)
}

// give sends the orders and waits for their answers.
func (a *Arranger) give(ctx context.Context, fence uint64, jobs []job) {
	var wg sync.WaitGroup
	waits := make([]time.Duration, len(jobs))
	slots := make(chan struct{}, parallel)
	for i, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			waits[i] = a.order(ctx, fence, j)
		})
	}
	wg.Wait()
	now := a.cfg.Now()
	for i, j := range jobs {
		wait := waits[i]
		if wait == 0 {
			// All loads share the way to the weights.
			wait = j.load*time.Duration(1+len(jobs)/max(j.atOnce, 1)) + reportTime
		}
		a.orders[j.entry.ID] = order{born: j.entry.Born, first: j.rng.First, last: j.rng.Last, until: now.Add(wait)}
	}
}

// order sends one order, and returns how long to wait before the next one to that
// engine; 0 means that this one is accepted. It depends on the engine's count of
// orders, so that an earlier one that comes late has no effect after it, and it
// may be sent again at once where there is no answer.
func (a *Arranger) order(ctx context.Context, fence uint64, j job) time.Duration {
	report, err := a.cfg.Report(ctx, j.entry.Address, j.entry.ID)
	switch {
	case err != nil:
	case report.Busy:
		err = &driver.Refused{Reason: driver.ReasonState, Detail: "busy with another order"}
	default:
		err = a.cfg.Place(ctx, j.entry.Address, j.entry.ID, driver.Placement{
			First: j.rng.First, Last: j.rng.Last, Fence: fence, Orders: report.Orders,
		})
	}
	a.cfg.Counters.Placement.Add("orders", 1)
	a.cfg.Recorder.Info(recorder.LoadBegun,
		zap.String("endpoint", j.entry.ID), zap.String("address", j.entry.Address),
		zap.Int("first", j.rng.First), zap.Int("last", j.rng.Last),
		zap.Int("held_first", j.entry.First), zap.Int("held_last", j.entry.Last),
		zap.Uint64("fence", fence), zap.Int64("orders", report.Orders), zap.Error(err))
	var refused *driver.Refused
	switch {
	case err == nil:
		return 0
	case errors.As(err, &refused):
		if refused.Reason == driver.ReasonFence {
			a.cfg.Fenced()
		}
		return refusedTime
	default:
		return unansweredTime
	}
}
