package supervisor

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

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
	"banyanquay/internal/supervisor/elector"
	"banyanquay/internal/supervisor/forwarder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/listener"
	"banyanquay/internal/supervisor/reloader"
	"banyanquay/internal/supervisor/summarizer"
	"banyanquay/internal/supervisor/syncer"
	"banyanquay/internal/supervisor/teller"
	"banyanquay/internal/supervisor/tracker"
)

const (
	// revokeMargin is how much sooner than required a key stops working when
	// the configuration can't be confirmed.
	revokeMargin = 200 * time.Millisecond
	// killMargin is how long before the platform kills a stopping node it ends by
	// itself.
	killMargin = 700 * time.Millisecond
	// memoryShare is the part of the memory limit that the runtime may use
	// before it collects harder.
	memoryShare = 0.7
	// frontendHeaderTimeout and frontendIdleTimeout hold for callers whatever
	// the configuration says: it is read only after the listener starts.
	frontendHeaderTimeout = 5 * time.Second
	frontendIdleTimeout   = time.Minute
	// frontendHeaderBytes is above any limit of the configuration, whose
	// refusal has a code.
	frontendHeaderBytes = 128 << 10
	// acquaintance is how long nodes take to know each other after their start.
	acquaintance = 1200 * time.Millisecond
	// otherReaders is of how many other data centres the reading nodes are asked
	// while the own one's doesn't answer.
	otherReaders = 2
	// leadPeers is how many nodes are asked to read who leads, and leadTimeout bounds
	// each question: a call to the store and a connection.
	leadPeers   = 3
	leadTimeout = 700 * time.Millisecond
	// fewNodes is up to how many nodes tell each other their loads: a node has
	// links with some eight others.
	fewNodes = 16
)

// Platform is how the platform is spoken to. Its functions are safe for
// concurrent use.
type Platform struct {
	Topics provider.Topics
	Relay  driver.Relay
	// ConfigTopic and ConfigKey name the configuration's record; the other
	// topics have a record for each endpoint, each node and for the lead.
	ConfigTopic   string
	ConfigKey     string
	EndpointTopic string
	NodeTopic     string
	LeadTopic     string
	// Configuration, Entry and Request decode what the operator, endpoints and
	// callers send.
	Configuration func(data []byte) (*mapper.Configuration, error)
	Entry         func(id string, data []byte) (registrar.Entry, error)
	Request       func(r *http.Request, arrived time.Time) (forwarder.Request, error)
	// Discovery serves callers that ask for addresses, and Readiness the
	// platform that asks whether the node takes requests.
	Discovery func(answer func(centre string) (addresses []string, ttl time.Duration)) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// RelayConfig is what a node before relaying endpoints needs.
type RelayConfig struct {
	Settings loader.Settings
	// Path is the file that the settings came from.
	Path      string
	Logger    *zap.Logger
	Counters  *counter.Set
	Latencies *counter.Latencies
	Platform  Platform
}

// relay is the parts of a node before relaying endpoints.
type relay struct {
	cfg       RelayConfig
	identity  identity
	clock     chronometer.Chronometer
	started   time.Time
	recorder  *recorder.Recorder
	gate      *listener.Gate
	syncer    *syncer.Syncer
	announcer *announcer.Announcer
	linker    *linker.Linker
	tracker   *tracker.Tracker
	teller    *teller.Teller
	budget    *budgeter.Budgeter
	elector   *elector.Elector
	arranger  *arranger.Arranger
	forwarder *forwarder.Forwarder
	reloader  *reloader.Reloader
}

// NewRelay composes a node before relaying endpoints that is not started yet.
func NewRelay(cfg RelayConfig) *fx.App {
	if mb := cfg.Settings.Relay.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb) * (1 << 20)))
	}
	if deadline := &cfg.Settings.Stop.Deadline; deadline.Duration > 2*killMargin {
		deadline.Duration -= killMargin
	}
	r := newRelay(cfg)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.Settings.Stop.Deadline.Duration+stopMargin),
		fx.Supply(cfg.Settings, r.identity, r.recorder, r.gate, r.tracker),
		fx.Provide(func() root { return root{Root: r.root()} }),
		fx.Invoke(supervise),
	)
}

