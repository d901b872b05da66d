package tracker

import (
	"slices"
	"testing"
	"time"

	"banyanquay/internal/provider"
)

// TestLoneNodeIsDownOnlyByProof: neither its silence nor its absence from the
// list shows that a node alone in its data centre has ended; a later process on
// its address does.
func TestLoneNodeIsDownOnlyByProof(t *testing.T) {
	const nodes, lone = 9, 3
	r := newRegion(t, nodes)
	r.until("start", time.Minute, func(int) int { return nodes })
	address, centre := r.cores[lone].self.Address, r.cores[lone].self.Centre
	r.apart = func(a, b int) bool { return a == lone || b == lone }
	for range 600 {
		for _, c := range r.cores {
			c.list(r.now, unlisted(c.vms, address))
		}
		r.step(time.Second)
	}
	for i, c := range r.cores {
		n := find(c, address)
		if i != lone && (n.Down || !n.Unreachable) {
			t.Errorf("core %d: got %+v of a node that may run behind a cut, want it unreachable and not down", i, n)
		}
	}
	next := newCore(r.now, Node{Address: address, Centre: centre, Incarnation: "next"})
	next.list(r.now, unlisted(r.cores[0].vms, ""))
	r.cores[lone] = next
	r.apart = func(int, int) bool { return false }
	r.until("return", 30*time.Second, func(int) int { return nodes })
	for i, c := range r.cores {
		if got, want := find(c, address).Incarnation, "next"; got != want {
			t.Errorf("core %d: got incarnation %q of the node that came back, want %q", i, got, want)
		}
	}
}

// unlisted returns a list without an address.
func unlisted(vms map[string]provider.VM, address string) []provider.VM {
	var list []provider.VM
	for _, vm := range vms {
		if vm.Address != address {
			list = append(list, vm)
		}
	}
	return list
}

// find returns what a core knows of an address.
func find(c *core, address string) Node {
	nodes := c.nodes()
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Address == address })
	if i < 0 {
		return Node{}
	}
	return nodes[i]
}

// A node whose link ends counts as lost until the link is up again, or it has had
// time to come back.
func TestLostLink(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now, Node{Address: "a:1", Centre: "a", Incarnation: "a"})
	other := newCore(now, Node{Address: "b:1", Centre: "a", Incarnation: "b"})
	own, _ := other.table.Get("b:1")
	c.put(now, own)
	c.linkUp(now, "1", "b:1", true)
	if find(c, "b:1").Lost {
		t.Errorf("a linked node counts as lost")
	}
	c.linkDown(now, "1", "b:1")
	if !find(c, "b:1").Lost {
		t.Errorf("a node whose link ended doesn't count as lost")
	}
	c.linkUp(now, "2", "b:1", true)
	if find(c, "b:1").Lost {
		t.Errorf("a node that is linked again counts as lost")
	}
	c.linkDown(now, "2", "b:1")
	c.wanted(now.Add(probeTime), func(int) int { return 0 })
	if find(c, "b:1").Lost {
		t.Errorf("a node counts as lost %v after its link ended, want it left to the suspicion", probeTime)
	}
}
