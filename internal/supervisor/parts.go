package supervisor

import (
	"context"
	"time"

	"banyanquay/internal/mapper"
	"banyanquay/internal/supervisor/arranger"
	"banyanquay/internal/supervisor/broadcaster"
	"banyanquay/internal/supervisor/detourer"
	"banyanquay/internal/supervisor/elector"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/forecaster"
	"banyanquay/internal/supervisor/forwarder/throttler"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/quarantiner"
	"banyanquay/internal/supervisor/tracker"
)

// composeMembers creates the links to other nodes and the tracker.
func (r *relayNode) composeMembers() {
	s := r.cfg.Settings
	r.linker = linker.New(linker.Config{
		Address: s.Address, Incarnation: r.identity.incarnation, Secret: s.FleetSecret,
		Memory: r.cfg.Memory.Control, Recorder: r.recorder, Counters: r.cfg.Counters,
	})
	r.linker.Handle(linker.Store, r.syncer.HandleQuery)
	r.tracker = tracker.New(tracker.Config{
		Address: s.Address, Centre: s.Centre, Incarnation: r.identity.incarnation,
		List: r.announcer.List(), Links: r.linker, Recorder: r.recorder, Counters: r.cfg.Counters,
		Now: r.clock.Now,
	})
}

// composeDetours creates the calls to endpoints by way of other nodes.
func (r *relayNode) composeDetours() {
	r.detourer = detourer.New(detourer.Config{
		Memory: r.cfg.Memory.Calls, Direct: r.cfg.Platform.Relay, Peers: r.detourPeers, Endpoints: r.endpointAddresses, Enter: r.enterDetour,
		PausedSince: func(since time.Time) bool { return r.forwarder.PausedSince(since) },
		Now:         r.clock.Now, Recorder: r.recorder, Counters: r.cfg.Counters,
		Open: func(ctx context.Context, node string, query []byte) (linker.Conn, bool, error) {
			return r.linker.OpenStream(ctx, node, linker.Detours, query)
		},
	})
	r.linker.HandleStream(linker.Detours, r.detourer.Serve)
}

// endpointAddresses returns the addresses of all endpoints.
func (r *relayNode) endpointAddresses() []string {
	var all []string
	for _, e := range r.syncer.Table().All() {
		all = append(all, e.Address)
	}
	return all
}

// enterDetour admits a call that this node makes for another one, unless it is stopping. The
// context that it returns ends at the deadline of a stop.
func (r *relayNode) enterDetour(ctx context.Context) (bound context.Context, leave func(), ok bool) {
	release, err := r.gate.Acquire()
	bound, stop := r.gate.Context(ctx)
	return bound, func() {
		stop()
		release()
	}, err == nil && !r.gate.Leaving()
}

// composeBroadcaster creates the exchange of what the nodes know of endpoints.
func (r *relayNode) composeBroadcaster() {
	p := r.cfg.Platform
	r.broadcaster = broadcaster.New(broadcaster.Config{
		Links: r.linker, Now: r.clock.Now,
		Loads:             func() map[string]int { return r.forwarder.Loads() },
		SmallFleet:        r.smallFleet,
		Centre:            r.cfg.Settings.Centre,
		CentreOf:          r.centreOf,
		CentreLoads:       func() []forecaster.CentreLoad { return r.forwarder.CentreLoads() },
		HandleUnreachable: func(id string) { r.forwarder.HandleUnreachable(id) },
		HandleLeaving:     r.syncer.MarkLeaving,
		Era:               p.Topics.CurrentEra,
		HandleEra: func(era uint64) {
			if p.Topics.ObserveEra != nil {
				p.Topics.ObserveEra(era)
			}
		},
		Spent:      func() map[string]budgeter.Usage { return r.budget.Usage() },
		Paces:      func() map[string]float64 { return r.forwarder.Paces() },
		HandlePace: func(id string, pace float64) { r.forwarder.SetPace(id, pace) },
	})
}

// composeProtection creates the parts that keep requests away from endpoints that they
// would harm.
func (r *relayNode) composeProtection() {
	p := r.cfg.Platform
	r.quarantiner = quarantiner.New(quarantiner.Config{
		Links: r.linker, Topics: p.Topics, Topic: p.QuarantineTopic, Nodes: r.countNodes, IsWriter: r.writesQuarantine,
		OnHold: func() { r.forwarder.EndQuarantined() },
		Now:    r.clock.Now, Recorder: r.recorder, Counters: r.cfg.Counters,
	})
	r.throttler = throttler.New(throttler.Config{
		Address: r.cfg.Settings.Address, Homes: r.permitHomes, Nodes: r.countNodes, Now: r.clock.Now, Recorder: r.recorder, Counters: r.cfg.Counters,
		Query: func(ctx context.Context, address string, query []byte) ([]byte, error) {
			return r.linker.Query(ctx, address, linker.Permits, query)
		},
	})
	r.linker.Handle(linker.Permits, r.throttler.HandleQuery)
}

// composePlacement creates the parts that assign layers to engines.
func (r *relayNode) composePlacement() {
	p, relay := r.cfg.Platform, r.detourer.Relay()
	r.elector = elector.New(elector.Config{
		Topics: p.Topics, Topic: p.LeadTopic, ReadRemote: r.readRemoteLead, Address: r.cfg.Settings.Address,
		Incarnation: r.identity.incarnation, Alive: r.alive, Replaced: r.replaced, IsSuccessor: r.isSuccessor, IsCandidate: r.isCandidate,
		Starting: r.starting, IsSeed: r.isSeed,
		Now: r.clock.Now, Recorder: r.recorder,
	})
	r.linker.Handle(linker.Lead, r.elector.HandleQuery)
	r.arranger = arranger.New(arranger.Config{
		Configuration: func() *mapper.Configuration { return r.syncer.View().Configuration },
		Endpoints:     r.syncer.Table, Report: relay.Report, Place: relay.Place,
		Pace:        func(id string) float64 { return r.forwarder.Pace(id) },
		SpareCopies: r.cfg.Settings.Relay.Room.SpareCopies,
		Leads:       r.elector.Leads, Confirm: r.elector.Confirm, Fenced: r.elector.Fenced,
		Now: r.clock.Now, Recorder: r.recorder, Counters: r.cfg.Counters,
	})
}
