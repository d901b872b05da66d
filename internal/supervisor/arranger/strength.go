package arranger

import "math"

const (
	// tokenGain and rateGain are multiplied by how much an engine lowers the inverse square
	// of the tokens and of the rate of a layer, in mean engines: the weakest layer limits
	// how many requests a data centre has room for, and the slowest its step time.
	tokenGain = 150.0
	rateGain  = 100.0
	// fasterGain is for the first holder of a layer in the data centre that is faster than
	// the slowest kind. Without one, all paths are as slow as that kind in the layer.
	fasterGain = 100.0
	// minStrength is used for layers with weaker holders or none, in mean engines, so
	// that the gains of layers don't exceed uncoveredGain.
	minStrength = 0.25
	// minImprovement is the gain from which another range counts as better. It is above
	// the rounding errors of sums.
	minImprovement = 1e-6
	// maxPairSweeps bounds how often all pairs of engines are reassigned; the second time
	// changes little.
	maxPairSweeps = 2
	// maxSweeps bounds how often all engines are reassigned one by one in between.
	maxSweeps = 8
)

// strength is what the holders of each layer of a data centre can do, in mean engines
// of the data centre.
type strength struct {
	tokens []float64
	rate   []float64
	// faster counts the holders that are faster than the slowest kind.
	faster []int
	// slowest is the lowest rate of an engine. meanTokens and meanRate are the means of
	// the engines, weighted by the layers that they may hold.
	slowest    float64
	meanTokens float64
	meanRate   float64
}

// newStrengths returns the strength of each data centre without holders, or nil if
// each holder counts as one.
func newStrengths(layers int, holders []Holder) map[string]*strength {
	strengths, weights := make(map[string]*strength), make(map[string]float64)
	for _, h := range holders {
		if h.Rate <= 0 {
			continue
		}
		s := strengths[h.Centre]
		if s == nil {
			s = &strength{
				tokens: make([]float64, layers), rate: make([]float64, layers), faster: make([]int, layers),
				slowest: math.Inf(1),
			}
			strengths[h.Centre] = s
		}
		weight := float64(max(h.Capacity, 1))
		s.slowest = min(s.slowest, h.Rate)
		s.meanTokens += weight * h.Tokens
		s.meanRate += weight * h.Rate
		weights[h.Centre] += weight
	}
	for centre, s := range strengths {
		s.meanTokens = max(s.meanTokens/weights[centre], 1)
		s.meanRate /= weights[centre]
	}
	if len(strengths) == 0 {
		return nil
	}
	return strengths
}

// share returns what an engine adds to a layer, in mean engines.
func (s *strength) share(h Holder, layer int) (tokens, rate float64) {
	if layer == 0 {
		return h.FirstTokens / s.meanTokens, h.Rate / s.meanRate
	}
	return h.Tokens / s.meanTokens, h.Rate / s.meanRate
}

// count adds an engine's range n times.
func (s *strength) count(h Holder, n int) {
	for l := max(h.First, 0); l < min(h.Last, len(s.tokens)); l++ {
		tokens, rate := s.share(h, l)
		s.tokens[l] += float64(n) * tokens
		s.rate[l] += float64(n) * rate
		if h.Rate > s.slowest {
			s.faster[l] += n
		}
	}
}

// gain returns the gain of a layer in an engine's range.
func (s *strength) gain(h Holder, layer int) float64 {
	tokens, rate := s.share(h, layer)
	t, r := max(s.tokens[layer], minStrength), max(s.rate[layer], minStrength)
	gain := tokenGain*inverseSquareDrop(t, tokens) + rateGain*inverseSquareDrop(r, rate)
	if s.faster[layer] == 0 && h.Rate > s.slowest {
		gain += fasterGain
	}
	return gain
}

// inverseSquareDrop returns 1/x² - 1/(x+d)².
func inverseSquareDrop(x, d float64) float64 {
	y := x + d
	return d * (x + y) / (x * x * y * y)
}

// strongestRange returns the range with the highest gain for an engine. Its sums differ
// from those of gain by rounding only.
func (p *plan) strongestRange(h Holder, s *strength) Range {
	width, held, ends := min(h.Capacity, p.layers), p.centres[h.Centre], p.ends[h.Centre]
	sums := p.sums
	for l := range p.layers {
		gain := s.gain(h, l) + fleetGain/float64(2+p.all[l])
		switch held[l] {
		case 0:
			gain += uncoveredGain
		case 1:
			gain += secondGain
		}
		sums[l+1] = sums[l] + gain
	}
	found := Range{ID: h.ID, First: 0, Last: width}
	highest := -1.0
	for first := 0; first+width <= p.layers; first++ {
		gain := sums[first+width] - sums[first] + alignment(ends, first, first+width)
		if gain > highest+minImprovement {
			found.First, found.Last, highest = first, first+width, gain
		}
	}
	return found
}

// level reassigns the engines of a plan, since the first of them were assigned without
// knowledge of the others: one by one until no range changes, and then in pairs, which
// helps where two engines would have to change at once.
func (p *plan) level(engines []Holder, ranges []Range) {
	for range maxPairSweeps {
		for range maxSweeps {
			changed := false
			for i := range engines {
				changed = p.improve(engines, i) || changed
			}
			if !changed {
				break
			}
		}
		changed := false
		for i := range engines {
			for j := range engines {
				if engines[i].Centre == engines[j].Centre && (i < j || i > j && !alike(engines[i], engines[j])) {
					changed = p.improve(engines, i, j) || changed
				}
			}
		}
		if !changed {
			break
		}
	}
	p.raiseWeakest(engines)
	for i, h := range engines {
		ranges[i].First, ranges[i].Last = h.First, h.Last
	}
}

// alike reports whether two engines can do the same.
func alike(a, b Holder) bool {
	return a.Capacity == b.Capacity && a.Tokens == b.Tokens && a.Rate == b.Rate
}

// improve reassigns some engines of a plan, in this order, if that raises the sum of
// the gains, and reports whether it did.
func (p *plan) improve(engines []Holder, indices ...int) bool {
	before, after := 0.0, 0.0
	var old [2]Holder
	for n, i := range indices {
		old[n] = engines[i]
		p.count(engines[i], -1)
		before += p.gain(engines[i], engines[i].First, engines[i].Last)
	}
	for _, i := range indices {
		r := p.bestRange(engines[i])
		after += p.gain(engines[i], r.First, r.Last)
		engines[i].First, engines[i].Last = r.First, r.Last
		p.count(engines[i], 1)
	}
	if after > before+minImprovement {
		return true
	}
	for n, i := range indices {
		p.count(engines[i], -1)
		engines[i] = old[n]
	}
	for _, i := range indices {
		p.count(engines[i], 1)
	}
	return false
}
