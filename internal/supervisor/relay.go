package supervisor

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/chronometer"
	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/mapper"
	"banyanquay/internal/provider"
	"banyanquay/internal/ranker"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/acceptor"
	"banyanquay/internal/supervisor/announcer"
	"banyanquay/internal/supervisor/arranger"
	"banyanquay/internal/supervisor/broadcaster"
	"banyanquay/internal/supervisor/detourer"
	"banyanquay/internal/supervisor/elector"
	"banyanquay/internal/supervisor/forwarder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/prioritizer"
	"banyanquay/internal/supervisor/forwarder/throttler"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/listener"
	"banyanquay/internal/supervisor/quarantiner"
	"banyanquay/internal/supervisor/reloader"
	"banyanquay/internal/supervisor/summarizer"
	"banyanquay/internal/supervisor/syncer"
	"banyanquay/internal/supervisor/tracker"
)

const (
	// revokeMargin is how much earlier than required a revoked key stops working
	// while the configuration can't be confirmed.
	revokeMargin = 200 * time.Millisecond
	// killMargin is subtracted from the stop deadline, so that a stopping node ends
	// by itself before the platform kills it.
	killMargin = 700 * time.Millisecond
	// softMemoryRatio is the part of the memory limit that the Go runtime may use
	// before it collects garbage more often.
	softMemoryRatio = 0.7
	// frontendHeaderTimeout and frontendIdleTimeout apply to callers' connections
	// regardless of the configuration, which is read only after the listener has
	// started.
	frontendHeaderTimeout = 5 * time.Second
	frontendIdleTimeout   = time.Minute
	// frontendHeaderBytes is above any header limit of the configuration, so that a
	// request that exceeds such a limit is refused with an error code.
	frontendHeaderBytes = 128 << 10
	// controlHeaderBytes is for servers whose requests have few headers.
	controlHeaderBytes = 16 << 10
	// startupPeriod is how long after its start a node may not know the other nodes
	// yet.
	startupPeriod = 1200 * time.Millisecond
	// leadCandidates is the number of nodes that follow who leads, so that one of them
	// takes over without delay.
	leadCandidates = 3
	// maxLeadQueries is the maximum number of nodes that are asked to read who
	// leads. leadQueryTimeout bounds each query, which takes a call to the store and
	// a connection.
	maxLeadQueries   = 3
	leadQueryTimeout = 700 * time.Millisecond
	// maxSmallFleet is the maximum number of nodes that send each other their loads
	// over links. A node has links with about eight others.
	maxSmallFleet = 16
	// quarantineWriters is the number of nodes that write the record of a part in
	// quarantine, in case some of them fail at that moment.
	quarantineWriters = 3
	// permitHomeCount is the number of homes of an endpoint's permits: one, and one that
	// takes its place.
	permitHomeCount = 2
)

// Platform gives access to the platform. Its functions are safe for concurrent use.
type Platform struct {
	Topics provider.Topics
	Relay  driver.Relay
	// ConfigTopic and ConfigKey locate the record of the configuration.
	// EndpointTopic has one record per endpoint, NodeTopic one per node, LeadTopic one
	// for the node that leads, and QuarantineTopic one per part of a prompt in quarantine.
	ConfigTopic     string
	ConfigKey       string
	EndpointTopic   string
	NodeTopic       string
	LeadTopic       string
	QuarantineTopic string
	// DecodeConfiguration, DecodeEntry and DecodeRequest decode the operator's
	// configuration, the entries of endpoints and the requests of callers.
	DecodeConfiguration func(data []byte) (*mapper.Configuration, error)
	DecodeEntry         func(id string, data []byte) (registrar.Entry, error)
	DecodeRequest       func(r *http.Request, body []byte, arrived time.Time) (forwarder.Request, error)
	// DiscoveryHandler returns the handler for callers that query node addresses,
	// and ReadinessHandler the one for the platform's readiness checks.
	DiscoveryHandler func(answer func(centre string) (addresses []string, ttl time.Duration)) http.Handler
	ReadinessHandler func(ready func() bool) http.Handler
}

