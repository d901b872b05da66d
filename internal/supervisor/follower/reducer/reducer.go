package reducer

import (
	"iter"
	"maps"
	"slices"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// overrides turns single mechanisms off, so that tests can show that each is needed.
type overrides struct {
	// window and partSize replace the constants Window and partSize unless they are 0.
	window   provider.Offset
	partSize int

	acceptAnyBase, acceptAnyAge, ignoreReceipts, loadAnySnapshot, skipReplay bool
	snapshotIncomplete, deleteRemoved, ignoreGaps, allowSharedKeys           bool
	acceptAnyRestore, ignoreRevisionFloor                                    bool
}

// Window is the maximum number of offsets between Seen and a change's own offset,
// and the number of offsets for which its receipt is kept. Because both are the
// same, a duplicate that is appended after the receipt was dropped is always
// expired.
const Window = 1024

// historySize is the maximum number of changes in an organisation's history.
const historySize = 8

// Verdict is the outcome of folding a record.
type Verdict int

// Values of Verdict.
const (
	Accepted       Verdict = iota // accepted
	Conflict                      // conflict
	Duplicate                     // duplicate
	Expired                       // expired
	KeyTaken                      // key_taken
	Invalid                       // bad
	Pending                       // pending
	SnapshotLoaded                // snapshot_loaded
	Ignored                       // snapshot_ignored
	Gap                           // gap
	Restored                      // restored
	SnapshotStaged                // snapshot_staged
)

// Event reports the outcome of folding one record.
type Event struct {
	Offset  provider.Offset
	Verdict Verdict
	// Receipt is set for Accepted, Conflict, Duplicate, Expired and KeyTaken.
	Receipt Receipt
	// Err is set for Invalid.
	Err error
}

// Receipt is the outcome of a change, which is kept for Window offsets.
type Receipt struct {
	ID           string          `cbor:"1,keyasint"`
	Offset       provider.Offset `cbor:"2,keyasint"`
	Verdict      Verdict         `cbor:"3,keyasint"`
	Organisation string          `cbor:"4,keyasint"`
	// Revision is the organisation's revision after the change. For a rejected
	// change it is the revision that stays in force.
	Revision describer.Revision `cbor:"5,keyasint"`
	// KeyOwner is set for KeyTaken. It is the organisation that already owns one of
	// the key hashes.
	KeyOwner string `cbor:"6,keyasint,omitempty"`
}

// AcceptedChange is an accepted change without its template, as kept in the history.
type AcceptedChange struct {
	ID       string             `cbor:"1,keyasint" json:"id"`
	Revision describer.Revision `cbor:"2,keyasint" json:"revision"`
	Offset   provider.Offset    `cbor:"3,keyasint" json:"offset"`
	// At is the log's timestamp in Unix milliseconds.
	At       int64  `cbor:"4,keyasint" json:"at"`
	Removed  bool   `cbor:"5,keyasint,omitempty" json:"removed,omitempty"`
	Operator string `cbor:"6,keyasint,omitempty" json:"operator,omitempty"`
	Note     string `cbor:"7,keyasint,omitempty" json:"note,omitempty"`
}

// Entry is the current state of an organisation.
type Entry struct {
	Name string `cbor:"1,keyasint"`
	// Revision never decreases, and a removal doesn't reset it.
	Revision describer.Revision `cbor:"2,keyasint"`
	// Removed entries are kept, so that the revision doesn't start again at 1 when
	// the organisation is published again.
	Removed  bool     `cbor:"3,keyasint,omitempty"`
	Template Document `cbor:"4,keyasint"`
	// History holds the newest changes, oldest first.
	History []AcceptedChange `cbor:"5,keyasint,omitempty"`
}

// State is the fold of the stream up to an offset. It is an immutable value.
type State struct {
	// next is the offset of the first record not yet folded.
	next provider.Offset
	// complete is set if the state equals the fold of every record before next. An
	// incomplete state has missed records and must not be served, be used to accept
	// changes or be written into a snapshot that isn't staged.
	complete bool
	// entries, keyOwners and receipts belong to the last complete state.
	entries map[string]Entry
	// keyOwners maps the key hashes of organisations in force to their names.
	keyOwners map[string]string
	receipts  map[string]Receipt
	// contiguousFrom is the offset from which an incomplete state has read every
	// record. pending holds the changes from there on, in order, and snapshots the
	// parts of unfinished snapshots.
	contiguousFrom provider.Offset
	pending        []positionedChange
	snapshots      partialSnapshots
	// staged holds the parts that a Restore may put in force.
	staged partialSnapshots
	// revisionFloor is the offset after the newest restore. Every revision that a
	// later change gets is larger.
	revisionFloor describer.Revision
	// snapshotAsOf is the highest AsOf of the complete snapshots read since the
	// newest restore, and snapshotAt the log's timestamp of that snapshot's last
	// part, in Unix milliseconds.
	snapshotAsOf provider.Offset
	snapshotAt   int64
	// firstRecordAt is the log's timestamp of the first record folded, in Unix
	// milliseconds.
	firstRecordAt int64
	// overrides is empty except in tests.
	overrides overrides
}

// positionedChange is a change with its offset and the log's timestamp.
type positionedChange struct {
	change    *Change
	offset    provider.Offset
	timestamp int64
}

// Next returns the offset of the first record not yet folded.
func (s State) Next() provider.Offset { return s.next }

// Complete reports whether every record before Next is included in the state.
func (s State) Complete() bool { return s.complete }

// NewestSnapshot returns the AsOf of the newest complete snapshot, and the log's
// timestamp of its last part in Unix milliseconds. Both are 0 if there was none.
func (s State) NewestSnapshot() (provider.Offset, int64) { return s.snapshotAsOf, s.snapshotAt }

// FirstRecordAt returns the log's timestamp of the first record folded in Unix
// milliseconds, or 0 if there was none.
func (s State) FirstRecordAt() int64 { return s.firstRecordAt }

// Receipt returns the receipt of a change of the last Window offsets.
func (s State) Receipt(id string) (Receipt, bool) {
	r, ok := s.receipts[id]
	return r, ok
}

// Entry returns an organisation's entry, also if the organisation was removed.
func (s State) Entry(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// Entries returns the entries of all organisations by name, removed ones included.
// The map must not be modified.
func (s State) Entries() map[string]Entry { return s.entries }

// Fold returns the state after a page, and the events of its new records. Records
// before Next are skipped, and those after a gap are left for a later read.
func (s State) Fold(page provider.Page) (State, []Event) {
	s = s.clone()
	var events []Event
	if s.next == 0 && (page.First == 0 || page.FirstAt == 0) {
		s.complete = true
		s.next = page.First
	}
	if page.First > s.next && s.overrides.ignoreGaps {
		s.next = page.First
	}
	if page.First > s.next {
		events = append(events, s.recordGap(page.First))
	}
	for _, raw := range page.Records {
		if raw.Offset < s.next {
			continue
		}
		if raw.Offset > s.next {
			break
		}
		s.next++
		if s.firstRecordAt == 0 {
			s.firstRecordAt = raw.At
		}
		events = append(events, s.applyRecord(raw)...)
	}
	return s, events
}

// clone copies the maps and slices that Fold changes.
func (s State) clone() State {
	s.entries = cloneMap(s.entries)
	s.keyOwners = cloneMap(s.keyOwners)
	s.receipts = cloneMap(s.receipts)
	s.pending = slices.Clone(s.pending)
	s.snapshots = s.snapshots.clone()
	s.staged = s.staged.clone()
	return s
}

// cloneMap copies a map. The copy of a nil map is an empty one.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// recordGap marks the state incomplete because the records before first are lost.
// Pending changes and snapshot parts that were read before the gap are dropped,
// since they can't be joined to the records after it.
func (s *State) recordGap(first provider.Offset) Event {
	s.complete = false
	s.next = first
	s.contiguousFrom = first
	s.pending = nil
	s.snapshots = make(partialSnapshots)
	s.staged = make(partialSnapshots)
	return Event{Offset: first, Verdict: Gap}
}

// applyRecord decodes and folds one record.
func (s *State) applyRecord(raw provider.Record) []Event {
	r, err := decode(raw)
	switch {
	case err != nil:
		return []Event{{Offset: raw.Offset, Verdict: Invalid, Err: err}}
	case r.Restore != nil:
		return []Event{s.applyRestore(r.Restore, raw)}
	case r.Snapshot != nil && r.Snapshot.Staged:
		s.staged.add(r.Snapshot)
		return []Event{{Offset: raw.Offset, Verdict: SnapshotStaged}}
	case r.Snapshot != nil:
		return s.loadPart(r.Snapshot, raw)
	case !s.complete:
		s.pending = append(s.pending, positionedChange{r.Change, raw.Offset, raw.At})
		return []Event{{Offset: raw.Offset, Verdict: Pending}}
	default:
		return []Event{s.applyChange(positionedChange{r.Change, raw.Offset, raw.At})}
	}
}

// loadPart adds a part of a snapshot. A complete state only records the AsOf of
// the snapshot. An incomplete state becomes complete once it holds every part
// and has read all records since AsOf.
func (s *State) loadPart(part *Snapshot, raw provider.Record) []Event {
	ignored := []Event{{Offset: raw.Offset, Verdict: Ignored}}
	parts := s.snapshots.add(part)
	if parts == nil {
		return ignored
	}
	delete(s.snapshots, part.ID)
	if part.AsOf >= max(s.snapshotAsOf, s.restoredAt()) {
		s.snapshotAsOf, s.snapshotAt = part.AsOf, raw.At
	}
	if s.complete || (part.AsOf < s.contiguousFrom && !s.overrides.loadAnySnapshot) {
		return ignored
	}
	s.replaceState(slices.Values(parts))
	s.revisionFloor = part.RevisionFloor
	events := []Event{{Offset: raw.Offset, Verdict: SnapshotLoaded}}
	for _, a := range s.pending {
		if a.offset >= part.AsOf && !s.overrides.skipReplay {
			events = append(events, s.applyChange(a))
		}
	}
	s.pending = nil
	return events
}

// replaceState replaces the content of the state with that of a snapshot.
func (s *State) replaceState(parts iter.Seq[*Snapshot]) {
	s.complete = true
	s.entries = make(map[string]Entry)
	s.keyOwners = make(map[string]string)
	s.receipts = make(map[string]Receipt)
	for part := range parts {
		for _, e := range part.Entries {
			s.entries[e.Name] = e
			s.indexKeys(e)
		}
		for _, r := range part.Receipts {
			s.receipts[r.ID] = r
		}
	}
}
