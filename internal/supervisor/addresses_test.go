package supervisor

import (
	"strings"
	"testing"

	"banyanquay/internal/supervisor/tracker"
)

func TestFrontends(t *testing.T) {
	node := func(name, centre string, change func(n *tracker.Node)) tracker.Node {
		n := tracker.Node{Address: name + ":1", Centre: centre, Incarnation: name}
		if change != nil {
			change(&n)
		}
		return n
	}
	lost := func(n *tracker.Node) { n.Unlinked = true }
	cases := []struct {
		name  string
		nodes []tracker.Node
		want  string
	}{
		{"those of the data centre", []tracker.Node{node("a1", "a", nil), node("a2", "a", nil), node("b1", "b", nil)}, "a1:9 a2:9"},
		{"all if it has one", []tracker.Node{node("a1", "a", nil), node("b1", "b", nil), node("b2", "b", nil)}, "a1:9 b1:9 b2:9"},
		{"none that leaves, is down or suspected", []tracker.Node{
			node("a1", "a", nil), node("a2", "a", nil), node("a3", "a", func(n *tracker.Node) { n.Leaving = true }),
			node("a4", "a", func(n *tracker.Node) { n.Down = true }), node("a5", "a", func(n *tracker.Node) { n.Suspect = true }),
		}, "a1:9 a2:9"},
		// A node that loses power: its links end long before it is suspected.
		{"none whose links have ended", []tracker.Node{node("a1", "a", nil), node("a2", "a", nil), node("a3", "a", lost)}, "a1:9 a2:9"},
		// This node is cut off from the other nodes, but not from callers.
		{"all if most links have ended", []tracker.Node{node("a1", "a", nil), node("a2", "a", lost), node("a3", "a", lost)}, "a1:9 a2:9 a3:9"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := strings.Join(frontends(c.nodes, "a", "9"), " "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Callers move from one data centre to another during the day. The next answer of any
// node, of their old data centre, too, must name the nodes of the new one.
func TestMovedCallersGetNodesOfTheirNewDataCentre(t *testing.T) {
	nodes := []tracker.Node{
		{Address: "a1:1", Centre: "a"},
		{Address: "a2:1", Centre: "a"},
		{Address: "b1:1", Centre: "b"},
		{Address: "b2:1", Centre: "b"},
	}
	for centre, want := range map[string]string{"a": "a1:9 a2:9", "b": "b1:9 b2:9", "unknown": "a1:9 a2:9 b1:9 b2:9"} {
		if got := strings.Join(frontends(nodes, centre, "9"), " "); got != want {
			t.Errorf("a caller in %s: got %q, want %q", centre, got, want)
		}
	}
}
