package arranger

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"banyanquay/internal/mapper"
	"banyanquay/internal/registrar"
)

const (
	// minSpareLayers is the number of holders that each layer must be able to have in
	// each data centre without its largest engine, if memory is taken from layers for
	// requests: after the loss of that engine and of another one a path remains.
	minSpareLayers = 2
	// maxSlotShare is the share of an engine's slots up to which it keeps memory for
	// requests. New paths don't use more, and each layer that an engine gives up makes
	// paths longer: with memory for as many requests as slots, the interval between events
	// rose from 37 to 46 ms without load.
	maxSlotShare = 0.8
	// maxDrift is the share of a service's engines that may come and go before the
	// number of requests is chosen again. Releases and scaling steps of a day stay
	// below it.
	maxDrift = 0.2
)

// group is the data centre and the accelerator of an engine.
type group struct {
	centre      string
	accelerator string
}

// Reserve is what determines for how many usual requests the engines of a service keep
// free memory. It is an immutable value.
type Reserve struct {
	Engine *mapper.Engine
	// Priorities is the number of distinct priorities of the service's routes.
	Priorities int
	// SpareCopies is the number of holders of each layer in each data centre from which
	// a service with one priority holds fewer layers; 0 means never.
	SpareCopies int
	// engines counts the engines by data centre and accelerator.
	engines map[group]int
}

// NewReserve returns the Reserve of a service with some engines. Engines that leave or
// have an unknown accelerator don't count; slow ones do, since they may recover.
func NewReserve(engine *mapper.Engine, priorities, spareCopies int, entries []registrar.Entry) Reserve {
	r := Reserve{Engine: engine, Priorities: priorities, SpareCopies: spareCopies, engines: make(map[group]int)}
	for _, e := range entries {
		if _, ok := engine.Accelerator(e.Accelerator); ok && !e.Leaving {
			r.engines[group{e.Centre, e.Accelerator}]++
		}
	}
	return r
}

// Requests returns the number of usual requests for which an engine keeps free memory:
// targetRequests, or up to four fifths of Engine.Slots where layers have more holders than a data
// centre needs, and capacity for requests is short by configuration (several
// priorities) or holders are plentiful. It depends on the number of engines of each
// kind in each data centre and not on their IDs or on the layers that they hold.
func (r Reserve) Requests() int {
	if r.Priorities <= 1 && (r.SpareCopies <= 0 || !r.covers(targetRequests, r.SpareCopies, false)) {
		return targetRequests
	}
	// Numbers of requests that leave the same capacities give the same layout.
	tried := make(map[string]bool)
	for n := int(maxSlotShare * float64(r.Engine.Slots)); n > targetRequests; n-- {
		key := fmt.Sprint(r.capacities(n))
		if tried[key] {
			continue
		}
		tried[key] = true
		if r.covers(n, minSpareLayers, true) {
			return n
		}
	}
	return targetRequests
}

// capacities returns how many layers each kind of engine may hold.
func (r Reserve) capacities(requests int) []int {
	var layers []int
	for _, a := range r.Engine.Accelerators {
		layers = append(layers, capacity(r.Engine, a.Name, requests))
	}
	return layers
}

// covers reports whether the plan for empty engines gives each layer a number of
// holders in every data centre, also without its largest engine if loss is set.
func (r Reserve) covers(requests, holders int, loss bool) bool {
	centres := r.holders(requests)
	for _, engines := range centres {
		if loss {
			engines = engines[1:]
		}
		if !enough(r.Engine.Layers, engines, holders) {
			return false
		}
	}
	return len(centres) > 0
}

// holders returns the engines by data centre, all of them empty, by descending capacity.
func (r Reserve) holders(requests int) map[string][]Holder {
	centres := make(map[string][]Holder)
	for g, count := range r.engines {
		for i := range count {
			h := newHolder(r.Engine, g.accelerator, requests, 0)
			h.ID, h.Centre = fmt.Sprintf("%s-%d", g.accelerator, i), g.centre
			centres[g.centre] = append(centres[g.centre], h)
		}
	}
	for _, engines := range centres {
		slices.SortFunc(engines, func(a, b Holder) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
		})
	}
	return centres
}

