// Package syncer keeps this node's copy of the data in the platform's store: the
// operator's configuration, with the time of its last confirmation, and the table of
// endpoints.
package syncer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/mapper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder"
)

const (
	// configurationWait bounds the wait of a read of the configuration for new
	// records. Two waits and the query of a node that doesn't read the store itself
	// take half of the time within which a revoked key must stop working; the other
	// half is left to serve requests while the store is unreachable.
	configurationWait = 600 * time.Millisecond
	// pollInterval is the time between two reads of the endpoints. Together with
	// queryInterval and one node that doesn't answer, it stays within the time after
	// which a leaving endpoint must get no more work.
	pollInterval = 600 * time.Millisecond
	// roleCheckInterval is the time between two checks of whether this node reads
	// the store.
	roleCheckInterval = 200 * time.Millisecond
	// lapseGracePeriod is how long entries are kept that the store dropped around
	// its own outage: live endpoints are registered again within two seconds of its
	// return.
	lapseGracePeriod = 2300 * time.Millisecond
	// minBackoff and maxBackoff bound the delays between failed calls of a node that
	// reads the store for others, nonReaderMinBackoff and nonReaderMaxBackoff those
	// of the other nodes, which learn from a reader, or from any node, that the
	// store answers again.
	minBackoff          = 60 * time.Millisecond
	maxBackoff          = 700 * time.Millisecond
	nonReaderMinBackoff = 1500 * time.Millisecond
	nonReaderMaxBackoff = 5 * time.Second
	// quarantineWait bounds the wait of a read of the quarantine for new records. Nodes
	// tell each other of these, too.
	quarantineWait = 10 * time.Second
	// directReadDelay is how far the data of a node that usually queries readers may
	// exceed its age threshold before the node reads the store itself; other nodes
	// are queried meanwhile.
	directReadDelay = 350 * time.Millisecond
	// standbyPeriod is how long a standby reads the store after the nodes before it last had no current
	// data. A reader whose calls get no answer may get data of other nodes before the first call has failed.
	standbyPeriod = 2 * time.Second
	// answerTTL is how long an answer of another node shows that this one would learn from
	// others that the store answers again. It allows for a query that isn't answered.
	answerTTL = queryInterval + peerTimeout + 500*time.Millisecond
)

// Config configures a Syncer.
type Config struct {
	Topics provider.Topics
	// Memory is the pool for configurations that other nodes send compressed; nil means one for
	// the largest.
	Memory *bounder.Pool
	// ConfigTopic and ConfigKey locate the record of the operator's configuration.
	ConfigTopic string
	ConfigKey   string
	// EndpointTopic holds one record per endpoint.
	EndpointTopic string
	// QuarantineTopic holds one record per part of a prompt in quarantine, and
	// HandleQuarantine takes its records.
	QuarantineTopic  string
	HandleQuarantine func(items []provider.Item)
	// DecodeConfiguration and DecodeEntry decode the records of the first two topics.
	DecodeConfiguration func(data []byte) (*mapper.Configuration, error)
	DecodeEntry         func(id string, data []byte) (registrar.Entry, error)
	// Starting reports whether this node may not know the other nodes yet. While it
	// returns true, the node reads each topic only once.
	Starting func() bool
	// IsReader reports whether this node reads the store for others. The others
	// query the nodes that Readers returns, and any of Peers while the readers don't
	// answer or have nothing newer. Query sends a query to one node.
	IsReader func() bool
	// IsStandby reports whether this node, which is no reader, reads the store while those before it
	// don't; nil means that it does. The other nodes do so only while no node answers
	// them, so that an outage of the store gets calls of a few nodes only.
	IsStandby func() bool
	Readers   func() []string
	// Standbys returns the standbys of this node's data centre in the order in which they replace its
	// reader, with this node if it is one; nil means none.
	Standbys func() []string
	Peers    func() []string
	Query    func(ctx context.Context, address string, query []byte) ([]byte, error)
	// Address is this node's address. Report returns its report to the node that
	// reads the store for it, HandleReport answers such a report of another node,
	// and HandleAggregate takes the answer.
	Address         string
	Report          func() []byte
	HandleReport    func(from string, report []byte) []byte
	HandleAggregate func(answer []byte)
	Now             func() time.Time
	Recorder        *recorder.Recorder
	Counters        *counter.Set
}

