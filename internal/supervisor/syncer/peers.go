package syncer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder"
)

const (
	// queryInterval is the time between two queries of a node that doesn't read the
	// store itself.
	queryInterval = 600 * time.Millisecond
	// peerCheckInterval is the time between two checks of the age of this node's
	// data, and peerRetryDelay the delay after answers that were no fresher.
	peerCheckInterval = 250 * time.Millisecond
	peerRetryDelay    = time.Second
	// configurationAgeThreshold and tableAgeThreshold are the ages above which other
	// nodes are queried, and, after directReadDelay, the store by nodes that don't
	// otherwise read it. Data that is updated in time never gets that old.
	configurationAgeThreshold = 2*configurationWait + queryInterval + 400*time.Millisecond
	tableAgeThreshold         = pollInterval + queryInterval + 250*time.Millisecond
	// currentConfigurationAge and currentTableAge bound the ages of the data of a node that reads the
	// store, just before its next reads end. They allow for calls of 0.25 s.
	currentConfigurationAge = 2*configurationWait + 500*time.Millisecond
	currentTableAge         = pollInterval + 500*time.Millisecond
	// peerTimeout bounds a query to a node, and maxPeersQueried the nodes queried at
	// once.
	peerTimeout     = 400 * time.Millisecond
	maxPeersQueried = 2
	// minFreshnessGain is how much fresher data must be to be sent to a node, and to
	// replace the data there.
	minFreshnessGain = 200 * time.Millisecond
)

// query requests a node's newest copy of the store's data.
type query struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the sender's configuration; 0 if it has none.
	Version int64
	// HistoryID and Revision are those of the receiver's last answer whose table the
	// sender has applied.
	HistoryID string
	Revision  uint64
	// TableAgeMillis is the age of the sender's table; negative if it has none. The
	// receiver sends its table only if that is fresher by minFreshnessGain, so that
	// 0 requests none.
	TableAgeMillis int64
	// From is the sender's address, followed by acceptsGzip if it takes compressed
	// configurations, and Report its report to the node that reads the store for it.
	From   string
	Report []byte
}

// position is a revision in the history of another node's table. Applying all
// changes since that revision to any newer table of this node, wherever that came
// from, makes it equal to the other node's table: what did not change is the same in
// both.
type position struct {
	historyID string
	revision  uint64
}

// known reports whether the position is set.
func (p position) known() bool { return p.historyID != "" }

// maxPositions bounds the nodes whose position is kept: those that read the store
// for a data centre, and some that are queried in their place.
const maxPositions = 8

// answer is the reply to a query. Ages are as of the time of the answer.
// The receiver subtracts them from the earlier time at which it sent the query, so
// that data is never considered fresher than it is.
type answer struct {
	_ struct{} `cbor:",toarray"`
	// Configuration is the record of a configuration newer than the query's version,
	// possibly compressed; empty if there is none.
	Configuration []byte
	// ConfirmationAgeMillis is the age of the configuration's confirmation, and
	// TableAgeMillis that of the table. Each is negative if there is none,
	// TableAgeMillis also if the table is not fresher than the table of the node that
	// sent the query. Below -1, ConfirmationAgeMillis is that of a node whose own reads fail: the age
	// is -1 less the value. Older builds take it for none.
	ConfirmationAgeMillis int64
	TableAgeMillis        int64
	// Entries and Removed are the changes to the table since the query's revision;
	// if Full is set, Entries is the whole table, and Removed the IDs of those among them that the sender only
	// retains, and of those that it has listed and dropped. Older builds name fewer. The next query continues from Revision.
	Entries   []registrar.Entry
	Removed   []string
	Full      bool
	HistoryID string
	Revision  uint64
	// Aggregate answers the query's report.
	Aggregate []byte
}

