package planner

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxJitter is the upper limit of jitter, as a share of an endpoint's cost.
const maxJitter = 0.01

// jitter returns a small share of an endpoint's cost that differs between nodes
// and choices, so that nodes with equal views don't all pick the same endpoint.
func (p *Planner) jitter(address string, turn uint64) float64 {
	return maxJitter * uniformHash(p.cfg.Seed^(turn*0x9e3779b97f4a7c15), address)
}

// uniformHash hashes a number and an address into (0, 1).
func uniformHash(seed uint64, address string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(address)
	return (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
}

// rendezvousScore is the weighted rendezvous hashing score of an endpoint for a
// prefix. The weight is the endpoint's speed, so that prefixes spread by
// capacity.
func rendezvousScore(prefix uint64, h *holder) float64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	weight := h.slots() / math.Max(h.endpoint.Status.StepMillis, 1e-3)
	return -weight / math.Log(uniformHash(xxhash.Sum64(key[:]), h.endpoint.Address))
}

// applyAffinity lowers the cost of one endpoint for each range of layers: the
// one with the highest score or, if its load is over the limit, one of those
// within it. Cache events count only in the second case: endpoints that an
// event names are preferred. So a missing or stale event costs at most one
// cache miss, and never moves a prefix away from the endpoint with its highest
// score while that is within the limit.
func (p *Planner) applyAffinity(req Request, holders []holder) {
	groups := make(map[span]*rangeGroup)
	for i := range holders {
		h := &holders[i]
		g := groups[h.span]
		if g == nil {
			g = &rangeGroup{best: -1}
			groups[h.span] = g
		}
		g.queueSum += h.queue()
		g.count++
		h.score = rendezvousScore(req.Prefix, h)
		g.maxScore = max(g.maxScore, h.score)
	}
	for i := range holders {
		h := &holders[i]
		g := groups[h.span]
		if !p.withinLoadLimit(h, g) {
			continue
		}
		preference := g.preference(h, slices.Contains(req.Cached, h.endpoint.Address))
		if g.best < 0 || preference > g.bestPreference {
			g.best = i
			g.bestPreference = preference
		}
	}
	for _, g := range groups {
		if g.best >= 0 {
			holders[g.best].layerCost *= 1 - p.cfg.AffinityDiscount
		}
	}
}

// rangeGroup collects the holders of one range of layers.
type rangeGroup struct {
	queueSum float64
	count    int
	// maxScore is the highest score of all holders, including those over the
	// load limit.
	maxScore float64
	// best is the index of the holder with the highest preference, and -1
	// before there is one.
	best           int
	bestPreference float64
}

// preference orders holders: the one with the highest score, then those that a
// cache event names, then the others, each by score.
func (g *rangeGroup) preference(h *holder, cached bool) float64 {
	switch {
	case h.score == g.maxScore:
		return 3 * g.maxScore
	case cached:
		return g.maxScore + h.score
	default:
		return h.score
	}
}

// withinLoadLimit reports whether a holder's queue is at most LoadFactor times
// the mean queue of its group, with one step of tolerance.
func (p *Planner) withinLoadLimit(h *holder, g *rangeGroup) bool {
	mean := g.queueSum / float64(g.count)
	return h.queue() <= p.cfg.LoadFactor*mean+1/h.slots()
}
