package planner

import (
	"math"
	"slices"
)

// label is the cheapest known path to a boundary: the path to the boundary at
// prev, followed by one stage of holder.
type label struct {
	cost   float64
	prev   int
	holder int
}

// layerBoundaries returns the layers at which stages may meet, in order. These
// are only the ends of ranges, since moving the boundary between two stages
// towards the more expensive one never increases the cost.
func layerBoundaries(want span, holders []holder) []int {
	boundaries := make([]int, 0, 2+2*len(holders))
	boundaries = append(boundaries, want.first, want.last)
	for i := range holders {
		boundaries = append(boundaries, holders[i].span.first, holders[i].span.last)
	}
	slices.Sort(boundaries)
	return slices.Compact(boundaries)
}

// cheapestCover searches for the cover of lowest cost over the layer
// boundaries, and returns nil if it finds none. No endpoint appears twice. If
// each endpoint holds one range, this rule excludes no cover: the endpoint's
// first stage could have continued to the end of its second one.
func cheapestCover(want span, holders []holder) Plan {
	boundaries := layerBoundaries(want, holders)
	labels := make([]label, len(boundaries))
	for i := range labels {
		labels[i] = label{cost: math.Inf(1), prev: -1, holder: -1}
	}
	labels[0].cost = 0
	starts := holdersByBoundary(boundaries, holders)
	for from := range boundaries {
		if math.IsInf(labels[from].cost, 1) {
			continue
		}
		for _, n := range starts[from] {
			if !pathUses(labels, holders, from, holders[n].index) {
				relax(boundaries, labels, from, n, &holders[n])
			}
		}
	}
	return buildPlan(boundaries, labels, holders)
}

// holdersByBoundary lists for each boundary the holders that can run the layer
// after it.
func holdersByBoundary(boundaries []int, holders []holder) [][]int {
	starts := make([][]int, len(boundaries))
	for n := range holders {
		at, _ := slices.BinarySearch(boundaries, holders[n].span.first)
		for ; boundaries[at] < holders[n].span.last; at++ {
			starts[at] = append(starts[at], n)
		}
	}
	return starts
}

// relax extends the path to a boundary by each stage that the holder can run
// from there, and keeps the paths that are cheaper than the known ones.
func relax(boundaries []int, labels []label, from, n int, h *holder) {
	for to := from + 1; to < len(boundaries) && boundaries[to] <= h.span.last; to++ {
		width := float64(boundaries[to] - boundaries[from])
		cost := labels[from].cost + h.stageCost + h.layerCost*width
		if cost < labels[to].cost {
			labels[to] = label{cost: cost, prev: from, holder: n}
		}
	}
}

// pathUses reports whether the path to a boundary has a stage on the endpoint.
func pathUses(labels []label, holders []holder, at, index int) bool {
	for labels[at].prev >= 0 {
		if holders[labels[at].holder].index == index {
			return true
		}
		at = labels[at].prev
	}
	return false
}

// buildPlan follows the labels back from the last boundary, and returns nil if
// no path reaches it.
func buildPlan(boundaries []int, labels []label, holders []holder) Plan {
	at := len(boundaries) - 1
	if math.IsInf(labels[at].cost, 1) {
		return nil
	}
	var plan Plan
	for labels[at].prev >= 0 {
		prev := labels[at].prev
		plan = append(plan, holders[labels[at].holder].stage(boundaries[prev], boundaries[at]))
		at = prev
	}
	slices.Reverse(plan)
	return plan
}

// firstUncovered returns the first layers in want that no holder has, and an
// empty span if each layer has a holder. A boundary within want is the end of a
// range, so at least one of the two parts that meet there has a holder, and a
// gap is always a single part.
func firstUncovered(want span, holders []holder) span {
	boundaries := layerBoundaries(want, holders)
	for i := 1; i < len(boundaries); i++ {
		part := span{boundaries[i-1], boundaries[i]}
		held := slices.ContainsFunc(holders, func(h holder) bool {
			return h.span.first <= part.first && part.last <= h.span.last
		})
		if !held {
			return part
		}
	}
	return span{}
}

// roundRobinCover returns the cover that takes the next holder in turn at each
// boundary and runs it to the end of its range, and nil if that doesn't reach
// the last layer.
func roundRobinCover(want span, holders []holder, turn uint64) Plan {
	var plan Plan
	taken := make(map[int]bool)
	for layer := want.first; layer < want.last; {
		var candidates []int
		for n := range holders {
			h := &holders[n]
			if h.span.first <= layer && layer < h.span.last && !taken[h.index] {
				candidates = append(candidates, n)
			}
		}
		if len(candidates) == 0 {
			return nil
		}
		h := &holders[candidates[turn%uint64(len(candidates))]]
		plan = append(plan, h.stage(layer, h.span.last))
		taken[h.index] = true
		layer = h.span.last
	}
	return plan
}

// maxSearchStages limits the number of stages that searchCover tries.
const maxSearchStages = 1 << 14

// searchCover looks for any cover, depth first. It handles the rare case where
// an endpoint holds several ranges and cheapestCover missed the only cover.
func searchCover(want span, holders []holder) Plan {
	budget := maxSearchStages
	taken := make(map[int]bool)
	var plan Plan
	var extend func(layer int) bool
	extend = func(layer int) bool {
		if layer == want.last {
			return true
		}
		for n := range holders {
			h := &holders[n]
			if h.span.first > layer || layer >= h.span.last || taken[h.index] {
				continue
			}
			if budget--; budget < 0 {
				return false
			}
			taken[h.index] = true
			plan = append(plan, h.stage(layer, h.span.last))
			if extend(h.span.last) {
				return true
			}
			plan = plan[:len(plan)-1]
			delete(taken, h.index)
		}
		return false
	}
	if !extend(want.first) {
		return nil
	}
	return plan
}
