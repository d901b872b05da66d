package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/replicator"
)

// Node is the state of a node as known to this node. It is an immutable value.
type Node struct {
	// Address is host:port.
	Address string
	// Centre is its data centre.
	Centre string
	// Incarnation is empty until an entry of the node is known; the node counts as
	// down until then.
	Incarnation string
	// Leaving is set once it has announced that it leaves; it never reverts
	// within an incarnation.
	Leaving bool
	// Suspect is set while a peer's suspicion that it does not answer is neither
	// refuted nor expired.
	Suspect bool
	// Unlinked is set from the end of this node's last link with it until they are
	// linked again, for redialTimeout at the longest. It covers the time until
	// other nodes suspect it or it is back.
	Unlinked bool
	// Down is set once a suspicion was not refuted in time.
	Down bool
	// Unreachable is set while its data centre is unreachable and this node has no
	// link with it.
	Unreachable bool
	// Applied is the configuration offset it has applied.
	Applied uint64
	// Load is the load that it last reported.
	Load int
}

// Live reports whether the node takes part in the fleet's work.
func (n Node) Live() bool {
	return !n.Down && !n.Leaving && !n.Unreachable
}

// description is the body of a node's entry.
type description struct {
	_      struct{} `cbor:",toarray"`
	Centre string
}

// Numbers of links that a node opens within its data centre and to others.
const (
	localLinks  = 2
	remoteLinks = 2
)

// selectLinks chooses the nodes that self opens links to: its successors on the hash
// ring of its own data centre, so that each node is observed by a few, and a few
// nodes of the other data centres by rendezvous hash.
func selectLinks(self Node, nodes []Node) []string {
	order := ranker.Of(self.Address)
	var local, remote []candidate
	for _, n := range nodes {
		switch {
		case n.Address == self.Address:
		case n.Centre == self.Centre:
			distance := xxhash.Sum64String(n.Address) - xxhash.Sum64String(self.Address)
			local = append(local, candidate{n.Address, distance})
		default:
			remote = append(remote, candidate{n.Address, order.Weight(n.Address)})
		}
	}
	// If the data centre has too few nodes, remote links take the place of local
	// ones.
	chosen := lowestWeights(local, localLinks)
	return append(chosen, lowestWeights(remote, remoteLinks+localLinks-len(chosen))...)
}

// candidate is a node with its weight in the selection.
type candidate struct {
	address string
	weight  uint64
}

// lowestWeights returns the addresses of the n candidates with the lowest weights.
func lowestWeights(candidates []candidate, n int) []string {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.address, b.address))
	})
	var addresses []string
	for _, c := range candidates[:min(n, len(candidates))] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// gaugeInterval is the time between two gauges of one node when nothing
// changes. It grows with the fleet, so that the fleet's rate stays the same.
func gaugeInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*gaugeIntervalPerNode, minGaugeInterval), maxGaugeInterval)
}

// listInterval is the mean time between two reads of the list of VMs. It grows with
// the fleet, since all nodes learn of what one of them reads.
func listInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*listIntervalPerNode, minListInterval), maxListInterval)
}

// withEntry returns a copy with the state of the node's entry.
func (n Node) withEntry(e replicator.Entry) Node {
	n.Incarnation = e.Incarnation
	n.Leaving = e.Leaving
	n.Suspect = e.Condition == replicator.Suspect
	n.Down = e.Condition >= replicator.Down
	return n
}
