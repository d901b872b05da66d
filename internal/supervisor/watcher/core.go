package watcher

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/spreader"
	"banyanquay/internal/supervisor/tracker"
)

// Times of the decisions.
const (
	// staleTime is the age at which a poll's answer no longer counts, since
	// this node must have been paused.
	staleTime = 3 * time.Second
	// suspicionTime is how long a failed request keeps an endpoint out of
	// this node's use unless a poll succeeds.
	suspicionTime = 3 * time.Second
	// holdTime is how long a watcher whose word that an endpoint is down was
	// refuted keeps that to itself.
	holdTime = 30 * time.Second
	// settleTime is how long others' word that an endpoint is down may be
	// refuted before it counts here.
	settleTime = 300 * time.Millisecond
	// newTime is how long after a new incarnation a report that the endpoint
	// is leaving may still be about the old one.
	newTime = 2 * time.Second
	// loadInterval is the least time between two gauges of an endpoint.
	loadInterval = 5 * time.Second
	// unlistedTime is how long an endpoint that is down must be missing from
	// the list before it is dropped.
	unlistedTime = time.Minute
	// compareInterval is the time between two digests to one of the links.
	compareInterval = 5 * time.Second
	// failuresToDown is how many polls in a row fail before an endpoint is
	// down.
	failuresToDown = 2
)

// local is what this node alone knows of an endpoint.
type local struct {
	// failures counts polls that failed in a row.
	failures int
	// suspectUntil is when a suspicion from a failed request ends.
	suspectUntil time.Time
	// holdUntil is until when this node does not tell that it is down.
	holdUntil time.Time
	// downSince is when others' word that it is down came.
	downSince time.Time
	// bornAt is when its incarnation was first known here.
	bornAt time.Time
	// gaugedAt is when its load was last spread from here.
	gaugedAt time.Time
	// seen is the endpoint as decoded from its entry.
	seen driver.Endpoint
}

// core is the state and the decisions of one watcher. It has no clock,
// socket or goroutine, and is not safe for concurrent use.
type core struct {
	self  string
	table *spreader.Table
	// locals are by address.
	locals map[string]*local
	// places are where the list puts the endpoints, and listedAt when it was
	// read.
	places   map[string]place
	listedAt time.Time
	// stopping holds the incarnations that the list first called leaving.
	stopping map[string]string
	nodes    electorate
	retirer  *spreader.Retirer
	compared time.Time
	// changes are those that the loop has not yet taken.
	changes []spreader.Change
	// dirty is set when the view must be made again, and worse when that
	// can't wait for the next tick.
	dirty bool
	worse bool
	// sorted are the addresses of the view; nil when they must be sorted
	// again.
	sorted []string
	// watching are the endpoints that this node polls, and reelect is set
	// when they must be chosen again.
	watching map[string]bool
	reelect  bool
}

// newCore returns a core that knows no endpoint.
func newCore(self string) *core {
	return &core{
		self:     self,
		table:    spreader.NewTable(),
		locals:   make(map[string]*local),
		places:   make(map[string]place),
		stopping: make(map[string]string),
		nodes:    electorate{"": {self}},
		retirer:  spreader.NewRetirer(),
	}
}

// local returns what this node alone knows of an endpoint.
func (c *core) local(address string) *local {
	l, ok := c.locals[address]
	if !ok {
		l = &local{}
		c.locals[address] = l
	}
	return l
}

// list takes the platform's list as just read.
func (c *core) list(now time.Time, vms []provider.VM) {
	c.listedAt = now
	c.dirty, c.sorted = true, nil
	c.places = make(map[string]place, len(vms))
	stopping := make(map[string]string)
	for _, vm := range vms {
		if vm.Role == provider.RoleNode {
			continue
		}
		c.places[vm.Address] = place{vm.Centre, vm.Role}
		if !vm.Leaving {
			continue
		}
		incarnation, ok := c.stopping[vm.Address]
		if !ok {
			e, _ := c.table.Get(vm.Address)
			incarnation = e.Incarnation
		}
		stopping[vm.Address] = incarnation
	}
	c.stopping = stopping
	c.reelect = true
}

