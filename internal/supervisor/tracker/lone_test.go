package tracker

import (
	"slices"
	"testing"
	"time"

	"banyanquay/internal/provider"
)

// TestLoneNodeIsUnreachableNotDown guards against declaring a node down that is
// alone in its data centre and may run behind a network partition. Neither its
// silence nor its absence from the list shows that it has ended; a later incarnation
// on its address does.
func TestLoneNodeIsUnreachableNotDown(t *testing.T) {
	const nodes, lone = 9, 3
	r := newTestNetwork(t, nodes)
	r.waitFor("start", time.Minute, func(int) int { return nodes })
	address, centre := r.cores[lone].self.Address, r.cores[lone].self.Centre
	r.partitioned = func(a, b int) bool { return a == lone || b == lone }
	for range 600 {
		for _, c := range r.cores {
			c.applyList(r.now, listWithout(c.vms, address))
		}
		r.step(time.Second)
	}
	for i, c := range r.cores {
		n := findNode(c, address)
		if i != lone && (n.Down || !n.Unreachable) {
			t.Errorf("core %d: got %+v of a node that may run behind a partition, want it unreachable and not down", i, n)
		}
	}
	next := newCore(r.now, Node{Address: address, Centre: centre, Incarnation: "next"})
	next.applyList(r.now, listWithout(r.cores[0].vms, ""))
	r.cores[lone] = next
	r.partitioned = func(int, int) bool { return false }
	r.waitFor("return", 30*time.Second, func(int) int { return nodes })
	for i, c := range r.cores {
		if got, want := findNode(c, address).Incarnation, "next"; got != want {
			t.Errorf("core %d: got incarnation %q of the node that came back, want %q", i, got, want)
		}
	}
}

// listWithout returns the list without an address.
func listWithout(vms map[string]provider.VM, address string) []provider.VM {
	var list []provider.VM
	for _, vm := range vms {
		if vm.Address != address {
			list = append(list, vm)
		}
	}
	return list
}

// findNode returns a core's Node for an address, or an empty Node.
func findNode(c *core, address string) Node {
	nodes := c.nodes()
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Address == address })
	if i < 0 {
		return Node{}
	}
	return nodes[i]
}

// TestLostLink checks that a node whose last link ended counts as lost until it is
// linked again or redialTimeout has passed.
func TestLostLink(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCore(now, Node{Address: "a:1", Centre: "a", Incarnation: "a"})
	other := newCore(now, Node{Address: "b:1", Centre: "a", Incarnation: "b"})
	own, _ := other.table.Get("b:1")
	c.put(now, own)
	c.linkUp(now, "1", "b:1", true)
	if findNode(c, "b:1").Unlinked {
		t.Errorf("a linked node counts as lost")
	}
	c.linkDown(now, "1", "b:1")
	if !findNode(c, "b:1").Unlinked {
		t.Errorf("a node whose link ended doesn't count as lost")
	}
	c.linkUp(now, "2", "b:1", true)
	if findNode(c, "b:1").Unlinked {
		t.Errorf("a node that is linked again counts as lost")
	}
	c.linkDown(now, "2", "b:1")
	c.wantedLinks(now.Add(redialTimeout), func(int) int { return 0 })
	if findNode(c, "b:1").Unlinked {
		t.Errorf("a node counts as lost %v after its link ended, want only a suspicion to count by then", redialTimeout)
	}
}