// enough reports whether the plan for the empty engines of a data centre gives each
// layer a number of holders.
func enough(layers int, engines []Holder, holders int) bool {
	sum := 0
	for _, h := range engines {
		sum += h.Capacity
	}
	if layers <= 0 || sum < holders*layers {
		return false
	}
	held := make([]int, layers)
	for _, r := range Plan(layers, engines, func(string) bool { return false }) {
		for l := r.First; l < r.Last; l++ {
			held[l]++
		}
	}
	return slices.Min(held) >= holders
}

// differs reports whether the choice must be made again: the configuration of the
// service has changed, or more than maxDrift of its engines have.
func (r Reserve) differs(old Reserve) bool {
	if r.Priorities != old.Priorities || r.SpareCopies != old.SpareCopies || !sameMemory(r.Engine, old.Engine) {
		return true
	}
	changed, total := 0, 0
	for _, count := range old.engines {
		total += count
	}
	groups := maps.Clone(r.engines)
	for g := range old.engines {
		groups[g] = r.engines[g]
	}
	for g, count := range groups {
		changed += max(count-old.engines[g], old.engines[g]-count)
	}
	return float64(changed) >= maxDrift*float64(total)
}

// newHolder returns the memory and speed of an engine that holds a number of layers. They
// matter for the plan only if more than the usual memory is kept for requests.
func newHolder(engine *mapper.Engine, accelerator string, requests, held int) Holder {
	h := Holder{
		Capacity:   capacity(engine, accelerator, requests),
		TileLayers: capacity(engine, accelerator, targetRequests),
		MaxLayers:  capacity(engine, accelerator, minRequests),
	}
	if a, ok := engine.Accelerator(accelerator); ok && requests > targetRequests && a.Pace > 0 {
		if held <= 0 {
			held = h.Capacity
		}
		usual := max(engine.Prompt+engine.Answer, 1)
		h.Rate, h.Tokens = 1/a.Pace, float64(max(engine.FreeTokens(a, held), 0))
		h.FirstTokens = min(h.Tokens, float64(engine.Slots*usual))
	}
	return h
}

// capacity returns how many layers an engine may hold and still have free memory for
// a number of usual requests. If two layers already leave too little, it returns 1,
// provided that one layer fits.
func capacity(engine *mapper.Engine, kind string, requests int) int {
	accelerator, ok := engine.Accelerator(kind)
	if !ok || engine.LayerMB <= 0 {
		return 0
	}
	maxLayers := min(int(math.Floor(accelerator.MB/engine.LayerMB)), engine.Layers)
	usual := max(engine.Prompt+engine.Answer, 1)
	for n := maxLayers; n > 1; n-- {
		if engine.FreeTokens(accelerator, n) >= requests*usual {
			return n
		}
	}
	return min(maxLayers, 1)
}

// sameMemory reports whether engines have the same number of layers and use the same
// memory for layers and requests.
func sameMemory(a, b *mapper.Engine) bool {
	return a.Slots == b.Slots && a.Layers == b.Layers && a.LayerMB == b.LayerMB && a.CacheBytes == b.CacheBytes &&
		a.Prompt == b.Prompt && a.Answer == b.Answer && slices.Equal(a.Accelerators, b.Accelerators)
}

// choice is the number of requests chosen for a service, and what it was chosen from.
type choice struct {
	reserve  Reserve
	requests int
}

// requests returns the number of usual requests for which the engines of a service keep
// free memory. It is chosen with the leader's first plan for the service, and kept
// until the service differs.
func (a *Arranger) requests(service string, r Reserve) int {
	kept, ok := a.choices[service]
	if !ok || r.differs(kept.reserve) {
		kept = choice{reserve: r, requests: r.Requests()}
		a.choices[service] = kept
	}
	return kept.requests
}
