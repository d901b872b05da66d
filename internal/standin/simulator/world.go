package simulator

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
	// host and service are the host and the service of the only route.
	host    = "model.example"
	service = "llm"
	// version is the version of the model's weights.
	version = "1"
	// slots is the number of requests that an engine admits.
	slots = 192
	// layers, layerMB and cacheBytes describe the model. cacheBytes is the size of a
	// token's cache over all layers.
	layers     = 80
	layerMB    = 1750
	cacheBytes = 426000
	// tokensPerMB is the number of tokens of one layer's cache in a megabyte, and
	// layerTokens the number that take as much memory as a layer's weights.
	tokensPerMB = 1e6 / cacheBytes * layers
	layerTokens = layerMB * tokensPerMB
	// loadTime is the time to load all layers, and loadsAtOnce the number of loads at
	// once above which they slow each other down.
	loadTime    = 14 * time.Second
	loadsAtOnce = 8
	// reportInterval is the time between two reports of a node's load, the same as
	// the broadcaster's, and discoveryDelay the time until nodes learn of an engine's
	// layers.
	reportInterval = 300 * time.Millisecond
	discoveryDelay = 1500 * time.Millisecond
	// messageDelay is the time of a message between two nodes.
	messageDelay = time.Millisecond
)

// fleet is a set of nodes that route to emulated engines.
type fleet struct {
	pattern  Pattern
	policy   Policy
	log      *recorder.Recorder
	rng      *rand.Rand
	engines  []emulator.Engine
	kinds    map[string]Kind // by engine ID
	emulator *emulator.Emulator
	cfg      *mapper.Configuration
	table    atomic.Pointer[registrar.Table]
	nodes    []*node
	started  time.Time

	mu sync.Mutex
	// incarnations counts the starts of each engine, by ID.
	incarnations map[string]int64
}

// node is one node of the fleet.
type node struct {
	centre    string
	forwarder *forwarder.Forwarder
	budget    *budgeter.Budgeter
	// lastReport is the report that the node last sent to the others.
	lastReport atomic.Pointer[nodeReport]
}

// nodeReport is what a node reports to the others about itself. It is an immutable
// value.
type nodeReport struct {
	// loads is the load in tokens by engine ID, and spent the requests and retries
	// sent by service.
	loads map[string]int
	spent map[string]budgeter.Usage
}

// newFleet returns the fleet of a setup.
func newFleet(setup Setup) *fleet {
	f := &fleet{
		pattern: setup.Pattern, policy: setup.Policy, log: setup.Recorder, rng: rand.New(rand.NewPCG(setup.Seed, 1)), kinds: make(map[string]Kind),
		started: time.Now(), incarnations: make(map[string]int64),
	}
	if f.log == nil {
		f.log = recorder.Nop()
	}
	f.addEngines()
	costs := emulator.BatchedDefaults()
	costs.Seed, costs.LoadTime, costs.MaxParallelLoads = setup.Seed, loadTime, loadsAtOnce
	f.emulator = emulator.New(costs, f.engines)
	f.configure(costs)
	f.updateEndpoints()
	for _, c := range setup.Pattern.Centres {
		for range c.Nodes {
			f.nodes = append(f.nodes, f.node(c.Name))
		}
	}
	return f
}

// addEngines lists the engines of the pattern.
func (f *fleet) addEngines() {
	for _, c := range f.pattern.Centres {
		for _, kind := range f.pattern.Kinds {
			for i := range c.Engines[kind.Name] {
				id := fmt.Sprintf("%s-%s-%d", c.Name, kind.Name, i)
				f.kinds[id] = kind
				f.incarnations[id] = 1
				f.engines = append(f.engines, emulator.Engine{
					ID: id, Address: id + ":1", Centre: c.Name, Pace: kind.Pace, PrefillPace: kind.PrefillPace,
					MemoryTokens: int(kind.MB * tokensPerMB), LayerTokens: int(math.Round(layerTokens)),
				})
			}
		}
	}
}

