// Package emulator emulates engines that pass generations along a path: in memory,
// with the cost model of the engines' platform, in real or fake time.
package emulator

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// Config sets the cost model. All times are those over all layers at pace 1.
type Config struct {
	// Step is the time of a decode step. Each request that writes adds Sequence to
	// it, and Context for each thousand tokens that the request holds.
	Step     time.Duration
	Sequence time.Duration
	Context  time.Duration
	// PrefillRate is how many prompt tokens are read in a millisecond, and Pairs the
	// time of a million pairs of a token and an earlier one. At most PrefillChunk
	// tokens are read in a step; 0 turns batching off, so that requests at an engine
	// don't delay each other's steps.
	PrefillRate  float64
	Pairs        time.Duration
	PrefillChunk int
	// TokensPerEvent is the number of tokens in an event, and of steps in a pass
	// that writes.
	TokensPerEvent int
	// Layers is the number of layers of the model.
	Layers int
	// StallTimeout is how long work waits for an engine that does not answer before
	// the generation fails.
	StallTimeout time.Duration
	// Hop is the time of a message between two engines of a data centre, and CrossHop
	// that between two data centres. Bandwidth is how many tokens a millisecond the
	// link between data centres carries; 0 means no limit.
	Hop       time.Duration
	CrossHop  time.Duration
	Bandwidth float64
	// LoadTime is the time to load all layers. If more than MaxParallelLoads loads
	// run, a load that starts takes longer in proportion to their number.
	LoadTime         time.Duration
	MaxParallelLoads int
	// Seed determines which requests an engine rejects when it sheds load.
	Seed uint64
}

// Defaults returns a cost model without batching, for tests in which only the pattern
// of the load matters.
func Defaults() Config {
	return Config{
		Step: 850 * time.Microsecond, PrefillRate: 272, TokensPerEvent: 2, Layers: 80,
		StallTimeout: 3 * time.Second, Hop: 200 * time.Microsecond,
	}
}

// BatchedDefaults returns the cost model with batching that the users' engines
// follow.
func BatchedDefaults() Config {
	cfg := Defaults()
	cfg.Sequence, cfg.Context, cfg.Pairs = 2760*time.Nanosecond, 3700*time.Nanosecond, 120*time.Microsecond
	cfg.PrefillChunk, cfg.CrossHop, cfg.Bandwidth = 512, 620*time.Microsecond, 54
	return cfg
}

// Engine is the initial setup of an engine.
type Engine struct {
	ID      string
	Address string
	Centre  string
	// First and Last limit the layers held to [First, Last).
	First int
	Last  int
	// Pace multiplies the time of steps, and PrefillPace that of reading prompts.
	Pace        float64
	PrefillPace float64
	// MemoryTokens is the engine's memory, as the number of tokens of one layer's
	// cache that fit if no layers are held; 0 means no limit. LayerTokens is how many
	// of these tokens the weights of a layer displace.
	MemoryTokens int
	LayerTokens  int
}

// cacheCapacity returns how many tokens fit into the memory that the layers held
// leave free.
func (e Engine) cacheCapacity() int {
	layers := max(e.Last-e.First, 1)
	return (e.MemoryTokens - layers*e.LayerTokens) / layers
}

// engine is an engine with its state.
type engine struct {
	Engine
	// down is set while the engine does not run. It then refuses connections, or leaves
	// them unanswered if dark is set.
	down bool
	dark bool
	// silent is set while the engine accepts connections and calls, and answers none of
	// them and makes no progress until it goes on.
	silent bool
	// slowFactor multiplies all times of passes.
	slowFactor float64
	// shedShare is the share of requests that the engine rejects.
	shedShare float64
	// tokens is the number of tokens reserved by requests.
	tokens int
	// waiting holds the tasks for the next passes, and passRunning is set while one
	// runs.
	waiting     []*task
	passRunning bool
	// readingUntil is when the engine has read all prompts, without batching.
	readingUntil time.Time
	// orders counts the accepted orders since the engine's start.
	orders int64
	fence  uint64
	// loading is the placement that is being loaded; nil if there is none.
	loading *driver.Placement
	// changed is closed and replaced when down or silent changes.
	changed chan struct{}
}