// Syncer keeps a copy of the store's data up to date.
type Syncer struct {
	cfg Config

	// mu guards writes to the atomic fields below but for failing; they are read without it.
	mu     sync.Mutex
	view   atomic.Pointer[forwarder.View]
	table  atomic.Pointer[registrar.Table]
	packer packer
	// failing is set while this node's reads of the configuration fail, by way of others too, so that its data is that of
	// others; failingEndpoints is the same for the endpoints.
	failing          atomic.Bool
	failingEndpoints atomic.Bool
	relay            relay
	// rawConfiguration is the encoded record of the configuration in force.
	rawConfiguration atomic.Pointer[[]byte]
	// tableTimestamp is the time as of which the table is known; nil before the
	// first read.
	tableTimestamp atomic.Pointer[time.Time]

	// The fields below are guarded by mu. history records the changes to the table
	// for nodes that query this one, and departed the endpoints that were removed.
	// positions holds, by address, the last position
	// in the history of each node that this one queries. reader is the address of
	// the node that reads the store for this one.
	history   history
	departed  departures
	positions map[string]position
	reader    string
	// lastAnswered is when another node last answered a query; zero if none has.
	lastAnswered time.Time
	// readersLateAt is when the nodes that read the store before this one last had no current data;
	// zero if they never had. Nodes that are no standby don't use it.
	readersLateAt time.Time
	// unconfirmed is set while other nodes are asked about retained entries, and listedAt the last time as of
	// which an entry that this node retained from the store's records was listed.
	unconfirmed bool
	listedAt    time.Time
}

// New returns a Syncer without any data.
func New(cfg Config) *Syncer {
	if cfg.IsStandby == nil {
		cfg.IsStandby = func() bool { return true }
	}
	if cfg.Standbys == nil {
		cfg.Standbys = func() []string { return nil }
	}
	if cfg.Memory == nil {
		cfg.Memory = bounder.NewPool(4 * maxConfigurationBytes)
	}
	s := &Syncer{cfg: cfg}
	s.view.Store(&forwarder.View{})
	s.table.Store(&registrar.Table{})
	s.rawConfiguration.Store(&[]byte{})
	s.history, s.departed = newHistory(), make(departures)
	s.positions = make(map[string]position)
	return s
}

// View returns the configuration in force and the time of its confirmation.
func (s *Syncer) View() forwarder.View { return *s.view.Load() }

// Table returns the current table of endpoints.
func (s *Syncer) Table() *registrar.Table { return s.table.Load() }

// Ready reports whether the configuration and the table have both been read.
func (s *Syncer) Ready() bool {
	return s.View().Configuration != nil && s.tableTimestamp.Load() != nil
}

// Step keeps the data up to date until its context ends.
func (s *Syncer) Step() grouper.Step {
	return grouper.Group("store",
		grouper.Step{Name: "configuration", Run: s.followConfiguration},
		grouper.Step{Name: "endpoints", Run: s.followEndpoints},
		grouper.Step{Name: "quarantine", Run: s.followQuarantine},
		grouper.Step{Name: "peers", Run: s.followPeers},
	)
}

// followConfiguration keeps the configuration up to date.
func (s *Syncer) followConfiguration(ctx context.Context) error {
	return s.follow(ctx, feed{
		name: "configuration", topic: s.cfg.ConfigTopic, wait: configurationWait,
		due:   func() bool { return s.shouldRead(s.View().Confirmed, configurationAgeThreshold) },
		apply: func(r reading) { s.applyConfiguration(r.items, r.sentAt) },
		lost:  func() { s.failing.Store(true) }, readable: func() { s.failing.Store(false) },
		relayed: true,
	})
}

// followEndpoints keeps the table up to date.
func (s *Syncer) followEndpoints(ctx context.Context) error {
	return s.follow(ctx, feed{
		name: "endpoints", topic: s.cfg.EndpointTopic, interval: pollInterval, relayed: true,
		due:  func() bool { return s.shouldRead(s.tableTime(), tableAgeThreshold) },
		lost: func() { s.failingEndpoints.Store(true) }, readable: func() { s.failingEndpoints.Store(false) },
		apply: func(r reading) {
			s.applyEndpoints(r)
			s.confirmRetained(ctx)
		},
	})
}

// followQuarantine reads the quarantine once, and follows it while this node reads the
// store for others or knows no other node that could tell it of new records. It makes no
// calls while those for the configuration fail.
func (s *Syncer) followQuarantine(ctx context.Context) error {
	read := false
	return s.follow(ctx, feed{
		name: "quarantine", topic: s.cfg.QuarantineTopic, wait: quarantineWait,
		due: func() bool {
			if confirmed := s.View().Confirmed; !confirmed.IsZero() && s.cfg.Now().Sub(confirmed) > configurationAgeThreshold {
				return false
			}
			return !read || !s.cfg.Starting() && (s.cfg.IsReader() || len(s.cfg.Peers()) == 0)
		},
		apply: func(r reading) {
			s.cfg.HandleQuarantine(r.items.Items)
			read = true
		},
	})
}

// tableTime returns the time as of which the table is known; zero before the first
// read.
func (s *Syncer) tableTime() time.Time {
	if asOf := s.tableTimestamp.Load(); asOf != nil {
		return *asOf
	}
	return time.Time{}
}

