// Package syncer keeps this node's view of what lies in the platform's store:
// the operator's configuration, with the age of its confirmation, and the
// table of endpoints.
package syncer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/mapper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder"
)

const (
	// confirmWait bounds the wait of a read of the configuration. Two waits and a
	// node that asks take half of the time in which a key that was taken away must
	// stop working; the other half is left to serve while the store is away.
	confirmWait = 600 * time.Millisecond
	// pollInterval is the time between two reads of the endpoints. With askInterval
	// and a node that doesn't answer it stays within the time in which a leaving
	// endpoint must get no more work.
	pollInterval = 600 * time.Millisecond
	// roleInterval is the time between two looks at whether this node reads.
	roleInterval = 200 * time.Millisecond
	// lapseTime is how long entries stay that the store dropped around its own
	// outage: living endpoints are back within two seconds of its return.
	lapseTime = 2300 * time.Millisecond
	// firstWait and lastWait bound the waits between failed calls of a node that
	// reads for others, and helperFirstWait and helperLastWait those of the rest,
	// which hear from it, or from any node, that the store answers again.
	firstWait       = 60 * time.Millisecond
	lastWait        = 700 * time.Millisecond
	helperFirstWait = 1500 * time.Millisecond
	helperLastWait  = 5 * time.Second
	// peersFirst is how much older its knowledge gets before a node that is
	// usually told reads the store itself: other nodes are asked meanwhile.
	peersFirst = 350 * time.Millisecond
)

