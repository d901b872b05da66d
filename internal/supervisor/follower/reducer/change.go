package reducer

import (
	"cmp"
	"slices"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// applyChange decides on the change at its offset and keeps the receipt. The receipt
// of an expired change is not kept: an earlier copy of it may have been accepted and its
// receipt dropped since.
func (s *State) applyChange(a positionedChange) Event {
	s.dropOldReceipts(a.offset)
	c := a.change
	if first, ok := s.receipts[c.ID]; ok && !s.overrides.ignoreReceipts {
		return Event{Offset: a.offset, Verdict: Duplicate, Receipt: first}
	}
	receipt := Receipt{Offset: a.offset, Organisation: c.Organisation}
	receipt.Revision = s.entries[c.Organisation].Revision
	if s.expired(a) {
		return Event{Offset: a.offset, Verdict: Expired, Receipt: receipt}
	}
	receipt.ID = c.ID
	receipt.Verdict, receipt.KeyOwner = s.evaluate(c)
	if receipt.Verdict == Accepted {
		s.accept(a)
	}
	receipt.Revision = s.entries[c.Organisation].Revision
	s.receipts[c.ID] = receipt
	return Event{Offset: a.offset, Verdict: receipt.Verdict, Receipt: receipt}
}

// expired reports whether a change was appended too late to be distinguished
// from a duplicate, or was made before the newest restore took effect.
func (s *State) expired(a positionedChange) bool {
	if s.overrides.acceptAnyAge {
		return false
	}
	return a.offset-a.change.Seen > s.window() || a.change.Seen < s.restoredAt()
}

// dropOldReceipts removes the receipts of changes whose duplicates would be expired
// at the given offset.
func (s *State) dropOldReceipts(now provider.Offset) {
	for id, r := range s.receipts {
		if now-r.Offset > s.window() {
			delete(s.receipts, id)
		}
	}
}

// window returns the maximum number of offsets between Seen and a change's own
// offset.
func (s *State) window() provider.Offset {
	return cmp.Or(s.overrides.window, Window)
}

// evaluate checks a change against the current state. It returns the verdict and,
// for KeyTaken, the organisation that owns the key.
func (s *State) evaluate(c *Change) (Verdict, string) {
	if c.Base != s.entries[c.Organisation].Revision && !s.overrides.acceptAnyBase {
		return Conflict, ""
	}
	if c.Remove || s.overrides.allowSharedKeys {
		return Accepted, ""
	}
	for _, hash := range c.Template.KeyHashes {
		if owner, ok := s.keyOwners[hash]; ok && owner != c.Organisation {
			return KeyTaken, owner
		}
	}
	return Accepted, ""
}

// accept makes a change the current state of its organisation and adds it to the
// history.
func (s *State) accept(a positionedChange) {
	c := a.change
	old := s.entries[c.Organisation]
	for _, hash := range old.Template.KeyHashes {
		delete(s.keyOwners, hash)
	}
	e := Entry{Name: c.Organisation, Revision: s.nextRevision(c.Base), Removed: c.Remove, Template: c.Template}
	accepted := AcceptedChange{
		ID: c.ID, Revision: e.Revision, Offset: a.offset, At: a.timestamp,
		Removed: c.Remove, Operator: c.Operator, Note: c.Note,
	}
	e.History = append(slices.Clone(old.History), accepted)
	e.History = e.History[max(0, len(e.History)-historySize):]
	s.entries[e.Name] = e
	s.indexKeys(e)
	if e.Removed && s.overrides.deleteRemoved {
		delete(s.entries, e.Name)
	}
}

// nextRevision returns the revision of an accepted change that was made from base.
func (s *State) nextRevision(base describer.Revision) describer.Revision {
	if s.overrides.ignoreRevisionFloor {
		return base + 1
	}
	return max(base, s.revisionFloor) + 1
}

// indexKeys records an organisation as the owner of its key hashes unless it is
// removed.
func (s *State) indexKeys(e Entry) {
	if e.Removed {
		return
	}
	for _, hash := range e.Template.KeyHashes {
		s.keyOwners[hash] = e.Name
	}
}