// elect takes the nodes that may watch.
func (c *core) elect(nodes []tracker.Node) {
	e := newElectorate(nodes)
	if len(e) == 0 {
		e[""] = []string{c.self}
	}
	if !maps.EqualFunc(e, c.nodes, slices.Equal) {
		c.nodes = e
		c.reelect = true
	}
}

// place returns where an endpoint is.
func (c *core) place(address string) place {
	if l, ok := c.locals[address]; ok && l.seen.Address != "" {
		return place{l.seen.Centre, l.seen.Role}
	}
	return c.places[address]
}

// watched returns the endpoints that this node polls: its share of those that
// are known, and those on its list that no one has yet told of.
func (c *core) watched() map[string]bool {
	if !c.reelect {
		return c.watching
	}
	c.reelect = false
	watched := make(map[string]bool)
	for address := range c.places {
		if e, known := c.table.Get(address); !known || e.Condition == spreader.Gone {
			watched[address] = true
		}
	}
	c.table.Each(func(e spreader.Entry) {
		if e.Condition == spreader.Gone {
			return
		}
		if slices.Contains(c.nodes.elect(e.Address, c.place(e.Address).centre), c.self) {
			watched[e.Address] = true
		}
	})
	for address := range c.watching {
		if !watched[address] {
			c.local(address).failures = 0
		}
	}
	c.watching = watched
	return watched
}

// put changes an entry as an observer.
func (c *core) put(now time.Time, e spreader.Entry) {
	if change, changed := c.table.Put(e); changed {
		c.note(now, change)
		c.local(e.Address).downSince = time.Time{}
	}
}

// receive takes a peer's message.
func (c *core) receive(now time.Time, link string, msg spreader.Message) spreader.Result {
	r := c.table.Receive(link, msg)
	for _, change := range r.Changes {
		c.note(now, change)
		l := c.local(change.New.Address)
		switch {
		case change.New.Condition == spreader.Down && change.Old.Condition == spreader.Up:
			l.downSince = now
		case change.New.Condition == spreader.Up && change.Old.Condition == spreader.Down && l.failures > 0:
			l.holdUntil = now.Add(holdTime)
		}
	}
	c.dirty = c.dirty || len(r.Gauges) > 0
	return r
}

// note keeps what follows from a changed entry.
func (c *core) note(now time.Time, change spreader.Change) {
	e := change.New
	l := c.local(e.Address)
	if change.Old.Generation != e.Generation || change.Old.Incarnation != e.Incarnation {
		l.bornAt = now
		l.downSince = time.Time{}
	}
	if e.Condition == spreader.Up {
		l.downSince = time.Time{}
	}
	if seen, err := endpoint(e); err == nil {
		l.seen = seen
	}
	c.dirty = true
	c.worse = c.worse || change.Worse()
	if change.Old.Address == "" || (e.Condition == spreader.Gone) != (change.Old.Condition == spreader.Gone) {
		c.reelect, c.sorted = true, nil
	}
	c.changes = append(c.changes, change)
}

// takeChanges returns the changes since the last call.
func (c *core) takeChanges() []spreader.Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// tick lets time pass.
func (c *core) tick(now time.Time, pick func(n int) int) {
	limit := func(e spreader.Entry) time.Duration {
		if e.Condition == spreader.Down {
			return unlistedTime
		}
		return 0
	}
	listed := func(address string) bool {
		_, ok := c.places[address]
		return ok
	}
	for _, change := range c.retirer.Sweep(now, c.listedAt, c.table, listed, limit) {
		c.note(now, change)
	}
	for address, l := range c.locals {
		if _, known := c.table.Get(address); !known && !listed(address) {
			delete(c.locals, address)
			c.dirty, c.sorted = true, nil
			continue
		}
		if settles(now, l.downSince, settleTime) || (!l.suspectUntil.IsZero() && !now.Before(l.suspectUntil)) {
			l.downSince, l.suspectUntil = time.Time{}, time.Time{}
			c.dirty = true
		}
	}
	if now.Sub(c.compared) >= compareInterval {
		c.compared = now
		c.table.QueueDigest(pick)
	}
}

// settles tells whether a time that was set is past by d.
func settles(now, since time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}
