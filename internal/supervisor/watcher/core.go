package watcher

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/replicator"
	"banyanquay/internal/supervisor/tracker"
)

// Timeouts, intervals and thresholds of the watcher.
const (
	// maxPollAge is the age above which the result of a poll is ignored, since this
	// node must have been paused.
	maxPollAge = 3 * time.Second
	// suspicionTimeout is how long a failed request keeps this node from using an
	// endpoint unless a poll succeeds.
	suspicionTimeout = 3 * time.Second
	// downReportBackoff is how long a node whose report that an endpoint is down was
	// refuted does not report that again.
	downReportBackoff = 30 * time.Second
	// downConfirmDelay is how long another node's report that an endpoint is down may
	// be refuted before it takes effect here.
	downConfirmDelay = 300 * time.Millisecond
	// newIncarnationPeriod is how long after a new incarnation a report that the
	// endpoint is leaving may still be about the old one.
	newIncarnationPeriod = 2 * time.Second
	// gaugeInterval is the minimum time between two gauges of an endpoint.
	gaugeInterval = 5 * time.Second
	// unlistedTimeout is how long an endpoint that is down must be missing from the
	// list before it is dropped.
	unlistedTimeout = time.Minute
	// digestInterval is the time between two digests, each to one of the links.
	digestInterval = 5 * time.Second
	// failureThreshold is how many polls in a row fail before an endpoint is down.
	failureThreshold = 2
)

// localState is the part of an endpoint's state that nodes don't exchange.
type localState struct {
	// failures counts polls that failed in a row.
	failures int
	// suspectUntil is when a suspicion from a failed request ends.
	suspectUntil time.Time
	// downReportBackoffUntil is until when this node does not report it as down.
	downReportBackoffUntil time.Time
	// downReportedAt is when another node's report that it is down arrived, zero once
	// that took effect or was refuted.
	downReportedAt time.Time
	// incarnationSeenAt is when its incarnation was first known here.
	incarnationSeenAt time.Time
	// gaugedAt is when this node last queued its load.
	gaugedAt time.Time
	// endpoint is the endpoint as decoded from its entry.
	endpoint driver.Endpoint
}

// core holds the state of one watcher and makes its decisions. It has no clock,
// socket or goroutine, and is not safe for concurrent use.
type core struct {
	self  string
	table *replicator.Table
	// localStates are by address.
	localStates map[string]*localState
	// locations holds the locations of the listed endpoints by address, and listedAt is
	// when it was read.
	locations map[string]location
	listedAt  time.Time
	// leavingIncarnations holds, by address, the incarnation that was known when the
	// list first reported the endpoint as leaving.
	leavingIncarnations map[string]string
	eligible            eligibleNodes
	retirer             *replicator.Retirer
	digestQueuedAt      time.Time
	// pendingChanges are the changes that takeChanges has not yet returned.
	pendingChanges []replicator.Change
	// viewStale is set when the view must be rebuilt, and publishNow when that can't
	// wait for the next tick.
	viewStale  bool
	publishNow bool
	// sortedAddresses are the addresses of the view; nil when they must be sorted
	// again.
	sortedAddresses []string
	// assigned are the endpoints that this node polls, and assignmentStale is set
	// when they must be chosen again.
	assigned        map[string]bool
	assignmentStale bool
}

// newCore returns a core that knows no endpoint.
func newCore(self string) *core {
	return &core{
		self:                self,
		table:               replicator.NewTable(),
		localStates:         make(map[string]*localState),
		locations:           make(map[string]location),
		leavingIncarnations: make(map[string]string),
		eligible:            eligibleNodes{"": {self}},
		retirer:             replicator.NewRetirer(),
	}
}

// localState returns the localState of an endpoint, which it adds if there is none.
func (c *core) localState(address string) *localState {
	l, ok := c.localStates[address]
	if !ok {
		l = &localState{}
		c.localStates[address] = l
	}
	return l
}

// applyList applies the platform's list, which has just been read.
func (c *core) applyList(now time.Time, vms []provider.VM) {
	c.listedAt = now
	c.viewStale, c.sortedAddresses = true, nil
	c.locations = make(map[string]location, len(vms))
	leavingIncarnations := make(map[string]string)
	for _, vm := range vms {
		if vm.Role == provider.RoleNode {
			continue
		}
		c.locations[vm.Address] = location{vm.Centre, vm.Role}
		if !vm.Leaving {
			continue
		}
		incarnation, ok := c.leavingIncarnations[vm.Address]
		if !ok {
			e, _ := c.table.Get(vm.Address)
			incarnation = e.Incarnation
		}
		leavingIncarnations[vm.Address] = incarnation
	}
	c.leavingIncarnations = leavingIncarnations
	c.assignmentStale = true
}

