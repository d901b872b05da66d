package tracker

import (
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/replicator"
)

// Timeouts, intervals and thresholds of the tracker.
const (
	// suspicionTimeout is how long a suspected node has to refute the suspicion.
	suspicionTimeout = 8 * time.Second
	// silentThreshold is the silence of a data centre above which the suspicion
	// timeouts of its nodes don't run, and up to which an unreachable one counts as
	// reachable again. It is well below suspicionTimeout, so that a network partition
	// is recognised before the nodes behind it are declared down.
	silentThreshold = 4 * time.Second
	// unreachableThreshold is the silence after which a data centre with suspected
	// nodes counts as unreachable.
	unreachableThreshold = 8 * time.Second
	// pauseThreshold is the gap between two ticks above which this node counts as
	// having been paused.
	pauseThreshold = 5 * time.Second
	// unlistedTimeout is how long a node that is down must be missing from the list
	// before it is dropped, and unreachableUnlistedTimeout one that is unreachable.
	unlistedTimeout            = time.Minute
	unreachableUnlistedTimeout = 2 * time.Hour
	// digestInterval is the time between two digests, each to one of the links.
	digestInterval = 5 * time.Second
	// gaugeIntervalPerNode, minGaugeInterval and maxGaugeInterval set the time
	// between two gauges of a node when nothing changes, and changedGaugeInterval is
	// its minimum when a value has changed.
	gaugeIntervalPerNode = 300 * time.Millisecond
	minGaugeInterval     = 2 * time.Second
	maxGaugeInterval     = 2 * time.Minute
	changedGaugeInterval = 2 * time.Second
	// listIntervalPerNode, minListInterval and maxListInterval set the mean time
	// between two reads of the list.
	listIntervalPerNode = 350 * time.Millisecond
	minListInterval     = 2 * time.Second
	maxListInterval     = 2 * time.Minute
	// probeInterval is the time between two probes of a node that is down,
	// unreachable, leaving or never heard from.
	probeInterval = 10 * time.Second
	// redialTimeout is how long a node dials a peer again after their last link
	// ended.
	redialTimeout = 5 * time.Second
	// dialBackoff is how long after a failed dial a node that was never heard from is
	// not dialled again.
	dialBackoff = 30 * time.Second
)

// core holds the state of one tracker and makes its decisions. It has no clock,
// socket or goroutine, and is not safe for concurrent use.
type core struct {
	self  Node
	table *replicator.Table
	// vms are the nodes on the list as last read, by address, and listedAt is when it
	// was read.
	vms      map[string]provider.VM
	listedAt time.Time
	// leavingIncarnations holds, by address, the incarnation that was known when the
	// list first reported the node as leaving. The list lags, so its report does not
	// apply to a later incarnation.
	leavingIncarnations map[string]string
	// centreOf is the data centre of each known address.
	centreOf map[string]string
	// lastHeard is when a node of each data centre last sent a frame, either to this
	// node or to a peer that reported it in its silences. Relayed entries do not count
	// as a sign of life, since they may have been delayed on the way.
	lastHeard map[string]time.Time
	// silencesSentAt is when the silences of the data centres were last sent over
	// each link.
	silencesSentAt map[string]time.Time
	// unreachable holds the data centres that count as unreachable.
	unreachable map[string]bool
	// suspectedSince is when the suspicion timeout of each suspected node last
	// started.
	suspectedSince map[string]time.Time
	retirer        *replicator.Retirer
	// pendingChanges are the changes that takeChanges has not yet returned.
	pendingChanges []replicator.Change
	// linksStale is set when the wanted links must be chosen again, and snapshotStale
	// when the snapshot must be rebuilt.
	linksStale    bool
	snapshotStale bool
	// chosenLinks are the addresses that wantedLinks chose last.
	chosenLinks []string
	// backoffUntil is when an address that was never heard from may be dialled again.
	backoffUntil map[string]time.Time
	// linkCount is the number of links that are up by address.
	linkCount map[string]int
	// linkLostAt is when the last link with an address ended.
	linkLostAt map[string]time.Time
	// probeTarget is the address being probed, empty if none, and probedAt is when
	// the last probe was due.
	probeTarget    string
	probedAt       time.Time
	tickedAt       time.Time
	digestQueuedAt time.Time
	gaugedAt       time.Time
	lastGauge      replicator.Gauge
}

// newCore returns a core that knows only its own node.
func newCore(now time.Time, self Node) *core {
	c := &core{
		self:           self,
		table:          replicator.NewTable(),
		vms:            make(map[string]provider.VM),
		centreOf:       map[string]string{self.Address: self.Centre},
		lastHeard:      make(map[string]time.Time),
		silencesSentAt: make(map[string]time.Time),
		unreachable:    make(map[string]bool),
		suspectedSince: make(map[string]time.Time),
		retirer:        replicator.NewRetirer(),
		backoffUntil:   make(map[string]time.Time),
		linkCount:      make(map[string]int),
		linkLostAt:     make(map[string]time.Time),
		tickedAt:       now,
		linksStale:     true,
		snapshotStale:  true,
	}
	c.lastHeard[self.Centre] = now
	c.table.Put(replicator.Entry{
		Address: self.Address, Generation: uint64(now.Unix()),
		Incarnation: self.Incarnation, Version: 1, Body: c.encodeSelf(),
	})
	return c
}

