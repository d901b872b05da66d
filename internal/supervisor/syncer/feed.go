package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

// outage logs the loss and the return of the store for one topic, and computes the
// delays between failed calls.
type outage struct {
	recorder *recorder.Recorder
	name     string
	now      func() time.Time
	failures int
	// since is when the first of the current run of failures occurred, readAt when the last read that
	// succeeded was sent, and returned when the last run ended in which the store may have dropped entries.
	since    time.Time
	readAt   time.Time
	returned time.Time
	// lost is that of the feed.
	lost func()
}

// failed records a failed call and returns the delay before the next one. reader
// reports whether this node reads the store for others.
func (o *outage) failed(err error, reader bool) time.Duration {
	if o.failures == 0 {
		o.since = o.now()
		if o.lost != nil {
			o.lost()
		}
		o.recorder.Warn(recorder.StoreUnreachable, zap.String("what", o.name), zap.Error(err))
	}
	o.failures++
	minDelay, maxDelay := nonReaderMinBackoff, nonReaderMaxBackoff
	if reader {
		minDelay, maxDelay = minBackoff, maxBackoff
	}
	delay := min(minDelay<<min(o.failures, 10), maxDelay)
	return delay/2 + rand.N(delay/2+1)
}

// minLapseOutage is the least time between two reads in which entries may have lapsed with the store: endpoints register
// this often, and more than one of these must be missing.
const minLapseOutage = 1200 * time.Millisecond

// succeeded records a call that succeeded and was sent at sentAt, and reports whether it ends a run of failures.
func (o *outage) succeeded(sentAt time.Time) bool {
	before := o.readAt
	o.readAt = sentAt
	if o.failures == 0 {
		return false
	}
	now := o.now()
	if now.Sub(before) >= minLapseOutage {
		o.returned = now
	}
	o.recorder.Info(recorder.StoreReachable, zap.String("what", o.name),
		zap.Int("failures", o.failures), zap.Duration("away", now.Sub(o.since)))
	o.failures = 0
	return true
}

// feed is a topic that this node follows.
type feed struct {
	name  string
	topic string
	// wait is how long a read waits for a record, and interval the pause between two
	// reads.
	wait     time.Duration
	interval time.Duration
	// due reports whether this node reads the topic now.
	due func() bool
	// relayed is set if the topic is read by way of other nodes while this one's calls fail.
	relayed bool
	// apply merges the records of a read.
	apply func(r reading)
	// lost, if set, is called when calls begin to fail, and readable, if set, after each that succeeds and while
	// this node makes none.
	lost     func()
	readable func()
}

// pause returns the time until the next read. A read by way of another node hasn't waited for records.
func (f feed) pause(read readResult) time.Duration {
	if read.relayed {
		return max(f.interval, f.wait)
	}
	return f.interval
}

// noteReadable says that no call fails.
func (f feed) noteReadable() {
	if f.readable != nil {
		f.readable()
	}
}

// reading is the result of a read of a topic.
type reading struct {
	items provider.Items
	// full is set if the items are the newest record of each key, and not the records
	// since the last read; restored if the store has come back from an older copy since.
	full     bool
	restored bool
	sentAt   time.Time
	// keepUntil is the time until which entries that vanish are kept.
	keepUntil time.Time
}

// era is the era of the store that a node knew while it didn't read it.
type era struct {
	current func() uint64
	now     func() time.Time
	// seen is valid if known is set, and roseAt is when it last rose; zero if it never did.
	seen   uint64
	known  bool
	roseAt time.Time
}

// observe notes the era that is known now.
func (e *era) observe() {
	if current := e.current(); !e.known || current != e.seen {
		e.rose(current)
	}
}

// rose takes the era of a read, and reports whether the store came back from an older copy since the last
// one, or so recently that what was written since the copy may not have been written again.
func (e *era) rose(read uint64) bool {
	if e.known && read != e.seen {
		e.roseAt = e.now()
	}
	e.seen, e.known = read, true
	return !e.roseAt.IsZero() && e.now().Sub(e.roseAt) < lapseGracePeriod
}

// follow reads a topic until ctx ends: first the newest record of each key, then the
// records that come after them.
func (s *Syncer) follow(ctx context.Context, f feed) error {
	o := outage{recorder: s.cfg.Recorder, name: f.name, now: s.cfg.Now, lost: f.lost}
	initialised, restored := false, false
	var from provider.Offset
	known := era{current: s.cfg.Topics.CurrentEra, now: s.cfg.Now}
	for ctx.Err() == nil {
		if !f.due() {
			initialised = false
			known.observe()
			f.noteReadable()
			grouper.Sleep(ctx, roleCheckInterval)
			continue
		}
		read := s.read(ctx, f, initialised, from)
		items, err := read.items, read.err
		switch {
		case errors.Is(err, provider.ErrRestored):
			// What was written since the copy is written again, as after an outage.
			initialised, restored, o.returned = false, true, s.cfg.Now()
			s.cfg.Recorder.Warn(recorder.StoreRestored, zap.String("what", f.name),
				zap.Uint64("era", s.cfg.Topics.CurrentEra()), zap.Uint64("before", from.Era()))
			continue
		case errors.Is(err, provider.ErrCompacted):
			initialised = false
			continue
		case err != nil && ctx.Err() == nil:
			grouper.Sleep(ctx, o.failed(err, s.cfg.IsReader()))
			continue
		case err != nil:
			return nil
		}
		f.noteReadable()
		if !initialised && known.rose(items.End.Era()) {
			restored, o.returned = true, s.cfg.Now()
		}
		if returned := o.succeeded(read.sentAt); returned && items.More {
			// Endpoints that were removed meanwhile would be listed again until the page with
			// their removal is read.
			initialised = false
			continue
		}
		r := reading{items: items, full: !initialised, restored: restored, sentAt: read.sentAt, keepUntil: o.returned.Add(lapseGracePeriod)}
		if !s.cfg.Recorder.Guard(f.name, func() { f.apply(r) }) {
			initialised = false
			grouper.Sleep(ctx, maxBackoff)
			continue
		}
		initialised, restored, from = true, false, items.End
		if !items.More {
			grouper.Sleep(ctx, f.pause(read))
		}
	}
	return nil
}

// read returns the newest record of each key, or waits for records after from.
func (s *Syncer) read(ctx context.Context, f feed, initialised bool, from provider.Offset) readResult {
	if initialised && f.relayed {
		return s.readFrom(ctx, f, from)
	}
	sentAt := s.cfg.Now()
	if !initialised {
		items, err := s.cfg.Topics.Newest(ctx, f.topic)
		return readResult{items: items, sentAt: sentAt, err: err}
	}
	items, err := s.cfg.Topics.Follow(ctx, f.topic, from, f.wait)
	return readResult{items: items, sentAt: sentAt, err: err}
}
