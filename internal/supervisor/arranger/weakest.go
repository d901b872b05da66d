package arranger

import (
	"maps"
	"slices"
)

const (
	// maxWeakness is how far the tokens of the weakest layer may be below the mean of the
	// data centre, in mean engines, before engines are reassigned for it alone. Sums of
	// gains can favour other layers where most engines are slow.
	maxWeakness = 1.4
	// maxRaises bounds the engines that are reassigned in a data centre for its weakest
	// layers.
	maxRaises = 8
)

// raiseWeakest reassigns engines of a plan to the weakest layers of their data centre.
func (p *plan) raiseWeakest(engines []Holder) {
	for _, centre := range slices.Sorted(maps.Keys(p.strengths)) {
		for range maxRaises {
			if !p.raise(engines, centre) {
				break
			}
		}
	}
}

// raise reassigns the engine to the weakest layer of a data centre that costs the least
// gain and leaves fewer layers as weak, if the layer is too weak, and reports whether it did.
func (p *plan) raise(engines []Holder, centre string) bool {
	s := p.strengths[centre]
	total := 0.0
	for _, t := range s.tokens {
		total += t
	}
	weakest := slices.Min(s.tokens)
	if weakest > total/float64(p.layers)-maxWeakness {
		return false
	}
	layer, lacking, weak := slices.Index(s.tokens, weakest), p.lacks(centre), s.weak(weakest)
	found, best, highest := -1, Holder{}, 0.0
	for i, h := range engines {
		if h.Centre != centre || h.First <= layer && layer < h.Last {
			continue
		}
		p.count(h, -1)
		old := p.gain(h, h.First, h.Last)
		width := min(h.Capacity, p.layers)
		for first := max(layer-width+1, 0); first <= min(layer, p.layers-width); first++ {
			moved := h
			moved.First, moved.Last = first, first+width
			gain := p.gain(h, first, first+width) - old
			p.count(moved, 1)
			better := found < 0 || gain > highest
			if better && s.weak(weakest) < weak && slices.Min(s.tokens) > weakest-minImprovement && p.lacks(centre) <= lacking {
				found, best, highest = i, moved, gain
			}
			p.count(moved, -1)
		}
		p.count(h, 1)
	}
	if found < 0 {
		return false
	}
	p.count(engines[found], -1)
	engines[found] = best
	p.count(best, 1)
	return true
}

// weak counts the layers with at most a number of tokens.
func (s *strength) weak(tokens float64) int {
	n := 0
	for _, t := range s.tokens {
		if t <= tokens+minImprovement {
			n++
		}
	}
	return n
}

// lacks counts the missing first and second holders of the layers of a data centre, and
// the layers with slow holders only.
func (p *plan) lacks(centre string) int {
	n := 0
	for l, held := range p.centres[centre] {
		n += max(2-held, 0)
		if p.strengths[centre].faster[l] == 0 {
			n++
		}
	}
	return n
}
