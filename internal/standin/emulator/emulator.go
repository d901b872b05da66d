// Package emulator stands in for engines that pass generations along a path:
// in memory, with the cost law of their platform, under real or fake time.
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

// Config sets the cost law. All times are those over all layers at pace 1.
type Config struct {
	// Step is the time of a token's step, Sequence what each request that writes
	// adds to it, and Context what each thousand of its tokens add.
	Step     time.Duration
	Sequence time.Duration
	Context  time.Duration
	// Read is how many prompt tokens are read in a millisecond, and Pairs the time of
	// a million pairs of a token and an earlier one. At most Chunk tokens are read in
	// a step; 0 means that an engine's requests don't delay each other's steps.
	Read  float64
	Pairs time.Duration
	Chunk int
	// Stride is the tokens of one event, and the steps of a pass that writes.
	Stride int
	// Layers is the layer count of the model.
	Layers int
	// Stall is how long work waits for an engine that doesn't answer.
	Stall time.Duration
	// Hop is the time of a message between two engines, and Cross that between two
	// data centres. Pipe is how many tokens a millisecond the pipe between data
	// centres carries; 0 means any number.
	Hop   time.Duration
	Cross time.Duration
	Pipe  float64
	// Load is the time of a load of all layers, if no more than LoadsAtOnce run.
	Load        time.Duration
	LoadsAtOnce int
	// Seed is that of the requests that an engine sheds.
	Seed uint64
}

// Defaults returns a law without batches, for tests of the pattern of a load.
func Defaults() Config {
	return Config{
		Step: 850 * time.Microsecond, Read: 272, Stride: 2, Layers: 80,
		Stall: 3 * time.Second, Hop: 200 * time.Microsecond,
	}
}

// Batches returns the law that the users' engines follow.
func Batches() Config {
	cfg := Defaults()
	cfg.Sequence, cfg.Context, cfg.Pairs = 2760*time.Nanosecond, 3700*time.Nanosecond, 120*time.Microsecond
	cfg.Chunk, cfg.Cross, cfg.Pipe = 512, 620*time.Microsecond, 54
	return cfg
}

// Engine is one engine as it is set up.
type Engine struct {
	ID      string
	Address string
	Centre  string
	// First and Last bound the layers held as [First, Last).
	First int
	Last  int
	// Pace multiplies steps and ReadPace the reading of prompts.
	Pace     float64
	ReadPace float64
	// Room is how many tokens of one layer fit beside no layer, and LayerRoom what
	// a layer takes of it; 0 means any number.
	Room      int
	LayerRoom int
}

// fits is how many tokens fit beside the layers held.
func (e Engine) fits() int {
	layers := max(e.Last-e.First, 1)
	return (e.Room - layers*e.LayerRoom) / layers
}

// engine is an engine's state.
type engine struct {
	Engine
	// dead engines don't answer; a dark one doesn't refuse connections either.
	dead bool
	dark bool
	// slow multiplies all times.
	slow float64
	// shed is the share of requests that it turns away.
	shed float64
	// tokens are held by requests.
	tokens int
	// waiting is the work for the next passes, and passing is set while one runs.
	waiting []*task
	passing bool
	// busy is until when the engine reads prompts, without batches.
	busy time.Time
	// orders counts accepted orders.
	orders int64
	fence  uint64
	// loading is the range of a load that runs.
	loading *driver.Placement
	// changed is closed and replaced when dead changes.
	changed chan struct{}
}

// generation is a request in progress.
type generation struct {
	id    string
	path  []driver.Part
	moved chan struct{}
	// room is the tokens that it takes at each engine of the path.
	room int
	// tokens are those so far, and unread the addresses of new parts of the path
	// that have yet to read them.
	tokens int
	unread map[string]bool
}

// again returns the tokens that an engine has to read since the path changed.
func (g *generation) again(address string) int {
	if !g.unread[address] {
		return 0
	}
	delete(g.unread, address)
	return g.tokens
}

// Emulator is a set of engines. It is safe for concurrent use.
type Emulator struct {
	cfg Config

	mu          sync.Mutex
	engines     map[string]*engine
	generations map[string]*generation
	sends       int
	repaths     int
	// loads counts those that run, and piped is until when the pipe between data
	// centres is taken.
	loads int
	piped time.Time
	dice  *rand.Rand
}

