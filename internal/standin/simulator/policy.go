package simulator

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"banyanquay/internal/supervisor/arranger"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// Policy is a way to place layers and to choose paths. It is an immutable value.
type Policy struct {
	Name string
	// About describes the policy in one line.
	About string
	// Plan assigns layers to engines, and Find chooses paths; nil means the product's
	// own way.
	Plan func(layers int, holders []arranger.Holder, anew func(centre string) bool) []arranger.Range
	Find func(req pathfinder.Request) ([]pathfinder.Stage, bool)
	// NoReports stops nodes from reporting their load to each other.
	NoReports bool
}

// Policies returns the product's own policy, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "product", About: "placement and paths as the product chooses them"},
		{Name: "mute", About: "as the product, but nodes don't report their load to each other", NoReports: true},
		{Name: "even", About: "layers assigned in turn to the engines of a data centre and never moved", Plan: even},
		{Name: "shortest", About: "the path with the fewest engines, whatever their accelerators and load", Find: shortest},
		{Name: "random", About: "random engines that hold the next layers, first in the node's data centre", Find: random},
	}
}

// even gives each engine without layers the range after the last one assigned in its
// data centre.
func even(layers int, holders []arranger.Holder, _ func(string) bool) []arranger.Range {
	next := make(map[string]int)
	sorted := slices.SortedFunc(slices.Values(holders), func(a, b arranger.Holder) int { return cmp.Compare(a.ID, b.ID) })
	for _, h := range sorted {
		if h.Last > h.First {
			next[h.Centre] = h.Last % layers
		}
	}
	var ranges []arranger.Range
	for _, h := range sorted {
		if h.Last > h.First || h.Fixed || h.Capacity <= 0 {
			continue
		}
		first := next[h.Centre]
		last := min(first+h.Capacity, layers)
		next[h.Centre] = last % layers
		ranges = append(ranges, arranger.Range{ID: h.ID, First: first, Last: last})
	}
	return ranges
}

// shortest returns the path with the fewest engines.
func shortest(req pathfinder.Request) ([]pathfinder.Stage, bool) {
	uniform := slices.Clone(req.Engines)
	for i := range uniform {
		uniform[i].StageCost, uniform[i].LayerCost = 1, 0
	}
	req.Engines = uniform
	return pathfinder.Find(req)
}

// maxWalks is the number of random walks that are tried before the product's search.
const maxWalks = 20

// random returns the path of a random walk over the layers. The first half of the
// walks stay in the node's own data centre, the others don't. A request for a path
// with a given head goes to the product's search at once.
func random(req pathfinder.Request) ([]pathfinder.Stage, bool) {
	if req.Head == nil {
		for n := range maxWalks {
			if path, ok := randomWalk(req, n < maxWalks/2); ok {
				return path, true
			}
		}
	}
	return pathfinder.Find(req)
}

// randomWalk chooses random holders of the next layer until all layers are covered.
// It fails if none holds the next one.
func randomWalk(req pathfinder.Request, local bool) ([]pathfinder.Stage, bool) {
	var path []pathfinder.Stage
	for at := 0; at < req.Layers; {
		var next []pathfinder.Engine
		for _, e := range req.Engines {
			used := slices.ContainsFunc(path, func(p pathfinder.Stage) bool { return p.Address == e.Address })
			if e.First <= at && at < e.Last && !used && !e.Indivisible && (!local || e.Centre == req.Centre) {
				next = append(next, e)
			}
		}
		if len(next) == 0 {
			return nil, false
		}
		e := next[rand.IntN(len(next))]
		path = append(path, pathfinder.Stage{ID: e.ID, Address: e.Address, Centre: e.Centre, First: at, Last: e.Last})
		at = e.Last
	}
	return path, true
}
