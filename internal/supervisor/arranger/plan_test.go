package arranger

import (
	"fmt"
	"slices"
	"testing"
)

// fleet returns the engines of one data centre.
func fleet(centre string, big, mid, small int) []Holder {
	var holders []Holder
	add := func(kind string, n, capacity, most int) {
		for i := range n {
			holders = append(holders, Holder{
				ID: fmt.Sprintf("%s-%s-%d", centre, kind, i), Centre: centre, Capacity: capacity, MaxLayers: most,
			})
		}
	}
	add("big", big, 15, 18)
	add("mid", mid, 9, 10)
	add("small", small, 6, 7)
	return holders
}

// apply returns the holders with the ranges assigned to them.
func apply(holders []Holder, ranges []Range) []Holder {
	next := append([]Holder(nil), holders...)
	for _, r := range ranges {
		for i := range next {
			if next[i].ID == r.ID {
				next[i].First, next[i].Last = r.First, r.Last
			}
		}
	}
	return next
}

// gaps counts the layers of a data centre without a holder.
func gaps(layers int, centre string, holders []Holder) int {
	n := 0
	for l := range layers {
		held := false
		for _, h := range holders {
			held = held || (h.Centre == centre && h.First <= l && l < h.Last)
		}
		if !held {
			n++
		}
	}
	return n
}

// without returns the holders but one.
func without(holders []Holder, id string) []Holder {
	var rest []Holder
	for _, h := range holders {
		if h.ID != id {
			rest = append(rest, h)
		}
	}
	return rest
}

// threeCentres returns the engines of three data centres, the last of which can hold
// hardly more than one copy of all layers.
func threeCentres() []Holder {
	all := append(fleet("a", 2, 5, 8), fleet("b", 1, 7, 5)...)
	return append(all, fleet("c", 2, 3, 5)...)
}

func TestPlanHoldsAllLayersInEachCentre(t *testing.T) {
	holders := threeCentres()
	holders = apply(holders, Plan(80, holders, always))
	for _, centre := range []string{"a", "b", "c"} {
		if got, want := gaps(80, centre, holders), 0; got != want {
			t.Errorf("layers without a holder in %s: got %d, want %d", centre, got, want)
		}
	}
	for _, h := range holders {
		if got, want := h.Last-h.First, h.Capacity; got > want {
			t.Errorf("%s: got %d layers, want at most %d", h.ID, got, want)
		}
	}
	if got := Plan(80, holders, always); len(got) > 0 {
		t.Errorf("plan of what is held already: got %v, want none", got)
	}
}

// One engine of a data centre leaves for good or crashes, and the others must hold
// its layers within their memory.
func TestPlanRepairsAnyLoss(t *testing.T) {
	holders := threeCentres()
	holders = apply(holders, Plan(80, holders, always))
	for _, lost := range holders {
		left := without(holders, lost.ID)
		ranges := Plan(80, left, always)
		after := apply(left, ranges)
		if got, want := gaps(80, lost.Centre, after), 0; got != want {
			t.Errorf("without %s (%d to %d): got %d layers without a holder, want %d; ordered %v",
				lost.ID, lost.First, lost.Last, got, want, ranges)
		}
		for _, h := range after {
			if got, want := h.Last-h.First, h.MaxLayers; got > want {
				t.Errorf("without %s: %s got %d layers, want at most %d", lost.ID, h.ID, got, want)
			}
		}
	}
}

func TestPlanLeavesFixedEnginesAlone(t *testing.T) {
	holders := threeCentres()
	holders = apply(holders, Plan(80, holders, always))
	left := without(holders, "c-big-0")
	for i := range left {
		left[i].Fixed = left[i].Centre == "c"
	}
	if got := Plan(80, left, always); len(got) > 0 {
		t.Errorf("got %v, want no order while each engine has one in progress", got)
	}
}

// always allows the layers of any data centre to be reassigned.
func always(string) bool { return true }

// Engines of several data centres end together, on days of high load. What a data
// centre has room for is limited by its layer with the fewest holders, so that none
// may have far fewer than the mean.
func TestPlanLevelsHolders(t *testing.T) {
	cases := map[string][]Holder{
		"few fast engines":  fleet("a", 4, 11, 18),
		"many mid engines":  fleet("b", 2, 27, 16),
		"many small":        fleet("c", 3, 16, 28),
		"mixed":             fleet("d", 5, 11, 19),
		"small data centre": fleet("e", 2, 5, 8),
	}
	for name, holders := range cases {
		t.Run(name, func(t *testing.T) {
			const layers = 80
			held, sum := make([]int, layers), 0
			for _, r := range Plan(layers, holders, func(string) bool { return false }) {
				for l := r.First; l < r.Last; l++ {
					held[l]++
					sum++
				}
			}
			mean := float64(sum) / layers
			if got, want := float64(slices.Min(held)), mean-1.5; got <= want {
				t.Errorf("fewest holders of a layer: got %v, want more than %.2f, the mean being %.2f: %v", got, want, mean, held)
			}
		})
	}
}
