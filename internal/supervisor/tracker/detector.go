package tracker

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/supervisor/replicator"
)

// tick advances the time, and reports whether this node had been paused.
func (c *core) tick(now time.Time, applied uint64, load int, pick func(n int) int) (woke bool) {
	woke = now.Sub(c.tickedAt) > pauseThreshold || now.Before(c.tickedAt)
	c.tickedAt = now
	if woke {
		c.restartTimeouts(now)
	}
	c.detectUnreachable(now)
	c.expireSuspects(now)
	c.sweep(now)
	c.updateGauge(now, applied, load)
	if now.Sub(c.digestQueuedAt) >= digestInterval {
		c.digestQueuedAt = now
		c.table.QueueDigest(pick)
	}
	return woke
}

// restartTimeouts restarts all silences and suspicion timeouts after a pause of this
// node.
func (c *core) restartTimeouts(now time.Time) {
	for centre := range c.lastHeard {
		c.lastHeard[centre] = now
	}
	for address := range c.suspectedSince {
		c.suspectedSince[address] = now
	}
}

// detectUnreachable decides which data centres count as unreachable.
func (c *core) detectUnreachable(now time.Time) {
	hasSuspects := make(map[string]bool)
	for address := range c.suspectedSince {
		hasSuspects[c.centreOf[address]] = true
	}
	for centre, heardAt := range c.lastHeard {
		silence := now.Sub(heardAt)
		if !c.unreachable[centre] && hasSuspects[centre] && silence > unreachableThreshold {
			c.unreachable[centre] = true
			c.markStale()
		}
		if c.unreachable[centre] && silence <= silentThreshold {
			delete(c.unreachable, centre)
			c.gaugedAt = time.Time{}
			c.markStale()
		}
	}
}

// expireSuspects declares nodes down whose suspicion timeout has passed. The timeout
// runs only while their data centre is heard from, unless they had announced that they
// leave.
func (c *core) expireSuspects(now time.Time) {
	for _, address := range slices.Sorted(maps.Keys(c.suspectedSince)) {
		e, _ := c.table.Get(address)
		silence := now.Sub(c.lastHeard[c.centreOf[address]])
		if silence > silentThreshold && !e.Leaving {
			c.suspectedSince[address] = now
			continue
		}
		if now.Sub(c.suspectedSince[address]) < suspicionTimeout {
			continue
		}
		e.Condition = replicator.Down
		c.put(now, e)
	}
}

// sweep drops nodes that are down and no longer listed. Nodes of an unreachable data
// centre that are not down are kept for longer.
func (c *core) sweep(now time.Time) {
	limit := func(e replicator.Entry) time.Duration {
		switch {
		case e.Condition == replicator.Down:
			return unlistedTimeout
		case c.unreachable[c.centreOf[e.Address]]:
			return unreachableUnlistedTimeout
		}
		return 0
	}
	listed := func(address string) bool {
		_, ok := c.vms[address]
		return ok
	}
	for _, change := range c.retirer.Sweep(now, c.listedAt, c.table, listed, limit) {
		c.applyChange(now, change)
	}
	maps.DeleteFunc(c.centreOf, func(address, _ string) bool {
		_, known := c.table.Get(address)
		return !known && !listed(address)
	})
	maps.DeleteFunc(c.backoffUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// updateGauge queues this node's gauge when it is due or has changed.
func (c *core) updateGauge(now time.Time, applied uint64, load int) {
	elapsed := now.Sub(c.gaugedAt)
	changed := applied != c.lastGauge.Applied || loadChanged(int64(load), c.lastGauge.Load)
	if elapsed < gaugeInterval(c.table.Len()) && (!changed || elapsed < changedGaugeInterval) {
		return
	}
	e, _ := c.table.Get(c.self.Address)
	c.gaugedAt = now
	c.lastGauge = replicator.Gauge{
		ID: replicator.ID(c.self.Address), Generation: e.Generation,
		Sequence: c.lastGauge.Sequence + 1, Applied: applied, Load: int64(load),
	}
	c.table.PutGauge(c.lastGauge)
	c.snapshotStale = true
}

// loadChanged reports whether the higher of two loads is more than twice the lower one
// plus 1.
func loadChanged(a, b int64) bool {
	return max(a, b) > 2*min(a, b)+1
}
