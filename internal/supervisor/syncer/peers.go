package syncer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

const (
	// askInterval is the time between two questions of a node that doesn't read
	// the store itself.
	askInterval = 600 * time.Millisecond
	// peerTick is the time between two looks at how old this node's knowledge
	// is, and peerPause after answers that were no fresher.
	peerTick  = 250 * time.Millisecond
	peerPause = time.Second
	// configurationAge and tableAge are from when on other nodes are asked, and
	// the store by nodes that don't read it otherwise: what is told in time is
	// never that old.
	configurationAge = 2*confirmWait + askInterval + 400*time.Millisecond
	tableAge         = pollInterval + askInterval + 250*time.Millisecond
	// peerTimeout bounds a question to a node, and peersAsked how many are asked
	// at once.
	peerTimeout = 400 * time.Millisecond
	peersAsked  = 2
	// worth is how much fresher an answer has to be.
	worth = 200 * time.Millisecond
)

// question asks a node for what it knows of the store.
type question struct {
	_ struct{} `cbor:",toarray"`
	// Version is that of the asking node's configuration; 0 if it has none.
	Version int64
	// Source and Since are of the asked node's last answer whose table was taken in.
	Source string
	Since  uint64
	// ListedMillis is the age of the asking node's table; under 0 if it has none.
	// It is told of a table only if that is fresher by some, so that 0 asks for none.
	ListedMillis int64
	// From is the asking node, and Report what it tells the one that reads for it.
	From   string
	Report []byte
}

// origin is a place in the history of another node's table. All that changed in that
// table since then makes any newer table of this node like it, wherever that came
// from: what did not change is the same in both.
type origin struct {
	source string
	since  uint64
}

// known tells whether there is such a place.
func (o origin) known() bool { return o.source != "" }

// mostOrigins bounds the nodes whose history is known: those that read for a data
// centre, and some that are asked in their place.
const mostOrigins = 8

// knowledge is what a node knows of the store. Ages are as of the answer, so
// that what they say holds at the time of the question less the age.
type knowledge struct {
	_ struct{} `cbor:",toarray"`
	// Configuration is the record of a configuration newer than the one that
	// was asked with; empty if there is none.
	Configuration []byte
	// ConfirmedMillis is the age of the configuration's confirmation, and
	// ListedMillis that of the table; under 0 if there is none, or none that is
	// fresher than the asking node's.
	ConfirmedMillis int64
	ListedMillis    int64
	// Entries and Gone are what changed in the table since the question's number,
	// or the whole table if Whole is set. At is the number to ask from next.
	Entries []registrar.Entry
	Gone    []string
	Whole   bool
	Source  string
	At      uint64
	// Pool answers the question's report.
	Pool []byte
}

// Answer answers another node's question.
func (s *Syncer) Answer(body []byte) ([]byte, error) {
	q, err := encoder.FromCBOR[question](body)
	if err != nil {
		return nil, err
	}
	k := knowledge{ConfirmedMillis: -1, ListedMillis: -1}
	// Ages are taken after what they are about.
	s.mu.Lock()
	view, raw := s.View(), *s.raw.Load()
	table, listed := s.Table(), s.listed.Load()
	if listed != nil {
		k.ListedMillis = s.cfg.Now().Sub(*listed).Milliseconds() + 1
	}
	if q.ListedMillis >= 0 && k.ListedMillis+worth.Milliseconds() > q.ListedMillis {
		k.ListedMillis = -1
	}
	if k.ListedMillis >= 0 {
		k.Entries, k.Gone, k.Whole = s.history.since(table, q.Source, q.Since)
		k.Source, k.At = s.history.source, s.history.at
	}
	s.mu.Unlock()
	if view.Configuration != nil && !view.Confirmed.IsZero() {
		k.ConfirmedMillis = s.cfg.Now().Sub(view.Confirmed).Milliseconds() + 1
		if view.Configuration.Version() > q.Version {
			k.Configuration = raw
		}
	}
	if len(q.Report) > 0 {
		k.Pool = s.cfg.Reported(q.From, q.Report)
	}
	return encoder.CBOR(k)
}

// followPeers asks the nodes that read the store for this one, and others while
// the store doesn't answer it or those.
func (s *Syncer) followPeers(ctx context.Context) error {
	for grouper.Sleep(ctx, peerTick) {
		if !s.cfg.Reads() {
			s.askReaders(ctx)
		}
		if s.old() && !s.askPeers(ctx) {
			grouper.Sleep(ctx, peerPause)
		}
	}
	return nil
}

// askReaders asks the first node that reads the store and knows something new, and
// waits for the next time.
func (s *Syncer) askReaders(ctx context.Context) {
	for i, address := range s.cfg.Readers() {
		var a ask
		if i == 0 {
			s.setReader(address)
			a = ask{report: s.cfg.Report(), whole: true}
		}
		if s.askPeer(ctx, address, a) {
			break
		}
	}
	grouper.Sleep(ctx, askInterval-peerTick)
}

