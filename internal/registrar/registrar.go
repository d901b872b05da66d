// Package registrar keeps the table of endpoints that register themselves in
// the platform's store. Its fold reads no clock: every event brings its time.
package registrar

import (
	"maps"
	"slices"
	"time"
)

// Entry is what an endpoint last said of itself. It is an immutable value.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// ID names one start of the endpoint, except that a restart may keep it;
	// Born tells those apart.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Centre  string
	// Born is the endpoint's own time of its start in Unix milliseconds; 0 if
	// it gave none.
	Born int64
	// Leaving is set once the endpoint has announced that it leaves.
	Leaving bool
	// Accelerator is the kind of hardware; empty for plain services.
	Accelerator string
	Model       string
	// Version is that of the layers held.
	Version string
	// First and Last bound the layers held as [First, Last); both 0 if none.
	First int
	Last  int
	Slots int
}

// Holds tells whether the endpoint holds any layers.
func (e Entry) Holds() bool { return e.Last > e.First }

// SameStart tells whether two entries are of one start.
func (e Entry) SameStart(o Entry) bool { return e.ID == o.ID && e.Born == o.Born }

// Table is the endpoints known. It is an immutable value.
type Table struct {
	entries map[string]Entry
	// retained holds entries that the store dropped around an outage of its
	// own, with the time until which they still count.
	retained map[string]time.Time
}

// Len is the number of entries.
func (t Table) Len() int { return len(t.entries) }

// Get returns the entry of an endpoint, and whether there is one.
func (t Table) Get(id string) (Entry, bool) {
	e, ok := t.entries[id]
	return e, ok
}

// All returns the entries in order of their ID.
func (t Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		all = append(all, t.entries[id])
	}
	return all
}

// Change is one record of the store.
type Change struct {
	ID string
	// Entry is nil if the record drops the endpoint or can't be read.
	Entry *Entry
	// Unreadable is set for a record that names no endpoint to use; what was
	// known of the ID before is dropped with it.
	Unreadable bool
}

// With returns the table after some changes. Entries dropped before keepUntil
// stay until then: the store may have let them lapse while it was away.
func (t Table) With(now, keepUntil time.Time, changes []Change) Table {
	next := Table{entries: maps.Clone(t.entries), retained: maps.Clone(t.retained)}
	if next.entries == nil {
		next.entries = make(map[string]Entry)
	}
	if next.retained == nil {
		next.retained = make(map[string]time.Time)
	}
	for _, c := range changes {
		delete(next.retained, c.ID)
		switch {
		case c.Entry != nil:
			next.merge(*c.Entry)
		case c.Unreadable || !now.Before(keepUntil):
			delete(next.entries, c.ID)
		default:
			next.retained[c.ID] = keepUntil
		}
	}
	return next.removeExpired(now)
}

// merge takes in an entry, unless it is of an earlier start than the one known: a
// record may be late. An endpoint that leaves never comes back in one start.
func (t Table) merge(e Entry) {
	old, known := t.entries[e.ID]
	if known && e.Born < old.Born {
		return
	}
	if known && old.SameStart(e) && old.Leaving {
		e.Leaving = true
	}
	t.entries[e.ID] = e
}

// Replaced returns a table of just these entries; those that vanish with it
// stay until keepUntil.
func (t Table) Replaced(now, keepUntil time.Time, entries []Entry) Table {
	changes := make([]Change, 0, len(entries))
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.ID] = true
		changes = append(changes, Change{ID: e.ID, Entry: &e})
	}
	for id := range t.entries {
		if !seen[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	return t.With(now, keepUntil, changes)
}

// Expired returns the table without the lapsed entries whose time is over.
func (t Table) Expired(now time.Time) Table {
	for _, until := range t.retained {
		if !now.Before(until) {
			return t.With(now, now, nil)
		}
	}
	return t
}

// removeExpired drops the lapsed entries whose time is over.
func (t Table) removeExpired(now time.Time) Table {
	for id, until := range t.retained {
		if !now.Before(until) {
			delete(t.retained, id)
			delete(t.entries, id)
		}
	}
	return t
}