// applyConfiguration merges records up to the end of the topic, as of a moment after
// sentAt. A lower version never replaces a higher one.
func (s *Syncer) applyConfiguration(items provider.Items, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.View()
	for _, it := range items.Items {
		if it.Key != s.cfg.ConfigKey || len(it.Value) == 0 {
			continue
		}
		view = s.adopt(view, it.Value, fmt.Sprintf("offset %d", it.Offset))
	}
	if !items.More && sentAt.After(view.Confirmed) {
		view.Confirmed = sentAt
	}
	s.view.Store(&view)
}

// adopt returns the view with the configuration of a record, if that is newer. The
// caller must hold mu.
func (s *Syncer) adopt(view forwarder.View, raw []byte, source string) forwarder.View {
	cfg, err := s.cfg.DecodeConfiguration(raw)
	if err != nil {
		s.cfg.Recorder.Error(recorder.ConfigBadRecord, zap.String("source", source), zap.Error(err))
		return view
	}
	if view.Configuration != nil && cfg.Version() <= view.Configuration.Version() {
		return view
	}
	view.Configuration = cfg
	s.rawConfiguration.Store(&raw)
	s.cfg.Counters.Config.Add("applied", 1)
	s.cfg.Recorder.Info(recorder.ConfigApplied, zap.Int64("version", cfg.Version()), zap.String("source", source))
	return view
}

// applyEndpoints merges records, or replaces the whole table by them if the reading is
// full.
func (s *Syncer) applyEndpoints(r reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	var changes []registrar.Change
	var entries []registrar.Entry
	for _, it := range r.items.Items {
		change := registrar.Change{ID: it.Key}
		if len(it.Value) > 0 {
			e, err := s.cfg.DecodeEntry(it.Key, it.Value)
			if r.restored && err == nil && s.departed.has(e) {
				s.cfg.Recorder.Info(recorder.StoreRestored, append(entryFields(e), zap.String("what", "dropped endpoint"))...)
				continue // registers again if it is alive
			}
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
	next := before.With(now, r.keepUntil, changes)
	if r.full {
		next = before.Replaced(now, r.keepUntil, entries)
		clear(s.positions) // changes that others send are to their tables
	}
	retains := func(id string) bool { return next.Retained(id) && !before.Retained(id) }
	if slices.ContainsFunc(next.RetainedIDs(), retains) {
		s.listedAt, s.unconfirmed = s.tableTime(), true
	}
	s.unconfirmed = s.unconfirmed || r.full
	s.replace(&next)
	if !r.items.More {
		s.tableTimestamp.Store(&r.sentAt)
	}
	s.logChanges(before, &next, "store")
}

// MarkLeaving records that an endpoint said itself that it leaves, and reports whether
// that was not known. It concerns that start of the endpoint only.
func (s *Syncer) MarkLeaving(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Table()
	e, ok := before.Get(id)
	if !ok || e.Born != born || e.Leaving {
		return false
	}
	next := before.WithLeaving(id)
	s.replace(&next)
	s.logChanges(before, &next, "endpoint")
	return true
}

// replace puts a table in force and adds the changes to the history. The caller must
// hold mu.
func (s *Syncer) replace(next *registrar.Table) {
	s.history.update(s.Table(), next)
	s.departed.update(s.Table(), next, s.cfg.Now())
	s.table.Store(next)
}

// logChanges logs endpoints that came up, began to leave, went down, hold other layers or are kept although
// the store dropped them. source is the address of the node that told of the changes, or says who else did.
func (s *Syncer) logChanges(before, after *registrar.Table, source string) {
	from := zap.String("source", source)
	for _, e := range after.All() {
		old, known := before.Get(e.ID)
		switch {
		case !known || !old.SameStart(e):
			s.cfg.Recorder.Info(recorder.EndpointUp, append(entryFields(e), from)...)
		case e.Leaving && !old.Leaving:
			s.cfg.Recorder.Info(recorder.EndpointLeaving, append(entryFields(e), from)...)
		case e.First != old.First || e.Last != old.Last:
			s.cfg.Recorder.Info(recorder.HoldingsChanged, append(entryFields(e), from)...)
		case after.Retained(e.ID) && !before.Retained(e.ID):
			s.cfg.Recorder.Info(recorder.EndpointRetained, append(entryFields(e), from)...)
		}
	}
	for _, e := range before.All() {
		if _, known := after.Get(e.ID); !known {
			s.cfg.Recorder.Info(recorder.EndpointDown, append(entryFields(e), from)...)
		}
	}
}

// entryFields returns the log fields of an endpoint.
func entryFields(e registrar.Entry) []zap.Field {
	return []zap.Field{
		zap.String("endpoint", e.ID), zap.String("address", e.Address), zap.String("service", e.Service),
		zap.String("centre", e.Centre), zap.Int64("born", e.Born),
		zap.Int("first", e.First), zap.Int("last", e.Last),
	}
}