// HandleQuery answers the query of another node.
func (s *Syncer) HandleQuery(body []byte) ([]byte, error) {
	q, err := encoder.FromCBOR[query](body)
	if err != nil {
		if r, err := encoder.FromCBOR[readRequest](body); err == nil {
			return s.handleRead(r)
		}
		return nil, err
	}
	ans, view, raw := s.tableAnswer(q)
	if view.Configuration != nil && !view.Confirmed.IsZero() {
		ans.ConfirmationAgeMillis = s.cfg.Now().Sub(view.Confirmed).Milliseconds() + 1
		if s.failing.Load() {
			ans.ConfirmationAgeMillis = -1 - ans.ConfirmationAgeMillis
		}
		if view.Configuration.Version() > q.Version {
			ans.Configuration = s.packer.pack(raw, q.From)
		}
	}
	if len(q.Report) > 0 {
		ans.Aggregate = s.cfg.HandleReport(strings.TrimSuffix(q.From, acceptsGzip), q.Report)
	}
	return encoder.CBOR(ans)
}

// tableAnswer returns the part of the answer that concerns the table, and the
// configuration as of the same moment.
func (s *Syncer) tableAnswer(q query) (ans answer, view forwarder.View, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ans = answer{ConfirmationAgeMillis: -1, TableAgeMillis: -1}
	// Ages are computed after reading the data, so that they are never too low.
	view, raw = s.View(), *s.rawConfiguration.Load()
	table, asOf := s.Table(), s.tableTimestamp.Load()
	if asOf != nil {
		ans.TableAgeMillis = s.cfg.Now().Sub(*asOf).Milliseconds() + 1
	}
	if q.TableAgeMillis >= 0 && ans.TableAgeMillis+minFreshnessGain.Milliseconds() > q.TableAgeMillis {
		ans.TableAgeMillis = -1
	}
	if ans.TableAgeMillis >= 0 {
		ans.Entries, ans.Removed, ans.Full = s.history.changesSince(table, q.HistoryID, q.Revision)
		if ans.Full {
			ans.Removed = slices.AppendSeq(ans.Removed, maps.Keys(s.departed))
		}
		ans.HistoryID, ans.Revision = s.history.id, s.history.revision
	}
	return ans, view, raw
}

// followPeers queries the nodes that read the store for this one, and other nodes
// while the store answers neither this node nor those.
//
// A reader that starts asks others once, too: the store may have come back from an older
// copy, of which a node that knows nothing yet sees no sign.
func (s *Syncer) followPeers(ctx context.Context) error {
	asked := false
	var nextPeers time.Time
	for grouper.Sleep(ctx, peerCheckInterval) {
		if !s.cfg.IsReader() {
			s.queryReaders(ctx)
		}
		s.confirmRetained(ctx)
		first := s.cfg.IsReader() && !asked && len(s.cfg.Peers()) > 0
		if !first && (!s.stale() || s.cfg.Now().Before(nextPeers)) {
			continue
		}
		asked = true
		if !s.queryPeers(ctx) {
			nextPeers = s.cfg.Now().Add(peerRetryDelay)
		}
	}
	return nil
}

// queryReaders queries the reader of this node's data centre, then the other readers, and then the standbys until
// this node has current data, and waits until the next round is due.
func (s *Syncer) queryReaders(ctx context.Context) {
	readers, standbys := s.cfg.Readers(), s.cfg.Standbys()
	current := false
	if len(readers) > 0 {
		s.setReader(readers[0])
		r := s.queryPeer(ctx, readers[0], queryOptions{report: s.cfg.Report(), fullTable: true})
		current, readers = r.current, readers[1:]
	}
	// The standbys before this one are queried first: those behind it may have their data from it.
	before := slices.Index(standbys, s.cfg.Address)
	if before < 0 {
		before = len(standbys)
	}
	for _, group := range [][]string{readers, standbys[:before], standbys[min(before+1, len(standbys)):]} {
		if current && s.current() {
			break
		}
		r := s.queryAll(ctx, group)
		current = current || r.current
	}
	if !current {
		s.noteReadersLate()
	}
	grouper.Sleep(ctx, queryInterval-peerCheckInterval)
}