// applyList applies the platform's list, which has just been read.
func (c *core) applyList(now time.Time, vms []provider.VM) {
	c.vms = make(map[string]provider.VM, len(vms))
	c.listedAt = now
	leavingIncarnations := make(map[string]string)
	for _, vm := range vms {
		if vm.Role != provider.RoleNode {
			continue
		}
		c.vms[vm.Address] = vm
		if c.centreOf[vm.Address] == "" {
			c.centreOf[vm.Address] = vm.Centre
		}
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
	c.markStale()
}

// markStale marks the wanted links and the snapshot for an update.
func (c *core) markStale() {
	c.linksStale, c.snapshotStale = true, true
}

// leave announces that this node leaves.
func (c *core) leave() {
	c.self.Leaving = true
	e, _ := c.table.Get(c.self.Address)
	e.Leaving = true
	c.table.Put(e)
	c.markStale()
}

// linkUp records a new link with a peer.
func (c *core) linkUp(now time.Time, link, address string, dialled bool) {
	c.table.LinkUp(link, dialled)
	c.linkCount[address]++
	c.markHeard(now, address)
	delete(c.backoffUntil, address)
	c.markStale()
}

// linkDown records the end of a link.
func (c *core) linkDown(now time.Time, link, address string) {
	c.table.LinkDown(link)
	delete(c.silencesSentAt, link)
	if c.linkCount[address]--; c.linkCount[address] <= 0 {
		delete(c.linkCount, address)
		c.linkLostAt[address] = now
		c.markStale()
	}
}

// dialFailed records that a node could not be dialled. It suspects the node if it is
// up and has no link, and backs off from an address without an entry.
func (c *core) dialFailed(now time.Time, address string) {
	e, known := c.table.Get(address)
	if !known {
		c.backoffUntil[address] = now.Add(dialBackoff)
		c.markStale()
		return
	}
	if e.Condition != replicator.Up || c.linkCount[address] > 0 {
		return
	}
	e.Condition = replicator.Suspect
	c.put(now, e)
}

// put stores an entry that this node wrote, and applies the change.
func (c *core) put(now time.Time, e replicator.Entry) {
	if change, changed := c.table.Put(e); changed {
		c.applyChange(now, change)
	}
}

// receive merges a peer's message.
func (c *core) receive(now time.Time, link, address string, msg message) replicator.Result {
	r := c.table.Receive(link, msg.Deltas)
	c.markHeard(now, address)
	c.mergeSilences(now, msg.Silences)
	for _, change := range r.Changes {
		c.applyChange(now, change)
		if change.New.Address == c.self.Address {
			c.refute(now, change.New)
			r.Urgent = true
		}
	}
	c.snapshotStale = c.snapshotStale || len(r.Gauges) > 0
	return r
}

// markHeard records that the data centre of an address was heard from.
func (c *core) markHeard(now time.Time, address string) {
	if centre := c.centreOf[address]; centre != "" {
		c.lastHeard[centre] = now
	}
}

// applyChange updates the state that depends on a changed entry.
func (c *core) applyChange(now time.Time, change replicator.Change) {
	e := change.New
	if d, err := encoder.FromCBOR[description](e.Body); err == nil {
		c.centreOf[e.Address] = d.Centre
		if _, ok := c.lastHeard[d.Centre]; !ok {
			c.lastHeard[d.Centre] = now
		}
	}
	delete(c.suspectedSince, e.Address)
	if e.Condition == replicator.Suspect {
		c.suspectedSince[e.Address] = now
	}
	c.pendingChanges = append(c.pendingChanges, change)
	c.markStale()
}

// takeChanges returns the changes since the last call.
func (c *core) takeChanges() []replicator.Change {
	changes := c.pendingChanges
	c.pendingChanges = nil
	return changes
}

// refute overrides an entry about this node that another process wrote.
func (c *core) refute(now time.Time, e replicator.Entry) {
	leaving := c.self.Leaving
	switch {
	case e.Incarnation != c.self.Incarnation:
		own := replicator.Entry{
			Address: e.Address, Incarnation: c.self.Incarnation,
			Generation: e.Generation + 1, Version: 1, Leaving: leaving, Body: c.encodeSelf(),
		}
		c.put(now, own)
		c.gaugedAt = time.Time{}
	case e.Condition != replicator.Up:
		e.Condition = replicator.Up
		e.Version++
		c.put(now, e)
	}
}

// encodeSelf returns this node's encoded description.
func (c *core) encodeSelf() []byte {
	body, err := encoder.CBOR(description{Centre: c.self.Centre})
	if err != nil {
		panic(err) // a string always encodes
	}
	return body
}
