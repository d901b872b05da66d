package syncer

import (
	"github.com/google/uuid"

	"banyanquay/internal/registrar"
)

// maxRemovals bounds the removals that are kept. A node that queries from an earlier
// revision gets the full table.
const maxRemovals = 256

// history numbers the changes to a node's table, so that nodes that query again are
// sent only what has changed.
type history struct {
	// id identifies this history; revisions of another history are meaningless here.
	id string
	// revision counts the changes.
	revision uint64
	// lastChanged holds the revision of each entry's last change.
	lastChanged map[string]uint64
	// removals are the latest removals in order. Removals up to the revision
	// prunedTo have been discarded.
	removals []removal
	prunedTo uint64
}

// removal is the ID of a removed entry and the revision of its removal.
type removal struct {
	id       string
	revision uint64
}

func newHistory() history {
	return history{id: uuid.NewString(), lastChanged: make(map[string]uint64)}
}

// update records the changes from one table to the next. An entry that is listed again after it was retained
// counts as changed, since nodes that were sent the table meanwhile may not have it.
func (h *history) update(before, after *registrar.Table) {
	changed := false
	for _, e := range after.All() {
		if old, ok := before.Get(e.ID); !ok || old != e || before.Retained(e.ID) && !after.Retained(e.ID) {
			h.lastChanged[e.ID] = h.revision + 1
			changed = true
		}
	}
	for _, e := range before.All() {
		if _, ok := after.Get(e.ID); !ok {
			delete(h.lastChanged, e.ID)
			h.removals = append(h.removals, removal{e.ID, h.revision + 1})
			changed = true
		}
	}
	if changed {
		h.revision++
	}
	if over := len(h.removals) - maxRemovals; over > 0 {
		h.prunedTo = h.removals[over-1].revision
		h.removals = h.removals[over:]
	}
}

// changesSince returns the entries that changed and the IDs that were removed after
// a revision, or the full table and the IDs of its retained entries if those are not known. Retained entries
// are no changes: whether they are removed is not known yet.
func (h *history) changesSince(table *registrar.Table, historyID string, revision uint64) (entries []registrar.Entry, removed []string, full bool) {
	if historyID != h.id || revision < h.prunedTo || revision > h.revision {
		return table.All(), table.RetainedIDs(), true
	}
	for _, e := range table.All() {
		if h.lastChanged[e.ID] > revision && !table.Retained(e.ID) {
			entries = append(entries, e)
		}
	}
	for _, r := range h.removals {
		if r.revision > revision {
			removed = append(removed, r.id)
		}
	}
	return entries, removed, false
}