// configure builds the configuration from the pattern and the cost model.
func (f *fleet) configure(costs emulator.Config) {
	s := f.pattern.Streams
	engine := &mapper.Engine{
		Slots: slots, Layers: layers, LayerMB: layerMB, CacheBytes: cacheBytes, Step: costs.Step, PrefillRate: costs.PrefillRate,
		PrefillChunk: costs.PrefillChunk, MaxParallelLoads: loadsAtOnce, LoadTime: loadTime, TokensPerEvent: costs.TokensPerEvent,
		Prompt: int(s.Prompt.Mean), Answer: int(s.Events.Mean) * costs.TokensPerEvent,
	}
	for _, k := range f.pattern.Kinds {
		engine.Accelerators = append(engine.Accelerators, mapper.Accelerator(k))
	}
	f.cfg = mapper.New(mapper.Draft{
		Version: 1,
		Routes: []mapper.Route{{
			Name: "streams", Host: host, Prefix: "/", Kind: mapper.Streaming, Resumable: true, Anonymous: true,
			Attempts: 2, Offers: []mapper.WeightedService{{Service: service, Weight: 1}},
			Timeout: millis(s.DeadlineMillis), Target: millis(s.FirstMillis), Gap: millis(s.GapMillis),
		}},
		Services: []mapper.Service{{Name: service, Engine: engine}},
	})
}

// updateEndpoints replaces the nodes' table of endpoints by the engines that answer,
// with the layers that they hold now.
func (f *fleet) updateEndpoints() {
	entries := make([]registrar.Entry, 0, len(f.engines))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if !f.emulator.Answers(e.Address) {
			continue
		}
		first, last := f.emulator.Held(e.Address)
		entries = append(entries, registrar.Entry{
			ID: e.ID, Service: service, Address: e.Address, Centre: e.Centre, Accelerator: f.kinds[e.ID].Name,
			Born: f.incarnations[e.ID], Model: "m", Version: version, First: first, Last: last, Slots: slots,
		})
	}
	now := time.Now()
	old := registrar.Table{}
	if known := f.table.Load(); known != nil {
		old = *known
	}
	next := old.Replaced(now, now, entries)
	if !slices.Equal(old.All(), next.All()) {
		f.table.Store(&next)
	}
}

// node returns a new node in a data centre.
func (f *fleet) node(centre string) *node {
	n := &node{centre: centre}
	n.lastReport.Store(&nodeReport{})
	n.budget = budgeter.New(budgeter.Config{
		Limits: func() (float64, float64) { return retryRatio, retrySlack }, Window: retryWindow,
		Nodes: func() int { return len(f.nodes) }, Now: time.Now, Started: f.started.Add(-time.Minute),
		Others: func(service string) (budgeter.Usage, int) { return f.otherSpent(n, service) },
	})
	n.forwarder = forwarder.New(forwarder.Config{
		Decode: decode,
		View:   func() forwarder.View { return forwarder.View{Configuration: f.cfg, Confirmed: time.Now()} },
		Ready:  func() bool { return true }, Endpoints: f.table.Load,
		Relay: f.emulator.Relay(), Budget: n.budget, Centre: centre,
		MaxConfirmationAge: func() time.Duration { return time.Minute }, Starting: func() bool { return false },
		RemoteLoadsKnown: func() bool { return true },
		Nodes:            func() int { return len(f.nodes) }, CentreNodes: func() int { return len(f.nodes) },
		OtherTokens:          func(id string) (int, int) { return f.otherTokens(n, id) },
		ReportedTokens:       func(id string) int { return n.lastReport.Load().loads[id] },
		BroadcastUnreachable: func(id string) { f.broadcast(n, func(o *node) { o.forwarder.HandleUnreachable(id) }) },
		Gate:                 listener.NewGate(), Now: time.Now, Find: f.policy.Find,
		Recorder: f.log, Counters: counter.New(), Latency: counter.NewLatencies(),
	})
	return n
}

// Retry limits, as the users' configuration sets them.
const (
	retryRatio  = 0.2
	retrySlack  = 200
	retryWindow = 10 * time.Second
)

// otherTokens returns the sum of the loads in tokens that the other nodes reported
// for an engine, and the number of nodes that reported.
func (f *fleet) otherTokens(n *node, id string) (tokens, reported int) {
	if f.policy.NoReports {
		return 0, len(f.nodes) - 1
	}
	for _, o := range f.nodes {
		if o != n {
			tokens += o.lastReport.Load().loads[id]
			reported++
		}
	}
	return tokens, reported
}

