// Package placer sends orders to endpoints: one node holds a lease in the platform's
// log, compares what endpoints report with what organisations use, and has missing
// layers and adapters loaded, a few at a time.
package placer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/ranker"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/placer/reducer"
)

// stream is the log's stream of leases and loads.
const stream = "placement"

// Config configures a Placer.
type Config struct {
	Log    provider.Log
	Engine driver.Engine
	// Node and Incarnation identify this process.
	Node        string
	Incarnation string
	// Live returns the nodes that may be candidates.
	Live func() []string
	// HasEnded reports whether a process is believed to have ended; it may be wrong. Nil
	// means that no process is known to have ended.
	HasEnded func(node, incarnation string) bool
	// Endpoints returns the watcher's view of the endpoints.
	Endpoints func() []driver.Endpoint
	// Wants returns the model versions that organisations use.
	Wants func() []Want
	// MaxLoads is the maximum number of loads in progress at all endpoints together.
	MaxLoads int
	// LeaseDuration is how long a lease is valid without renewal.
	LeaseDuration time.Duration
	// RoundInterval is the mean time between two rounds; a round begins at most one
	// load.
	RoundInterval time.Duration
	// LoadTimeout is how long a load may take.
	LoadTimeout time.Duration
	Recorder    *recorder.Recorder
	Counters    *counter.Set
	// Jitter returns a duration between 0 and d; nil means a random one.
	Jitter func(d time.Duration) time.Duration
	// Now returns the time without its monotonic part, which stops while a VM is
	// suspended; nil means that of the system.
	Now func() time.Time
}

// Placer is this node's part of the placement. Only its step uses it.
type Placer struct {
	cfg  Config
	self reducer.Holder
	view reducer.View
	// lastRecordRead is when the read began that returned the newest accepted
	// record, or the first successful read after a time without reads if that is
	// later.
	lastRecordRead time.Time
	// deaf is set at the start, after a failed read, and while the node doesn't
	// read the stream, until a read succeeds.
	deaf bool
	// logDown is set from a failure of the log until a read succeeds.
	logDown bool
	// leaseState is set while this node holds the lease.
	leaseState *leaseState
}

// New returns a Placer that has read nothing.
func New(cfg Config) *Placer {
	if cfg.Recorder == nil {
		cfg.Recorder = recorder.Nop()
	}
	if cfg.Counters == nil {
		cfg.Counters = counter.New()
	}
	if cfg.Now == nil {
		cfg.Now = func() time.Time { return time.Now().Round(0) }
	}
	if cfg.HasEnded == nil {
		cfg.HasEnded = func(string, string) bool { return false }
	}
	if cfg.Jitter == nil {
		cfg.Jitter = rand.N[time.Duration]
	}
	self := reducer.Holder{Node: cfg.Node, Incarnation: cfg.Incarnation}
	return &Placer{cfg: cfg, self: self, view: reducer.NewView(), deaf: true}
}

// Step runs rounds until its context ends.
func (p *Placer) Step() grouper.Step {
	return grouper.Step{Name: "placer", Run: func(ctx context.Context) error {
		for ctx.Err() == nil {
			p.round(ctx)
			p.pause(ctx)
		}
		return nil
	}}
}

// pause waits for the next round: half to one and a half times the mean interval.
func (p *Placer) pause(ctx context.Context) {
	t := time.NewTimer(p.cfg.RoundInterval/2 + p.cfg.Jitter(p.cfg.RoundInterval))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// round reads the stream and does what the lease allows.
func (p *Placer) round(ctx context.Context) {
	candidate := p.isCandidate()
	if !candidate && p.leaseState == nil {
		p.deaf = true
		return
	}
	if !p.read(ctx) {
		return
	}
	idle := p.cfg.Now().Sub(p.lastRecordRead)
	holder := p.view.State().Holder
	gone := p.cfg.HasEnded(holder.Node, holder.Incarnation)
	move := p.view.Move(p.self, candidate, gone, idle, p.cfg.LeaseDuration)
	if move == reducer.Take || (move == reducer.Renew && !p.holdsLease()) {
		p.append(ctx, p.inheritedLoads())
	}
	if !p.holdsLease() {
		p.endLease()
		return
	}
	p.holderRound(ctx, move == reducer.Renew)
}

// holderRound does the work of a round that only the holder of the lease does.
func (p *Placer) holderRound(ctx context.Context, renew bool) {
	p.startLease()
	p.poll(ctx, p.pollTargets())
	loads := p.continuingLoads()
	if l, ok := p.nextLoad(ctx, loads); ok {
		loads = append(loads, l)
	}
	if renew || !slices.EqualFunc(loads, p.view.State().Loads, sameLoad) {
		p.append(ctx, loads)
	}
	p.sendOrders(ctx)
}

// sameLoad reports whether two loads of one list are in the same state.
func sameLoad(a, b reducer.Load) bool {
	return a.Endpoint == b.Endpoint && a.Begun == b.Begun && a.Cancelled == b.Cancelled
}

// isCandidate reports whether this node is the first of the live nodes in the
// stream's rendezvous order.
func (p *Placer) isCandidate() bool {
	return slices.Contains(ranker.Of(stream).Top(p.cfg.Live(), 1), p.cfg.Node)
}

// inheritedLoads returns the loads that a new holder takes over. If retention has
// dropped the records that name them, any endpoint may have one, so each gets an
// order that ends it.
func (p *Placer) inheritedLoads() []reducer.Load {
	if !p.view.StateLost() {
		return p.view.State().Loads
	}
	var loads []reducer.Load
	for _, e := range p.cfg.Endpoints() {
		if e.Role == provider.RoleEndpoint {
			loads = append(loads, reducer.Load{Endpoint: e.Address, Cancelled: true, Begun: p.view.Next()})
		}
	}
	return loads
}

// count counts an event of the placement.
func (p *Placer) count(name string) {
	p.cfg.Counters.Placement.Add(name, 1)
}