// setNodes sets the nodes that may poll. If there are none, this node polls all
// endpoints.
func (c *core) setNodes(nodes []tracker.Node) {
	eligible := newEligibleNodes(nodes)
	if len(eligible) == 0 {
		eligible[""] = []string{c.self}
	}
	if !maps.EqualFunc(eligible, c.eligible, slices.Equal) {
		c.eligible = eligible
		c.assignmentStale = true
	}
}

// location returns the location of an endpoint by its entry, or else by the list.
func (c *core) location(address string) location {
	if l, ok := c.localStates[address]; ok && l.endpoint.Address != "" {
		return location{l.endpoint.Centre, l.endpoint.Role}
	}
	return c.locations[address]
}

// assignedEndpoints returns the endpoints that this node polls: its share of those
// that are known, and those on its list that no node has reported yet.
func (c *core) assignedEndpoints() map[string]bool {
	if !c.assignmentStale {
		return c.assigned
	}
	c.assignmentStale = false
	assigned := make(map[string]bool)
	for address := range c.locations {
		if e, known := c.table.Get(address); !known || e.Condition == replicator.Gone {
			assigned[address] = true
		}
	}
	c.table.Each(func(e replicator.Entry) {
		if e.Condition == replicator.Gone {
			return
		}
		if slices.Contains(c.eligible.pollers(e.Address, c.location(e.Address).centre), c.self) {
			assigned[e.Address] = true
		}
	})
	for address := range c.assigned {
		if !assigned[address] {
			c.localState(address).failures = 0
		}
	}
	c.assigned = assigned
	return assigned
}

// put stores an entry that this node wrote, and applies the change.
func (c *core) put(now time.Time, e replicator.Entry) {
	if change, changed := c.table.Put(e); changed {
		c.applyChange(now, change)
		c.localState(e.Address).downReportedAt = time.Time{}
	}
}

// receive merges a peer's message.
func (c *core) receive(now time.Time, link string, msg replicator.Message) replicator.Result {
	r := c.table.Receive(link, msg)
	for _, change := range r.Changes {
		c.applyChange(now, change)
		l := c.localState(change.New.Address)
		switch {
		case change.New.Condition == replicator.Down && change.Old.Condition == replicator.Up:
			l.downReportedAt = now
		case change.New.Condition == replicator.Up && change.Old.Condition == replicator.Down && l.failures > 0:
			l.downReportBackoffUntil = now.Add(downReportBackoff)
		}
	}
	c.viewStale = c.viewStale || len(r.Gauges) > 0
	return r
}

// applyChange updates the state that depends on a changed entry.
func (c *core) applyChange(now time.Time, change replicator.Change) {
	e := change.New
	l := c.localState(e.Address)
	if change.Old.Generation != e.Generation || change.Old.Incarnation != e.Incarnation {
		l.incarnationSeenAt = now
		l.downReportedAt = time.Time{}
	}
	if e.Condition == replicator.Up {
		l.downReportedAt = time.Time{}
	}
	if decoded, err := decodeEndpoint(e); err == nil {
		l.endpoint = decoded
	}
	c.viewStale = true
	c.publishNow = c.publishNow || change.Worse()
	if change.Old.Address == "" || (e.Condition == replicator.Gone) != (change.Old.Condition == replicator.Gone) {
		c.assignmentStale, c.sortedAddresses = true, nil
	}
	c.pendingChanges = append(c.pendingChanges, change)
}

// takeChanges returns the changes since the last call.
func (c *core) takeChanges() []replicator.Change {
	changes := c.pendingChanges
	c.pendingChanges = nil
	return changes
}

// tick advances the time: it drops unlisted endpoints, ends confirmation delays and
// suspicions, and queues digests.
func (c *core) tick(now time.Time, pick func(n int) int) {
	limit := func(e replicator.Entry) time.Duration {
		if e.Condition == replicator.Down {
			return unlistedTimeout
		}
		return 0
	}
	listed := func(address string) bool {
		_, ok := c.locations[address]
		return ok
	}
	for _, change := range c.retirer.Sweep(now, c.listedAt, c.table, listed, limit) {
		c.applyChange(now, change)
	}
	for address, l := range c.localStates {
		if _, known := c.table.Get(address); !known && !listed(address) {
			delete(c.localStates, address)
			c.viewStale, c.sortedAddresses = true, nil
			continue
		}
		if elapsed(now, l.downReportedAt, downConfirmDelay) || (!l.suspectUntil.IsZero() && !now.Before(l.suspectUntil)) {
			l.downReportedAt, l.suspectUntil = time.Time{}, time.Time{}
			c.viewStale = true
		}
	}
	if now.Sub(c.digestQueuedAt) >= digestInterval {
		c.digestQueuedAt = now
		c.table.QueueDigest(pick)
	}
}

// elapsed reports whether a time is set and d has passed since.
func elapsed(now, since time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}
