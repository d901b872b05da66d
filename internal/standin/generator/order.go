package generator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// ReasonInput is the reason for refusing a step or a cache that can't be decoded.
const ReasonInput = "bad_input"

// Order accepts an order: layers that are no longer wanted are dropped at once, new
// ones are held after the load time. An order for what is already being loaded starts
// no second load.
func (g *Generator) Order(order driver.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cfg.ChecksFence && order.Fence < g.fence {
		return refuse(driver.ReasonFence, "the highest fence seen is %d", g.fence)
	}
	g.fence = max(g.fence, order.Fence)
	if g.loading && slices.EqualFunc(g.pending, order.Hold, equalHoldings) {
		return nil
	}
	g.orders++
	g.pending, g.loading = slices.Clone(order.Hold), true
	if g.cfg.LoadTime <= 0 {
		g.holdings, g.loading = g.pending, false
		return nil
	}
	g.holdings = retained(g.holdings, order.Hold)
	number := g.orders
	time.AfterFunc(g.cfg.LoadTime, func() { g.finishLoad(number, order.Hold) })
	return nil
}

// finishLoad ends the load of an order, unless a later order replaced it.
func (g *Generator) finishLoad(number int, hold []driver.Holding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if number == g.orders {
		g.holdings, g.loading = slices.Clone(hold), false
	}
}

// retained returns the holdings that keep serving during a load: those with a wanted
// range of layers, with only their wanted adapters.
func retained(holdings, wanted []driver.Holding) []driver.Holding {
	var left []driver.Holding
	for _, h := range holdings {
		for _, want := range wanted {
			part := h
			part.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(a string) bool {
				return !slices.Contains(want.Adapters, a)
			})
			want.Adapters = part.Adapters
			if equalHoldings(part, want) {
				left = append(left, part)
				break
			}
		}
	}
	return left
}

// equalHoldings reports whether two holdings are equal.
func equalHoldings(a, b driver.Holding) bool {
	return a.Model == b.Model && a.Version == b.Version && a.First == b.First &&
		a.Last == b.Last && a.Layers == b.Layers && slices.Equal(a.Adapters, b.Adapters)
}

// Export returns a request's KV cache.
func (g *Generator) Export(id string) (driver.Cache, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.requests.inProgress(id) {
		return driver.Cache{}, refuse(driver.ReasonMissing, "no cache of request %s", id)
	}
	return g.requests.byID[id].export(id)
}

// cacheData is the part of an exported cache that only the engine interprets.
type cacheData struct {
	Request string             `json:"request"`
	Adapter string             `json:"adapter,omitempty"`
	Layers  map[int]layerCache `json:"layers"`
}

// check refuses data that contradict the fields of the cache around them.
func (d cacheData) check(cache driver.Cache) *driver.Refused {
	if d.Request != cache.Request {
		return refuse(ReasonInput, "the cache data belong to request %s", d.Request)
	}
	if len(d.Layers) != cache.Last-cache.First {
		return refuse(ReasonInput, "the cache data have %d layers", len(d.Layers))
	}
	for layer, held := range d.Layers {
		if layer < cache.First || layer >= cache.Last || held.Positions != cache.Positions {
			return refuse(ReasonInput, "the cache data have layer %d with %d positions", layer, held.Positions)
		}
	}
	return nil
}

// Import stores a KV cache for an attempt. It refuses layers that already have a
// cache for the attempt.
func (g *Generator) Import(cache driver.Cache) error {
	var data cacheData
	if err := json.Unmarshal(cache.Data, &data); err != nil {
		return refuse(ReasonInput, "%v", err)
	}
	if refused := data.check(cache); refused != nil {
		return refused
	}
	leaving := g.control.Get().Leave
	g.mu.Lock()
	defer g.mu.Unlock()
	needs := driver.Step{
		Request: cache.Request, Model: cache.Model, Version: cache.Version,
		Adapter: data.Adapter, First: cache.First, Last: cache.Last,
	}
	if refused := g.check(needs, leaving); refused != nil {
		return refused
	}
	ident := identity{model: cache.Model, version: cache.Version, adapter: data.Adapter}
	r, refused := g.requests.admit(cache.Request, cache.Attempt, ident)
	if refused != nil {
		return refused
	}
	for layer := range data.Layers {
		if r.layers[layer].Positions > 0 {
			return refuse(driver.ReasonPositionTaken, "layer %d already has a cache for attempt %d", layer, cache.Attempt)
		}
	}
	for layer, held := range data.Layers {
		r.layers[layer] = held
	}
	return nil
}

// Hold is a holding that is parsed from model:version:first-last/layers, with
// adapters after further colons.
type Hold struct {
	Holding driver.Holding
}

// UnmarshalText parses model:version:first-last/layers[:adapter...].
func (h *Hold) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ":")
	if len(parts) < 3 {
		return trace.BadParameter("%q is not of the form model:version:first-last/layers", text)
	}
	bounds, layers, ok := strings.Cut(parts[2], "/")
	first, last, ok2 := strings.Cut(bounds, "-")
	if !ok || !ok2 {
		return trace.BadParameter("%q is not of the form first-last/layers", parts[2])
	}
	holding := driver.Holding{Model: parts[0], Version: parts[1], Adapters: parts[3:]}
	for _, field := range []struct {
		text string
		into *int
	}{{first, &holding.First}, {last, &holding.Last}, {layers, &holding.Layers}} {
		n, err := strconv.Atoi(field.text)
		if err != nil {
			return trace.BadParameter("%q in %q is not a number", field.text, text)
		}
		*field.into = n
	}
	if holding.First < 0 || holding.First >= holding.Last || holding.Last > holding.Layers {
		return trace.BadParameter("%q is not a range of layers", parts[2])
	}
	h.Holding = holding
	return nil
}