// RelayConfig holds the settings and dependencies of a node in front of relaying
// endpoints.
type RelayConfig struct {
	Settings loader.Settings
	// Path is the settings file, which is read again at each value from Hangups.
	Path      string
	Hangups   <-chan os.Signal
	Logger    *zap.Logger
	Counters  *counter.Set
	Latencies *counter.Latencies
	Platform  Platform
	// Memory is the budget of the process, which the platform's clients share.
	Memory bounder.Budget
}

// relayNode holds the parts of a node in front of relaying endpoints, which pass
// requests among themselves.
type relayNode struct {
	cfg         RelayConfig
	identity    identity
	clock       chronometer.Chronometer
	started     time.Time
	recorder    *recorder.Recorder
	gate        *listener.Gate
	syncer      *syncer.Syncer
	announcer   *announcer.Announcer
	linker      *linker.Linker
	tracker     *tracker.Tracker
	broadcaster *broadcaster.Broadcaster
	budget      *budgeter.Budgeter
	elector     *elector.Elector
	arranger    *arranger.Arranger
	quarantiner *quarantiner.Quarantiner
	throttler   *throttler.Throttler
	detourer    *detourer.Detourer
	forwarder   *forwarder.Forwarder
	reloader    *reloader.Reloader
}

// NewRelay assembles a node in front of relaying endpoints without starting it.
func NewRelay(cfg RelayConfig) *fx.App {
	if mb := cfg.Settings.Relay.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(softMemoryRatio * float64(mb) * (1 << 20)))
	}
	if deadline := &cfg.Settings.Stop.Deadline; deadline.Duration > 2*killMargin {
		deadline.Duration -= killMargin
	}
	r := newRelayNode(cfg)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.Settings.Stop.Deadline.Duration+stopMargin),
		fx.Supply(cfg.Settings, r.identity, r.recorder, r.gate, r.tracker),
		fx.Provide(func() root { return root{Root: r.root()} }),
		fx.Invoke(supervise),
	)
}

// newRelayNode creates the parts and connects them.
func newRelayNode(cfg RelayConfig) *relayNode {
	r := &relayNode{
		cfg: cfg, identity: identity{incarnation: uuid.NewString()}, clock: chronometer.New(),
		recorder: recorder.New(cfg.Logger), gate: listener.NewGate(),
	}
	r.started = r.clock.Now()
	s, p := cfg.Settings, cfg.Platform
	r.reloader = reloader.New(reloader.Config{Path: cfg.Path, Hangups: cfg.Hangups, Initial: s, Recorder: r.recorder})
	r.syncer = syncer.New(syncer.Config{
		Memory: cfg.Memory.Control, Topics: p.Topics, ConfigTopic: p.ConfigTopic, ConfigKey: p.ConfigKey, EndpointTopic: p.EndpointTopic,
		QuarantineTopic:     p.QuarantineTopic,
		HandleQuarantine:    func(items []provider.Item) { r.quarantiner.HandleRecords(items) },
		DecodeConfiguration: p.DecodeConfiguration, DecodeEntry: p.DecodeEntry, Now: r.clock.Now,
		Starting: r.starting, IsReader: r.isReader, IsStandby: r.isStandby, Readers: r.readers, Standbys: r.standbys, Peers: r.peers,
		Query: func(ctx context.Context, address string, query []byte) ([]byte, error) {
			return r.linker.Query(ctx, address, linker.Store, query)
		},
		Address:         s.Address,
		Report:          func() []byte { return r.broadcaster.Report() },
		HandleReport:    func(from string, report []byte) []byte { return r.broadcaster.HandleReport(from, report) },
		HandleAggregate: func(answer []byte) { r.broadcaster.HandleAggregate(answer) },
		Recorder:        r.recorder, Counters: cfg.Counters,
	})
	r.announcer = announcer.New(announcer.Config{
		Topics: p.Topics, Topic: p.NodeTopic, Address: s.Address, Centre: s.Centre, Seeds: s.Relay.Seeds,
		Known: func() int { return len(r.tracker.Nodes()) }, Now: r.clock.Now, Recorder: r.recorder,
	})
	r.composeMembers()
	r.composeDetours()
	r.composePlacement()
	r.composeBroadcaster()
	r.composeProtection()
	r.budget = budgeter.New(budgeter.Config{
		Window: s.Relay.RetryWindow.Duration, Others: r.broadcaster.PeerSpent, Now: r.clock.Now,
		Nodes: r.countNodes,
		Limits: func() (float64, float64) {
			s := r.reloader.Settings().Relay
			return s.RetryRatio, s.RetrySlack
		},
	})
	r.forwarder = forwarder.New(forwarder.Config{
		Decode: p.DecodeRequest, View: r.syncer.View, Endpoints: r.syncer.Table, Ready: r.syncer.Ready, Relay: r.detourer.Relay(), Memory: cfg.Memory,
		Budget:             r.budget,
		Quarantine:         r.quarantiner,
		Throttler:          r.throttler,
		Centre:             s.Centre,
		MaxConfirmationAge: func() time.Duration { return r.reloader.Settings().Relay.Revoke.Duration - revokeMargin },
		Room:               func() forwarder.RoomSettings { return roomSettings(r.reloader.Settings().Relay.Room) },
		Starting:           r.starting, RemoteLoadsKnown: r.smallFleet, Nodes: r.countNodes, CentreNodes: r.countCentreNodes, OtherTokens: r.broadcaster.PeerLoad, ReportedTokens: r.broadcaster.ReportedTokens,
		LoadGrowth: r.broadcaster.LoadGrowth, CentreLoad: r.broadcaster.CentreLoad,
		MarkLeaving: func(id string, born int64) {
			if r.syncer.MarkLeaving(id, born) {
				r.broadcaster.BroadcastLeaving(id, born)
			}
		},
		LongPrompts:          func() float64 { return r.reloader.Settings().Relay.Prompts.Long },
		BroadcastUnreachable: r.broadcaster.BroadcastUnreachable, Gate: r.gate, Now: r.clock.Now,
		Recorder: r.recorder, Counters: cfg.Counters, Latency: cfg.Latencies,
	})
	return r
}

