// Package sharer divides an organisation's share among the nodes that receive
// its traffic. The organisation's home node grants slices that expire; a node
// without a live slice falls back to a static part.
package sharer

import (
	"maps"
	"slices"
	"time"
)

// Demand is a node's report to the home, sent before its slice expires.
type Demand struct {
	// Node is the reporting node's address.
	Node string
	// Wanted is what the node could use, in the share's unit.
	Wanted float64
	// Held is the amount of the node's slice, zero once it has expired.
	Held float64
}

// Slice is a part of the share, for a node to use until it expires. It is an
// immutable value.
type Slice struct {
	Amount float64
	// Expires is by the clock of the process that keeps the slice. The node
	// counts the lifetime from when it sent its report and the home from the
	// grant, so that the slice expires at the node first.
	Expires time.Time
}

// Live returns the amount that may be used at a time.
func (s Slice) Live(now time.Time) float64 {
	if now.Before(s.Expires) {
		return s.Amount
	}
	return 0
}

// Static returns the part of a share that a node uses without a live slice.
func Static(share float64, nodes int) float64 {
	return share / float64(max(nodes, 1))
}

// Config tunes a home. Zero fields take their defaults.
type Config struct {
	// Lifetime is how long a slice is valid. Nodes report at least three times
	// in it.
	Lifetime time.Duration
}

// DefaultLifetime is the default of Config.Lifetime.
const DefaultLifetime = 3 * time.Second

// grant is the home's record of one node.
type grant struct {
	wanted float64
	// slices are the live slices granted. The node may use any one of them, as
	// a reply that reduces its slice can be lost.
	slices []Slice
}

// live returns the maximum amount that the node may use.
func (g grant) live(now time.Time) float64 {
	largest := 0.0
	for _, s := range g.slices {
		largest = max(largest, s.Live(now))
	}
	return largest
}

// Home is the state of an organisation's home. It is an immutable value. The
// live slices of all nodes never sum to more than the largest share that was
// in force within the last lifetime.
type Home struct {
	cfg   Config
	share float64
	// warmupEnd is when every slice of an earlier home has expired. Until then
	// a node gets no more than it holds.
	warmupEnd time.Time
	grants    map[string]grant
}

// NewHome returns the state of a node that has just become the home.
func NewHome(cfg Config, share float64, now time.Time) Home {
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	return Home{cfg: cfg, share: share, warmupEnd: now.Add(cfg.Lifetime)}
}

// WithShare returns the home with another share. Slices already granted stay
// valid until they expire.
func (h Home) WithShare(share float64) Home {
	h.share = share
	return h
}

// Grant records a report and returns the node's next slice, whose Expires is by
// the home's clock.
func (h Home) Grant(now time.Time, d Demand) (Home, Slice) {
	h.grants = prune(h.grants, now)
	g := h.grants[d.Node]
	g.wanted = max(d.Wanted, 0)
	h.grants[d.Node] = g
	amount := min(h.target(d.Node), h.share-h.othersLive(now, d.Node))
	if now.Before(h.warmupEnd) {
		amount = min(amount, d.Held)
	}
	next := Slice{Amount: max(amount, 0), Expires: now.Add(h.cfg.Lifetime)}
	g.slices = append(slices.Clip(g.slices), next)
	h.grants[d.Node] = g
	return h, next
}

// prune returns a copy of the grants without expired slices.
func prune(grants map[string]grant, now time.Time) map[string]grant {
	pruned := maps.Clone(grants)
	if pruned == nil {
		pruned = make(map[string]grant)
	}
	for node, g := range pruned {
		g.slices = slices.DeleteFunc(slices.Clone(g.slices), func(s Slice) bool {
			return s.Live(now) == 0 && !now.Before(s.Expires)
		})
		pruned[node] = g
		if len(g.slices) == 0 {
			delete(pruned, node)
		}
	}
	return pruned
}

// othersLive returns the sum of the amounts that all nodes but one may use.
func (h Home) othersLive(now time.Time, node string) float64 {
	sum := 0.0
	for other, g := range h.grants {
		if other != node {
			sum += g.live(now)
		}
	}
	return sum
}

// target returns the node's part of the share by max-min fairness over the last
// reports: what it wants, up to a level that is the same for all nodes, and an
// equal part of what no node wants, so that a node can grow before its next
// report.
func (h Home) target(node string) float64 {
	wants := make([]float64, 0, len(h.grants))
	for _, g := range h.grants {
		wants = append(wants, g.wanted)
	}
	level, spare := waterFill(h.share, wants)
	return min(h.grants[node].wanted, level) + spare
}

// waterFill returns the level at which the wants, each capped at it, sum to the
// share. If none has to be capped, spare is each one's equal part of the rest.
func waterFill(share float64, wants []float64) (level, spare float64) {
	slices.Sort(wants)
	rest := share
	for i, want := range wants {
		n := float64(len(wants) - i)
		if want*n > rest {
			return rest / n, 0
		}
		rest -= want
	}
	return share, rest / float64(max(len(wants), 1))
}
