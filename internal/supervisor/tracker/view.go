package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"banyanquay/internal/supervisor/replicator"
)

// nodes returns this node's view of all nodes, sorted by address.
func (c *core) nodes() []Node {
	nodes := make([]Node, 0, c.table.Len())
	c.table.Each(func(e replicator.Entry) {
		if e.Condition != replicator.Gone {
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

// node returns the snapshot of the node that an entry describes.
func (c *core) node(e replicator.Entry) Node {
	g := c.table.Gauge(e.Address)
	n := Node{Address: e.Address, Centre: c.centreOf[e.Address]}.withEntry(e)
	if incarnation, ok := c.leavingIncarnations[e.Address]; ok && incarnation == e.Incarnation {
		n.Leaving = true
	}
	if _, lost := c.linkLostAt[e.Address]; lost {
		n.Unlinked = c.linkCount[e.Address] == 0
	}
	n.Unreachable = c.unreachable[n.Centre] && e.Address != c.self.Address && c.linkCount[e.Address] == 0
	if g.Generation == e.Generation {
		n.Applied, n.Load = g.Applied, int(g.Load)
	}
	return n
}

// wantedLinks returns the nodes to link to: those that selectLinks chooses, peers
// whose last link has just ended, and one to probe at times.
func (c *core) wantedLinks(now time.Time, pick func(n int) int) []string {
	probeDue := now.Sub(c.probedAt) >= probeInterval
	if !c.linksStale && !probeDue && len(c.linkLostAt) == 0 {
		return c.chosenLinks
	}
	c.linksStale = false
	maps.DeleteFunc(c.linkLostAt, func(_ string, at time.Time) bool {
		expired := now.Sub(at) >= redialTimeout
		c.snapshotStale = c.snapshotStale || expired
		return expired
	})
	eligible, probeCandidates := c.linkCandidates(now)
	if probeDue {
		c.probedAt, c.probeTarget = now, ""
		if len(probeCandidates) > 0 {
			c.probeTarget = probeCandidates[pick(len(probeCandidates))]
		}
	}
	c.chosenLinks = selectLinks(c.self, eligible)
	for _, n := range eligible {
		if _, lost := c.linkLostAt[n.Address]; lost {
			c.addLink(n.Address)
		}
	}
	if c.probeTarget != "" {
		c.addLink(c.probeTarget)
	}
	return c.chosenLinks
}

// addLink adds an address to the wanted links.
func (c *core) addLink(address string) {
	if !slices.Contains(c.chosenLinks, address) {
		c.chosenLinks = append(c.chosenLinks, address)
	}
}

// linkCandidates returns the nodes eligible for links, and the nodes to probe: those
// that are down, unreachable or leaving, and those that were never heard from and
// whose dial backoff has not expired. Probes, one node at a time, detect that a
// network has healed or that a leaving node has ended.
func (c *core) linkCandidates(now time.Time) (eligible []Node, probeCandidates []string) {
	for _, n := range c.nodes() {
		switch {
		case n.Address == c.self.Address:
		case n.Live() || (n.Incarnation == "" && !n.Leaving && now.After(c.backoffUntil[n.Address])):
			eligible = append(eligible, n)
		default:
			probeCandidates = append(probeCandidates, n.Address)
		}
	}
	return eligible, probeCandidates
}

// unreachableCentres returns the data centres that count as unreachable, sorted.
func (c *core) unreachableCentres() []string {
	return slices.Sorted(maps.Keys(c.unreachable))
}