// root returns the tree of the node's steps.
func (r *relayNode) root() grouper.Step {
	return grouper.Group(
		"node",
		grouper.Group("edge", r.serverSteps()...),
		grouper.Group("flow", r.forwarder.Step(), r.detourer.Step()),
		grouper.Group("store", r.syncer.Step(), r.announcer.Step(), r.quarantiner.Step()),
		grouper.Group("settings", r.reloader.Step(),
			summarizer.Step(summarizer.Config{Latencies: r.cfg.Latencies, Recorder: r.recorder})),
		grouper.Group("members", r.linker.Step(), r.tracker.Step(), r.broadcaster.Step()),
		grouper.Group("placement", r.elector.Step(), r.arranger.Step()),
	)
}

// serverSteps returns the steps of the node's HTTP servers.
func (r *relayNode) serverSteps() []grouper.Step {
	s := r.cfg.Settings
	links := http.NewServeMux()
	links.Handle("GET "+linker.Path, r.linker.Handler())
	steps := []grouper.Step{
		acceptor.Step(acceptor.Config{
			Name: "frontend", Address: s.Relay.Frontend, Handler: r.forwarder,
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout, MaxHeaderBytes: frontendHeaderBytes, Memory: r.cfg.Memory.Requests,
		}),
		acceptor.Step(acceptor.Config{
			Name: "readiness", Address: s.Relay.Readiness, Handler: r.cfg.Platform.ReadinessHandler(r.ready),
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout, MaxHeaderBytes: controlHeaderBytes, Memory: r.cfg.Memory.Control,
		}),
		acceptor.Step(acceptor.Config{
			Name: "discovery", Address: s.Relay.Discovery, Handler: r.cfg.Platform.DiscoveryHandler(r.addresses),
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout, MaxHeaderBytes: controlHeaderBytes, Memory: r.cfg.Memory.Requests,
		}),
		acceptor.Step(acceptor.Config{
			Name: "links", Address: s.Address, Handler: links, HeaderTimeout: frontendHeaderTimeout, MaxHeaderBytes: controlHeaderBytes, Memory: r.cfg.Memory.Control,
		}),
	}
	if s.Relay.Metrics == "" {
		return steps
	}
	return append(steps, acceptor.Step(acceptor.Config{
		Name: "metrics", Address: s.Relay.Metrics, Handler: expvar.Handler(), HeaderTimeout: frontendHeaderTimeout,
		MaxHeaderBytes: controlHeaderBytes, Memory: r.cfg.Memory.Control,
	}))
}

