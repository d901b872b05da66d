package reducer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// partSize is the maximum number of organisations in one part of a snapshot.
const partSize = 128

// maxParts is the maximum number of parts of a snapshot. It limits what a reader
// keeps for one snapshot.
const maxParts = 1 << 12

// Snapshot is one part of a state. It is appended to the stream, so that the state
// outlives the retention of the records that it was folded from. Only a staged
// snapshot may be of an incomplete state.
type Snapshot struct {
	// ID is shared by the parts of one snapshot.
	ID string `cbor:"1,keyasint"`
	// AsOf is the offset of the first record that the state does not include.
	AsOf provider.Offset `cbor:"2,keyasint"`
	// Part is numbered from 0 to Parts-1.
	Part  int `cbor:"3,keyasint"`
	Parts int `cbor:"4,keyasint"`
	// Entries are this part's organisations, removed ones included.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
	// Receipts holds the receipts of the changes at the last Window offsets. Only part
	// 0 has them.
	Receipts []Receipt `cbor:"6,keyasint,omitempty"`
	// Staged parts are loaded by a Restore only.
	Staged bool `cbor:"7,keyasint,omitempty"`
	// RevisionFloor is the offset after the newest restore that the state includes.
	RevisionFloor describer.Revision `cbor:"8,keyasint,omitempty"`
}

// check returns an error if the part is invalid in any state.
func (s *Snapshot) check(at provider.Offset) error {
	switch {
	case s.ID == "":
		return trace.BadParameter("a snapshot needs an identifier")
	case s.AsOf > at:
		return trace.BadParameter("the snapshot at offset %d can't be as of the later offset %d", at, s.AsOf)
	case s.Parts < 1 || s.Parts > maxParts || s.Part < 0 || s.Part >= s.Parts:
		return trace.BadParameter("invalid part %d of %d", s.Part, s.Parts)
	}
	return nil
}

// Snapshot returns the parts of a snapshot of the state, or nil if the state is
// incomplete: a state that misses a record must never be passed on to other nodes.
func (s State) Snapshot(id string) []Record {
	if !s.complete && !s.overrides.snapshotIncomplete {
		return nil
	}
	return s.split(id, false)
}

// split divides the state into the parts of a snapshot.
func (s State) split(id string, staged bool) []Record {
	entries := slices.SortedFunc(maps.Values(s.entries), func(a, b Entry) int {
		return cmp.Compare(a.Name, b.Name)
	})
	receipts := slices.SortedFunc(maps.Values(s.receipts), func(a, b Receipt) int {
		return cmp.Compare(a.Offset, b.Offset)
	})
	chunks := slices.Collect(slices.Chunk(entries, cmp.Or(s.overrides.partSize, partSize)))
	if len(chunks) == 0 {
		chunks = [][]Entry{nil}
	}
	records := make([]Record, len(chunks))
	for i, chunk := range chunks {
		records[i].Snapshot = &Snapshot{
			ID: id, AsOf: s.next, Part: i, Parts: len(chunks), Entries: chunk, Staged: staged, RevisionFloor: s.revisionFloor,
		}
	}
	records[0].Snapshot.Receipts = receipts
	return records
}

// partialSnapshots collects the parts of unfinished snapshots by snapshot ID and
// part number.
type partialSnapshots map[string]map[int]*Snapshot

// maxSnapshots is the maximum number of unfinished snapshots that a reader keeps.
const maxSnapshots = 8

// add stores a part and returns all parts of its snapshot if none is missing. Beyond
// maxSnapshots the unfinished snapshot with the lowest AsOf is dropped.
func (a partialSnapshots) add(s *Snapshot) []*Snapshot {
	if a[s.ID] == nil {
		a.evictOldest()
		a[s.ID] = make(map[int]*Snapshot)
	}
	if a.mismatched(s) {
		return nil
	}
	a[s.ID][s.Part] = s
	if len(a[s.ID]) < s.Parts {
		return nil
	}
	return slices.Collect(maps.Values(a[s.ID]))
}

// mismatched reports whether a part can't belong to the same snapshot as the other
// parts of its ID.
func (a partialSnapshots) mismatched(s *Snapshot) bool {
	for _, other := range a[s.ID] {
		return other.Parts != s.Parts || other.AsOf != s.AsOf
	}
	return false
}

// clone copies the maps. The parts themselves never change.
func (a partialSnapshots) clone() partialSnapshots {
	b := make(partialSnapshots, len(a))
	for id, parts := range a {
		b[id] = maps.Clone(parts)
	}
	return b
}

// partCount returns the number of parts of a snapshot, or 0 if none has been read.
func (a partialSnapshots) partCount(id string) int {
	for _, part := range a[id] {
		return part.Parts
	}
	return 0
}

// evictOldest drops the snapshot with the lowest AsOf if there is no space for
// another.
func (a partialSnapshots) evictOldest() {
	if len(a) < maxSnapshots {
		return
	}
	oldest := ""
	for id := range a {
		if oldest == "" || a.asOf(id) < a.asOf(oldest) {
			oldest = id
		}
	}
	delete(a, oldest)
}

// asOf returns the AsOf of an unfinished snapshot, or 0 if none of its parts has
// been read.
func (a partialSnapshots) asOf(id string) provider.Offset {
	for _, part := range a[id] {
		return part.AsOf
	}
	return 0
}
