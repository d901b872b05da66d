package addresser

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/supervisor/tracker"
)

// fleetOf generates a fleet of nodes in three data centres.
func fleetOf() *rapid.Generator[[]tracker.Node] {
	return rapid.Custom(func(t *rapid.T) []tracker.Node {
		var nodes []tracker.Node
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			nodes = append(nodes, tracker.Node{
				Address: fmt.Sprint("node-", i), Centre: fmt.Sprint("centre-", i%3),
				Leaving: rapid.Bool().Draw(t, "leaving"), Suspect: rapid.Bool().Draw(t, "suspect"),
				Down: rapid.Bool().Draw(t, "down"), Unreachable: rapid.Bool().Draw(t, "unreachable"),
			})
		}
		return nodes
	})
}

func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, n := fleetOf().Draw(t, "nodes"), rapid.IntRange(0, 4).Draw(t, "n")
		usable := func(n tracker.Node) bool { return !n.Leaving && !n.Suspect && !n.Down && !n.Unreachable }
		got := Choose(nodes, "karoo", "centre-1", n)
		remote := false
		total := 0
		for _, node := range nodes {
			if usable(node) {
				total++
			}
			if !usable(node) && slices.Contains(got, node.Address) {
				t.Errorf("got %v with %v", got, node)
			}
		}
		if want := min(n, total); len(got) != want {
			t.Errorf("got %d addresses, want %d", len(got), want)
		}
		for _, address := range got {
			i := slices.IndexFunc(nodes, func(n tracker.Node) bool { return n.Address == address })
			if remote && nodes[i].Centre == "centre-1" {
				t.Errorf("got %v, want those of the own data centre first", got)
			}
			remote = remote || nodes[i].Centre != "centre-1"
		}
		// The removal of a node keeps the order of the others.
		if len(got) == 0 {
			return
		}
		rest := slices.DeleteFunc(slices.Clone(nodes), func(n tracker.Node) bool { return n.Address == got[0] })
		if after := Choose(rest, "karoo", "centre-1", n); !slices.Equal(after[:min(len(after), len(got)-1)], got[1:]) {
			t.Errorf("got %v without %s, want the order of %v", after, got[0], got)
		}
	})
}

func TestChooseSpreadsOrganisations(t *testing.T) {
	var nodes []tracker.Node
	for i := range 8 {
		nodes = append(nodes, tracker.Node{Address: fmt.Sprint("node-", i), Centre: "c"})
	}
	firsts := make(map[string]int)
	for i := range 800 {
		firsts[Choose(nodes, fmt.Sprint("organisation-", i), "c", 3)[0]]++
	}
	for _, node := range nodes {
		if got := firsts[node.Address]; got < 60 || got > 140 {
			t.Errorf("got %s first for %d of 800 organisations, want about 100", node.Address, got)
		}
	}
}
