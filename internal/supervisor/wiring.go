package supervisor

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/loader"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/addresser"
	"banyanquay/internal/supervisor/administrator"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
	"banyanquay/internal/supervisor/dispatcher/runner"
	"banyanquay/internal/supervisor/follower"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/listener"
	"banyanquay/internal/supervisor/tracker"
	"banyanquay/internal/supervisor/watcher"
)

// maxAddresses is the maximum number of node addresses that a caller receives.
const maxAddresses = 3

// maxBatch is the maximum number of ledger entries in one append.
const maxBatch = 512

// answersDivisor is the part of the memory limit that the recorded answers of the ledger may use,
// as its inverse.
const answersDivisor = 16

func newPlatform(s loader.Settings, b bounder.Budget) (provider.Log, provider.List) {
	c := provider.New(provider.Config{URL: s.Platform, Budget: b})
	return c.Log(), c.List()
}

func newEngine(b bounder.Budget) driver.Engine {
	return driver.NewEngine(driver.EngineConfig{Budget: b})
}

func newService(s loader.Settings, b bounder.Budget) driver.Service {
	return driver.NewService(driver.ServiceConfig{ProbeTimeout: s.Flow.ProofTimeout.Duration, Budget: b})
}

// nodeLister gives parts that are created before the tracker access to its live
// nodes. live is set once, before any step runs.
type nodeLister struct {
	live func() []string
}

func newNodeLister() *nodeLister {
	return &nodeLister{live: func() []string { return nil }}
}

func newFollower(s loader.Settings, o *nodeLister, log provider.Log, r *recorder.Recorder, c *counter.Set) *follower.Follower {
	return follower.New(follower.Config{
		Log:           log,
		Recorder:      r,
		Counters:      c,
		Now:           time.Now,
		NewID:         uuid.NewString,
		Node:          s.Address,
		Nodes:         func() []string { return o.live() },
		SnapshotEvery: s.Configuration.SnapshotEvery.Duration,
	})
}

func newLinker(s loader.Settings, id identity, b bounder.Budget, r *recorder.Recorder, c *counter.Set) *linker.Linker {
	return linker.New(linker.Config{
		Address:     s.Address,
		Incarnation: id.incarnation,
		Secret:      s.FleetSecret,
		Memory:      b.Control,
		Recorder:    r,
		Counters:    c,
	})
}

func newTracker(s loader.Settings, id identity, o *nodeLister, a admitters, list provider.List, links *linker.Linker, f *follower.Follower, sd fx.Shutdowner, r *recorder.Recorder, c *counter.Set) *tracker.Tracker {
	t := tracker.New(tracker.Config{
		Address:     s.Address,
		Centre:      s.Centre,
		Incarnation: id.incarnation,
		List:        list,
		Links:       links,
		Applied:     func() uint64 { return uint64(f.View().Applied()) },
		Load:        a.chats.Running,
		Drain:       func() { _ = sd.Shutdown() },
		Recorder:    r,
		Counters:    c,
	})
	o.live = t.Live
	return t
}

func newWatcher(s loader.Settings, t *tracker.Tracker, links *linker.Linker, e driver.Engine, r *recorder.Recorder, c *counter.Set) *watcher.Watcher {
	return watcher.New(watcher.Config{
		Address:  s.Address,
		Centre:   s.Centre,
		Tracker:  t,
		Links:    links,
		Engine:   e,
		Recorder: r,
		Counters: c,
	})
}

func newClaimer(s loader.Settings, id identity, t *tracker.Tracker, k *linker.Linker, log provider.Log, r *recorder.Recorder, n *counter.Set) *claimer.Claimer {
	c := claimer.New(claimer.Config{
		Log:         log,
		Recorder:    r,
		Counters:    n,
		Node:        s.Address,
		Incarnation: id.incarnation,
		Partitions:  s.Ledger.Partitions,
		Linger:      s.Ledger.Linger.Duration,
		MaxBatch:    maxBatch,
		Wait:        s.Ledger.Wait.Duration,
		Horizon:     s.Ledger.Horizon.Duration,
		AnswerBytes: s.Limits.MemoryMB << 20 / answersDivisor,
		HasEnded: func(node, incarnation string) bool {
			return processEnded(t.Nodes(), node, incarnation)
		},
		Homes: homes(s, t),
		Query: queryHome(k),
	})
	k.Handle(linker.Ledger, c.HandleQuery)
	return c
}

func newLimiter() *limiter.Limiter {
	return limiter.New(limiter.Config{})
}

func newRetrier(c *counter.Set) *retrier.Retrier {
	return retrier.New(retrier.Config{Retries: c.Retries})
}

// admitters holds the admission queues of chat requests and of calls to plain
// services.
type admitters struct {
	chats *admitter.Admitter
	calls *admitter.Admitter
}

func newAdmitters(s loader.Settings) admitters {
	cfg := admitter.Config{Capacity: s.Limits.Running, MaxWait: s.Limits.Queue.Duration}
	return admitters{chats: admitter.New(cfg), calls: admitter.New(cfg)}
}

