package placer

import (
	"cmp"
	"slices"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/placer/reducer"
)

// minHolders is the minimum number of endpoints that should hold each layer.
const minHolders = 2

// Want is a model version that organisations use.
type Want struct {
	Model   string
	Version string
	// Adapters are sorted and unique.
	Adapters []string
}

// Engine is the state of an endpoint on which the plan is based.
type Engine struct {
	Address string
	// Status is its latest own report.
	Status driver.Status
	// Busy is set if the endpoint must not be ordered to load layers now.
	Busy bool
}

// freeLayers returns the number of further layers for which there is capacity.
func (e Engine) freeLayers() int {
	n := e.Status.Capacity
	for _, h := range e.Status.Holdings {
		n -= h.Last - h.First
	}
	return max(n, 0)
}

// gap is a run of layers of a want that too few endpoints hold.
type gap struct {
	want        Want
	holders     int
	first, last int
	layers      int
}

// planLoad returns the next load, if one is needed. Engines have their open loads
// among their holdings, and those that are not serving are busy. A load only adds to
// what its endpoint holds, so none ever removes a layer. Layers without a holder
// come first, then those with one holder, then adapters.
func planLoad(wants []Want, engines []Engine) (reducer.Load, bool) {
	var gaps []gap
	for _, w := range wants {
		gaps = append(gaps, findGaps(w, engines)...)
	}
	slices.SortStableFunc(gaps, func(a, b gap) int { return cmp.Compare(a.holders, b.holders) })
	for _, g := range gaps {
		if e, ok := g.bestEngine(engines); ok {
			return g.load(e), true
		}
	}
	for _, w := range wants {
		for _, e := range engines {
			if l, ok := adapterLoad(w, e); ok {
				return l, true
			}
		}
	}
	return reducer.Load{}, false
}

// matches reports whether a holding is of the wanted model version.
func (w Want) matches(h driver.Holding) bool {
	return h.Model == w.Model && h.Version == w.Version && h.Layers > 0
}

// findGaps returns the runs of layers that too few endpoints hold, split where held
// ranges begin or end. A model version of which no endpoint holds a part has an
// unknown number of layers and no gaps.
func findGaps(w Want, engines []Engine) []gap {
	layers := 0
	boundaries := make(map[int]bool)
	for _, e := range engines {
		for _, h := range e.Status.Holdings {
			if w.matches(h) {
				layers = max(layers, h.Layers)
				boundaries[h.First], boundaries[h.Last] = true, true
			}
		}
	}
	var gaps []gap
	for layer, n := range holderCounts(w, engines, layers) {
		last := len(gaps) - 1
		switch {
		case n >= minHolders:
		case last >= 0 && gaps[last].last == layer && gaps[last].holders == n && !boundaries[layer]:
			gaps[last].last++
		default:
			gaps = append(gaps, gap{want: w, holders: n, first: layer, last: layer + 1, layers: layers})
		}
	}
	return gaps
}

// holderCounts returns how many engines hold each layer.
func holderCounts(w Want, engines []Engine, layers int) []int {
	counts := make([]int, layers)
	// lastCounted has the 1-based index of the last engine that was counted for each
	// layer.
	lastCounted := make([]int, layers)
	for i, e := range engines {
		for _, h := range e.Status.Holdings {
			if !w.matches(h) {
				continue
			}
			for layer := max(h.First, 0); layer < min(h.Last, layers); layer++ {
				if lastCounted[layer] <= i {
					lastCounted[layer] = i + 1
					counts[layer]++
				}
			}
		}
	}
	return counts
}

// holds reports whether the engine holds any layer of [first, last).
func (e Engine) holds(w Want, first, last int) bool {
	return slices.ContainsFunc(e.Status.Holdings, func(h driver.Holding) bool {
		return w.matches(h) && h.First < last && first < h.Last
	})
}

// bestEngine returns the engine with the most free layers that holds none of the
// gap.
func (g gap) bestEngine(engines []Engine) (Engine, bool) {
	var best Engine
	for _, e := range engines {
		if !e.Busy && e.freeLayers() > best.freeLayers() && !e.holds(g.want, g.first, g.last) {
			best = e
		}
	}
	return best, best.freeLayers() > 0
}

// load returns a load of as much of the gap as the engine has capacity for.
func (g gap) load(e Engine) reducer.Load {
	added := driver.Holding{
		Model:    g.want.Model,
		Version:  g.want.Version,
		First:    g.first,
		Last:     min(g.last, g.first+e.freeLayers()),
		Layers:   g.layers,
		Adapters: g.want.Adapters,
	}
	return reducer.Load{Endpoint: e.Address, Hold: append(slices.Clone(e.Status.Holdings), added)}
}

// adapterLoad returns a load of the adapters that an engine lacks for the layers
// that it holds, and whether there are any.
func adapterLoad(w Want, e Engine) (reducer.Load, bool) {
	if e.Busy {
		return reducer.Load{}, false
	}
	hold := slices.Clone(e.Status.Holdings)
	lacks := false
	for i, h := range hold {
		if !w.matches(h) {
			continue
		}
		adapters := slices.Clone(h.Adapters)
		for _, a := range w.Adapters {
			if !slices.Contains(adapters, a) {
				adapters = append(adapters, a)
				lacks = true
			}
		}
		hold[i].Adapters = adapters
	}
	return reducer.Load{Endpoint: e.Address, Hold: hold}, lacks
}

// holdsAll reports whether a report has all that a load is to bring.
func holdsAll(s driver.Status, hold []driver.Holding) bool {
	for _, want := range hold {
		if !slices.ContainsFunc(s.Holdings, func(h driver.Holding) bool { return covers(h, want) }) {
			return false
		}
	}
	return true
}

// covers reports whether a holding includes all of another.
func covers(h, want driver.Holding) bool {
	if h.Model != want.Model || h.Version != want.Version || h.First > want.First || h.Last < want.Last {
		return false
	}
	for _, a := range want.Adapters {
		if !slices.Contains(h.Adapters, a) {
			return false
		}
	}
	return true
}
