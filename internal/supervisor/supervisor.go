// Package supervisor assembles the daemon from its parts, runs them as a tree of
// steps, and takes a node out of service in order when it stops.
package supervisor

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/follower"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/listener"
	"banyanquay/internal/supervisor/tracker"
	"banyanquay/internal/supervisor/watcher"
)

// stopMargin is how much longer than the node's own stop deadline fx waits for a
// stop.
const stopMargin = 10 * time.Second

// expiryTimeout is how long a stop waits, from its deadline on, until the requests in progress
// have been told that their time is up. With the time in which the servers close it is less than
// killMargin.
const expiryTimeout = 200 * time.Millisecond

// admissionShare is the share of a stop in which requests are admitted at most. It is the 3 s of
// 8 s within which the end of the stop may cut off a request that was sent then.
const admissionShare = 3.0 / 8

// admissionPeriod is how long a stopping node admits requests.
func admissionPeriod(s loader.Stop) time.Duration {
	return min(s.AddressTTL.Duration, time.Duration(admissionShare*float64(s.Deadline.Duration)))
}

// Config holds the settings and dependencies of a daemon.
type Config struct {
	Settings loader.Settings
	Logger   *zap.Logger
	Counters *counter.Set
}

// identity identifies this process.
type identity struct {
	// incarnation differs between two processes at the same address.
	incarnation string
}

// New assembles a daemon without starting it.
func New(cfg Config) *fx.App {
	budget := newBudget(cfg)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.Settings.Stop.Deadline.Duration+stopMargin),
		fx.Supply(cfg.Settings, cfg.Counters, budget, identity{incarnation: uuid.NewString()}),
		fx.Provide(
			func() *recorder.Recorder { return recorder.New(cfg.Logger) },
			newNodeLister,
			newPlatform,
			newEngine,
			newService,
			newFollower,
			newLinker,
			newTracker,
			newWatcher,
			newClaimer,
			newLimiter,
			newRetrier,
			newAdmitters,
			newSizer,
			newForgetter,
			newPlanner,
			newPlacement,
			newPipelines,
			newDispatcher,
			newAdministrator,
			listener.NewGate,
			newListener,
			newRoot,
		),
		fx.Invoke(supervise),
	)
}

// newBudget limits the memory of the process, and returns the budget for what other parties send.
func newBudget(cfg Config) bounder.Budget {
	memory := int64(cfg.Settings.Limits.MemoryMB) << 20
	debug.SetMemoryLimit(int64(softMemoryRatio * float64(memory)))
	return bounder.NewBudget(memory, cfg.Counters.Memory)
}

// root provides the tree of all steps to fx. Its context is cancelled only after the
// work in progress has ended or the stop deadline has passed; see leave.
type root struct {
	fx.Out

	Root grouper.Step `name:"root"`
}

// newRoot returns the tree of the node's steps.
func newRoot(
	l *listener.Listener,
	c *claimer.Claimer,
	f *follower.Follower,
	k *linker.Linker,
	t *tracker.Tracker,
	w *watcher.Watcher,
	z sizer,
	g forgetter,
	p placement,
) root {
	return root{Root: grouper.Group(
		"node",
		grouper.Group("edge", l.Step()),
		grouper.Group("flow", z.step(), g.step()),
		grouper.Group("ledger", c.Step()),
		grouper.Group("configuration", f.Step()),
		grouper.Group("members", k.Step(), t.Step(), w.Step()),
		grouper.Group("placement", p.steps...),
	)}
}

// treeRun is the running tree, from fx's start to its stop.
type treeRun struct {
	cancel context.CancelFunc
	// result receives the error of the tree exactly once.
	result chan error
}

// superviseParams holds the dependencies of supervise.
type superviseParams struct {
	fx.In

	Root       grouper.Step `name:"root"`
	Settings   loader.Settings
	Identity   identity
	Recorder   *recorder.Recorder
	Gate       *listener.Gate
	Tracker    *tracker.Tracker
	Lifecycle  fx.Lifecycle
	Shutdowner fx.Shutdowner
}

// supervise starts the tree when fx starts. When fx stops, it takes the node out of
// service before it stops the tree.
func supervise(s superviseParams) {
	tree := treeRun{result: make(chan error, 1)}
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ctx, cancel := context.WithCancel(context.Background())
			tree.cancel = cancel
			s.Recorder.Info(recorder.NodeStarted,
				zap.String("address", s.Settings.Address),
				zap.String("incarnation", s.Identity.incarnation))
			go s.run(ctx, tree)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			s.leave(ctx)
			tree.cancel()
			err := <-tree.result
			s.Recorder.Info(recorder.NodeStopped, zap.String("address", s.Settings.Address))
			return err
		},
	})
}

// run runs the tree. If the tree ends on its own, run shuts the daemon down with
// exit code 1.
func (s superviseParams) run(ctx context.Context, tree treeRun) {
	err := s.Root.Run(ctx)
	if err != nil {
		s.Recorder.Error(recorder.StepFailed, zap.Error(err))
	}
	tree.result <- err
	if ctx.Err() == nil {
		_ = s.Shutdowner.Shutdown(fx.ExitCode(1))
	}
}

// leave takes the node out of service. Callers that have cached its address are
// served for admissionPeriod; then new work is refused and the work in progress is
// finished, within the stop deadline. What isn't by then is told so.
func (s superviseParams) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Stop.Deadline.Duration)
	defer cancel()
	s.Recorder.Info(recorder.NodeLeaving, zap.String("address", s.Settings.Address))
	deadline, _ := ctx.Deadline()
	s.Gate.StartLeaving(deadline)
	s.Tracker.Leave()
	select {
	case <-time.After(admissionPeriod(s.Settings.Stop)):
	case <-ctx.Done():
	}
	s.Gate.Close()
	if n := s.Gate.Wait(ctx); n > 0 {
		s.Recorder.Error(recorder.StopDeadlineExceeded, zap.Int("requests", n))
		s.Gate.Expire()
		answering, done := context.WithTimeout(context.WithoutCancel(ctx), expiryTimeout)
		defer done()
		s.Gate.Wait(answering)
	}
}
