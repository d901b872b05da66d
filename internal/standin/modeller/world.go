package modeller

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/standin/emulator"
	"banyanquay/internal/supervisor/arranger"
	"banyanquay/internal/supervisor/forwarder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/listener"
)

const (
	// host and service are those of the one route.
	host    = "model.example"
	service = "llm"
	// version is that of the weights.
	version = "1"
	// slots is how many requests an engine takes in.
	slots = 192
	// layers, layerMB and cacheBytes describe the model.
	layers     = 80
	layerMB    = 1750
	cacheBytes = 426000
	// tokensPerMB is how many tokens of one layer a megabyte holds, and layerTokens
	// how many take the room of a layer.
	tokensPerMB = 1e6 / cacheBytes * layers
	layerTokens = layerMB * tokensPerMB
	// loadTime is that of a load of all layers, and loadsAtOnce how many run before
	// they slow each other down.
	loadTime    = 14 * time.Second
	loadsAtOnce = 8
	// tellInterval is the time between two tellings of nodes' work, as the teller has
	// it, and registerLag how late nodes know of an engine's layers.
	tellInterval = 300 * time.Millisecond
	registerLag  = 1500 * time.Millisecond
	// newsTime is how long word between two nodes takes.
	newsTime = time.Millisecond
)

// world is a fleet of nodes before emulated engines.
type world struct {
	pattern Pattern
	policy  Policy
	log     *recorder.Recorder
	dice    *rand.Rand
	engines []emulator.Engine
	kinds   map[string]Kind // by engine ID
	emu     *emulator.Emulator
	cfg     *mapper.Configuration
	table   atomic.Pointer[registrar.Table]
	nodes   []*node
	started time.Time

	mu sync.Mutex
	// born counts the starts of each engine.
	born map[string]int64
}

// node is one node of the fleet.
type node struct {
	centre    string
	forwarder *forwarder.Forwarder
	budget    *budgeter.Budgeter
	// told is what it last told the others.
	told atomic.Pointer[telling]
}

// telling is what a node tells the others of itself. It is an immutable value.
type telling struct {
	// loads are the tokens of its work by engine, and spent what it sent by service.
	loads map[string]int
	spent map[string]budgeter.Spent
}

// newWorld builds the fleet of a pattern.
func newWorld(setup Setup) *world {
	w := &world{
		pattern: setup.Pattern, policy: setup.Policy, log: setup.Recorder, dice: rand.New(rand.NewPCG(setup.Seed, 1)), kinds: make(map[string]Kind),
		started: time.Now(), born: make(map[string]int64),
	}
	if w.log == nil {
		w.log = recorder.Nop()
	}
	w.equip()
	law := emulator.Batches()
	law.Seed, law.Load, law.LoadsAtOnce = setup.Seed, loadTime, loadsAtOnce
	w.emu = emulator.New(law, w.engines)
	w.configure(law)
	w.register()
	for _, c := range setup.Pattern.Centres {
		for range c.Nodes {
			w.nodes = append(w.nodes, w.node(c.Name))
		}
	}
	return w
}

// equip lists the engines.
func (w *world) equip() {
	for _, c := range w.pattern.Centres {
		for _, kind := range w.pattern.Kinds {
			for i := range c.Engines[kind.Name] {
				id := fmt.Sprintf("%s-%s-%d", c.Name, kind.Name, i)
				w.kinds[id] = kind
				w.born[id] = 1
				w.engines = append(w.engines, emulator.Engine{
					ID: id, Address: id + ":1", Centre: c.Name, Pace: kind.Pace, ReadPace: kind.ReadPace,
					Room: int(kind.MB * tokensPerMB), LayerRoom: int(math.Round(layerTokens)),
				})
			}
		}
	}
}

