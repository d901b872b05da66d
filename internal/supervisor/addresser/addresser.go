// Package addresser chooses the nodes that a caller should use.
package addresser

import (
	"cmp"
	"slices"

	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/tracker"
)

// candidate is a usable node with its sort keys.
type candidate struct {
	address string
	// remote is set for nodes outside the caller's data centre.
	remote bool
	// weight is the rendezvous hash; candidates are sorted by descending weight.
	weight uint64
}

// Choose returns the addresses of up to n nodes for an organisation. Nodes of the
// given data centre come first, then the others, both in rendezvous order. Nodes that
// are leaving, suspect, down or unreachable are skipped.
func Choose(nodes []tracker.Node, organisation, centre string, n int) []string {
	order := ranker.Of(organisation)
	var candidates []candidate
	for _, node := range nodes {
		if node.Leaving || node.Suspect || node.Down || node.Unreachable {
			continue
		}
		candidates = append(candidates, candidate{
			address: node.Address,
			remote:  node.Centre != centre,
			weight:  order.Weight(node.Address),
		})
	}
	slices.SortFunc(candidates, compareCandidates)
	addresses := make([]string, 0, min(n, len(candidates)))
	for _, c := range candidates[:min(n, len(candidates))] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// compareCandidates orders candidates of the caller's data centre before remote ones,
// then by descending weight.
func compareCandidates(a, b candidate) int {
	if a.remote != b.remote {
		if b.remote {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
}
