package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/spreader"
)

// Node is what this node knows of a node. It is an immutable value.
type Node struct {
	// Address is host:port.
	Address string
	// Centre is its data centre.
	Centre string
	// Incarnation is empty until the node has been heard of from a node; it
	// counts as down till then.
	Incarnation string
	// Leaving is set once it has announced that it leaves; it never reverts
	// within an incarnation.
	Leaving bool
	// Suspect is set while a peer finds it silent.
	Suspect bool
	// Lost is set while the last link of this node with it has ended and is not up
	// again; for some seconds, until others suspect it or it is back.
	Lost bool
	// Down is set once a suspicion was not refuted in time.
	Down bool
	// Unreachable is set while its whole data centre is silent.
	Unreachable bool
	// Applied is the configuration offset it has applied.
	Applied uint64
	// Load is its own measure of its load.
	Load int
}

// Live tells whether the node takes part in the fleet's work.
func (n Node) Live() bool {
	return !n.Down && !n.Leaving && !n.Unreachable
}

// description is the body of a node's entry.
type description struct {
	_      struct{} `cbor:",toarray"`
	Centre string
}

// Numbers of links that a node opens.
const (
	nearLinks = 2
	farLinks  = 2
)

// targets chooses the nodes that self opens links to: its successors on the
// ring of its own data centre, so that each node is observed by a few, and a
// few of the other data centres by rendezvous hash.
func targets(self Node, nodes []Node) []string {
	order := ranker.Of(self.Address)
	var near, far []candidate
	for _, n := range nodes {
		switch {
		case n.Address == self.Address:
		case n.Centre == self.Centre:
			distance := xxhash.Sum64String(n.Address) - xxhash.Sum64String(self.Address)
			near = append(near, candidate{n.Address, distance})
		default:
			far = append(far, candidate{n.Address, order.Weight(n.Address)})
		}
	}
	// A data centre of few nodes has its missing links outside.
	chosen := first(near, nearLinks)
	return append(chosen, first(far, farLinks+nearLinks-len(chosen))...)
}

// candidate is a node with its place in an order.
type candidate struct {
	address string
	weight  uint64
}

// first returns the n addresses of the lowest weights.
func first(candidates []candidate, n int) []string {
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
	return min(max(time.Duration(nodes)*gaugeSpacing, minGaugeInterval), maxGaugeInterval)
}

// listInterval is the mean time between two reads of the list of VMs. It
// grows with the fleet: what one node reads, all learn.
func listInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*listSpacing, minListInterval), maxListInterval)
}

// withEntry returns a copy in the state of the node's entry.
func (n Node) withEntry(e spreader.Entry) Node {
	n.Incarnation = e.Incarnation
	n.Leaving = e.Leaving
	n.Suspect = e.Condition == spreader.Suspect
	n.Down = e.Condition >= spreader.Down
	return n
}
