// Package ranker orders names by rendezvous hashing: each subject has its own order,
// and adding or removing a name doesn't change the relative order of the others.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order is the order of names for one subject. It is an immutable value.
type Order struct {
	seed uint64
}

// Of returns the order for a subject.
func Of(subject string) Order {
	return Order{seed: xxhash.Sum64String(subject)}
}

// Weight returns the weight of a name; names are ordered by descending weight.
func (o Order) Weight(name string) uint64 {
	var h xxhash.Digest
	h.ResetWithSeed(o.seed)
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Before reports whether a precedes b.
func (o Order) Before(a, b string) bool {
	return compare(ranked{a, o.Weight(a)}, ranked{b, o.Weight(b)}) < 0
}

// Top returns the first n names.
func (o Order) Top(names []string, n int) []string {
	var top []ranked
	for _, name := range names {
		r := ranked{name, o.Weight(name)}
		at, _ := slices.BinarySearchFunc(top, r, compare)
		if at >= n {
			continue
		}
		top = slices.Insert(top, at, r)
		top = top[:min(n, len(top))]
	}
	chosen := make([]string, 0, len(top))
	for _, r := range top {
		chosen = append(chosen, r.name)
	}
	return chosen
}

// ranked is a name with its weight.
type ranked struct {
	name   string
	weight uint64
}

// compare orders by descending weight, then by name.
func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
}