func newPlanner(s loader.Settings, id identity) *planner.Planner {
	policy, _ := planner.ParsePolicy(s.Flow.Policy)
	return planner.New(planner.Config{Policy: policy, Seed: xxhash.Sum64String(id.incarnation)})
}

func newPipelines(s loader.Settings, b bounder.Budget, e driver.Engine, p *planner.Planner, l *limiter.Limiter, w *watcher.Watcher, t *retrier.Retrier, r *recorder.Recorder, c *counter.Set) *runner.Runner {
	flights := runner.NewInFlight()
	load := func(address string) planner.Load { return endpointLoad(l, flights, address) }
	return runner.New(runner.Config{
		Engine: e,
		Plan: func(req planner.Request) (planner.Plan, error) {
			return p.Choose(req, w.Endpoints().All(), load)
		},
		Replace: func(req planner.Request, plan planner.Plan, lost int) (planner.Plan, error) {
			return p.Replace(req, plan, lost, w.Endpoints().All(), load)
		},
		Begin:        func(address string) func(time.Duration, error) { return beginStep(l, flights, address) },
		Observe:      l.Observe,
		Failed:       w.ReportFailed,
		Leaving:      w.ReportLeaving,
		Retry:        t.Retry,
		Succeeded:    t.Succeeded,
		StepTimeout:  s.Flow.StepTimeout.Duration,
		FillTimeout:  s.Flow.FillTimeout.Duration,
		Replacements: s.Flow.Replacements,
		Stages:       c.Stages,
		Budget:       b,
		Recorder:     r,
	})
}

func newDispatcher(s loader.Settings, a admitters, c *claimer.Claimer, p *runner.Runner, v driver.Service, w *watcher.Watcher, k *tracker.Tracker, t *retrier.Retrier, g *listener.Gate, r *recorder.Recorder, n *counter.Set) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Config{
		Admit:     a.chats.Acquire,
		AdmitCall: a.calls.Acquire,
		Ledger:    c,
		Pipelines: p,
		Services:  v,
		ServiceAddresses: func(organisation, service string) []string {
			return serviceAddresses(w.Endpoints().All(), organisation, service)
		},
		Failed:       w.ReportFailed,
		Retry:        t.Retry,
		Succeeded:    t.Succeeded,
		CallTimeout:  s.Flow.CallTimeout.Duration,
		UntilStopped: g.Context,
		InTime: func(ctx context.Context, organisation string, longest time.Duration) bool {
			return g.InTime(ctx, longest) || len(addresser.Choose(k.Nodes(), organisation, s.Centre, 1)) == 0
		},
		WhileInTime: g.WhileInTime,
		Recorder:    r,
		Counters:    n,
	})
}

func newAdministrator(s loader.Settings, b bounder.Budget, f *follower.Follower, t *tracker.Tracker, w *watcher.Watcher, c *counter.Set) *administrator.Administrator {
	operators := make([]administrator.Operator, 0, len(s.Operators))
	for _, o := range s.Operators {
		operators = append(operators, administrator.Operator(o))
	}
	return administrator.New(administrator.Config{
		View:      f.View,
		Publish:   f.Publish,
		Restore:   f.Restore,
		Operators: operators,
		Budget:    b,
		Counters:  c,
		Nodes:     func() []administrator.NodeView { return nodeViews(t.Nodes()) },
		Endpoints: func() []driver.Endpoint { return w.Endpoints().All() },
		Drain:     t.RequestDrain,
		Bound: func() administrator.ThroughputBound {
			return throughputBounds(f.View(), w.Endpoints().All())
		},
	})
}

func newListener(s loader.Settings, b bounder.Budget, f *follower.Follower, t *tracker.Tracker, w *watcher.Watcher, c *claimer.Claimer, d *dispatcher.Dispatcher, a *administrator.Administrator, k *linker.Linker, g *listener.Gate, r *recorder.Recorder, n *counter.Set) *listener.Listener {
	return listener.New(listener.Config{
		Address: s.Address,
		Limits:  s.Limits,
		Budget:  b,
		Stop:    s.Stop,
		Centre:  s.Centre,
		ByKeyHash: func(hash string) (describer.Organisation, bool) {
			return f.View().ByKeyHash(hash)
		},
		Ready: func() string { return notReadyReason(f, w) },
		Addresses: func(organisation string) []string {
			return addresser.Choose(t.Nodes(), organisation, s.Centre, maxAddresses)
		},
		Lookup:     c.Lookup,
		Chat:       d.Chat,
		Call:       d.Call,
		RefuseChat: d.RefuseChat,
		RefuseCall: d.RefuseCall,
		Mounts: []func(*mux.Router){
			a.Routes,
			func(m *mux.Router) { m.Handle("/debug/vars", a.Protect(expvar.Handler())).Methods(http.MethodGet) },
			func(m *mux.Router) { m.Handle("/v1/link", k.Handler()).Methods(http.MethodGet) },
		},
		Gate:     g,
		Recorder: r,
		Counters: n,
	})
}