// configure makes the configuration.
func (w *world) configure(law emulator.Config) {
	s := w.pattern.Streams
	engine := &mapper.Engine{
		Slots: slots, Layers: layers, LayerMB: layerMB, CacheBytes: cacheBytes, Step: law.Step, Read: law.Read,
		Chunk: law.Chunk, LoadsAtOnce: loadsAtOnce, Load: loadTime, Stride: law.Stride,
		Prompt: int(s.Prompt.Mean), Answer: int(s.Events.Mean) * law.Stride,
	}
	for _, k := range w.pattern.Kinds {
		engine.Accelerators = append(engine.Accelerators, mapper.Accelerator(k))
	}
	w.cfg = mapper.New(mapper.Draft{
		Version: 1,
		Routes: []mapper.Route{{
			Name: "streams", Host: host, Prefix: "/", Kind: mapper.Streaming, Resumable: true, Anonymous: true,
			Attempts: 2, Offers: []mapper.Offer{{Service: service, Weight: 1}},
			Timeout: millis(s.DeadlineMillis), Target: millis(s.FirstMillis), Gap: millis(s.GapMillis),
		}},
		Services: []mapper.Service{{Name: service, Engine: engine}},
	})
}

// register lets the nodes know the engines as they are now.
func (w *world) register() {
	entries := make([]registrar.Entry, 0, len(w.engines))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.engines {
		if !w.emu.Answers(e.Address) {
			continue
		}
		first, last := w.emu.Held(e.Address)
		entries = append(entries, registrar.Entry{
			ID: e.ID, Service: service, Address: e.Address, Centre: e.Centre, Accelerator: w.kinds[e.ID].Name,
			Born: w.born[e.ID], Model: "m", Version: version, First: first, Last: last, Slots: slots,
		})
	}
	now := time.Now()
	old := registrar.Table{}
	if known := w.table.Load(); known != nil {
		old = *known
	}
	next := old.Replaced(now, now, entries)
	if !slices.Equal(old.All(), next.All()) {
		w.table.Store(&next)
	}
}

// node makes a node.
func (w *world) node(centre string) *node {
	n := &node{centre: centre}
	n.told.Store(&telling{})
	n.budget = budgeter.New(budgeter.Config{
		Limits: func() (float64, float64) { return retryRatio, retrySlack }, Window: retryWindow,
		Nodes: func() int { return len(w.nodes) }, Now: time.Now, Started: w.started.Add(-time.Minute),
		Others: func(service string) (budgeter.Spent, int) { return w.spent(n, service) },
	})
	n.forwarder = forwarder.New(forwarder.Config{
		Decode:    decode,
		View:      func() forwarder.View { return forwarder.View{Configuration: w.cfg, Confirmed: time.Now()} },
		Endpoints: w.table.Load,
		Relay:     w.emu.Relay(), Budget: n.budget, Centre: centre,
		MaxConfirmationAge: func() time.Duration { return time.Minute }, Starting: func() bool { return false },
		RemoteLoadsKnown: func() bool { return true },
		Nodes:            func() int { return len(w.nodes) }, CentreNodes: func() int { return len(w.nodes) },
		OtherTokens:          func(id string) (int, int) { return w.others(n, id) },
		ReportedTokens:       func(id string) int { return n.told.Load().loads[id] },
		BroadcastUnreachable: func(id string) { w.spread(n, func(o *node) { o.forwarder.Suspect(id) }) },
		Gate:                 listener.NewGate(), Now: time.Now, Find: w.policy.Find,
		Recorder: w.log, Counters: counter.New(), Latency: counter.NewLatencies(),
	})
	return n
}

// Limits of repeats, as the users' configuration sets them.
const (
	retryRatio  = 0.2
	retrySlack  = 200
	retryWindow = 10 * time.Second
)

// others sums what the other nodes told of their work at an engine.
func (w *world) others(n *node, id string) (tokens, told int) {
	if w.policy.Mute {
		return 0, len(w.nodes) - 1
	}
	for _, o := range w.nodes {
		if o != n {
			tokens += o.told.Load().loads[id]
			told++
		}
	}
	return tokens, told
}

