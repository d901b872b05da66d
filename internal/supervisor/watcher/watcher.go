// Package watcher watches the endpoints: a few nodes poll each of them, and
// versioned entries spread what changes.
package watcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/spreader"
	"banyanquay/internal/supervisor/tracker"
)

// tickInterval is the time between two ticks.
const tickInterval = 250 * time.Millisecond

// Rates of what is sent over all links of a node, in bytes a second, and the
// bytes that may go at once.
const (
	entryRate  rate.Limit = 512
	entryBurst            = 512 << 10
	gaugeRate  rate.Limit = 512
	gaugeBurst            = 8 << 10
)

// Config says what the endpoints are watched by.
type Config struct {
	// Address is host:port of this node.
	Address string
	// Centre is this node's data centre.
	Centre string
	// Tracker knows the nodes that share the watch, and the list of VMs.
	Tracker *tracker.Tracker
	// Links spread what the watchers see; nil means none.
	Links *linker.Linker
	// Engine asks endpoints for their status.
	Engine driver.Engine
	// Recorder writes events; nil means none.
	Recorder *recorder.Recorder
	// Counters count polls and changes; nil means a set of its own.
	Counters *counter.Set
	// Now returns the time; nil means time.Now without its monotonic part.
	Now func() time.Time
}

// Watcher knows the endpoints.
type Watcher struct {
	cfg  Config
	view atomic.Pointer[View]
	// completed is set once and stays so.
	completed atomic.Bool

	mu sync.Mutex
	// listed is when the platform's list was first seen here.
	listed  time.Time
	core    *core
	entries *rate.Limiter
	gauges  *rate.Limiter
	// probes holds the addresses that are being probed.
	probes map[string]bool
	// vms and nodes are the snapshots that the core was last told of.
	vms   []provider.VM
	nodes []tracker.Node
	// ctx is set while the step runs, and polls has a poller's cancel
	// function by address.
	ctx   context.Context
	polls map[string]context.CancelFunc
	// running counts pollers and probes.
	running sync.WaitGroup
}

// New returns a watcher that knows no endpoint.
func New(cfg Config) *Watcher {
	if cfg.Recorder == nil {
		cfg.Recorder = recorder.Nop()
	}
	if cfg.Counters == nil {
		cfg.Counters = counter.New()
	}
	if cfg.Now == nil {
		cfg.Now = func() time.Time { return time.Now().Round(0) }
	}
	w := &Watcher{
		cfg:     cfg,
		core:    newCore(cfg.Address),
		entries: rate.NewLimiter(entryRate, entryBurst),
		gauges:  rate.NewLimiter(gaugeRate, gaugeBurst),
		probes:  make(map[string]bool),
		polls:   make(map[string]context.CancelFunc),
	}
	w.view.Store(&View{})
	w.register()
	return w
}

// Step watches until its context ends.
func (w *Watcher) Step() grouper.Step {
	return grouper.Step{Name: "watcher", Run: w.run}
}

// Endpoints returns the current snapshot.
func (w *Watcher) Endpoints() View {
	return *w.view.Load()
}

func (w *Watcher) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	for ctx.Err() == nil {
		w.tick(ctx)
		grouper.Sleep(ctx, tickInterval)
	}
	w.mu.Lock()
	w.ctx = nil
	clear(w.polls)
	w.mu.Unlock()
	cancel()
	w.running.Wait()
	return nil
}