// setReader takes in which node reads for this one. Another than before tells its whole
// table: entries that the store dropped for a while may be gone from one table only.
func (s *Syncer) setReader(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != address {
		s.reader = address
		clear(s.origins)
	}
}

// old tells whether this node's knowledge is older than a store that answers
// would leave it.
func (s *Syncer) old() bool {
	now := s.cfg.Now()
	return now.Sub(s.tableTime()) > tableAge || now.Sub(s.View().Confirmed) > configurationAge
}

// askPeers asks some nodes at once and tells whether one knew more.
func (s *Syncer) askPeers(ctx context.Context) bool {
	peers := s.cfg.Peers()
	peers = peers[:min(len(peers), peersAsked)]
	better := make(chan bool, len(peers))
	for _, address := range peers {
		go func() { better <- s.askPeer(ctx, address, ask{}) }()
	}
	found := false
	for range peers {
		found = <-better || found
	}
	return found
}

// ask is how a node is asked.
type ask struct {
	// report goes to the node that reads for this one.
	report []byte
	// whole is set if its whole table is wanted where it can't tell what changed;
	// else only if this node's is old.
	whole bool
}

// askPeer asks one node and tells whether it knew more.
func (s *Syncer) askPeer(ctx context.Context, address string, a ask) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := question{ListedMillis: -1, From: s.cfg.Address, Report: a.report}
	if cfg := s.View().Configuration; cfg != nil {
		q.Version = cfg.Version()
	}
	s.mu.Lock()
	from := s.origins[address]
	q.Source, q.Since = from.source, from.since
	if listed := s.listed.Load(); listed != nil {
		q.ListedMillis = s.cfg.Now().Sub(*listed).Milliseconds()
		if !a.whole && !from.known() && q.ListedMillis <= tableAge.Milliseconds() {
			q.ListedMillis = 0 // asks for no table
		}
	}
	s.mu.Unlock()
	body, err := encoder.CBOR(q)
	if err != nil {
		return false
	}
	asked := s.cfg.Now()
	data, err := s.cfg.Ask(ctx, address, body)
	s.cfg.Counters.Config.Add("peers_asked", 1)
	if err != nil {
		return false
	}
	k, err := encoder.FromCBOR[knowledge](data)
	if err != nil {
		s.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", address), zap.Error(err))
		return false
	}
	if len(k.Pool) > 0 {
		s.cfg.Pooled(k.Pool)
	}
	return s.learn(k, asked, address)
}

// learn takes in what another node knew when it was asked, if it is fresher.
func (s *Syncer) learn(k knowledge, asked time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	better := false
	view := s.View()
	if len(k.Configuration) > 0 {
		view = s.adopt(view, k.Configuration, "node "+address)
		better = true
	}
	if k.ConfirmedMillis >= 0 {
		// The answer's configuration may be older than the one in force here;
		// then its confirmation says nothing of this one, but the one in force is
		// newer still.
		at := asked.Add(-time.Duration(k.ConfirmedMillis) * time.Millisecond)
		if at.Sub(view.Confirmed) > worth {
			view.Confirmed, better = at, true
		}
	}
	s.view.Store(&view)
	if k.ListedMillis >= 0 {
		at := asked.Add(-time.Duration(k.ListedMillis) * time.Millisecond)
		if at.Sub(s.tableTime()) > worth && (k.Whole || k.Source == s.origins[address].source) {
			s.takeTable(k, at, address)
			better = true
		}
	}
	if better {
		s.cfg.Counters.Config.Add("learnt_from_peers", 1)
	}
	if better && s.cfg.Reads() {
		s.cfg.Recorder.Info(recorder.StateFromPeer, zap.String("node", address),
			zap.Int64("confirmed_ms", k.ConfirmedMillis), zap.Int64("listed_ms", k.ListedMillis),
			zap.Int("entries", len(k.Entries)), zap.Bool("configuration", len(k.Configuration) > 0))
	}
	return better
}

// takeTable takes in the table of a node's answer, or what changed in it. It needs
// the lock.
func (s *Syncer) takeTable(k knowledge, at time.Time, address string) {
	before, now := s.Table(), s.cfg.Now()
	next := before.Replaced(now, now, k.Entries)
	if !k.Whole {
		changes := make([]registrar.Change, 0, len(k.Entries)+len(k.Gone))
		for _, e := range k.Entries {
			changes = append(changes, registrar.Change{ID: e.ID, Entry: &e})
		}
		for _, id := range k.Gone {
			if !slices.ContainsFunc(k.Entries, func(e registrar.Entry) bool { return e.ID == id }) {
				changes = append(changes, registrar.Change{ID: id})
			}
		}
		next = before.With(now, now, changes)
	}
	s.replace(&next)
	s.listed.Store(&at)
	if _, known := s.origins[address]; !known && len(s.origins) >= mostOrigins {
		clear(s.origins)
	}
	s.origins[address] = origin{source: k.Source, since: k.At}
	s.record(before, &next)
}