// otherSpent returns the sum of the requests and retries that the other nodes
// reported for a service, and the number of these nodes.
func (f *fleet) otherSpent(n *node, service string) (budgeter.Usage, int) {
	var sum budgeter.Usage
	for _, o := range f.nodes {
		if o == n {
			continue
		}
		s := o.lastReport.Load().spent[service]
		sum.Requests += s.Requests
		sum.Retries += s.Retries
	}
	return sum, len(f.nodes) - 1
}

// broadcast calls a function on all other nodes after the delay of a message.
func (f *fleet) broadcast(from *node, notify func(n *node)) {
	time.AfterFunc(messageDelay, func() {
		for _, n := range f.nodes {
			if n != from {
				notify(n)
			}
		}
	})
}

// run starts the background work of the fleet, which ends with the context.
func (f *fleet) run(ctx context.Context, wg *sync.WaitGroup) {
	a := arranger.New(arranger.Config{
		Configuration: func() *mapper.Configuration { return f.cfg }, Endpoints: f.table.Load,
		Report: f.emulator.Relay().Report, Place: f.emulator.Relay().Place, Plan: f.policy.Plan,
		Pace:  func(id string) float64 { return f.nodes[0].forwarder.Pace(id) },
		Leads: func() bool { return true }, Confirm: func(context.Context) (uint64, bool) { return 1, true },
		Fenced: func() {}, Now: time.Now, Recorder: f.log, Counters: counter.New(),
	})
	wg.Go(func() { _ = a.Step().Run(ctx) })
	for _, n := range f.nodes {
		wg.Go(func() { _ = n.forwarder.Step().Run(ctx) })
	}
	wg.Go(func() { f.broadcastReports(ctx) })
	wg.Go(func() {
		for sleep(ctx, reportInterval) {
			time.AfterFunc(discoveryDelay, f.updateEndpoints)
		}
	})
}

// broadcastReports makes nodes report their load and the pace of slow engines.
func (f *fleet) broadcastReports(ctx context.Context) {
	for sleep(ctx, reportInterval) {
		for _, n := range f.nodes {
			n.lastReport.Store(&nodeReport{loads: n.forwarder.Loads(), spent: n.budget.Usage()})
			for id, pace := range n.forwarder.Paces() {
				f.broadcast(n, func(o *node) { o.forwarder.SetPace(id, pace) })
			}
		}
	}
}

// sleep waits for a duration, and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// applyTrouble starts a trouble at its time and ends it after its duration.
func (f *fleet) applyTrouble(ctx context.Context, t Trouble) {
	if !sleep(ctx, seconds(t.At)) {
		return
	}
	engines := f.pickEngines(t.Share)
	for _, e := range engines {
		switch t.Kind {
		case Crash, Unresponsive:
			f.emulator.Kill(e.Address, t.Kind == Unresponsive)
		case Slow:
			f.emulator.Slow(e.Address, t.Factor)
		case Shed:
			f.emulator.Shed(e.Address, t.Factor)
		}
	}
	sleep(ctx, seconds(t.For))
	for _, e := range engines {
		switch t.Kind {
		case Crash, Unresponsive:
			f.mu.Lock()
			f.incarnations[e.ID]++
			f.mu.Unlock()
			f.emulator.Start(e.Address)
		case Slow:
			f.emulator.Slow(e.Address, 1)
		case Shed:
			f.emulator.Shed(e.Address, 0)
		}
	}
}

// pickEngines returns a random share of the engines.
func (f *fleet) pickEngines(share float64) []emulator.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	order := f.rng.Perm(len(f.engines))
	n := int(share*float64(len(f.engines)) + 0.5)
	engines := make([]emulator.Engine, 0, n)
	for _, at := range order[:n] {
		engines = append(engines, f.engines[at])
	}
	return engines
}

// decode decodes a caller's request.
func decode(r *http.Request, _ []byte, arrived time.Time) (forwarder.Request, error) {
	body := r.Header.Get(sizeHeader)
	prompt, answer, _, err := emulator.Decode(driver.Forward{Body: []byte(body)})
	return forwarder.Request{
		ID: r.Header.Get(idHeader), Method: r.Method, Path: r.URL.Path, Target: r.URL.RequestURI(), Host: r.Host,
		Header: http.Header{}, Body: []byte(body), Arrived: arrived, PromptTokens: prompt, MaxAnswerTokens: answer,
	}, err
}

// Headers of the callers' requests.
const (
	idHeader   = "ID"
	sizeHeader = "Size"
)
