package arranger

import (
	"cmp"
	"maps"
	"slices"
)

// Holder is the state of an engine on which the plan is based. It is an immutable
// value.
type Holder struct {
	ID     string
	Centre string
	// Capacity is how many layers it may hold with free memory for many requests,
	// and MaxLayers how many it may hold where its data centre lacks holders.
	Capacity  int
	MaxLayers int
	// Tokens is how many tokens it has free memory for, and FirstTokens the same for
	// requests of which it is the first engine. Rate is the inverse of its kind's pace.
	// If Rate is 0 for all engines, each counts as one.
	Tokens      float64
	FirstTokens float64
	Rate        float64
	// TileLayers is how many layers it may hold at no cost when all layers of its data
	// centre are reassigned, if that is more than Capacity: the usual free memory then
	// suffices.
	TileLayers int
	// First and Last bound the layers that it holds or was ordered to hold.
	First int
	Last  int
	// Fixed is set while it must not be assigned another range.
	Fixed bool
}

func (h Holder) empty() bool { return h.Last <= h.First }

// Range is an assignment of layers [First, Last) to an engine.
type Range struct {
	ID    string
	First int
	Last  int
}

// Gains of a layer in a range, by the number of holders that the layer already has.
const (
	// uncoveredGain is for a layer without a holder in the data centre. Without one,
	// each path crosses to another data centre, over a link that all paths share.
	uncoveredGain = 1000.0
	// secondGain is for a second holder in the data centre, so that the loss of one
	// engine leaves a path inside it.
	secondGain = 100.0
	// spareGain is divided by the square of the number of holders that the layer has in
	// the data centre: its layer with the fewest holders limits how many requests a
	// data centre has room for. fleetGain is divided by the number of holders in all data
	// centres.
	spareGain = 60.0
	fleetGain = 10.0
	// alignedGain is for each end of the range that meets the end of another range,
	// which keeps paths short.
	alignedGain = 5.0
)

// plan counts the holders of each layer while ranges are assigned.
type plan struct {
	layers  int
	centres map[string][]int
	all     []int
	// ends marks, by data centre, the layers at which ranges begin or end.
	ends map[string][]bool
	// strengths has, by data centre, what the holders of each layer can do; nil if each
	// holder counts as one.
	strengths map[string]*strength
	// sums is used by strongestRange: sums[l] is the sum of the gains of the layers
	// below l.
	sums []float64
}

// newPlan counts the holders of the layers that are held already.
func newPlan(layers int, holders []Holder) *plan {
	p := &plan{
		layers: layers, centres: make(map[string][]int), all: make([]int, layers),
		ends: make(map[string][]bool), strengths: newStrengths(layers, holders), sums: make([]float64, layers+1),
	}
	for _, h := range holders {
		if p.centres[h.Centre] == nil {
			p.centres[h.Centre] = make([]int, layers)
			p.ends[h.Centre] = make([]bool, layers+1)
			p.ends[h.Centre][0], p.ends[h.Centre][layers] = true, true
		}
		if !h.empty() {
			p.count(h, 1)
		}
	}
	return p
}

// count adds n holders to each layer of a holder's range.
func (p *plan) count(h Holder, n int) {
	for l := max(h.First, 0); l < min(h.Last, p.layers); l++ {
		p.centres[h.Centre][l] += n
		p.all[l] += n
	}
	if s := p.strengths[h.Centre]; s != nil {
		s.count(h, n)
	}
	if n > 0 && h.First >= 0 && h.Last <= p.layers {
		p.ends[h.Centre][h.First], p.ends[h.Centre][h.Last] = true, true
	}
}

// Plan returns the ranges to order: for each empty engine the range with the highest
// gain, and, while uncovered layers remain, uncovered ranges for engines whose
// layers have other holders in their data centre. If layers of a data centre are
// still uncovered, all its layers are reassigned if relayout allows it.
func Plan(layers int, holders []Holder, relayout func(centre string) bool) []Range {
	if layers <= 0 {
		return nil
	}
	p := newPlan(layers, holders)
	var ranges []Range
	empty := roundRobin(holders)
	for i, h := range empty {
		r := p.bestRange(h)
		empty[i].First, empty[i].Last = r.First, r.Last
		p.count(empty[i], 1)
		ranges = append(ranges, r)
	}
	if p.strengths != nil {
		p.level(empty, ranges)
	}
	ranges = append(ranges, p.moves(holders)...)
	return append(ranges, p.tileCentres(holders, ranges, relayout)...)
}

// UncoveredCentres lists the data centres in which a layer has no holder.
func UncoveredCentres(layers int, holders []Holder) []string {
	p := newPlan(layers, holders)
	var centres []string
	for centre, held := range p.centres {
		if slices.Contains(held, 0) {
			centres = append(centres, centre)
		}
	}
	return centres
}

