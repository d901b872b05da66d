package planner

import (
	"slices"
	"time"

	"banyanquay/internal/driver"
)

// span is a range of layers [first, last).
type span struct {
	first int
	last  int
}

// holder is one range of layers that an endpoint may run, with its costs.
type holder struct {
	endpoint *driver.Endpoint
	load     Load
	// index is the endpoint's index; all ranges of one endpoint share it.
	index int
	// span lies within the wanted range.
	span span
	// stageCost is the cost of a stage, and layerCost is added for each layer
	// in it.
	stageCost float64
	layerCost float64
	// score is the rendezvous score for the request's prefix.
	score float64
}

// stage returns the holder's stage for the layers [first, last).
func (h *holder) stage(first, last int) Stage {
	return Stage{
		Address:      h.endpoint.Address,
		Incarnation:  h.endpoint.Status.Incarnation,
		First:        first,
		Last:         last,
		ReportedTime: duration(h.endpoint.Status.StepMillis * float64(last-first)),
		Queue:        h.queue(),
		ExpectedTime: duration(h.stageCost + h.layerCost*float64(last-first)),
	}
}

// slots returns how many steps run at once, at least one.
func (h *holder) slots() float64 {
	return float64(max(h.endpoint.Status.Slots, 1))
}

// queue returns the work ahead of a new step, in steps per slot.
func (h *holder) queue() float64 {
	return float64(h.load.InFlight+h.endpoint.Status.Running) / h.slots()
}

// countLayers returns the layer count that most ranges of the version report,
// the higher one on a tie, and 0 if no usable endpoint holds any of it. Ranges
// that report another count are not used.
func countLayers(model, version string, endpoints []driver.Endpoint) int {
	votes := make(map[int]int)
	best := 0
	for i := range endpoints {
		if !endpoints[i].Usable() {
			continue
		}
		for _, held := range endpoints[i].Status.Holdings {
			if held.Model != model || held.Version != version || held.Layers <= 0 {
				continue
			}
			votes[held.Layers]++
			lead := votes[held.Layers] - votes[best]
			if lead > 0 || (lead == 0 && held.Layers > best) {
				best = held.Layers
			}
		}
	}
	return best
}

// canServe reports whether a range can serve the request.
func canServe(req Request, holding driver.Holding, layers int) bool {
	if holding.Model != req.Model || holding.Version != req.Version || holding.Layers != layers {
		return false
	}
	if holding.First < 0 || holding.Last > layers || holding.First >= holding.Last {
		return false
	}
	return req.Adapter == "" || slices.Contains(holding.Adapters, req.Adapter)
}

// collectHolders returns the ranges of eligible endpoints that can serve the
// request, clipped to the wanted range. Endpoints whose circuit breaker is open
// are left out.
func (p *Planner) collectHolders(
	eligible func(driver.Endpoint) bool, req Request, want span, layers int,
	endpoints []driver.Endpoint, loads func(address string) Load,
) []holder {
	holders := make([]holder, 0, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		if !eligible(*e) || slices.Contains(req.Exclude, e.Address) {
			continue
		}
		for _, held := range e.Status.Holdings {
			overlap := span{max(held.First, want.first), min(held.Last, want.last)}
			if !canServe(req, held, layers) || overlap.first >= overlap.last {
				continue
			}
			load := loads(e.Address)
			if load.BreakerOpen {
				break
			}
			holders = append(holders, holder{endpoint: e, load: load, index: i, span: overlap})
		}
	}
	return holders
}

// setCosts sets the holders' costs under the policy.
func (p *Planner) setCosts(req Request, holders []holder, turn uint64) {
	for i := range holders {
		h := &holders[i]
		if p.cfg.Policy == LeastLoad {
			h.stageCost = h.queue() + 1/h.slots()
			h.layerCost = 0
			continue
		}
		h.stageCost = milliseconds(p.roundTripTime(req, h))
		h.layerCost = h.endpoint.Status.StepMillis * (1 + h.queue())
		h.scaleCosts(1 + h.load.Penalty + p.jitter(h.endpoint.Address, turn))
		if h.load.Limit > 0 && h.load.InFlight >= h.load.Limit {
			h.scaleCosts(1 + limitPenalty)
		}
	}
	if p.cfg.Policy == LeastCost && req.Prefix != 0 {
		p.applyAffinity(req, holders)
	}
}

// limitPenalty is the share by which the cost of an endpoint at its concurrency
// limit rises.
const limitPenalty = 1.0

func (h *holder) scaleCosts(factor float64) {
	h.stageCost *= factor
	h.layerCost *= factor
}

// roundTripTime returns the link time of a step. The node drives every stage
// itself, so each stage costs one round trip from the node.
func (p *Planner) roundTripTime(req Request, h *holder) time.Duration {
	switch {
	case h.load.RTT > 0:
		return h.load.RTT
	case h.endpoint.Centre == req.Centre:
		return p.cfg.LocalRTT
	default:
		return p.cfg.RemoteRTT
	}
}

// duration converts fractional milliseconds to a duration.
func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// milliseconds returns d as a fractional number of milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