// tick lets the core see time, the list and the nodes.
func (w *Watcher) tick(ctx context.Context) {
	now := w.cfg.Now()
	listed := w.cfg.Tracker.Listed()
	vms, nodes := w.cfg.Tracker.VMs(), w.cfg.Tracker.Nodes()
	w.mu.Lock()
	defer w.settle()
	if !same(vms, w.vms) || w.core.listedAt.IsZero() {
		w.vms = vms
		w.core.list(now, vms)
	}
	if !same(nodes, w.nodes) {
		w.nodes = nodes
		w.core.elect(nodes)
	}
	w.core.tick(now, rand.IntN)
	if w.core.dirty {
		w.publish()
	}
	w.judgeComplete(now, listed)
	watched := w.core.watched()
	for address, stop := range w.polls {
		if !watched[address] {
			stop()
			delete(w.polls, address)
		}
	}
	for address := range watched {
		if w.polls[address] != nil {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		w.polls[address] = stop
		w.running.Go(func() { w.poll(pollCtx, address) })
	}
}

// same tells whether two slices are one snapshot.
func same[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// settle ends a change of the core: it publishes the view if endpoints must
// no longer be used, unlocks mu, and records and spreads what changed.
func (w *Watcher) settle() {
	changes := w.core.takeChanges()
	urgent := false
	for _, change := range changes {
		urgent = urgent || change.Urgent()
	}
	if w.core.worse {
		w.publish()
	}
	w.mu.Unlock()
	for _, change := range changes {
		w.record(change)
	}
	if urgent && w.cfg.Links != nil {
		w.cfg.Links.ScheduleFlush()
	}
}

// publish replaces the snapshot; the caller holds mu.
func (w *Watcher) publish() {
	w.core.dirty, w.core.worse = false, false
	w.view.Store(&View{version: w.Endpoints().version + 1, all: w.core.endpoints(w.cfg.Now())})
}

// Leaving reports that the endpoint said that it is leaving.
func (w *Watcher) Leaving(address string) {
	w.mu.Lock()
	sure := w.core.leaving(w.cfg.Now(), address)
	w.settle()
	if !sure {
		w.probe(address)
	}
}

// Failed reports that a request to the endpoint failed. The endpoint is left
// alone for a while unless a poll, which starts at once, succeeds.
func (w *Watcher) Failed(address string) {
	w.mu.Lock()
	w.core.suspect(w.cfg.Now(), address)
	w.settle()
	w.probe(address)
}

// record records a change of an endpoint's entry.
func (w *Watcher) record(change spreader.Change) {
	e, old := change.New, change.Old
	address := zap.String("endpoint", e.Address)
	switch {
	case e.Leaving && (!old.Leaving || old.Incarnation != e.Incarnation):
		w.cfg.Recorder.Info(recorder.EndpointLeaving, address)
		w.cfg.Counters.Fleet.Add("endpoints_leaving", 1)
	case e.Incarnation == old.Incarnation && e.Condition == old.Condition:
	case e.Condition == spreader.Up:
		w.cfg.Recorder.Info(recorder.EndpointUp, address)
		w.cfg.Counters.Fleet.Add("endpoints_up", 1)
	case e.Condition == spreader.Down:
		w.cfg.Recorder.Warn(recorder.EndpointDown, address)
		w.cfg.Counters.Fleet.Add("endpoints_down", 1)
	}
}

// register connects the core with the links.
func (w *Watcher) register() {
	if w.cfg.Links == nil {
		return
	}
	w.cfg.Links.Register(linker.Endpoints, linker.Topic{
		LinkUp: func(l linker.Link) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.core.table.LinkUp(l.ID, l.Dialled)
		},
		LinkDown: func(l linker.Link) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.core.table.LinkDown(l.ID)
		},
		Flush:   w.flush,
		Receive: w.receive,
	})
}

// flush returns what a link's peer has to be told.
func (w *Watcher) flush(l linker.Link) []byte {
	now := w.cfg.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return spreader.Encode(w.core.table.Flush(l.ID,
		func(n int) bool { return w.entries.AllowN(now, n) },
		func(n int) bool { return w.gauges.AllowN(now, n) }))
}

// receive takes what a link's peer told.
func (w *Watcher) receive(l linker.Link, body []byte) {
	msg, err := encoder.FromCBOR[spreader.Message](body)
	if err != nil {
		w.cfg.Counters.Fleet.Add("messages_bad", 1)
		return
	}
	w.mu.Lock()
	r := w.core.receive(w.cfg.Now(), l.ID, msg)
	doubted := w.core.doubted(r.Changes)
	w.settle()
	for _, address := range doubted {
		w.probe(address)
	}
	if r.Reply {
		w.cfg.Links.ScheduleLinkFlush(l.ID)
	}
}