// New returns an emulator of some engines.
func New(cfg Config, engines []Engine) *Emulator {
	e := &Emulator{
		cfg: cfg, engines: make(map[string]*engine), generations: make(map[string]*generation),
		dice: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for _, each := range engines {
		e.engines[each.Address] = &engine{Engine: each, slow: 1, changed: make(chan struct{})}
	}
	return e
}

// Counts returns how many requests and changes of a path have been received.
func (e *Emulator) Counts() (sends, repaths int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sends, e.repaths
}

// Answers tells whether an engine runs.
func (e *Emulator) Answers(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.engines[address].dead
}

// Held returns the layers that an engine holds.
func (e *Emulator) Held(address string) (first, last int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	return n.First, n.Last
}

// Relay returns the calls to the engines, in memory.
func (e *Emulator) Relay() driver.Relay {
	return driver.Relay{Send: e.send, Knock: e.knock, Report: e.report, Place: e.place, Repath: e.repath}
}

// at returns an engine that answers. A dark one holds the caller until it gives
// up.
func (e *Emulator) at(ctx context.Context, address string) (*engine, error) {
	e.mu.Lock()
	n := e.engines[address]
	answers := n != nil && !n.dead
	dark := n != nil && n.dead && n.dark
	e.mu.Unlock()
	switch {
	case answers:
		return n, nil
	case dark:
		<-ctx.Done()
		return nil, trace.ConnectionProblem(ctx.Err(), "connecting to %s", address)
	default:
		return nil, trace.ConnectionProblem(syscall.ECONNREFUSED, "connecting to %s", address)
	}
}

func (e *Emulator) knock(ctx context.Context, address string) error {
	_, err := e.at(ctx, address)
	return err
}

// report tells what an engine's requests wait for.
func (e *Emulator) report(ctx context.Context, address, _ string) (driver.Report, error) {
	n, err := e.at(ctx, address)
	if err != nil {
		return driver.Report{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := driver.Report{Orders: n.orders, Busy: n.loading != nil, Pace: n.slow, Stalled: make(map[string]string)}
	for id, g := range e.generations {
		if g.path[0].Address != address {
			continue
		}
		r.Running++
		if fault, ok := e.fault(g.path); ok {
			r.Stalled[id] = fault
		}
	}
	return r, nil
}

// fault returns the first engine of a path that doesn't answer. It needs the
// lock.
func (e *Emulator) fault(path []driver.Part) (string, bool) {
	for _, p := range path {
		if n := e.engines[p.Address]; n == nil || n.dead {
			return p.Address, true
		}
	}
	return "", false
}

// repath moves a generation to another path.
func (e *Emulator) repath(ctx context.Context, address, _, request string, path []driver.Part) error {
	if _, err := e.at(ctx, address); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repaths++
	g := e.generations[request]
	if g == nil {
		return &driver.Refused{Reason: driver.ReasonMissing}
	}
	if fault, bad := e.fault(path); bad {
		return &driver.Refused{Reason: driver.ReasonState, Detail: fault}
	}
	for _, p := range path {
		if !slices.Contains(g.path, p) {
			g.unread[p.Address] = true
		}
	}
	e.hold(g.path, -g.room)
	e.hold(path, g.room)
	g.path = path
	close(g.moved)
	g.moved = make(chan struct{})
	return nil
}

// send takes a generation in and answers it as a stream.
func (e *Emulator) send(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
	if _, err := e.at(ctx, address); err != nil {
		return driver.Reply{}, &driver.Unsent{Err: err}
	}
	prompt, answer, after, err := Decode(f)
	if err != nil {
		return driver.Reply{}, err
	}
	g := &generation{
		id: f.ID, path: f.Path, room: prompt + answer, moved: make(chan struct{}), unread: make(map[string]bool),
	}
	if refusal, ok := e.admit(g); !ok {
		return refusal, nil
	}
	r, w := io.Pipe()
	go func() {
		defer e.leave(g)
		_ = w.CloseWithError(e.write(ctx, g, w, prompt, answer, after))
	}()
	header := http.Header{"Content-Type": {"text/event-stream"}}
	return driver.Reply{Status: http.StatusOK, Header: header, Body: r, Signed: true}, nil
}

// admit takes in a generation, unless an engine of its path lacks the layers or
// the room.
func (e *Emulator) admit(g *generation) (driver.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends++
	for i, p := range g.path {
		n := e.engines[p.Address]
		switch {
		case n == nil || n.dead:
			continue // found out when its turn comes
		case p.First < n.First || p.Last > n.Last:
			return refusal(http.StatusMisdirectedRequest, p.Address), false
		case i == 0 && n.shed > 0 && e.dice.Float64() < n.shed:
			return refusal(http.StatusServiceUnavailable, p.Address), false
		case n.Room > 0 && n.tokens+g.room > n.fits():
			return refusal(http.StatusServiceUnavailable, p.Address), false
		}
	}
	e.hold(g.path, g.room)
	e.generations[g.id] = g
	return driver.Reply{}, true
}

// hold changes the tokens held along a path. It needs the lock.
func (e *Emulator) hold(path []driver.Part, tokens int) {
	for _, p := range path {
		if n := e.engines[p.Address]; n != nil {
			n.tokens += tokens
		}
	}
}

// leave ends a generation.
func (e *Emulator) leave(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hold(g.path, -g.room)
	if e.generations[g.id] == g {
		delete(e.generations, g.id)
	}
}

// refusal is an engine's word that it didn't run the request.
func refusal(status int, fault string) driver.Reply {
	return driver.Reply{Status: status, Header: http.Header{}, Body: http.NoBody, NotRun: true, Fault: fault}
}
