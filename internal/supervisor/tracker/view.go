package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyanquay/internal/supervisor/spreader"
)

// nodes returns what is known of all nodes, sorted by address.
func (c *core) nodes() []Node {
	nodes := make([]Node, 0, c.table.Len())
	c.table.Each(func(e spreader.Entry) {
		if e.Condition != spreader.Gone {
			nodes = append(nodes, c.node(e))
		}
	})
	for address, vm := range c.vms {
		if _, known := c.table.Get(address); !known {
			nodes = append(nodes, Node{Address: address, Centre: vm.Centre, Leaving: vm.Leaving, Down: true})
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Compare(a.Address, b.Address) })
	return nodes
}

// node returns the node of an entry.
func (c *core) node(e spreader.Entry) Node {
	g := c.table.Gauge(e.Address)
	n := Node{Address: e.Address, Centre: c.centres[e.Address]}.withEntry(e)
	if incarnation, ok := c.stopping[e.Address]; ok && incarnation == e.Incarnation {
		n.Leaving = true
	}
	if _, lost := c.lost[e.Address]; lost {
		n.Lost = c.linked[e.Address] == 0
	}
	n.Unreachable = c.cut[n.Centre] && e.Address != c.self.Address && c.linked[e.Address] == 0
	if g.Generation == e.Generation {
		n.Applied, n.Load = g.Applied, int(g.Load)
	}
	return n
}

// wanted returns the nodes to link to: the targets, peers whose link was just
// lost, and one to explore at times.
func (c *core) wanted(now time.Time, pick func(n int) int) []string {
	explore := now.Sub(c.exploredAt) >= exploreInterval
	if !c.dirty && !explore && len(c.lost) == 0 {
		return c.chosen
	}
	c.dirty = false
	maps.DeleteFunc(c.lost, func(_ string, at time.Time) bool {
		over := now.Sub(at) >= probeTime
		c.stale = c.stale || over
		return over
	})
	eligible, others := c.candidates(now)
	if explore {
		c.exploredAt, c.explored = now, ""
		if len(others) > 0 {
			c.explored = others[pick(len(others))]
		}
	}
	c.chosen = targets(c.self, eligible)
	for _, n := range eligible {
		if _, lost := c.lost[n.Address]; lost {
			c.choose(n.Address)
		}
	}
	if c.explored != "" {
		c.choose(c.explored)
	}
	return c.chosen
}

// choose adds an address to the links wanted.
func (c *core) choose(address string) {
	if !slices.Contains(c.chosen, address) {
		c.chosen = append(c.chosen, address)
	}
}

// candidates returns the nodes to choose links from, and the others: those
// that are down, cut off, leaving or never heard. They are explored one at a
// time, so that a healed network is noticed, and the end of one that left.
func (c *core) candidates(now time.Time) (eligible []Node, others []string) {
	for _, n := range c.nodes() {
		switch {
		case n.Address == c.self.Address:
		case n.Live() || (n.Incarnation == "" && !n.Leaving && now.After(c.avoided[n.Address])):
			eligible = append(eligible, n)
		default:
			others = append(others, n.Address)
		}
	}
	return eligible, others
}

// cutCentres returns the data centres that count as cut off, sorted.
func (c *core) cutCentres() []string {
	return slices.Sorted(maps.Keys(c.cut))
}
