package arranger

import (
	"cmp"
	"math"
	"slices"
)

// Costs of a layout, in layers to load.
const (
	// overCapacityCost is multiplied by the square of the number of layers beyond an
	// engine's capacity: each of them takes free memory from requests.
	overCapacityCost = 2.0
	// unusedCost is for leaving out an engine that holds layers. It keeps its copies
	// as they are, so nothing is loaded.
	unusedCost = 0.0
)

// tile assigns consecutive ranges to the engines of a data centre so that each layer
// has a holder, at the least cost in layers to load, and returns the ranges that
// change. It returns none if the engines can't hold all layers even beyond their
// capacity.
func tile(layers int, engines []Holder) []Range {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.First+a.Last, b.First+b.Last), cmp.Compare(a.ID, b.ID))
	})
	// cost[i][b] is the least cost at which the first i engines hold the layers
	// below b, and from[i][b] the layer at which engine i-1 then begins; -1 if that
	// engine is left out.
	cost := make([][]float64, len(engines)+1)
	from := make([][]int, len(engines)+1)
	for i := range cost {
		cost[i], from[i] = make([]float64, layers+1), make([]int, layers+1)
		for b := range cost[i] {
			cost[i][b], from[i][b] = math.Inf(1), -1
		}
	}
	cost[0][0] = 0
	for i, e := range engines {
		for at := range layers + 1 {
			if math.IsInf(cost[i][at], 1) {
				continue
			}
			if c := cost[i][at] + unusedCost; c < cost[i+1][at] {
				cost[i+1][at], from[i+1][at] = c, -1
			}
			for end := at + 1; end <= min(at+e.MaxLayers, layers); end++ {
				if c := cost[i][at] + e.cost(at, end); c < cost[i+1][end] {
					cost[i+1][end], from[i+1][end] = c, at
				}
			}
		}
	}
	if math.IsInf(cost[len(engines)][layers], 1) {
		return nil
	}
	return changedRanges(layers, engines, from)
}

// cost returns the cost of assigning a range to an engine; infinite if the engine is
// fixed to another one.
func (h Holder) cost(first, last int) float64 {
	if h.Fixed && (first != h.First || last != h.Last) {
		return math.Inf(1)
	}
	held := max(min(last, h.Last)-max(first, h.First), 0)
	over := float64(max(last-first-max(h.Capacity, h.TileLayers), 0))
	return float64(last-first-held) + overCapacityCost*over*over
}

// changedRanges follows a layout back from its end and returns the ranges that
// change.
func changedRanges(layers int, engines []Holder, from [][]int) []Range {
	var ranges []Range
	end := layers
	for i := len(engines); i > 0; i-- {
		first := from[i][end]
		if first < 0 {
			continue
		}
		e := engines[i-1]
		if first < e.First || end > e.Last {
			ranges = append(ranges, Range{ID: e.ID, First: first, Last: end})
		}
		end = first
	}
	slices.Reverse(ranges)
	return ranges
}