// newRelay makes the parts.
func newRelay(cfg RelayConfig) *relay {
	r := &relay{
		cfg: cfg, identity: identity{incarnation: uuid.NewString()}, clock: chronometer.New(),
		recorder: recorder.New(cfg.Logger), gate: listener.NewGate(),
	}
	r.started = r.clock.Now()
	s, p := cfg.Settings, cfg.Platform
	r.reloader = reloader.New(reloader.Config{Path: cfg.Path, Initial: s, Recorder: r.recorder})
	r.syncer = syncer.New(syncer.Config{
		Topics: p.Topics, ConfigTopic: p.ConfigTopic, ConfigKey: p.ConfigKey, EndpointTopic: p.EndpointTopic,
		DecodeConfiguration: p.Configuration, DecodeEntry: p.Entry, Now: r.clock.Now,
		Starting: r.starting, IsReader: r.reads, Readers: r.readers, Peers: r.peers,
		Ask: func(ctx context.Context, address string, question []byte) ([]byte, error) {
			return r.linker.Ask(ctx, address, linker.Store, question)
		},
		Address:         s.Address,
		Report:          func() []byte { return r.teller.Report() },
		HandleReport:    func(from string, report []byte) []byte { return r.teller.HandleReport(from, report) },
		HandleAggregate: func(answer []byte) { r.teller.HandleAggregate(answer) },
		Recorder:        r.recorder, Counters: cfg.Counters,
	})
	r.announcer = announcer.New(announcer.Config{
		Topics: p.Topics, Topic: p.NodeTopic, Address: s.Address, Centre: s.Centre, Seeds: s.Relay.Seeds,
		Now: r.clock.Now, Recorder: r.recorder,
	})
	r.members()
	r.placing()
	r.teller = teller.New(teller.Config{
		Links: r.linker, Now: r.clock.Now,
		Loads:      func() map[string]int { return r.forwarder.Loads() },
		Few:        r.few,
		Suspect:    func(id string) { r.forwarder.Suspect(id) },
		Spent:      func() map[string]budgeter.Spent { return r.budget.Spent() },
		Paces:      func() map[string]float64 { return r.forwarder.Paces() },
		HandlePace: func(id string, pace float64) { r.forwarder.SetPace(id, pace) },
	})
	r.budget = budgeter.New(budgeter.Config{
		Window: s.Relay.RetryWindow.Duration, Others: r.teller.PeerSpent, Now: r.clock.Now,
		Nodes: r.nodes,
		Limits: func() (float64, float64) {
			s := r.reloader.Settings().Relay
			return s.RetryRatio, s.RetrySlack
		},
	})
	r.forwarder = forwarder.New(forwarder.Config{
		Decode: p.Request, View: r.syncer.View, Endpoints: r.syncer.Table, Relay: p.Relay,
		Budget:             r.budget,
		Centre:             s.Centre,
		MaxConfirmationAge: func() time.Duration { return r.reloader.Settings().Relay.Revoke.Duration - revokeMargin },
		Starting:           r.starting, RemoteLoadsKnown: r.few, Nodes: r.nodes, CentreNodes: r.near, OtherTokens: r.teller.PeerLoad, ReportedTokens: r.teller.ReportedTokens,
		BroadcastUnreachable: r.teller.ReportUnreachable, Gate: r.gate, Now: r.clock.Now,
		Recorder: r.recorder, Counters: cfg.Counters, Latency: cfg.Latencies,
	})
	return r
}

// members makes the links and the tracker of nodes.
func (r *relay) members() {
	s := r.cfg.Settings
	r.linker = linker.New(linker.Config{
		Address: s.Address, Incarnation: r.identity.incarnation, Secret: s.FleetSecret,
		Recorder: r.recorder, Counters: r.cfg.Counters,
	})
	r.linker.Answer(linker.Store, r.syncer.Answer)
	r.tracker = tracker.New(tracker.Config{
		Address: s.Address, Centre: s.Centre, Incarnation: r.identity.incarnation,
		List: r.announcer.List(), Links: r.linker, Recorder: r.recorder, Counters: r.cfg.Counters,
		Now: r.clock.Now,
	})
}

// placing makes the parts that order layers.
func (r *relay) placing() {
	p := r.cfg.Platform
	r.elector = elector.New(elector.Config{
		Topics: p.Topics, Topic: p.LeadTopic, ReadRemote: r.leadElsewhere, Address: r.cfg.Settings.Address,
		Incarnation: r.identity.incarnation, Alive: r.alive, IsSuccessor: r.next,
		Now: r.clock.Now, Recorder: r.recorder,
	})
	r.linker.Answer(linker.Lead, r.elector.Answer)
	r.arranger = arranger.New(arranger.Config{
		Configuration: func() *mapper.Configuration { return r.syncer.View().Configuration },
		Endpoints:     r.syncer.Table, Report: p.Relay.Report, Place: p.Relay.Place,
		Pace:  func(id string) float64 { return r.forwarder.Pace(id) },
		Leads: r.elector.Leads, Confirm: r.elector.Confirm, Fenced: r.elector.Fenced,
		Now: r.clock.Now, Recorder: r.recorder, Counters: r.cfg.Counters,
	})
}

// root lists the steps of the node.
func (r *relay) root() grouper.Step {
	return grouper.Group(
		"node",
		grouper.Group("edge", r.servers()...),
		grouper.Group("flow", r.forwarder.Step()),
		grouper.Group("store", r.syncer.Step(), r.announcer.Step()),
		grouper.Group("settings", r.reloader.Step(),
			summarizer.Step(summarizer.Config{Latencies: r.cfg.Latencies, Recorder: r.recorder})),
		grouper.Group("members", r.linker.Step(), r.tracker.Step(), r.teller.Step()),
		grouper.Group("placement", r.elector.Step(), r.arranger.Step()),
	)
}

