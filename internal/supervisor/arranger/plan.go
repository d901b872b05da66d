package arranger

import (
	"cmp"
	"maps"
	"slices"
)

// Holder is an engine as the plan sees it. It is an immutable value.
type Holder struct {
	ID     string
	Centre string
	// Capacity is how many layers it may hold with room for many requests, and
	// Most how many it may hold where its data centre lacks holders.
	Capacity int
	Most     int
	// First and Last bound the layers that it holds or was ordered to hold.
	First int
	Last  int
	// Fixed is set while it must not be given another range.
	Fixed bool
}

func (h Holder) empty() bool { return h.Last <= h.First }

// Range is an assignment of layers [First, Last) to an engine.
type Range struct {
	ID    string
	First int
	Last  int
}

// Gains of a layer that an engine adds, by the holders that it has already.
const (
	// uncovered is for a layer without a holder in the data centre: without it
	// each path crosses to another one, over the pipe that all share.
	uncovered = 1000.0
	// second is for a second holder there, so that the loss of one engine
	// leaves a path inside the data centre.
	second = 100.0
	// spare is divided by the holders that the layer has in the data centre
	// and, less strongly, everywhere.
	spare = 10.0
	// aligned is for an end of the range that meets another range's end, which
	// keeps paths short.
	aligned = 5.0
)

// plan is the holders of each layer while ranges are given out.
type plan struct {
	layers  int
	centres map[string][]int
	all     []int
	// ends marks, by data centre, where ranges begin or end.
	ends map[string][]bool
}

// newPlan counts the holders of what is held already.
func newPlan(layers int, holders []Holder) *plan {
	p := &plan{
		layers: layers, centres: make(map[string][]int), all: make([]int, layers),
		ends: make(map[string][]bool),
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

// count adds or removes a holder's layers.
func (p *plan) count(h Holder, n int) {
	for l := max(h.First, 0); l < min(h.Last, p.layers); l++ {
		p.centres[h.Centre][l] += n
		p.all[l] += n
	}
	if n > 0 && h.First >= 0 && h.Last <= p.layers {
		p.ends[h.Centre][h.First], p.ends[h.Centre][h.Last] = true, true
	}
}

// Plan returns the ranges to order: for each empty engine the range that adds
// most, and for an engine whose layers others hold too, a range that nobody in
// its data centre holds, if no empty one is left for that. The data centres that
// anew tells are laid out anew if nothing else closes their gaps.
func Plan(layers int, holders []Holder, anew func(centre string) bool) []Range {
	if layers <= 0 {
		return nil
	}
	p := newPlan(layers, holders)
	var ranges []Range
	for _, h := range turns(holders) {
		r := p.best(h)
		h.First, h.Last = r.First, r.Last
		p.count(h, 1)
		ranges = append(ranges, r)
	}
	ranges = append(ranges, p.moves(holders)...)
	return append(ranges, p.tiles(holders, ranges, anew)...)
}

// Lacking lists the data centres in which a layer has no holder.
func Lacking(layers int, holders []Holder) []string {
	p := newPlan(layers, holders)
	var centres []string
	for centre, held := range p.centres {
		if slices.Contains(held, 0) {
			centres = append(centres, centre)
		}
	}
	return centres
}

// tiles lays out anew the data centres in which a layer has no holder still.
func (p *plan) tiles(holders []Holder, given []Range, anew func(centre string) bool) []Range {
	var ranges []Range
	for _, centre := range slices.Sorted(maps.Keys(p.centres)) {
		if !slices.Contains(p.centres[centre], 0) || !anew(centre) {
			continue
		}
		var engines []Holder
		for _, h := range holders {
			if h.Centre != centre {
				continue
			}
			if at := slices.IndexFunc(given, func(r Range) bool { return r.ID == h.ID }); at >= 0 {
				h.First, h.Last, h.Fixed = given[at].First, given[at].Last, true
			}
			engines = append(engines, h)
		}
		ranges = append(ranges, tile(p.layers, engines)...)
	}
	return ranges
}

// turns orders the empty engines: the data centres by turns, the largest
// engine of each first.
func turns(holders []Holder) []Holder {
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

// best returns the range that adds most at an engine.
func (p *plan) best(h Holder) Range {
	width := min(h.Capacity, p.layers)
	found := Range{ID: h.ID, First: 0, Last: width}
	highest := -1.0
	for first := 0; first+width <= p.layers; first++ {
		if gain := p.gain(h.Centre, first, first+width); gain > highest {
			found.First, found.Last, highest = first, first+width, gain
		}
	}
	return found
}

// gain is what a range adds in a data centre.
func (p *plan) gain(centre string, first, last int) float64 {
	sum := 0.0
	held := p.centres[centre]
	for l := first; l < last; l++ {
		switch held[l] {
		case 0:
			sum += uncovered
		case 1:
			sum += second
		}
		sum += spare/float64(1+held[l]) + spare/float64(2+p.all[l])
	}
	ends := p.ends[centre]
	if ends[first] {
		sum += aligned
	}
	if ends[last] {
		sum += aligned
	}
	return sum
}

// moves gives engines whose layers all have another holder in their data
// centre a range that has none.
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

// move returns the move in a data centre that covers the most layers that have
// no holder, at the loss of none.
func (p *plan) move(centre string, holders []Holder, moved []Range) (Range, bool) {
	var best Range
	var from Holder
	highest := 0.0
	for _, h := range holders {
		if h.Centre != centre || h.empty() || h.Fixed || !p.redundant(h) || among(moved, h.ID) {
			continue
		}
		p.count(h, -1)
		r := p.best(h)
		gain := p.gain(centre, r.First, r.Last) - p.gain(centre, h.First, h.Last)
		p.count(h, 1)
		if gain > highest && gain > uncovered/2 {
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

// redundant tells whether each layer of an engine has another holder in its
// data centre.
func (p *plan) redundant(h Holder) bool {
	for l := max(h.First, 0); l < min(h.Last, p.layers); l++ {
		if p.centres[h.Centre][l] < 2 {
			return false
		}
	}
	return true
}

// among tells whether an engine has been given a range.
func among(ranges []Range, id string) bool {
	return slices.ContainsFunc(ranges, func(r Range) bool { return r.ID == id })
}
