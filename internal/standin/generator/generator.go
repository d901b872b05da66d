// Package generator stands in for a model engine in tests. Its model is a chain of
// digests, so that a layer that is missing, run twice or run out of order changes
// every token that follows.
package generator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/server"
)

// maxTraces limits the steps and the calls that are kept for inspection.
const maxTraces = 100000

// Config configures an engine.
type Config struct {
	// Incarnation identifies this run of the engine; empty means a random one.
	Incarnation string
	// Accelerator is the reported kind of hardware.
	Accelerator string
	// Holdings are the layer ranges held at the start.
	Holdings []driver.Holding
	// StepTime is the time of one layer for the first position of a step.
	StepTime time.Duration
	// PrefillTime is the time of one layer for each further word of a prompt, and for
	// each further position of a step.
	PrefillTime time.Duration
	// Slots is how many steps run at once; further ones are queued. 0 means 8.
	Slots int
	// MaxQueue is how many steps may be queued; 0 means 1000.
	MaxQueue int
	// StatusLag is the delay with which the load is reported.
	StatusLag time.Duration
	// PrefixBlocks is the capacity of the prefix cache in blocks.
	PrefixBlocks int
	// EventDelay is the delay with which cache events are published, and EventGaps
	// the share of them that is lost.
	EventDelay time.Duration
	EventGaps  float64
	// Seed makes the choice of lost events repeatable.
	Seed uint64
	// ChecksFence makes the engine refuse orders with a fence lower than the highest
	// seen.
	ChecksFence bool
	// Capacity is the number of layers that the engine reports to have memory for; 0
	// reports none.
	Capacity int
	// LoadTime is the time that an order takes to load layers.
	LoadTime time.Duration
}

// Switches change the engine's behaviour at run time.
type Switches struct {
	// Leave makes the engine leave: it refuses requests that are not in progress on
	// it.
	Leave bool `json:"leave"`
	// Freeze makes the engine accept calls and never answer them.
	Freeze bool `json:"freeze"`
	// DelayMillis delays each call by this many milliseconds before it is handled.
	DelayMillis int64 `json:"delay_ms"`
	// Silence makes the connections that are open now go silent. It is reset to false
	// at once.
	Silence bool `json:"silence"`
	// SlowFactor multiplies the time of every step; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailSteps is how many of the next steps fail without being run.
	FailSteps int `json:"fail_steps"`
}

// Trace describes a step that was run.
type Trace struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	// Count is the number of positions of the step.
	Count int  `json:"count"`
	First int  `json:"first"`
	Last  int  `json:"last"`
	Fill  bool `json:"fill,omitempty"`
}

// Generator is a stand-in for a model engine. It is safe for concurrent use.
type Generator struct {
	cfg     Config
	control *server.Control[Switches]
	silence *server.Silence
	queue   *queue
	// load is the number of steps that run or are queued, reported with a delay.
	load *server.Lagging[int]

	mu       sync.Mutex
	holdings []driver.Holding
	requests requests
	prefixes *prefixCache
	// traces holds the newest steps that were run, oldest first.
	traces []Trace
	// stepCalls holds the newest step calls that arrived, oldest first.
	stepCalls []StepCall
	totals    Totals
	// fence is the highest fence seen in an order.
	fence uint64
	// orders counts the accepted orders that started a load.
	orders int
	// pending holds the holdings of the newest order, and loading is set until they
	// are loaded.
	pending []driver.Holding
	loading bool
}

// Defaults of the configuration.
const (
	defaultSlots    = 8
	defaultMaxQueue = 1000
)

// New returns an engine.
func New(cfg Config) *Generator {
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.MaxQueue <= 0 {
		cfg.MaxQueue = defaultMaxQueue
	}
	g := &Generator{
		cfg:      cfg,
		silence:  server.NewSilence(),
		queue:    &queue{slots: cfg.Slots},
		load:     server.NewLagging(cfg.StatusLag, 0),
		holdings: slices.Clone(cfg.Holdings),
		requests: requests{byID: map[string]*request{}},
		prefixes: newPrefixCache(cfg),
	}
	g.control = server.NewControl(Switches{SlowFactor: 1}, func(sw Switches) Switches {
		if sw.Silence {
			g.silence.Begin()
		}
		sw.Silence = false
		return sw
	})
	return g
}

// Control returns the switches that tests set at run time.
func (g *Generator) Control() *server.Control[Switches] { return g.control }

// Silence returns the silence that the engine's listener has to be wrapped with.
func (g *Generator) Silence() *server.Silence { return g.silence }

// Status reports the engine's state. The load in it lags by StatusLag.
func (g *Generator) Status() driver.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return driver.Status{
		Incarnation: g.cfg.Incarnation,
		Accelerator: g.cfg.Accelerator,
		Leaving:     g.control.Get().Leave,
		Holdings:    slices.Clone(g.holdings),
		Running:     g.load.Get(),
		Slots:       g.cfg.Slots,
		StepMillis:  float64(g.cfg.StepTime) / float64(time.Millisecond),
		Capacity:    g.cfg.Capacity,
		ChecksFence: g.cfg.ChecksFence,
	}
}

// Step checks and computes a step at once, and returns the result after the time that
// the step waits for a slot and runs.
func (g *Generator) Step(ctx context.Context, step driver.Step) (driver.StepResult, error) {
	result, cost, refused := g.compute(step)
	if refused != nil {
		return driver.StepResult{}, refused
	}
	defer g.updateLoad()
	if !g.queue.acquire(ctx, step.Priority) {
		return driver.StepResult{}, ctx.Err()
	}
	defer g.queue.release()
	g.updateLoad()
	if !server.Pause(ctx, g.scale(cost)) {
		return driver.StepResult{}, ctx.Err()
	}
	return result, nil
}

// updateLoad records the current load for later reports.
func (g *Generator) updateLoad() {
	g.load.Set(g.queue.length())
}

// scale multiplies a time by the slow factor.
func (g *Generator) scale(cost time.Duration) time.Duration {
	if factor := g.control.Get().SlowFactor; factor > 0 {
		return time.Duration(float64(cost) * factor)
	}
	return cost
}

// Cancel drops the caches of a request's attempts up to the given one.
func (g *Generator) Cancel(cancel driver.Cancel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests.cancel(cancel.Request, cancel.Attempt)
}

// Prefixes returns the published prefix cache events from a sequence number on.
func (g *Generator) Prefixes(from uint64) driver.Prefixes {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.prefixes.page(from)
}

// Traces returns the newest steps that were run, oldest first.
func (g *Generator) Traces() []Trace {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.traces)
}
