package reducer

import (
	"maps"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// Restore replaces the whole state with the staged snapshot of the same ID.
// Operators use it when no node has the whole configuration and none can get it any
// more.
type Restore struct {
	ID string `cbor:"1,keyasint"`
	// AsOf is the snapshot's AsOf. The restore is ignored if its own offset is more
	// than Window larger, or if another restore has taken effect since AsOf.
	AsOf provider.Offset `cbor:"2,keyasint"`
}

// check returns an error if the restore is invalid in any state.
func (r *Restore) check(at provider.Offset) error {
	if r.ID == "" || r.AsOf > at {
		return trace.BadParameter("a restore needs an identifier and an as-of offset that is not after its own")
	}
	return nil
}

// Restore returns the parts of a staged snapshot, made from an incomplete state, and
// the record that puts them in force once all of them are in the stream.
func (s State) Restore(id string) ([]Record, Record) {
	return s.split(id, true), Record{Restore: &Restore{ID: id, AsOf: s.next}}
}

// applyRestore applies a restore at its offset. A state that can't tell whether to
// ignore it, or lacks a staged part, becomes incomplete and waits for a snapshot
// from a node that could apply the restore.
func (s *State) applyRestore(r *Restore, raw provider.Record) Event {
	ignored := raw.Offset-r.AsOf > s.window() || s.restoredAt() > r.AsOf
	switch {
	case s.hasReadFrom(r.AsOf) && ignored && !s.overrides.acceptAnyRestore:
		return Event{Offset: raw.Offset, Verdict: Ignored}
	case !s.hasReadFrom(r.AsOf) || s.staged[r.ID] == nil || len(s.staged[r.ID]) < s.staged.partCount(r.ID):
		return s.recordGap(raw.Offset + 1)
	}
	s.replaceState(maps.Values(s.staged[r.ID]))
	s.receipts = make(map[string]Receipt)
	s.revisionFloor = describer.Revision(raw.Offset + 1)
	s.contiguousFrom = raw.Offset + 1
	for name, e := range s.entries {
		e.Revision = s.revisionFloor
		s.entries[name] = e
	}
	s.pending = nil
	s.staged = make(partialSnapshots)
	s.snapshotAsOf, s.snapshotAt = 0, 0
	return Event{Offset: raw.Offset, Verdict: Restored}
}

// hasReadFrom reports whether the state has seen every restore from an offset on.
func (s *State) hasReadFrom(from provider.Offset) bool {
	return s.complete || s.contiguousFrom <= from
}

// RestoredAt returns the offset after the newest restore, or 0 if there was none.
func (s State) RestoredAt() provider.Offset { return s.restoredAt() }

// restoredAt returns the offset after the newest restore, or 0 if there was none.
func (s *State) restoredAt() provider.Offset {
	return provider.Offset(s.revisionFloor)
}
