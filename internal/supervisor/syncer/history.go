package syncer

import (
	"github.com/google/uuid"

	"banyanquay/internal/registrar"
)

// historyLength is how many removals are remembered; who asks from before that
// gets the whole table.
const historyLength = 256

// history numbers the changes of a node's table, so that nodes that ask again are
// told only what has changed.
type history struct {
	// source names this history; numbers of another mean nothing here.
	source string
	// at counts the changes.
	at uint64
	// changed has the number of each entry's last change.
	changed map[string]uint64
	// gone are the last removals in order, and forgotten the number up to which
	// they are no longer known.
	gone      []removal
	forgotten uint64
}

// removal is an entry that went with a change.
type removal struct {
	id string
	at uint64
}

func newHistory() history {
	return history{source: uuid.NewString(), changed: make(map[string]uint64)}
}

// note takes in that a table follows another one.
func (h *history) note(before, after *registrar.Table) {
	changed := false
	for _, e := range after.All() {
		if old, ok := before.Get(e.ID); !ok || old != e {
			h.changed[e.ID] = h.at + 1
			changed = true
		}
	}
	for _, e := range before.All() {
		if _, ok := after.Get(e.ID); !ok {
			delete(h.changed, e.ID)
			h.gone = append(h.gone, removal{e.ID, h.at + 1})
			changed = true
		}
	}
	if changed {
		h.at++
	}
	if over := len(h.gone) - historyLength; over > 0 {
		h.forgotten = h.gone[over-1].at
		h.gone = h.gone[over:]
	}
}

// since returns what has changed after a number: the entries and the removals, or
// the whole table if that is not known.
func (h *history) since(table *registrar.Table, source string, at uint64) (entries []registrar.Entry, gone []string, whole bool) {
	if source != h.source || at < h.forgotten || at > h.at {
		return table.All(), nil, true
	}
	for _, e := range table.All() {
		if h.changed[e.ID] > at {
			entries = append(entries, e)
		}
	}
	for _, r := range h.gone {
		if r.at > at {
			gone = append(gone, r.id)
		}
	}
	return entries, gone, false
}
