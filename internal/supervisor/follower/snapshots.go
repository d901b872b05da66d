package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/provider"
	"banyanquay/internal/ranker"
	"banyanquay/internal/recorder"
)

// Timing of the snapshots.
const (
	// snapshotCheckInterval is the mean time between two checks whether a snapshot
	// is due.
	snapshotCheckInterval = time.Second
	// urgentRankDelay is the additional delay for each rank while a starting node
	// can't find any snapshot to load. It is also the minimum time between two
	// attempts of a node then.
	urgentRankDelay = 2 * time.Second
	// ranksPerInterval is the number of ranks that share one SnapshotEvery of
	// additional delay while the newest snapshot can still be loaded: each rank
	// waits SnapshotEvery/ranksPerInterval longer than the one before.
	ranksPerInterval = 8
	// maxRank is the highest rank that counts for the additional delay.
	maxRank = ranksPerInterval
)

// snapshotInputs holds the facts that decide whether a node appends a snapshot.
type snapshotInputs struct {
	// caughtUp is set if the state is complete and at the end of the stream.
	caughtUp bool
	// next is the offset that the state has reached. At 0 there is nothing to write
	// into a snapshot.
	next provider.Offset
	// first is the oldest retained offset, and snapshotAsOf the AsOf of the newest
	// snapshot. A starting node can load that snapshot as long as first is not
	// larger.
	first        provider.Offset
	snapshotAsOf provider.Offset
	// age is the time since the newest snapshot, or since the first record if there
	// was none.
	age time.Duration
	// sinceAttempt is the time since this node's own last attempt to append a
	// snapshot.
	sinceAttempt time.Duration
	// uncovered is the time since first became larger than snapshotAsOf, if it is.
	uncovered time.Duration
	// rank is the node's position among the live nodes for this snapshot.
	rank int
	// interval is the time between two snapshots.
	interval time.Duration
}

// due reports whether this node should append a snapshot. Nodes of lower rank go
// first; the others follow if no snapshot appears.
func (s snapshotInputs) due() bool {
	rank := time.Duration(min(s.rank, maxRank))
	switch {
	case !s.caughtUp || s.next == 0:
		return false
	case s.first > s.snapshotAsOf:
		return s.uncovered >= rank*urgentRankDelay && s.sinceAttempt >= urgentRankDelay
	default:
		return s.age >= s.interval+rank*s.interval/ranksPerInterval && s.sinceAttempt >= s.interval/2
	}
}

// rank returns a node's position in the rendezvous order of a snapshot. Nodes with
// different lists of live nodes may get the same rank, which costs a redundant
// snapshot.
func rank(node string, nodes []string, asOf provider.Offset) int {
	order := ranker.Of(strconv.FormatUint(uint64(asOf), 10))
	place := 0
	for _, other := range nodes {
		if order.Before(other, node) {
			place++
		}
	}
	return place
}

// publishSnapshots appends snapshots when they are due, until ctx ends.
func (f *Follower) publishSnapshots(ctx context.Context) error {
	var lastAttempt, uncoveredSince time.Time
	for ctx.Err() == nil {
		v, now := f.View(), f.cfg.Now()
		switch {
		case v.firstRetained <= v.snapshotAsOf():
			uncoveredSince = time.Time{}
		case uncoveredSince.IsZero():
			uncoveredSince = now
		}
		if f.snapshotInputs(v, now, lastAttempt, uncoveredSince).due() {
			lastAttempt = now
			if err := f.appendSnapshot(ctx, v); err != nil && ctx.Err() == nil {
				f.cfg.Counters.Retries.Add("config_snapshot", 1)
				f.cfg.Recorder.Warn(recorder.ConfigUnreachable, zap.Error(err))
			}
		}
		sleep(ctx, snapshotCheckInterval/2+rand.N(snapshotCheckInterval))
	}
	return nil
}

// snapshotInputs collects the facts that decide whether a snapshot is due.
func (f *Follower) snapshotInputs(v View, now, lastAttempt, uncoveredSince time.Time) snapshotInputs {
	asOf, at := v.state.NewestSnapshot()
	if at == 0 {
		at = v.state.FirstRecordAt()
	}
	age := now.Sub(time.UnixMilli(at))
	if !v.snapshotSeenAt.IsZero() {
		age = max(age, now.Sub(v.snapshotSeenAt))
	}
	nodes := f.cfg.Nodes()
	if !slices.Contains(nodes, f.cfg.Node) {
		nodes = append(slices.Clone(nodes), f.cfg.Node)
	}
	return snapshotInputs{
		caughtUp: v.CaughtUp() && !f.readsFailing.Load(),
		next:     v.Applied(),
		first:    v.firstRetained, snapshotAsOf: asOf,
		age: age, sinceAttempt: now.Sub(lastAttempt), uncovered: now.Sub(uncoveredSince),
		rank:     rank(f.cfg.Node, nodes, asOf),
		interval: f.cfg.SnapshotEvery,
	}
}

// appendSnapshot appends the parts of a view's state. It fails at the first part
// that can't be appended; the next attempt appends a snapshot with a new identifier.
func (f *Follower) appendSnapshot(ctx context.Context, v View) error {
	parts := v.state.Snapshot(f.cfg.NewID())
	for i, part := range parts {
		data, err := part.Encode()
		if err != nil {
			return trace.Wrap(err)
		}
		if _, err := f.cfg.Log.Append(ctx, Stream, data); err != nil {
			return trace.Wrap(err, "appending part %d of %d of a snapshot", i+1, len(parts))
		}
	}
	f.cfg.Counters.Config.Add("snapshot_appended", 1)
	f.cfg.Recorder.Info(recorder.ConfigSnapshot,
		zap.Uint64("as_of", uint64(v.Applied())), zap.Int("parts", len(parts)))
	return nil
}
