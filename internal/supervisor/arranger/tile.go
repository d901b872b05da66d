package arranger

import (
	"cmp"
	"math"
	"slices"
)

// Costs of a tiling, in layers to load.
const (
	// crowded is for each layer beyond an engine's capacity, squared: its room
	// for requests shrinks with each.
	crowded = 2.0
	// idle is for leaving out an engine that holds layers: its copies are kept
	// as they are, at no cost.
	idle = 0.0
)

// tile lays the engines of a data centre end to end so that each layer has a
// holder, at the least cost in layers to load, and returns the ranges that
// change. It returns none if the engines can't hold all layers even if they are
// crowded.
func tile(layers int, engines []Holder) []Range {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.First+a.Last, b.First+b.Last), cmp.Compare(a.ID, b.ID))
	})
	// cost[i][b] is the least cost at which the first i engines hold the
	// layers below b, and from the layer at which engine i-1 then begins; -1
	// if it is left out.
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
			if c := cost[i][at] + idle; c < cost[i+1][at] {
				cost[i+1][at], from[i+1][at] = c, -1
			}
			for end := at + 1; end <= min(at+e.Most, layers); end++ {
				if c := cost[i][at] + e.cost(at, end); c < cost[i+1][end] {
					cost[i+1][end], from[i+1][end] = c, at
				}
			}
		}
	}
	if math.IsInf(cost[len(engines)][layers], 1) {
		return nil
	}
	return changed(layers, engines, from)
}

// cost is that of giving an engine a range.
func (h Holder) cost(first, last int) float64 {
	if h.Fixed && (first != h.First || last != h.Last) {
		return math.Inf(1)
	}
	held := max(min(last, h.Last)-max(first, h.First), 0)
	over := float64(max(last-first-h.Capacity, 0))
	return float64(last-first-held) + crowded*over*over
}

// changed follows a tiling back and returns the ranges that change.
func changed(layers int, engines []Holder, from [][]int) []Range {
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
