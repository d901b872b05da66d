// Package registrar keeps the table of endpoints that register themselves in
// the platform's store. It doesn't read the clock: callers pass the time.
package registrar

import (
	"maps"
	"slices"
	"time"
)

// Entry is an endpoint's latest registration. It is an immutable value.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies one start of the endpoint, although a restart may keep it; Born
	// distinguishes such starts.
	ID      string
	Service string
	// Address is host:port.
	Address string
	Centre  string
	// Born is the time of the endpoint's start by its own clock, in Unix
	// milliseconds; 0 if it reported none.
	Born int64
	// Leaving is set once the endpoint has announced that it leaves.
	Leaving bool
	// Accelerator is the kind of hardware; empty for plain services.
	Accelerator string
	Model       string
	// Version is the version of the layers held.
	Version string
	// First and Last bound the layers held as [First, Last); both 0 if none.
	First int
	Last  int
	Slots int
}

// Holds reports whether the endpoint holds any layers.
func (e Entry) Holds() bool { return e.Last > e.First }

// FitsModel reports whether the layers held, if any, are among those of a model with a number
// of layers. An entry with others doesn't describe an engine of that model.
func (e Entry) FitsModel(layers int) bool {
	return !e.Holds() || e.First >= 0 && e.Last <= layers
}

// SameStart reports whether two entries belong to the same start of an endpoint.
func (e Entry) SameStart(o Entry) bool { return e.ID == o.ID && e.Born == o.Born }

// Table holds the known endpoints. It is an immutable value.
type Table struct {
	entries map[string]Entry
	// retained maps the IDs of entries that the store dropped around an outage of its
	// own to the time until which they are kept.
	retained map[string]time.Time
}

// Len returns the number of entries.
func (t Table) Len() int { return len(t.entries) }

// Get returns the entry of an endpoint, and whether it exists.
func (t Table) Get(id string) (Entry, bool) {
	e, ok := t.entries[id]
	return e, ok
}

// has reports whether an endpoint is in the table.
func (t Table) has(id string) bool {
	_, ok := t.entries[id]
	return ok
}

// Retained reports whether an endpoint is only in the table because the store may have dropped it around an outage
// of its own.
func (t Table) Retained(id string) bool {
	_, retained := t.retained[id]
	return retained
}

// RetainedIDs returns the IDs of the entries that are retained, sorted.
func (t Table) RetainedIDs() []string { return slices.Sorted(maps.Keys(t.retained)) }

// All returns the entries, sorted by ID.
func (t Table) All() []Entry {
	all := make([]Entry, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		all = append(all, t.entries[id])
	}
	return all
}

// Change is a record read from the store.
type Change struct {
	ID string
	// Entry is nil if the record removes the endpoint or can't be decoded.
	Entry *Entry
	// Unreadable is set if the record can't be decoded; the previous entry of the ID
	// is removed.
	Unreadable bool
}

// With returns the table after the changes. Entries that the store removes before
// keepUntil are kept until then, since they may have expired during an outage of the
// store. One that isn't in this table, but only in earlier records among the changes, is
// not: it was gone already.
func (t Table) With(now, keepUntil time.Time, changes []Change) Table {
	next := t.clone()
	for _, c := range changes {
		delete(next.retained, c.ID)
		switch {
		case c.Entry != nil:
			next.merge(*c.Entry)
		case c.Unreadable || !now.Before(keepUntil) || !t.has(c.ID):
			delete(next.entries, c.ID)
		default:
			next.retained[c.ID] = keepUntil
		}
	}
	return next.removeExpired(now)
}

// clone returns a copy whose maps can be changed.
func (t Table) clone() Table {
	next := Table{entries: maps.Clone(t.entries), retained: maps.Clone(t.retained)}
	if next.entries == nil {
		next.entries = make(map[string]Entry)
	}
	if next.retained == nil {
		next.retained = make(map[string]time.Time)
	}
	return next
}

// WithRetained returns the table with the entries retained until a time, whether it had them or not.
func (t Table) WithRetained(until time.Time, entries []Entry) Table {
	next := t.clone()
	for _, e := range entries {
		next.merge(e)
		next.retained[e.ID] = until
	}
	return next
}

// WithoutRetained returns the table without those of the given entries that are retained.
func (t Table) WithoutRetained(ids []string) Table {
	next := t.clone()
	for _, id := range ids {
		if next.Retained(id) {
			delete(next.retained, id)
			delete(next.entries, id)
		}
	}
	return next
}

// WithLeaving returns the table with an endpoint's entry set to leaving. It stays retained if it is.
func (t Table) WithLeaving(id string) Table {
	next := t.clone()
	if e, ok := next.entries[id]; ok {
		e.Leaving = true
		next.entries[id] = e
	}
	return next
}

// merge stores an entry, unless it belongs to an earlier start than the known one,
// since records may arrive late. Leaving stays set for the rest of a start.
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

// Replaced returns a table with exactly these entries; previous ones that are missing
// from them are kept until keepUntil.
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

// Expired returns the table without the retained entries whose time has passed.
func (t Table) Expired(now time.Time) Table {
	for _, until := range t.retained {
		if !now.Before(until) {
			return t.With(now, now, nil)
		}
	}
	return t
}

// removeExpired removes the retained entries whose time has passed.
func (t Table) removeExpired(now time.Time) Table {
	for id, until := range t.retained {
		if !now.Before(until) {
			delete(t.retained, id)
			delete(t.entries, id)
		}
	}
	return t
}