// generation is a request in progress.
type generation struct {
	id          string
	path        []driver.PathStage
	pathChanged chan struct{}
	// reserved is the number of tokens that it reserves at each engine of the path.
	reserved int
	// tokens is the number of tokens so far, and unread holds the addresses of
	// engines that joined the path and have yet to read these tokens.
	tokens int
	unread map[string]bool
}

// takeUnread returns the number of tokens that an engine has to read because it
// joined the path during the generation. It returns them once for each engine that
// joins.
func (g *generation) takeUnread(address string) int {
	if !g.unread[address] {
		return 0
	}
	delete(g.unread, address)
	return g.tokens
}

// Emulator is a set of emulated engines. It is safe for concurrent use.
type Emulator struct {
	cfg Config

	mu          sync.Mutex
	engines     map[string]*engine
	generations map[string]*generation
	sends       int
	pathChanges int
	// loadsRunning counts the loads in progress. linkBusyUntil is when the link between
	// data centres finishes sending the messages queued so far.
	loadsRunning  int
	linkBusyUntil time.Time
	rng           *rand.Rand
}

// New returns an emulator of the given engines.
func New(cfg Config, engines []Engine) *Emulator {
	e := &Emulator{
		cfg: cfg, engines: make(map[string]*engine), generations: make(map[string]*generation),
		rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for _, each := range engines {
		e.engines[each.Address] = &engine{Engine: each, slowFactor: 1, changed: make(chan struct{})}
	}
	return e
}

// Counts returns how many requests and changes of paths have been received.
func (e *Emulator) Counts() (sends, pathChanges int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends, e.pathChanges
}

// Answers reports whether an engine runs.
func (e *Emulator) Answers(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.engines[address].down
}

// Held returns the layers that an engine holds.
func (e *Emulator) Held(address string) (first, last int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	return n.First, n.Last
}

// Relay returns in-memory implementations of the calls to engines.
func (e *Emulator) Relay() driver.Relay {
	return driver.Relay{Send: e.send, Probe: e.probe, Report: e.report, Place: e.place, ChangePath: e.changePath}
}

// connect returns the engine at an address, or an error if it does not answer. If the
// engine is unresponsive, connect blocks until the context ends.
func (e *Emulator) connect(ctx context.Context, address string) (*engine, error) {
	e.mu.Lock()
	n := e.engines[address]
	answers := n != nil && !n.down
	unresponsive := n != nil && n.down && n.dark
	e.mu.Unlock()
	switch {
	case answers:
		return n, nil
	case unresponsive:
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "connecting to %s", address)
	default:
		return nil, trace.ConnectionProblem(syscall.ECONNREFUSED, "connecting to %s", address)
	}
}

// call connects to an engine and waits while it is silent.
func (e *Emulator) call(ctx context.Context, address string) (*engine, error) {
	n, err := e.connect(ctx, address)
	for err == nil {
		e.mu.Lock()
		silent, changed := n.silent, n.changed
		e.mu.Unlock()
		if !silent {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, trace.ConnectionProblem(ctx.Err(), "waiting for %s", address)
		}
	}
	return n, err
}

func (e *Emulator) probe(ctx context.Context, address string) error {
	_, err := e.connect(ctx, address)
	return err
}

