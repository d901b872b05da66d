package forwarder

import (
	"time"

	"banyanquay/internal/supervisor/forwarder/assessor"
)

const (
	// minSkew and maxSkew bound how much more or less than the mean an engine is taken to be
	// used by nodes whose loads are known by data centre only.
	minSkew = 0.5
	maxSkew = 2
	// minUsage is the mean load of a data centre below which the use of single engines says
	// nothing about the others' use of them.
	minUsage = 0.05
)

// usage is how the engines of a service are used as far as this node knows, by which it
// leaves engines without room out of a path. It is an immutable value.
type usage struct {
	f   *Forwarder
	now time.Time
	// mean is the load that nodes of this data centre put on its engines, and byAccelerator
	// that on its engines of a kind.
	mean          float64
	byAccelerator map[string]float64
	// others is the load that nodes of other data centres put on the engines of each.
	others map[string]float64
}

// usage returns how the engines of a service are used now.
func (f *Forwarder) usage(m *members) usage {
	u := usage{f: f, now: f.cfg.Now(), byAccelerator: make(map[string]float64), others: make(map[string]float64)}
	used, capacity := make(map[string]int), make(map[string]int)
	usedSum, capacitySum := 0, 0
	for _, h := range m.holders {
		if _, ok := u.others[h.entry.Centre]; !ok {
			u.others[h.entry.Centre] = f.loadOfOthers(m, h.entry.Centre)
		}
		if h.entry.Centre != f.cfg.Centre {
			continue
		}
		tokens := f.tokensInUse(h.entry.ID, f.assessor.Record(h.entry.ID).Tokens)
		used[h.accelerator.Name] += tokens
		capacity[h.accelerator.Name] += h.tokenCapacity
		usedSum += tokens
		capacitySum += h.tokenCapacity
	}
	u.mean = float64(usedSum) / float64(max(capacitySum, 1))
	for name, tokens := range used {
		u.byAccelerator[name] = float64(tokens) / float64(max(capacity[name], 1))
	}
	return u
}

// skew returns how many times more than the mean an engine is taken to be used by other
// data centres' nodes: as its own data centre's nodes use it here, and elsewhere as engines
// of its kind are used here. All nodes prefer the same kinds of engines.
func (u usage) skew(h holder, load float64) float64 {
	if u.mean < minUsage {
		return 1
	}
	if h.entry.Centre != u.f.cfg.Centre {
		var ok bool
		if load, ok = u.byAccelerator[h.accelerator.Name]; !ok {
			return 1
		}
	}
	return min(max(load/u.mean, minSkew), maxSkew)
}

// expectedLoad returns the load that an engine has with a request, by the forecast of the
// nodes' loads and not by the cautious estimate that spreads choices. An engine that refused
// although it seemed to have room is taken to be loaded more for a while.
func (u usage) expectedLoad(criteria pathCriteria, h holder, rec assessor.Record) float64 {
	capacity := float64(max(h.tokenCapacity, 1))
	load := float64(u.f.tokensInUse(h.entry.ID, rec.Tokens)) / capacity
	load += u.others[h.entry.Centre] * u.skew(h, load)
	load = load*rec.Bias(u.now) + float64(criteria.neededTokens)/capacity
	if slots := criteria.members.service.Engine.Slots; criteria.head == nil && h.entry.First == 0 && slots > 0 {
		load = max(load, float64(u.f.slotsInUse(h.entry.ID)+1)/(slotHeadroom*float64(slots)))
	}
	return load
}

// expectedLoad returns the load that an engine has with a request as far as this node knows.
func (f *Forwarder) expectedLoad(c *call, id string) float64 {
	h, ok := c.members.holder(id)
	if !ok {
		return 0
	}
	criteria := pathCriteria{members: c.members, neededTokens: c.neededTokens}
	return f.usage(c.members).expectedLoad(criteria, h, f.assessor.Record(id))
}