// spent sums what the other nodes sent to a service.
func (w *world) spent(n *node, service string) (budgeter.Spent, int) {
	var sum budgeter.Spent
	for _, o := range w.nodes {
		if o == n {
			continue
		}
		s := o.told.Load().spent[service]
		sum.Requests += s.Requests
		sum.Repeats += s.Repeats
	}
	return sum, len(w.nodes) - 1
}

// spread passes word to the other nodes.
func (w *world) spread(from *node, tell func(n *node)) {
	time.AfterFunc(newsTime, func() {
		for _, n := range w.nodes {
			if n != from {
				tell(n)
			}
		}
	})
}

// run runs what goes on without callers until the context ends.
func (w *world) run(ctx context.Context, wg *sync.WaitGroup) {
	a := arranger.New(arranger.Config{
		Configuration: func() *mapper.Configuration { return w.cfg }, Endpoints: w.table.Load,
		Report: w.emu.Relay().Report, Place: w.emu.Relay().Place, Plan: w.policy.Plan,
		Pace:  func(id string) float64 { return w.nodes[0].forwarder.Pace(id) },
		Leads: func() bool { return true }, Confirm: func(context.Context) (uint64, bool) { return 1, true },
		Fenced: func() {}, Now: time.Now, Recorder: w.log, Counters: counter.New(),
	})
	wg.Go(func() { _ = a.Step().Run(ctx) })
	for _, n := range w.nodes {
		wg.Go(func() { _ = n.forwarder.Step().Run(ctx) })
	}
	wg.Go(func() { w.tell(ctx) })
	wg.Go(func() {
		for every(ctx, tellInterval) {
			time.AfterFunc(registerLag, w.register)
		}
	})
}

// tell lets the nodes tell each other of their work and of slow engines.
func (w *world) tell(ctx context.Context) {
	for every(ctx, tellInterval) {
		for _, n := range w.nodes {
			n.told.Store(&telling{loads: n.forwarder.Loads(), spent: n.budget.Spent()})
			for id, pace := range n.forwarder.Paces() {
				w.spread(n, func(o *node) { o.forwarder.SetPace(id, pace) })
			}
		}
	}
}

// every waits, and returns false once the context has ended.
func every(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// trouble lets a trouble begin and end.
func (w *world) trouble(ctx context.Context, t Trouble) {
	if !every(ctx, seconds(t.At)) {
		return
	}
	engines := w.pick(t.Share)
	for _, e := range engines {
		switch t.Kind {
		case Crash, Dark:
			w.emu.Kill(e.Address, t.Kind == Dark)
		case Slow:
			w.emu.Slow(e.Address, t.Factor)
		case Shed:
			w.emu.Shed(e.Address, t.Factor)
		}
	}
	every(ctx, seconds(t.For))
	for _, e := range engines {
		switch t.Kind {
		case Crash, Dark:
			w.mu.Lock()
			w.born[e.ID]++
			w.mu.Unlock()
			w.emu.Start(e.Address)
		case Slow:
			w.emu.Slow(e.Address, 1)
		case Shed:
			w.emu.Shed(e.Address, 0)
		}
	}
}

// pick chooses a share of the engines.
func (w *world) pick(share float64) []emulator.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	order := w.dice.Perm(len(w.engines))
	n := int(share*float64(len(w.engines)) + 0.5)
	engines := make([]emulator.Engine, 0, n)
	for _, at := range order[:n] {
		engines = append(engines, w.engines[at])
	}
	return engines
}

// decode reads a caller's request.
func decode(r *http.Request, arrived time.Time) (forwarder.Request, error) {
	body := r.Header.Get(sizeHeader)
	prompt, answer, _, err := emulator.Decode(driver.Forward{Body: []byte(body)})
	return forwarder.Request{
		ID: r.Header.Get(idHeader), Method: r.Method, Path: r.URL.Path, Target: r.URL.RequestURI(), Host: r.Host,
		Header: http.Header{}, Body: []byte(body), Arrived: arrived, Prompt: prompt, Answer: answer,
	}, err
}

// Headers of the callers' requests.
const (
	idHeader   = "ID"
	sizeHeader = "Size"
)