// setReader records which node reads the store for this one. After a change of the
// reader full tables are requested: entries that the store dropped for a while may
// be missing from one of the tables only.
func (s *Syncer) setReader(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != address {
		s.reader = address
		clear(s.positions)
	}
}

// stale reports whether this node's data is older than it would be if the store
// answered.
func (s *Syncer) stale() bool {
	now := s.cfg.Now()
	return now.Sub(s.tableTime()) > tableAgeThreshold || now.Sub(s.View().Confirmed) > configurationAgeThreshold
}

// queryPeers queries some nodes at once and reports whether one had newer data. A reader queries the other readers
// and the standbys as well, since other nodes have their data from these.
func (s *Syncer) queryPeers(ctx context.Context) bool {
	peers := s.cfg.Peers()
	peers = peers[:min(len(peers), maxPeersQueried)]
	if s.cfg.IsReader() {
		peers = slices.Concat(peers, s.cfg.Readers(), s.cfg.Standbys())
	}
	return s.queryAll(ctx, peers).fresher
}

// queryAll queries some nodes other than this one at once, and returns what any of them had.
func (s *Syncer) queryAll(ctx context.Context, addresses []string) reply {
	var others []string
	for _, address := range addresses {
		if address != s.cfg.Address && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	replies := make(chan reply, len(others))
	for _, address := range others {
		go func() { replies <- s.queryPeer(ctx, address, queryOptions{}) }()
	}
	var all reply
	for range others {
		r := <-replies
		all.fresher, all.current = all.fresher || r.fresher, all.current || r.current
	}
	return all
}

// queryOptions are the options of a query.
type queryOptions struct {
	// report is sent to the node that reads the store for this one.
	report []byte
	// fullTable requests the full table if the peer can't tell what changed.
	// Otherwise it is requested only if this node's table is stale.
	fullTable bool
}

// reply says what the answer to a query had; it is zero if there was none.
type reply struct {
	// fresher is set if some of its data was newer than this node's, and current if its
	// confirmation was as new as that of a node that reads the store, and the sender's own reads don't fail.
	fresher bool
	current bool
}

// queryPeer queries one node and applies its answer.
func (s *Syncer) queryPeer(ctx context.Context, address string, opts queryOptions) reply {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := query{TableAgeMillis: -1, From: s.cfg.Address + acceptsGzip, Report: opts.report}
	if cfg := s.View().Configuration; cfg != nil {
		q.Version = cfg.Version()
	}
	s.mu.Lock()
	pos := s.positions[address]
	q.HistoryID, q.Revision = pos.historyID, pos.revision
	if asOf := s.tableTimestamp.Load(); asOf != nil {
		q.TableAgeMillis = s.cfg.Now().Sub(*asOf).Milliseconds()
		if !opts.fullTable && !pos.known() && q.TableAgeMillis <= tableAgeThreshold.Milliseconds() {
			q.TableAgeMillis = 0 // requests no table
		}
	}
	s.mu.Unlock()
	sentAt := s.cfg.Now()
	ans, ok := s.exchange(ctx, address, q)
	if !ok {
		return reply{}
	}
	configuration, release, err := unpack(ans.Configuration, s.cfg.Memory)
	if err != nil {
		s.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", address), zap.Error(err))
		return reply{}
	}
	defer release()
	ans.Configuration = configuration
	s.mu.Lock()
	s.lastAnswered = s.cfg.Now()
	s.mu.Unlock()
	if len(ans.Aggregate) > 0 {
		s.cfg.HandleAggregate(ans.Aggregate)
	}
	age := ans.ConfirmationAgeMillis
	if age < -1 {
		ans.ConfirmationAgeMillis = -1 - age
	}
	return reply{
		fresher: s.applyAnswer(ans, sentAt, address),
		current: age >= 0 && age <= currentConfigurationAge.Milliseconds(),
	}
}

// exchange sends a query to one node and returns its answer, or false if there was none.
func (s *Syncer) exchange(ctx context.Context, address string, q query) (answer, bool) {
	body, err := encoder.CBOR(q)
	if err != nil {
		return answer{}, false
	}
	data, err := s.cfg.Query(ctx, address, body)
	s.cfg.Counters.Config.Add("peers_asked", 1)
	if err != nil {
		return answer{}, false
	}
	ans, err := encoder.FromCBOR[answer](data)
	if err != nil {
		s.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", address), zap.Error(err))
		return answer{}, false
	}
	return ans, true
}

// applyAnswer applies the answer to a query that was sent at sentAt, if it is
// fresher, and reports whether it was.
func (s *Syncer) applyAnswer(ans answer, sentAt time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresher := false
	view := s.View()
	if len(ans.Configuration) > 0 {
		view = s.adopt(view, ans.Configuration, "node "+address)
		fresher = true
	}
	if ans.ConfirmationAgeMillis >= 0 {
		// The answer may confirm an older configuration than the one in force here.
		// Its timestamp is valid for the one in force, too, which is newer still.
		at := sentAt.Add(-time.Duration(ans.ConfirmationAgeMillis) * time.Millisecond)
		if at.Sub(view.Confirmed) > minFreshnessGain {
			view.Confirmed, fresher = at, true
		}
	}
	s.view.Store(&view)
	if ans.TableAgeMillis >= 0 {
		at := sentAt.Add(-time.Duration(ans.TableAgeMillis) * time.Millisecond)
		if at.Sub(s.tableTime()) > minFreshnessGain && (ans.Full || ans.HistoryID == s.positions[address].historyID) {
			s.applyTable(ans, at, address)
			fresher = true
		}
	}
	if fresher {
		s.cfg.Counters.Config.Add("learnt_from_peers", 1)
	}
	if fresher && s.cfg.IsReader() {
		s.cfg.Recorder.Info(recorder.StateFromPeer, zap.String("node", address),
			zap.Int64("confirmed_ms", ans.ConfirmationAgeMillis), zap.Int64("listed_ms", ans.TableAgeMillis),
			zap.Int("entries", len(ans.Entries)), zap.Bool("configuration", len(ans.Configuration) > 0))
	}
	return fresher
}

// notNamed returns the entries of a table that a full answer neither has nor names as removed.
func notNamed(table *registrar.Table, ans answer) []registrar.Entry {
	named := make(map[string]bool, len(ans.Entries)+len(ans.Removed))
	for _, e := range ans.Entries {
		named[e.ID] = true
	}
	for _, id := range ans.Removed {
		named[id] = true
	}
	return slices.DeleteFunc(table.All(), func(e registrar.Entry) bool { return named[e.ID] })
}

// applyTable applies the table of another node's answer, or the changes to it. The
// caller must hold mu.
func (s *Syncer) applyTable(ans answer, asOf time.Time, address string) {
	before, now := s.Table(), s.cfg.Now()
	listed, retained := s.splitRetained(ans)
	if ans.Full && s.failingEndpoints.Load() {
		// The sender may have read the store for the first time, after an outage that this node is still in.
		if unknown := notNamed(before, ans); len(unknown) > 0 {
			retained = append(retained, unknown...)
			s.listedAt, s.unconfirmed = s.tableTime(), true
		}
	}
	next := before.Replaced(now, now, listed).WithRetained(now.Add(lapseGracePeriod), retained)
	if !ans.Full {
		changes := make([]registrar.Change, 0, len(ans.Entries)+len(ans.Removed))
		for _, e := range ans.Entries {
			changes = append(changes, registrar.Change{ID: e.ID, Entry: &e})
		}
		for _, id := range ans.Removed {
			if !slices.ContainsFunc(ans.Entries, func(e registrar.Entry) bool { return e.ID == id }) {
				changes = append(changes, registrar.Change{ID: id})
			}
		}
		next = before.With(now, now, changes)
	}
	s.replace(&next)
	s.tableTimestamp.Store(&asOf)
	if _, known := s.positions[address]; !known && len(s.positions) >= maxPositions {
		clear(s.positions)
	}
	s.positions[address] = position{historyID: ans.HistoryID, revision: ans.Revision}
	s.logChanges(before, &next, address)
}