// servers are the node's listeners.
func (r *relay) servers() []grouper.Step {
	s := r.cfg.Settings
	links := http.NewServeMux()
	links.Handle("GET "+linker.Path, r.linker.Handler())
	steps := []grouper.Step{
		acceptor.Step(acceptor.Config{
			Name: "frontend", Address: s.Relay.Frontend, Handler: r.forwarder,
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout, MaxHeaderBytes: frontendHeaderBytes,
		}),
		acceptor.Step(acceptor.Config{
			Name: "readiness", Address: s.Relay.Readiness, Handler: r.cfg.Platform.Readiness(r.ready),
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout,
		}),
		acceptor.Step(acceptor.Config{
			Name: "discovery", Address: s.Relay.Discovery, Handler: r.cfg.Platform.Discovery(r.addresses),
			HeaderTimeout: frontendHeaderTimeout, IdleTimeout: frontendIdleTimeout,
		}),
		acceptor.Step(acceptor.Config{Name: "links", Address: s.Address, Handler: links, HeaderTimeout: frontendHeaderTimeout}),
	}
	if s.Relay.Metrics == "" {
		return steps
	}
	return append(steps, acceptor.Step(acceptor.Config{
		Name: "metrics", Address: s.Relay.Metrics, Handler: expvar.Handler(), HeaderTimeout: frontendHeaderTimeout,
	}))
}

// ready tells whether the node takes requests.
func (r *relay) ready() bool {
	return r.syncer.Ready() && !r.gate.Leaving()
}

// nodes is how many nodes share the endpoints.
func (r *relay) nodes() int {
	n := 0
	for _, node := range r.tracker.Nodes() {
		if node.Live() {
			n++
		}
	}
	return max(n, 1)
}

// peers are the nodes to ask for what the store doesn't tell, those of other
// data centres in between: they may reach it where the own one doesn't.
func (r *relay) peers() []string {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Live() && n.Address != r.cfg.Settings.Address {
			live = append(live, n.Address)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live
}

// starting tells whether this node may not know the others yet.
func (r *relay) starting() bool {
	return r.clock.Now().Sub(r.started) < acquaintance
}

// reads tells whether this node reads the store for the others of its data
// centre.
func (r *relay) reads() bool {
	first := r.readersOf(r.cfg.Settings.Centre)
	return len(first) == 0 || first[0] == r.cfg.Settings.Address
}

// readers are the nodes that read the store, that of the own data centre first.
func (r *relay) readers() []string {
	own := r.cfg.Settings.Centre
	readers := r.readersOf(own)
	var centres []string
	for _, n := range r.tracker.Nodes() {
		if n.Centre != own && n.Centre != "" && !slices.Contains(centres, n.Centre) {
			centres = append(centres, n.Centre)
		}
	}
	for _, centre := range ranker.Of(r.cfg.Settings.Address).Top(centres, otherReaders) {
		readers = append(readers, r.readersOf(centre)...)
	}
	return readers
}

// readersOf is the node of a data centre that reads the store for the others.
func (r *relay) readersOf(centre string) []string {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Centre == centre && n.Live() && !n.Suspect {
			live = append(live, n.Address)
		}
	}
	return ranker.Of("reader").Top(live, 1)
}

// near is how many of them are in this node's data centre.
func (r *relay) near() int {
	n := 0
	for _, node := range r.tracker.Nodes() {
		if node.Live() && node.Centre == r.cfg.Settings.Centre {
			n++
		}
	}
	return max(n, 1)
}

// few tells whether the nodes are few enough to hear of each other over links.
func (r *relay) few() bool { return r.nodes() <= fewNodes }

// alive tells whether a process is alive as far as this node knows.
func (r *relay) alive(address, incarnation string) bool {
	for _, n := range r.tracker.Nodes() {
		if n.Address == address {
			return n.Live() && !n.Suspect && n.Incarnation == incarnation
		}
	}
	return false
}

// leadElsewhere asks other nodes who leads, one after the other.
func (r *relay) leadElsewhere(ctx context.Context) ([]byte, error) {
	var err error = trace.NotFound("no other node is known")
	peers := r.peers()
	for _, address := range peers[:min(len(peers), leadPeers)] {
		asked, cancel := context.WithTimeout(ctx, leadTimeout)
		data, failed := r.linker.Ask(asked, address, linker.Lead, nil)
		cancel()
		if failed == nil {
			return data, nil
		}
		err = failed
	}
	return nil, err
}

// next tells whether this node follows a holder of the lead that has ended.
func (r *relay) next() bool {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Live() && !n.Suspect {
			live = append(live, n.Address)
		}
	}
	first := ranker.Of("lead").Top(live, 1)
	return slices.Contains(first, r.cfg.Settings.Address)
}
