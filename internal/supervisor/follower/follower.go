// Package follower keeps a node's configuration equal to the fold of the
// configuration stream, publishes changes, and appends snapshots of the state, so
// that it outlives the log's retention.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/follower/reducer"
)

// Stream is the name of the configuration stream.
const Stream = "config"

// Timeouts and delays of reads, publishes and snapshots.
const (
	longPollTimeout         = 5 * time.Second
	minRetryDelay           = 100 * time.Millisecond
	maxRetryDelay           = 2 * time.Second
	defaultSnapshotInterval = time.Hour
	publishTimeout          = 15 * time.Second
	publishRetryDelay       = 500 * time.Millisecond
	probeTimeout            = 7 * time.Second
	defaultNode             = "node"
	fullJitter              = 1.0
)

// Config holds the dependencies and settings of a follower.
type Config struct {
	Log      provider.Log
	Recorder *recorder.Recorder
	Counters *counter.Set
	// Now returns the current time.
	Now func() time.Time
	// NewID returns a new unique identifier.
	NewID func() string
	// Node is this node's own name in Nodes.
	Node string
	// Nodes returns the live nodes. One of them is chosen to append each snapshot.
	// Duplicate snapshots due to a wrong list are harmless.
	Nodes func() []string
	// SnapshotEvery is the time between two snapshots. It must be well below the
	// log's retention.
	SnapshotEvery time.Duration
}

// Follower reads the configuration stream and publishes changes to it.
type Follower struct {
	cfg  Config
	view atomic.Pointer[View]
	// readsFailing is set while reads of the stream fail.
	readsFailing atomic.Bool
	// mu guards viewChanged, which is closed and replaced when a new view is stored.
	mu          sync.Mutex
	viewChanged chan struct{}
}

// New returns a follower that has read nothing.
func New(cfg Config) *Follower {
	if cfg.SnapshotEvery <= 0 {
		cfg.SnapshotEvery = defaultSnapshotInterval
	}
	if cfg.Node == "" {
		cfg.Node = defaultNode
	}
	if cfg.Nodes == nil {
		cfg.Nodes = func() []string { return []string{cfg.Node} }
	}
	f := &Follower{cfg: cfg, viewChanged: make(chan struct{})}
	f.view.Store(&View{})
	return f
}

// View returns the configuration that the node serves now.
func (f *Follower) View() View { return *f.view.Load() }

// Ready reports whether the node has ever read the whole configuration. It stays true
// through outages: serving an old configuration is better than serving none.
func (f *Follower) Ready() bool { return f.View().ready }

// Step returns the group that reads the stream and appends snapshots.
func (f *Follower) Step() grouper.Step {
	return grouper.Group("follower",
		grouper.Step{Name: "reader", Run: f.readLoop},
		grouper.Step{Name: "carrier", Run: f.publishSnapshots},
	)
}

// readLoop reads the stream until ctx ends.
func (f *Follower) readLoop(ctx context.Context) error {
	retry := newRetry()
	for ctx.Err() == nil {
		err := f.read(ctx)
		if err == nil {
			if f.readsFailing.Swap(false) {
				f.cfg.Recorder.Info(recorder.ConfigReachable, zap.Uint64("applied", uint64(f.View().Applied())))
			}
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if !f.readsFailing.Swap(true) {
			f.cfg.Recorder.Warn(recorder.ConfigUnreachable, zap.Error(err))
		}
		f.cfg.Counters.Retries.Add("config_read", 1)
		sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// newRetry returns a backoff with full jitter, so that the nodes of a fleet don't
// all return to the log within the same second.
func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	b.RandomizationFactor = fullJitter
	return b
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read requests one page of the stream and folds it into the view.
func (f *Follower) read(ctx context.Context) error {
	requestedAt := f.cfg.Now()
	old := f.View()
	page, err := f.cfg.Log.Read(ctx, Stream, old.state.Next(), f.pollTimeout(old))
	if err != nil {
		return trace.Wrap(err, "reading the configuration stream from offset %d", old.state.Next())
	}
	if page.Next < old.state.Next() {
		return trace.CompareFailed("the stream ends at offset %d, but was read up to %d before", page.Next, old.state.Next())
	}
	state, events := old.state.Fold(page)
	f.report(events)
	if state.Next() == old.state.Next() && state.Next() < page.Next {
		return trace.CompareFailed("the stream has a hole at offset %d", state.Next())
	}
	view := old
	view.state = state
	view.firstRetained = page.First
	if asOf, _ := state.NewestSnapshot(); len(events) > 0 && asOf != old.snapshotAsOf() {
		view.snapshotSeenAt = f.cfg.Now()
	}
	if len(events) > 0 || state.Complete() != old.state.Complete() {
		view = view.withOrganisations()
	}
	view.atEnd = state.Next() >= page.Next
	if view.atEnd {
		view.readAt = requestedAt
	}
	if !view.ready && view.CaughtUp() {
		view.ready = true
		f.cfg.Recorder.Info(recorder.NodeReady)
	}
	f.setView(view)
	return nil
}

// pollTimeout returns how long a read may wait for a new record. Reads don't wait
// before the end of the stream has been reached once, nor after a failed read, so
// that the end of an outage is noticed at once.
func (f *Follower) pollTimeout(v View) time.Duration {
	if v.readAt.IsZero() || f.readsFailing.Load() {
		return 0
	}
	return longPollTimeout
}

// setView makes a view the current one and wakes the goroutines that wait for it.
func (f *Follower) setView(v View) {
	f.view.Store(&v)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.viewChanged)
	f.viewChanged = make(chan struct{})
}

// nextView returns a channel that is closed when the next view is stored.
func (f *Follower) nextView() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewChanged
}

// report counts and logs the events of folded records.
func (f *Follower) report(events []reducer.Event) {
	for _, e := range events {
		f.cfg.Counters.Config.Add(e.Verdict.String(), 1)
		offset := zap.Uint64("offset", uint64(e.Offset))
		organisation := zap.String("organisation", e.Receipt.Organisation)
		revision := zap.Uint64("revision", uint64(e.Receipt.Revision))
		switch e.Verdict {
		case reducer.Accepted:
			f.cfg.Recorder.Info(recorder.ConfigApplied, offset, organisation, revision)
		case reducer.Conflict, reducer.Expired, reducer.KeyTaken:
			f.cfg.Recorder.Info(recorder.ConfigRejected, offset, organisation, revision, zap.Stringer("verdict", e.Verdict))
		case reducer.Invalid:
			f.cfg.Recorder.Warn(recorder.ConfigBadRecord, offset, zap.Error(e.Err))
		case reducer.Gap:
			f.cfg.Recorder.Error(recorder.ConfigGap, offset)
		case reducer.Restored:
			f.cfg.Recorder.Warn(recorder.ConfigRestored, offset)
		case reducer.Duplicate, reducer.Pending, reducer.SnapshotLoaded, reducer.Ignored, reducer.SnapshotStaged:
		}
	}
}
