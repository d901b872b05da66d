// Package watcher watches the endpoints: a few nodes poll each endpoint, and
// distribute its changes to the other nodes as versioned entries.
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
	"banyanquay/internal/supervisor/replicator"
	"banyanquay/internal/supervisor/tracker"
)

// tickInterval is the time between two ticks.
const tickInterval = 250 * time.Millisecond

// Rate limits of what a node sends over all its links together, in bytes a second,
// and their bursts in bytes.
const (
	entryRate  rate.Limit = 512
	entryBurst            = 512 << 10
	gaugeRate  rate.Limit = 512
	gaugeBurst            = 8 << 10
)

// Config identifies this node and holds the dependencies of its watcher.
type Config struct {
	// Address is host:port of this node.
	Address string
	// Centre is this node's data centre.
	Centre string
	// Tracker knows the nodes that share the polling, and the list of VMs.
	Tracker *tracker.Tracker
	// Links carry the observations that the nodes exchange; nil means that none are
	// exchanged.
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

// Watcher maintains a snapshot of the endpoints.
type Watcher struct {
	cfg  Config
	view atomic.Pointer[View]
	// completed is set once a view of the whole fleet has been published, and is never
	// reset.
	completed atomic.Bool

	mu sync.Mutex
	// listedAt is when the platform's list was first seen here.
	listedAt     time.Time
	core         *core
	entryLimiter *rate.Limiter
	gaugeLimiter *rate.Limiter
	// probing holds the addresses that are being probed.
	probing map[string]bool
	// vms and nodes are the snapshots that the core was last given.
	vms   []provider.VM
	nodes []tracker.Node
	// ctx is set while the step runs, and pollCancels has a poller's cancel function
	// by address.
	ctx         context.Context
	pollCancels map[string]context.CancelFunc
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
		cfg:          cfg,
		core:         newCore(cfg.Address),
		entryLimiter: rate.NewLimiter(entryRate, entryBurst),
		gaugeLimiter: rate.NewLimiter(gaugeRate, gaugeBurst),
		probing:      make(map[string]bool),
		pollCancels:  make(map[string]context.CancelFunc),
	}
	w.view.Store(&View{})
	w.register()
	return w
}

// Step watches the endpoints until its context ends.
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
	clear(w.pollCancels)
	w.mu.Unlock()
	cancel()
	w.running.Wait()
	return nil
}

// tick passes the time, the list and the nodes to the core, and starts and stops
// pollers.
func (w *Watcher) tick(ctx context.Context) {
	now := w.cfg.Now()
	listed := w.cfg.Tracker.Listed()
	vms, nodes := w.cfg.Tracker.VMs(), w.cfg.Tracker.Nodes()
	w.mu.Lock()
	defer w.unlockAndNotify()
	if !sameSnapshot(vms, w.vms) || w.core.listedAt.IsZero() {
		w.vms = vms
		w.core.applyList(now, vms)
	}
	if !sameSnapshot(nodes, w.nodes) {
		w.nodes = nodes
		w.core.setNodes(nodes)
	}
	w.core.tick(now, rand.IntN)
	if w.core.viewStale {
		w.publish()
	}
	w.updateCompleted(now, listed)
	watched := w.core.assignedEndpoints()
	for address, cancel := range w.pollCancels {
		if !watched[address] {
			cancel()
			delete(w.pollCancels, address)
		}
	}
	for address := range watched {
		if w.pollCancels[address] != nil {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		w.pollCancels[address] = cancel
		w.running.Go(func() { w.poll(pollCtx, address) })
	}
}

// sameSnapshot reports whether two slices are one snapshot.
func sameSnapshot[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// unlockAndNotify ends a change of the core: it publishes the view at once if
// endpoints must no longer be used, unlocks mu, records the changes, and
// schedules a flush of the links if one of them is urgent.
func (w *Watcher) unlockAndNotify() {
	changes := w.core.takeChanges()
	urgent := false
	for _, change := range changes {
		urgent = urgent || change.Urgent()
	}
	if w.core.publishNow {
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
	w.core.viewStale, w.core.publishNow = false, false
	w.view.Store(&View{version: w.Endpoints().version + 1, all: w.core.endpoints(w.cfg.Now())})
}

// ReportLeaving records that an endpoint reported that it is leaving.
func (w *Watcher) ReportLeaving(address string) {
	w.mu.Lock()
	confirmed := w.core.reportLeaving(w.cfg.Now(), address)
	w.unlockAndNotify()
	if !confirmed {
		w.probe(address)
	}
}

// ReportFailed reports that a request to the endpoint failed. This node sends it no
// new work for a while unless a poll, which starts at once, succeeds.
func (w *Watcher) ReportFailed(address string) {
	w.mu.Lock()
	w.core.suspect(w.cfg.Now(), address)
	w.unlockAndNotify()
	w.probe(address)
}

// record records a change of an endpoint's entry.
func (w *Watcher) record(change replicator.Change) {
	e, old := change.New, change.Old
	address := zap.String("endpoint", e.Address)
	switch {
	case e.Leaving && (!old.Leaving || old.Incarnation != e.Incarnation):
		w.cfg.Recorder.Info(recorder.EndpointLeaving, address)
		w.cfg.Counters.Fleet.Add("endpoints_leaving", 1)
	case e.Incarnation == old.Incarnation && e.Condition == old.Condition:
	case e.Condition == replicator.Up:
		w.cfg.Recorder.Info(recorder.EndpointUp, address)
		w.cfg.Counters.Fleet.Add("endpoints_up", 1)
	case e.Condition == replicator.Down:
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

// flush returns the message that is due for a link's peer.
func (w *Watcher) flush(l linker.Link) []byte {
	now := w.cfg.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return replicator.Encode(w.core.table.Flush(l.ID,
		func(n int) bool { return w.entryLimiter.AllowN(now, n) },
		func(n int) bool { return w.gaugeLimiter.AllowN(now, n) }))
}

// receive processes a message from a link's peer.
func (w *Watcher) receive(l linker.Link, body []byte) {
	msg, err := encoder.FromCBOR[replicator.Message](body)
	if err != nil {
		w.cfg.Counters.Fleet.Add("messages_bad", 1)
		return
	}
	w.mu.Lock()
	r := w.core.receive(w.cfg.Now(), l.ID, msg)
	reportedDown := w.core.reportedDown(r.Changes)
	w.unlockAndNotify()
	for _, address := range reportedDown {
		w.probe(address)
	}
	if r.Reply {
		w.cfg.Links.ScheduleLinkFlush(l.ID)
	}
}
