package planner

import (
	"math"
	"slices"
	"time"

	"banyanquay/internal/driver"
)

// Throughput is the highest token rate that the hardware allows for one model
// version.
type Throughput struct {
	// TokensPerSecond is the rate in tokens a second.
	TokensPerSecond float64
	// Critical are the layers whose holders limit the rate.
	Critical []Range
}

// Range is a range of layers [First, Last).
type Range struct {
	First int
	Last  int
}

// MaxThroughput returns the throughput bound of a model version. An endpoint of s slots
// that needs t milliseconds for a layer runs s/t layers a millisecond, in any
// mix of the layers it holds. A rate is feasible if the work of every layer can
// be distributed among its holders within their capacities. For any set of
// layers, the rate is at most the capacity of the set's holders divided by the
// number of layers in the set; the minimum over all sets is the highest
// feasible rate.
func MaxThroughput(model, version string, endpoints []driver.Endpoint) Throughput {
	layers := countLayers(model, version, endpoints)
	if layers == 0 {
		return Throughput{}
	}
	p := New(Config{})
	req := Request{Model: model, Version: version}
	holders := p.collectHolders(driver.Endpoint.Serving, req, span{0, layers}, layers, endpoints, func(string) Load { return Load{} })
	a := newAllocation(span{0, layers}, holders)
	return a.maxThroughput()
}

// allocation is the problem of distributing the work of blocks of layers among
// endpoints.
type allocation struct {
	// boundaries split the layers into blocks: block i is the layers from
	// boundaries[i] to boundaries[i+1].
	boundaries []int
	// capacities are the endpoints' capacities in layers a second.
	capacities []float64
	// heldBlocks lists the blocks that each endpoint holds, in order.
	heldBlocks [][]int
}

// newAllocation merges layers with the same holders into blocks.
func newAllocation(want span, holders []holder) *allocation {
	a := &allocation{boundaries: layerBoundaries(want, holders)}
	lastIndex := -1
	for i := range holders {
		h := &holders[i]
		if h.index != lastIndex {
			layerMillis := math.Max(h.endpoint.Status.StepMillis, 1e-6)
			a.capacities = append(a.capacities, h.slots()*milliseconds(time.Second)/layerMillis)
			a.heldBlocks = append(a.heldBlocks, nil)
			lastIndex = h.index
		}
		blocks := &a.heldBlocks[len(a.heldBlocks)-1]
		block, _ := slices.BinarySearch(a.boundaries, h.span.first)
		for ; a.boundaries[block] < h.span.last; block++ {
			if !slices.Contains(*blocks, block) {
				*blocks = append(*blocks, block)
			}
		}
	}
	return a
}

func (a *allocation) blockCount() int { return len(a.boundaries) - 1 }

// layersIn returns the number of layers in a block.
func (a *allocation) layersIn(block int) float64 {
	return float64(a.boundaries[block+1] - a.boundaries[block])
}

// maxRate returns the rate at which a set of blocks uses the whole capacity of
// its holders.
func (a *allocation) maxRate(set []bool) float64 {
	capacity, layers := 0.0, 0.0
	for e, blocks := range a.heldBlocks {
		if slices.ContainsFunc(blocks, func(b int) bool { return set[b] }) {
			capacity += a.capacities[e]
		}
	}
	for b, in := range set {
		if in {
			layers += a.layersIn(b)
		}
	}
	return capacity / layers
}

// tolerance is the relative rounding error allowed in the sums of the flow.
const tolerance = 1e-9

// maxThroughput minimises maxRate over all sets of blocks by Newton's method:
// if a rate is not feasible, the minimum cut is a set with a lower maximum
// rate, which is tried next.
func (a *allocation) maxThroughput() Throughput {
	set := make([]bool, a.blockCount())
	for b := range set {
		set[b] = true
	}
	rate := a.maxRate(set)
	for {
		cut, feasible := a.minimumCut(rate)
		if feasible {
			return Throughput{TokensPerSecond: rate, Critical: a.ranges(set)}
		}
		next := a.maxRate(cut)
		if next >= rate*(1-tolerance) {
			return Throughput{TokensPerSecond: rate, Critical: a.ranges(set)}
		}
		rate, set = next, cut
	}
}

// ranges merges adjacent blocks of a set into ranges of layers.
func (a *allocation) ranges(set []bool) []Range {
	var ranges []Range
	for b, in := range set {
		switch {
		case !in:
		case b > 0 && set[b-1]:
			ranges[len(ranges)-1].Last = a.boundaries[b+1]
		default:
			ranges = append(ranges, Range{a.boundaries[b], a.boundaries[b+1]})
		}
	}
	return ranges
}

// minimumCut reports whether a rate is feasible and, if not, returns the blocks
// that can't be served in full: those on the demand side of the minimum cut.
func (a *allocation) minimumCut(rate float64) ([]bool, bool) {
	f := newFlow(a, rate)
	f.maximise()
	if f.shortfall <= tolerance*rate*float64(a.boundaries[a.blockCount()]) {
		return nil, true
	}
	return f.unservedBlocks(), false
}
