package syncer

import (
	"maps"
	"time"

	"banyanquay/internal/registrar"
)

// departureTTL is how long a removed endpoint is remembered. The copies from which the
// store comes back are some seconds old.
const departureTTL = time.Minute

// departures holds the starts of endpoints that were removed, by ID. A store that comes
// back from an older copy lists them again.
type departures map[string]departure

// departure is the removal of one start of an endpoint.
type departure struct {
	born int64
	at   time.Time
}

// has reports whether this start of an endpoint, or a later one, was removed.
func (d departures) has(e registrar.Entry) bool {
	old, ok := d[e.ID]
	return ok && e.Born <= old.born
}

// update records the changes from one table to the next.
func (d departures) update(before, after *registrar.Table, now time.Time) {
	maps.DeleteFunc(d, func(_ string, old departure) bool { return now.Sub(old.at) > departureTTL })
	for _, e := range before.All() {
		if _, ok := after.Get(e.ID); !ok {
			d[e.ID] = departure{born: e.Born, at: now}
		}
	}
	for id := range d {
		if _, ok := after.Get(id); ok {
			delete(d, id)
		}
	}
}