// tileCentres reassigns all layers of the data centres in which a layer still has no
// holder, if relayout allows it.
func (p *plan) tileCentres(holders []Holder, ordered []Range, relayout func(centre string) bool) []Range {
	var ranges []Range
	for _, centre := range slices.Sorted(maps.Keys(p.centres)) {
		if !slices.Contains(p.centres[centre], 0) || !relayout(centre) {
			continue
		}
		var engines []Holder
		for _, h := range holders {
			if h.Centre != centre {
				continue
			}
			if at := slices.IndexFunc(ordered, func(r Range) bool { return r.ID == h.ID }); at >= 0 {
				h.First, h.Last, h.Fixed = ordered[at].First, ordered[at].Last, true
			}
			engines = append(engines, h)
		}
		ranges = append(ranges, tile(p.layers, engines)...)
	}
	return ranges
}

// roundRobin orders the empty engines: one of each data centre in turn, by
// descending capacity.
func roundRobin(holders []Holder) []Holder {
	byCentre := make(map[string][]Holder)
	longest := 0
	for _, h := range holders {
		if h.empty() && !h.Fixed && h.Capacity > 0 {
			byCentre[h.Centre] = append(byCentre[h.Centre], h)
			longest = max(longest, len(byCentre[h.Centre]))
		}
	}
	centres := make([]string, 0, len(byCentre))
	for centre, list := range byCentre {
		centres = append(centres, centre)
		slices.SortFunc(list, func(a, b Holder) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
		})
	}
	slices.Sort(centres)
	var order []Holder
	for n := range longest {
		for _, centre := range centres {
			if n < len(byCentre[centre]) {
				order = append(order, byCentre[centre][n])
			}
		}
	}
	return order
}

// bestRange returns the range with the highest gain for an engine.
func (p *plan) bestRange(h Holder) Range {
	if s := p.strengths[h.Centre]; s != nil {
		return p.strongestRange(h, s)
	}
	width := min(h.Capacity, p.layers)
	found := Range{ID: h.ID, First: 0, Last: width}
	highest := -1.0
	for first := 0; first+width <= p.layers; first++ {
		if gain := p.gain(h, first, first+width); gain > highest {
			found.First, found.Last, highest = first, first+width, gain
		}
	}
	return found
}

// gain returns the gain of a range for an engine.
func (p *plan) gain(h Holder, first, last int) float64 {
	sum := 0.0
	held, s := p.centres[h.Centre], p.strengths[h.Centre]
	for l := first; l < last; l++ {
		switch held[l] {
		case 0:
			sum += uncoveredGain
		case 1:
			sum += secondGain
		}
		if s != nil {
			sum += s.gain(h, l) + fleetGain/float64(2+p.all[l])
			continue
		}
		holders := float64(max(held[l], 1))
		sum += spareGain/(holders*holders) + fleetGain/float64(2+p.all[l])
	}
	return sum + alignment(p.ends[h.Centre], first, last)
}

// alignment returns the gain of the ends of a range.
func alignment(ends []bool, first, last int) float64 {
	sum := 0.0
	if ends[first] {
		sum += alignedGain
	}
	if ends[last] {
		sum += alignedGain
	}
	return sum
}

// moves assigns uncovered ranges to engines whose layers all have another holder in
// their data centre.
func (p *plan) moves(holders []Holder) []Range {
	var ranges []Range
	for centre, held := range p.centres {
		for slices.Contains(held, 0) {
			r, ok := p.move(centre, holders, ranges)
			if !ok {
				break
			}
			ranges = append(ranges, r)
		}
	}
	slices.SortFunc(ranges, func(a, b Range) int { return cmp.Compare(a.ID, b.ID) })
	return ranges
}

// move returns the move in a data centre that covers the most uncovered layers
// without uncovering others.
func (p *plan) move(centre string, holders []Holder, moved []Range) (Range, bool) {
	var best Range
	var from Holder
	highest := 0.0
	for _, h := range holders {
		if h.Centre != centre || h.empty() || h.Fixed || !p.redundant(h) || hasRange(moved, h.ID) {
			continue
		}
		p.count(h, -1)
		r := p.bestRange(h)
		gain := p.gain(h, r.First, r.Last) - p.gain(h, h.First, h.Last)
		p.count(h, 1)
		if gain > highest && gain > uncoveredGain/2 {
			best, from, highest = r, h, gain
		}
	}
	if highest == 0 {
		return Range{}, false
	}
	p.count(from, -1)
	from.First, from.Last = best.First, best.Last
	p.count(from, 1)
	return best, true
}

// redundant reports whether each layer of an engine has another holder in its
// data centre.
func (p *plan) redundant(h Holder) bool {
	for l := max(h.First, 0); l < min(h.Last, p.layers); l++ {
		if p.centres[h.Centre][l] < 2 {
			return false
		}
	}
	return true
}

// hasRange reports whether an engine has been assigned a range.
func hasRange(ranges []Range, id string) bool {
	return slices.ContainsFunc(ranges, func(r Range) bool { return r.ID == id })
}
