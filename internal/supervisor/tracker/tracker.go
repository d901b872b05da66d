// Package tracker tracks the nodes of the fleet: the platform's list names the
// candidates, links to a few of them serve as heartbeats, and versioned entries
// spread what each node observes.
package tracker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

// tickInterval is the time between two ticks.
const tickInterval = 500 * time.Millisecond

// Rate limits of what a node sends over all its links together, in bytes a second,
// and their bursts in bytes.
const (
	entryRate  rate.Limit = 512
	entryBurst            = 256 << 10
	gaugeRate  rate.Limit = 1280
	gaugeBurst            = 64 << 10
)

// Config identifies this node and holds the dependencies of its tracker.
type Config struct {
	// Address is host:port of this node.
	Address string
	// Centre is this node's data centre.
	Centre string
	// Incarnation differs between two processes on the same address.
	Incarnation string
	// List returns the platform's list of VMs.
	List provider.List
	// Links are the links to other nodes; nil means none.
	Links *linker.Linker
	// Applied returns the configuration offset that this node has applied;
	// nil means 0.
	Applied func() uint64
	// Load returns this node's load; nil means 0.
	Load func() int
	// Drain starts this node's planned stop when a peer asks for it; nil
	// refuses.
	Drain func()
	// Recorder writes events; nil means none.
	Recorder *recorder.Recorder
	// Counters count membership changes; nil means a set of its own.
	Counters *counter.Set
	// Now returns the time; nil means time.Now without its monotonic part,
	// which stands still while a VM is suspended.
	Now func() time.Time
}

// Tracker maintains a snapshot of the fleet's nodes.
type Tracker struct {
	cfg   Config
	nodes atomic.Pointer[[]Node]
	vms   atomic.Pointer[[]provider.VM]
	// listed is set once the platform's list has been read.
	listed atomic.Bool

	mu           sync.Mutex
	core         *core
	entryLimiter *rate.Limiter
	gaugeLimiter *rate.Limiter
	// recordedUnreachable are the data centres last recorded as unreachable.
	recordedUnreachable []string
}

// New returns a tracker that knows only its own node.
func New(cfg Config) *Tracker {
	cfg = withDefaults(cfg)
	t := &Tracker{
		cfg:          cfg,
		entryLimiter: rate.NewLimiter(entryRate, entryBurst),
		gaugeLimiter: rate.NewLimiter(gaugeRate, gaugeBurst),
	}
	t.core = newCore(cfg.Now(), Node{
		Address: cfg.Address, Centre: cfg.Centre, Incarnation: cfg.Incarnation,
	})
	t.vms.Store(&[]provider.VM{})
	t.publish()
	t.register()
	return t
}

// withDefaults sets the optional fields that are missing from a configuration.
func withDefaults(cfg Config) Config {
	if cfg.Applied == nil {
		cfg.Applied = func() uint64 { return 0 }
	}
	if cfg.Load == nil {
		cfg.Load = func() int { return 0 }
	}
	if cfg.Recorder == nil {
		cfg.Recorder = recorder.Nop()
	}
	if cfg.Counters == nil {
		cfg.Counters = counter.New()
	}
	if cfg.Now == nil {
		cfg.Now = func() time.Time { return time.Now().Round(0) }
	}
	return cfg
}

// Step tracks the fleet until its context ends.
func (t *Tracker) Step() grouper.Step {
	return grouper.Group("tracker",
		grouper.Step{Name: "list", Run: t.pollList},
		grouper.Step{Name: "ticks", Run: t.tick},
	)
}

// Nodes returns the nodes known, this one included, sorted by address. The
// slice must not be changed.
func (t *Tracker) Nodes() []Node {
	return *t.nodes.Load()
}

// VMs returns the platform's list as last read. The slice must not be changed.
func (t *Tracker) VMs() []provider.VM {
	return *t.vms.Load()
}

// Listed reports whether the platform's list has been read.
func (t *Tracker) Listed() bool {
	return t.listed.Load()
}

// Live returns the addresses of the nodes that are neither down, nor leaving,
// nor unreachable, sorted.
func (t *Tracker) Live() []string {
	var live []string
	for _, n := range t.Nodes() {
		if n.Live() {
			live = append(live, n.Address)
		}
	}
	return live
}

// Leave announces that this node leaves.
func (t *Tracker) Leave() {
	t.mu.Lock()
	t.core.leave()
	t.publish()
	t.mu.Unlock()
	t.cfg.Recorder.Info(recorder.PeerLeaving, zap.String("node", t.cfg.Address))
	t.flushSoon()
}

// flushSoon flushes the links soon instead of with the next batch.
func (t *Tracker) flushSoon() {
	if t.cfg.Links != nil {
		t.cfg.Links.ScheduleFlush()
	}
}

// publish replaces the snapshot if it is stale; the caller holds mu.
func (t *Tracker) publish() {
	if !t.core.snapshotStale {
		return
	}
	t.core.snapshotStale = false
	nodes := t.core.nodes()
	t.nodes.Store(&nodes)
}

// tick calls tickOnce at tickInterval until ctx ends.
func (t *Tracker) tick(ctx context.Context) error {
	for {
		t.tickOnce()
		if !sleep(ctx, tickInterval) {
			return nil
		}
	}
}

// tickOnce ticks the core and adjusts the links.
func (t *Tracker) tickOnce() {
	now, applied, load := t.cfg.Now(), t.cfg.Applied(), t.cfg.Load()
	t.mu.Lock()
	woke := t.core.tick(now, applied, load, rand.IntN)
	wanted := t.core.wantedLinks(now, rand.IntN)
	t.publish()
	t.recordUnreachable()
	changes := t.core.takeChanges()
	t.mu.Unlock()
	if t.recordChanges(changes) {
		t.flushSoon()
	}
	if t.cfg.Links == nil {
		return
	}
	t.cfg.Links.SetPeers(wanted)
	if woke {
		t.cfg.Recorder.Warn(recorder.NodeResumed)
		t.cfg.Counters.Fleet.Add("wakes", 1)
		t.cfg.Links.Reset()
	}
}

// sleep waits for d, less a jitter of up to a tenth, and reports whether ctx still
// runs.
func sleep(ctx context.Context, d time.Duration) bool {
	return grouper.Sleep(ctx, d-rand.N(d/10+1))
}

// pollList reads the platform's list until ctx ends. While reads fail, the last list
// stays in force.
func (t *Tracker) pollList(ctx context.Context) error {
	reachable := true
	for {
		vms, err := t.cfg.List.VMs(ctx)
		switch {
		case err == nil:
			t.applyList(vms)
			if !reachable {
				t.cfg.Recorder.Info(recorder.ListReachable)
			}
		case reachable && ctx.Err() == nil:
			t.cfg.Recorder.Warn(recorder.ListUnreachable, zap.Error(err))
		}
		reachable = err == nil
		wait := listInterval(len(t.Nodes()))
		if !sleep(ctx, wait/2+rand.N(wait)) {
			return nil
		}
	}
}

// applyList passes a list to the core.
func (t *Tracker) applyList(vms []provider.VM) {
	t.cfg.Counters.Fleet.Add("lists_read", 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms.Store(&vms)
	t.listed.Store(true)
	t.core.applyList(t.cfg.Now(), vms)
	t.publish()
}
