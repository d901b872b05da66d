package watcher

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/replicator"
)

// View is a snapshot of the endpoints. It is an immutable value.
type View struct {
	version uint64
	all     []driver.Endpoint
}

// All returns the endpoints sorted by address. The slice must not be changed.
func (v View) All() []driver.Endpoint { return v.all }

// Version grows with every change of the view.
func (v View) Version() uint64 { return v.version }

// endpoints returns the current state of all endpoints, sorted by address.
func (c *core) endpoints(now time.Time) []driver.Endpoint {
	if c.sortedAddresses == nil {
		c.sortedAddresses = c.addresses()
	}
	all := make([]driver.Endpoint, 0, len(c.sortedAddresses))
	for _, address := range c.sortedAddresses {
		e, known := c.table.Get(address)
		if l := c.localStates[address]; known && l != nil && l.endpoint.Address != "" {
			all = append(all, c.endpointView(now, e, l))
		} else if loc, listed := c.locations[address]; listed {
			all = append(all, driver.Endpoint{Address: address, Centre: loc.centre, Role: loc.role, Down: true})
		}
	}
	return all
}

// addresses returns the addresses that are known or listed, sorted.
func (c *core) addresses() []string {
	set := make(map[string]bool)
	c.table.Each(func(e replicator.Entry) {
		if e.Condition != replicator.Gone {
			set[e.Address] = true
		}
	})
	for address := range c.locations {
		set[address] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// endpointView returns an endpoint from its entry, with its load, its leaving state on
// the platform's list, and this node's own suspicion.
func (c *core) endpointView(now time.Time, e replicator.Entry, l *localState) driver.Endpoint {
	endpoint := l.endpoint
	endpoint.Status.Running = int(c.table.Gauge(e.Address).Load)
	if incarnation, ok := c.leavingIncarnations[e.Address]; ok && incarnation == e.Incarnation {
		endpoint.Status.Leaving = true
	}
	// A recent report by another node that it is down may still be refuted.
	if !l.downReportedAt.IsZero() && now.Sub(l.downReportedAt) < downConfirmDelay {
		endpoint.Down = false
	}
	endpoint.Suspect = now.Before(l.suspectUntil)
	return endpoint
}
