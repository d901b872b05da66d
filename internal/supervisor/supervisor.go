// Package supervisor composes the daemon: every part, who supervises whom, and
// the order in which a node leaves.
package supervisor

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

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

// stopMargin is what the framework allows beyond the node's own deadline.
const stopMargin = 10 * time.Second

// Config is what a daemon needs.
type Config struct {
	Settings loader.Settings
	Logger   *zap.Logger
	Counters *counter.Set
}

// identity names this process.
type identity struct {
	// incarnation differs between two processes on the same address.
	incarnation string
}

// New composes a daemon that is not started yet.
func New(cfg Config) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(cfg.Settings.Stop.Deadline.Duration+stopMargin),
		fx.Supply(cfg.Settings, cfg.Counters, identity{incarnation: uuid.NewString()}),
		fx.Provide(
			func() *recorder.Recorder { return recorder.New(cfg.Logger) },
			newRoster,
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

// root is the tree of everything that runs, in two parts: services go on
// until the listener has finished its work.
type root struct {
	fx.Out

	Root grouper.Step `name:"root"`
}

// newRoot lists the steps of the node.
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

// running is the life of the tree after the framework's start.
type running struct {
	cancel context.CancelFunc
	// ended gets the tree's error once.
	ended chan error
}

// supervised is what supervise needs.
type supervised struct {
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

// supervise starts the tree with the framework and stops it in order.
func supervise(s supervised) {
	life := running{ended: make(chan error, 1)}
	s.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ctx, cancel := context.WithCancel(context.Background())
			life.cancel = cancel
			s.Recorder.Info(recorder.NodeStarted,
				zap.String("address", s.Settings.Address),
				zap.String("incarnation", s.Identity.incarnation))
			go s.run(ctx, life)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			s.leave(ctx)
			life.cancel()
			err := <-life.ended
			s.Recorder.Info(recorder.NodeStopped, zap.String("address", s.Settings.Address))
			return err
		},
	})
}

// run runs the tree; if it ends by itself the daemon stops.
func (s supervised) run(ctx context.Context, life running) {
	err := s.Root.Run(ctx)
	if err != nil {
		s.Recorder.Error(recorder.StepFailed, zap.Error(err))
	}
	life.ended <- err
	if ctx.Err() == nil {
		_ = s.Shutdowner.Shutdown(fx.ExitCode(1))
	}
}

// leave takes the node out of service: callers with a cached address are
// served until it has run out, then work in progress is finished.
func (s supervised) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Stop.Deadline.Duration)
	defer cancel()
	s.Recorder.Info(recorder.NodeLeaving, zap.String("address", s.Settings.Address))
	s.Gate.StartLeaving()
	s.Tracker.Leave()
	select {
	case <-time.After(s.Settings.Stop.AddressTTL.Duration):
	case <-ctx.Done():
	}
	s.Gate.Close()
	if n := s.Gate.Wait(ctx); n > 0 {
		s.Recorder.Error(recorder.StopDeadlineExceeded, zap.Int("requests", n))
	}
}
