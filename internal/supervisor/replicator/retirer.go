package replicator

import "time"

// Times of the retirer.
const (
	sweepInterval = 5 * time.Second
	// tombstoneRetention is how long an entry that is gone is kept.
	tombstoneRetention = 10 * time.Minute
)

// Retirer retires entries that the platform no longer lists: it turns them into
// tombstones, and later deletes those. It is not safe for concurrent use.
type Retirer struct {
	lastSweep time.Time
	// missingSince is when an entry was first missing from the list.
	missingSince map[string]time.Time
	// goneSince is when an entry was first seen as a tombstone.
	goneSince map[string]time.Time
}

// NewRetirer returns a Retirer without state.
func NewRetirer() *Retirer {
	return &Retirer{missingSince: make(map[string]time.Time), goneSince: make(map[string]time.Time)}
}

// Sweep marks as gone the entries that have been missing from the list, as read at
// listedAt, for their limit; a limit of 0 keeps an entry. Without new reads of the
// list no entry is retired.
func (r *Retirer) Sweep(
	now, listedAt time.Time, t *Table, listed func(address string) bool, limit func(Entry) time.Duration,
) []Change {
	if now.Sub(r.lastSweep) < sweepInterval || listedAt.IsZero() {
		return nil
	}
	r.lastSweep = now
	var changes []Change
	var tombstones []string
	t.Each(func(e Entry) {
		if e.Condition == Gone {
			tombstones = append(tombstones, e.Address)
			return
		}
		delete(r.goneSince, e.Address)
		if r.expired(listedAt, e.Address, listed(e.Address), limit(e)) {
			e.Condition = Gone
			changes = append(changes, Change{New: e})
		}
	})
	for _, address := range tombstones {
		r.expireTombstone(now, t, address)
	}
	for i, change := range changes {
		changes[i], _ = t.Put(change.New)
	}
	return changes
}

// expired reports whether an entry has been missing from the list for limit.
func (r *Retirer) expired(listedAt time.Time, address string, listed bool, limit time.Duration) bool {
	if listed || limit == 0 {
		delete(r.missingSince, address)
		return false
	}
	since, ok := r.missingSince[address]
	if !ok {
		r.missingSince[address] = listedAt
		return false
	}
	return listedAt.Sub(since) >= limit
}

// expireTombstone deletes a tombstone after tombstoneRetention.
func (r *Retirer) expireTombstone(now time.Time, t *Table, address string) {
	delete(r.missingSince, address)
	since, ok := r.goneSince[address]
	if !ok {
		r.goneSince[address] = now
		return
	}
	if now.Sub(since) >= tombstoneRetention {
		delete(r.goneSince, address)
		t.Forget(address)
	}
}
