package tracker

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/supervisor/spreader"
)

// tick lets time pass, and tells whether this node had been paused.
func (c *core) tick(now time.Time, applied uint64, load int, pick func(n int) int) (woke bool) {
	woke = now.Sub(c.ticked) > wakeTime || now.Before(c.ticked)
	c.ticked = now
	if woke {
		c.restartClocks(now)
	}
	c.judgeCentres(now)
	c.judgeSuspects(now)
	c.sweep(now)
	c.measure(now, applied, load)
	if now.Sub(c.compared) >= compareInterval {
		c.compared = now
		c.table.QueueDigest(pick)
	}
	return woke
}

// restartClocks gives everyone their time again after a pause.
func (c *core) restartClocks(now time.Time) {
	for centre := range c.heard {
		c.heard[centre] = now
	}
	for address := range c.suspects {
		c.suspects[address] = now
	}
}

// judgeCentres decides which data centres count as cut off.
func (c *core) judgeCentres(now time.Time) {
	suspected := make(map[string]bool)
	for address := range c.suspects {
		suspected[c.centres[address]] = true
	}
	for centre, heard := range c.heard {
		silence := now.Sub(heard)
		if !c.cut[centre] && suspected[centre] && silence > cutTime {
			c.cut[centre] = true
			c.touch()
		}
		if c.cut[centre] && silence <= staleTime {
			delete(c.cut, centre)
			c.gauged = time.Time{}
			c.touch()
		}
	}
}

// judgeSuspects declares nodes down whose time to refute has passed. Their
// clock runs only while their data centre is heard, unless they had announced
// that they leave.
func (c *core) judgeSuspects(now time.Time) {
	for _, address := range slices.Sorted(maps.Keys(c.suspects)) {
		e, _ := c.table.Get(address)
		silence := now.Sub(c.heard[c.centres[address]])
		if silence > staleTime && !e.Leaving {
			c.suspects[address] = now
			continue
		}
		if now.Sub(c.suspects[address]) < suspicionTime {
			continue
		}
		e.Condition = spreader.Down
		c.put(now, e)
	}
}

// sweep drops nodes that are down and no longer listed. The nodes of a data
// centre that is cut off keep their places for long.
func (c *core) sweep(now time.Time) {
	limit := func(e spreader.Entry) time.Duration {
		switch {
		case e.Condition == spreader.Down:
			return unlistedTime
		case c.cut[c.centres[e.Address]]:
			return cutUnlistedTime
		}
		return 0
	}
	listed := func(address string) bool {
		_, ok := c.vms[address]
		return ok
	}
	for _, change := range c.retirer.Sweep(now, c.listedAt, c.table, listed, limit) {
		c.note(now, change)
	}
	maps.DeleteFunc(c.centres, func(address, _ string) bool {
		_, known := c.table.Get(address)
		return !known && !listed(address)
	})
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return now.After(until) })
}

// measure sends this node's gauge when it is due or has changed.
func (c *core) measure(now time.Time, applied uint64, load int) {
	since := now.Sub(c.gauged)
	changed := applied != c.gauge.Applied || apart(int64(load), c.gauge.Load)
	if since < gaugeInterval(c.table.Len()) && (!changed || since < changeInterval) {
		return
	}
	e, _ := c.table.Get(c.self.Address)
	c.gauged = now
	c.gauge = spreader.Gauge{
		ID: spreader.ID(c.self.Address), Generation: e.Generation,
		Sequence: c.gauge.Sequence + 1, Applied: applied, Load: int64(load),
	}
	c.table.PutGauge(c.gauge)
	c.stale = true
}

// apart tells whether two loads differ by more than half of the lower one.
func apart(a, b int64) bool {
	return max(a, b) > 2*min(a, b)+1
}
