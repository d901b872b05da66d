package modeller

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"banyanquay/internal/supervisor/arranger"
	"banyanquay/internal/supervisor/forwarder/pather"
)

// Policy is a way to place layers and to choose paths. It is an immutable value.
type Policy struct {
	Name string
	// About says in a line what it does.
	About string
	// Plan gives out layers, and Find chooses paths; nil means as the product does.
	Plan func(layers int, holders []arranger.Holder, anew func(centre string) bool) []arranger.Range
	Find func(req pather.Request) ([]pather.Part, bool)
	// Mute nodes don't tell each other of their work.
	Mute bool
}

// Policies lists the product's own way first, and then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "product", About: "placement and paths as the product chooses them"},
		{Name: "mute", About: "as the product, but nodes don't tell each other of their work", Mute: true},
		{Name: "even", About: "layers in turn over the engines of a data centre, never moved", Plan: even},
		{Name: "shortest", About: "the path of the fewest engines, whatever they are and have to do", Find: shortest},
		{Name: "random", About: "any engines of the own data centre that hold the next layers", Find: random},
	}
}

// even gives each engine without layers those that follow the last given out in its
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

// shortest returns the path of the fewest engines.
func shortest(req pather.Request) ([]pather.Part, bool) {
	flat := slices.Clone(req.Engines)
	for i := range flat {
		flat[i].StageCost, flat[i].LayerCost = 1, 0
	}
	req.Engines = flat
	return pather.Find(req)
}

// walks is how many random walks are tried before the product's search.
const walks = 20

// random returns a random walk over the layers, at first in the own data centre.
func random(req pather.Request) ([]pather.Part, bool) {
	if req.Head == nil {
		for n := range walks {
			if path, ok := walk(req, n < walks/2); ok {
				return path, true
			}
		}
	}
	return pather.Find(req)
}

// walk chooses one holder of the next layer after the other.
func walk(req pather.Request, near bool) ([]pather.Part, bool) {
	var path []pather.Part
	for at := 0; at < req.Layers; {
		var next []pather.Engine
		for _, e := range req.Engines {
			used := slices.ContainsFunc(path, func(p pather.Part) bool { return p.Address == e.Address })
			if e.First <= at && at < e.Last && !used && !e.Indivisible && (!near || e.Centre == req.Centre) {
				next = append(next, e)
			}
		}
		if len(next) == 0 {
			return nil, false
		}
		e := next[rand.IntN(len(next))]
		path = append(path, pather.Part{ID: e.ID, Address: e.Address, Centre: e.Centre, First: at, Last: e.Last})
		at = e.Last
	}
	return path, true
}