// report returns an engine's orders and pace, how many generations begin at it, and
// which of these are stalled by an engine that does not answer.
func (e *Emulator) report(ctx context.Context, address, _ string) (driver.Report, error) {
	n, err := e.call(ctx, address)
	if err != nil {
		return driver.Report{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := driver.Report{Orders: n.orders, Busy: n.loading != nil, Pace: n.slowFactor, Stalled: make(map[string]string)}
	for id, g := range e.generations {
		if g.path[0].Address != address {
			continue
		}
		r.Running++
		if fault, ok := e.firstDown(g.path); ok {
			r.Stalled[id] = fault
		}
	}
	return r, nil
}

// firstDown returns the address of the first engine of a path that does not answer.
// The caller holds e.mu.
func (e *Emulator) firstDown(path []driver.PathStage) (string, bool) {
	for _, p := range path {
		if n := e.engines[p.Address]; n == nil || n.down {
			return p.Address, true
		}
	}
	return "", false
}

// changePath moves a generation to another path. Engines that are new in the path
// have to read its tokens again.
func (e *Emulator) changePath(ctx context.Context, address, _, request string, path []driver.PathStage) error {
	if _, err := e.call(ctx, address); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pathChanges++
	g := e.generations[request]
	if g == nil {
		return &driver.Refused{Reason: driver.ReasonMissing}
	}
	if fault, bad := e.firstDown(path); bad {
		return &driver.Refused{Reason: driver.ReasonState, Detail: fault}
	}
	for _, p := range path {
		if !slices.Contains(g.path, p) {
			g.unread[p.Address] = true
		}
	}
	e.addTokens(g.path, -g.reserved)
	e.addTokens(path, g.reserved)
	g.path = path
	close(g.pathChanged)
	g.pathChanged = make(chan struct{})
	return nil
}

// send starts a generation and answers it as a stream of events.
func (e *Emulator) send(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
	if _, err := e.connect(ctx, address); err != nil {
		return driver.Reply{}, &driver.Unsent{Err: err}
	}
	if _, err := e.call(ctx, address); err != nil {
		return driver.Reply{}, err
	}
	prompt, answer, after, err := Decode(f)
	if err != nil {
		return driver.Reply{}, err
	}
	g := &generation{
		id: f.ID, path: f.Path, reserved: prompt + answer, pathChanged: make(chan struct{}), unread: make(map[string]bool),
	}
	if refusal, ok := e.admit(g); !ok {
		return refusal, nil
	}
	r, w := io.Pipe()
	go func() {
		defer e.finish(g)
		_ = w.CloseWithError(e.write(ctx, g, w, prompt, answer, after))
	}()
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return driver.Reply{Status: http.StatusOK, Header: header, Body: r, Signed: true}, nil
}

// admit starts a generation, unless an engine of its path does not hold the layers or
// lacks the memory for its tokens, or the first engine sheds the request.
func (e *Emulator) admit(g *generation) (driver.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends++
	for i, p := range g.path {
		n := e.engines[p.Address]
		switch {
		case n == nil || n.down:
			continue // the pass waits for this engine when it gets there
		case p.First < n.First || p.Last > n.Last:
			return refusal(http.StatusMisdirectedRequest, p.Address), false
		case i == 0 && n.shedShare > 0 && e.rng.Float64() < n.shedShare:
			return refusal(http.StatusServiceUnavailable, p.Address), false
		case n.MemoryTokens > 0 && n.tokens+g.reserved > n.cacheCapacity():
			return refusal(http.StatusServiceUnavailable, p.Address), false
		}
	}
	e.addTokens(g.path, g.reserved)
	e.generations[g.id] = g
	return driver.Reply{}, true
}

// addTokens changes the tokens reserved along a path. The caller holds e.mu.
func (e *Emulator) addTokens(path []driver.PathStage, tokens int) {
	for _, p := range path {
		if n := e.engines[p.Address]; n != nil {
			n.tokens += tokens
		}
	}
}

// finish removes a generation and its reservations.
func (e *Emulator) finish(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addTokens(g.path, -g.reserved)
	if e.generations[g.id] == g {
		delete(e.generations, g.id)
	}
}

// refusal returns an engine's answer that it did not run the request.
func refusal(status int, fault string) driver.Reply {
	return driver.Reply{Status: status, Header: http.Header{}, Body: http.NoBody, NotRun: true, Fault: fault}
}