// Config is what a syncer needs.
type Config struct {
	Topics provider.Topics
	// ConfigTopic and ConfigKey name the operator's configuration.
	ConfigTopic string
	ConfigKey   string
	// EndpointTopic holds one record of each endpoint.
	EndpointTopic string
	// Configuration and Entry decode records.
	Configuration func(data []byte) (*mapper.Configuration, error)
	Entry         func(id string, data []byte) (registrar.Entry, error)
	// Starting tells whether this node may not know the others yet. It reads each
	// topic once then.
	Starting func() bool
	// Reads tells whether this node reads the store for others. The others ask
	// the nodes that Readers returns, and any of Peers while those don't answer or
	// know nothing new; Ask asks one.
	Reads   func() bool
	Readers func() []string
	Peers   func() []string
	Ask     func(ctx context.Context, address string, question []byte) ([]byte, error)
	// Address is this node's. Report is what it tells the node that reads for it,
	// Reported answers such a report of another one, and Pooled takes the answer.
	Address  string
	Report   func() []byte
	Reported func(from string, report []byte) []byte
	Pooled   func(answer []byte)
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// Syncer follows the store.
type Syncer struct {
	cfg Config

	// mu guards changes of what follows; each is read without it.
	mu    sync.Mutex
	view  atomic.Pointer[forwarder.View]
	table atomic.Pointer[registrar.Table]
	// raw is the record of the configuration in force.
	raw atomic.Pointer[[]byte]
	// listed is as of when the table is known; nil before it has been read.
	listed atomic.Pointer[time.Time]

	// What follows is guarded by mu. history tells what changed in the table for
	// nodes that ask, and origins are up to where those that this node asked have told
	// it theirs, by address. reader is the node that reads for this one.
	history history
	origins map[string]origin
	reader  string
}

// New returns a syncer that knows nothing yet.
func New(cfg Config) *Syncer {
	s := &Syncer{cfg: cfg}
	s.view.Store(&forwarder.View{})
	s.table.Store(&registrar.Table{})
	s.raw.Store(&[]byte{})
	s.history = newHistory()
	s.origins = make(map[string]origin)
	return s
}

// View returns the configuration in force.
func (s *Syncer) View() forwarder.View { return *s.view.Load() }

// Table returns the endpoints.
func (s *Syncer) Table() *registrar.Table { return s.table.Load() }

// Ready tells whether both have been read.
func (s *Syncer) Ready() bool {
	return s.View().Configuration != nil && s.listed.Load() != nil
}

// Step follows the store until its context ends.
func (s *Syncer) Step() grouper.Step {
	return grouper.Group("store",
		grouper.Step{Name: "configuration", Run: s.followConfiguration},
		grouper.Step{Name: "endpoints", Run: s.followEndpoints},
		grouper.Step{Name: "peers", Run: s.followPeers},
	)
}

// outage records the loss and the return of a dependency, and paces the calls
// in between.
type outage struct {
	recorder *recorder.Recorder
	what     string
	now      func() time.Time
	failures int
	// since is when the first call of a row of failures failed, and returned
	// when the last row ended.
	since    time.Time
	returned time.Time
}

// failed takes in a failed call and returns how long to wait, as one that reads
// for others or not.
func (o *outage) failed(err error, reader bool) time.Duration {
	if o.failures == 0 {
		o.since = o.now()
		o.recorder.Warn(recorder.StoreUnreachable, zap.String("what", o.what), zap.Error(err))
	}
	o.failures++
	first, last := helperFirstWait, helperLastWait
	if reader {
		first, last = firstWait, lastWait
	}
	wait := min(first<<min(o.failures, 10), last)
	return wait/2 + rand.N(wait/2+1)
}

// succeeded takes in a call that worked.
func (o *outage) succeeded() {
	if o.failures == 0 {
		return
	}
	o.returned = o.now()
	o.recorder.Info(recorder.StoreReachable, zap.String("what", o.what),
		zap.Int("failures", o.failures), zap.Duration("away", o.returned.Sub(o.since)))
	o.failures = 0
}

// feed is a topic that this node follows.
type feed struct {
	what  string
	topic string
	// wait is how long a read waits for a record, and every the pause between two
	// reads.
	wait  time.Duration
	every time.Duration
	// known is as of when the topic is known, and limit the age from which on it is
	// read by nodes that are usually told.
	known func() time.Time
	limit time.Duration
	// apply takes in what was read: the newest records if whole is set, else those
	// since. Entries that vanish stay until keepUntil.
	apply func(items provider.Items, whole bool, asked, keepUntil time.Time)
}

// follow reads a topic until ctx ends: its newest records, and those that come
// after them.
func (s *Syncer) follow(ctx context.Context, f feed) error {
	o := outage{recorder: s.cfg.Recorder, what: f.what, now: s.cfg.Now}
	known := false
	var from provider.Offset
	for ctx.Err() == nil {
		if !s.reads(f.known(), f.limit) {
			known = false
			grouper.Sleep(ctx, roleInterval)
			continue
		}
		asked := s.cfg.Now()
		items, err := s.read(ctx, f, known, from)
		switch {
		case errors.Is(err, provider.ErrCompacted):
			known = false
			continue
		case err != nil && ctx.Err() == nil:
			grouper.Sleep(ctx, o.failed(err, s.cfg.Reads()))
			continue
		case err != nil:
			return nil
		}
		o.succeeded()
		f.apply(items, !known, asked, o.returned.Add(lapseTime))
		known, from = true, items.End
		if !items.More && f.every > 0 {
			grouper.Sleep(ctx, f.every)
		}
	}
	return nil
}

// read reads the newest records, or waits for some after them.
func (s *Syncer) read(ctx context.Context, f feed, known bool, from provider.Offset) (provider.Items, error) {
	if !known {
		return s.cfg.Topics.Newest(ctx, f.topic)
	}
	return s.cfg.Topics.Follow(ctx, f.topic, from, f.wait)
}

// followConfiguration keeps the view.
func (s *Syncer) followConfiguration(ctx context.Context) error {
	return s.follow(ctx, feed{
		what: "configuration", topic: s.cfg.ConfigTopic, wait: confirmWait,
		known: func() time.Time { return s.View().Confirmed }, limit: configurationAge,
		apply: func(items provider.Items, _ bool, asked, _ time.Time) { s.applyConfiguration(items, asked) },
	})
}

// followEndpoints keeps the table.
func (s *Syncer) followEndpoints(ctx context.Context) error {
	return s.follow(ctx, feed{
		what: "endpoints", topic: s.cfg.EndpointTopic, every: pollInterval,
		known: s.tableTime, limit: tableAge, apply: s.applyEndpoints,
	})
}

// reads tells whether this node reads the store itself: for others, or as nobody
// has told it anything for too long.
func (s *Syncer) reads(known time.Time, limit time.Duration) bool {
	if s.cfg.Starting() {
		return known.IsZero()
	}
	return s.cfg.Reads() || s.cfg.Now().Sub(known) > limit+peersFirst
}

// tableTime is as of when the table is known.
func (s *Syncer) tableTime() time.Time {
	if listed := s.listed.Load(); listed != nil {
		return *listed
	}
	return time.Time{}
}

// applyConfiguration takes in records up to the end of the topic as of a
// moment after asked. A lower version never replaces a higher one.
func (s *Syncer) applyConfiguration(items provider.Items, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	for _, it := range items.Items {
		if it.Key != s.cfg.ConfigKey || len(it.Value) == 0 {
			continue
		}
		view = s.adopt(view, it.Value, fmt.Sprintf("offset %d", it.Offset))
	}
	if !items.More && asked.After(view.Confirmed) {
		view.Confirmed = asked
	}
	s.view.Store(&view)
}

// adopt returns the view with a record's configuration, if that is newer. It
// needs the lock.
func (s *Syncer) adopt(view forwarder.View, raw []byte, source string) forwarder.View {
	cfg, err := s.cfg.Configuration(raw)
	if err != nil {
		s.cfg.Recorder.Error(recorder.ConfigBadRecord, zap.String("source", source), zap.Error(err))
		return view
	}
	if view.Configuration != nil && cfg.Version() <= view.Configuration.Version() {
		return view
	}
	view.Configuration = cfg
	s.raw.Store(&raw)
	s.cfg.Counters.Config.Add("applied", 1)
	s.cfg.Recorder.Info(recorder.ConfigApplied, zap.Int64("version", cfg.Version()), zap.String("source", source))
	return view
}

// applyEndpoints takes in records, or the whole list if whole is set.
func (s *Syncer) applyEndpoints(items provider.Items, whole bool, asked, keepUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	var changes []registrar.Change
	var entries []registrar.Entry
	for _, it := range items.Items {
		change := registrar.Change{ID: it.Key}
		if len(it.Value) > 0 {
			e, err := s.cfg.Entry(it.Key, it.Value)
			if err != nil {
				s.cfg.Counters.Fleet.Add("endpoint_records_unreadable", 1)
				change.Unreadable = true
			} else {
				change.Entry = &e
				entries = append(entries, e)
			}
		}
		changes = append(changes, change)
	}
	before := s.Table()
	next := before.With(now, keepUntil, changes)
	if whole {
		next = before.Replaced(now, keepUntil, entries)
	}
	s.replace(&next)
	if !items.More {
		s.listed.Store(&asked)
	}
	s.record(before, &next)
}

// replace puts a table in force and notes what changes with it. It needs the
// lock.
func (s *Syncer) replace(next *registrar.Table) {
	s.history.note(s.Table(), next)
	s.table.Store(next)
}

// record writes what became of endpoints.
func (s *Syncer) record(before, after *registrar.Table) {
	for _, e := range after.All() {
		old, known := before.Get(e.ID)
		switch {
		case !known || !old.SameStart(e):
			s.cfg.Recorder.Info(recorder.EndpointUp, entryFields(e)...)
		case e.Leaving && !old.Leaving:
			s.cfg.Recorder.Info(recorder.EndpointLeaving, entryFields(e)...)
		case e.First != old.First || e.Last != old.Last:
			s.cfg.Recorder.Info(recorder.HoldingsChanged, entryFields(e)...)
		}
	}
	for _, e := range before.All() {
		if _, known := after.Get(e.ID); !known {
			s.cfg.Recorder.Info(recorder.EndpointDown, entryFields(e)...)
		}
	}
}

// entryFields are an endpoint's fields in the log.
func entryFields(e registrar.Entry) []zap.Field {
	return []zap.Field{
		zap.String("endpoint", e.ID), zap.String("address", e.Address), zap.String("service", e.Service),
		zap.String("centre", e.Centre), zap.Int64("born", e.Born),
		zap.Int("first", e.First), zap.Int("last", e.Last),
	}
}