// ready reports whether the node takes requests.
func (r *relayNode) ready() bool {
	return r.syncer.Ready() && !r.gate.Leaving()
}

// peers returns the other live nodes, which are queried for data that the store
// doesn't return. Their order is random, which mixes in nodes of other data centres:
// they may reach the store when this node's data centre doesn't.
func (r *relayNode) peers() []string {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Live() && n.Address != r.cfg.Settings.Address {
			live = append(live, n.Address)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

// starting reports whether this node may not know the other nodes yet.
func (r *relayNode) starting() bool {
	return r.clock.Now().Sub(r.started) < startupPeriod
}

// roomSettings returns the settings of admission.
func roomSettings(s loader.Room) forwarder.RoomSettings {
	return forwarder.RoomSettings{
		Enabled: s.Enabled, Settings: prioritizer.Settings{Full: s.Full, Floor: s.Floor, React: s.React.Duration},
	}
}

// smallFleet reports whether there are few enough nodes to send each other their
// loads over links.
func (r *relayNode) smallFleet() bool { return r.countNodes() <= maxSmallFleet }

// alive reports whether a process is alive as far as this node knows.
func (r *relayNode) alive(address, incarnation string) bool {
	for _, n := range r.tracker.Nodes() {
		if n.Address == address {
			return n.Live() && !n.Suspect && n.Incarnation == incarnation
		}
	}
	return false
}

// replaced reports whether another process than the given one runs at an address as
// far as this node knows.
func (r *relayNode) replaced(address, incarnation string) bool {
	for _, n := range r.tracker.Nodes() {
		if n.Address == address {
			return n.Live() && n.Incarnation != "" && n.Incarnation != incarnation
		}
	}
	return false
}

// isSeed reports whether this node is a seed, or whether there is none.
func (r *relayNode) isSeed() bool {
	seeds := r.cfg.Settings.Relay.Seeds
	return len(seeds) == 0 || slices.Contains(seeds, r.cfg.Settings.Address)
}

// readRemoteLead queries up to maxLeadQueries other nodes for the leader, one after
// the other, and returns the first answer.
func (r *relayNode) readRemoteLead(ctx context.Context) ([]byte, error) {
	var err error = trace.NotFound("no other node is known")
	peers := r.peers()
	for _, address := range peers[:min(len(peers), maxLeadQueries)] {
		queryCtx, cancel := context.WithTimeout(ctx, leadQueryTimeout)
		data, queryErr := r.linker.Query(queryCtx, address, linker.Lead, nil)
		cancel()
		if queryErr == nil {
			return data, nil
		}
		err = queryErr
	}
	return nil, err
}

// isSuccessor reports whether this node must take the lead from a holder that has
// ended.
func (r *relayNode) isSuccessor() bool {
	return slices.Contains(r.leadOrder(1), r.cfg.Settings.Address)
}

// isCandidate reports whether this node is among those that follow who leads.
func (r *relayNode) isCandidate() bool {
	return slices.Contains(r.leadOrder(leadCandidates), r.cfg.Settings.Address)
}

// writesQuarantine reports whether this node writes the record of a part in quarantine.
func (r *relayNode) writesQuarantine(key string) bool {
	return slices.Contains(r.firstNodes("quarantine "+key, quarantineWriters), r.cfg.Settings.Address)
}

// permitHomes returns the addresses of the nodes that give out the permits for an
// endpoint. A suspicion doesn't change them: nodes that suspect others would have different
// ones, and each gives out the whole rate.
func (r *relayNode) permitHomes(endpoint string) []string {
	var live []string
	for _, node := range r.tracker.Nodes() {
		if node.Live() {
			live = append(live, node.Address)
		}
	}
	return ranker.Of("limit "+endpoint).Top(live, permitHomeCount)
}

// leadOrder returns the first n nodes in the order in which they take the lead.
func (r *relayNode) leadOrder(n int) []string { return r.firstNodes("lead", n) }

// firstNodes returns the first n live nodes in the order for a subject.
func (r *relayNode) firstNodes(subject string, n int) []string {
	var live []string
	for _, node := range r.tracker.Nodes() {
		if node.Live() && !node.Suspect {
			live = append(live, node.Address)
		}
	}
	return ranker.Of(subject).Top(live, n)
}
