package generator

import (
	"encoding/json"
	"fmt"

	"banyanquay/internal/driver"
)

// maxRequests limits the requests that are kept; the oldest are dropped first.
const maxRequests = 20000

// layerCache is one layer's KV cache of one request.
type layerCache struct {
	// Positions is the number of positions in the cache, each added once and in
	// order.
	Positions int    `json:"positions"`
	KV        []byte `json:"kv"`
}

// request is the engine's state of one request.
type request struct {
	id identity
	// attempt is the newest attempt received; steps of older ones are refused.
	attempt int
	// cancelled is set once this attempt has been cancelled.
	cancelled bool
	// layers holds the caches by layer; a layer that has not run has none.
	layers map[int]layerCache
}

// requests holds the engine's requests by ID.
type requests struct {
	byID map[string]*request
	// byAge lists the IDs, oldest first.
	byAge []string
}

func refuse(reason, format string, args ...any) *driver.Refused {
	return &driver.Refused{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// admit returns the request's state for an attempt, and resets it if the attempt is
// newer. It refuses attempts that are older or cancelled.
func (rs *requests) admit(id string, attempt int, ident identity) (*request, *driver.Refused) {
	r := rs.byID[id]
	if r != nil && (attempt < r.attempt || (attempt == r.attempt && r.cancelled)) {
		return nil, refuse(driver.ReasonAttempt, "the newest attempt is %d", r.attempt)
	}
	if r != nil && attempt == r.attempt && r.id != ident {
		return nil, refuse(driver.ReasonMissing, "the attempt runs on model %s, version %s", r.id.model, r.id.version)
	}
	if r == nil {
		r = rs.add(id)
	}
	if attempt > r.attempt || r.layers == nil {
		*r = request{id: ident, attempt: attempt, layers: map[int]layerCache{}}
	}
	return r, nil
}

// add adds a request, and drops the oldest one if the limit is reached.
func (rs *requests) add(id string) *request {
	if len(rs.byAge) >= maxRequests {
		delete(rs.byID, rs.byAge[0])
		rs.byAge = rs.byAge[1:]
	}
	r := &request{}
	rs.byID[id] = r
	rs.byAge = append(rs.byAge, id)
	return r
}

// inProgress reports whether the engine holds caches of the request that are not
// cancelled.
func (rs *requests) inProgress(id string) bool {
	r := rs.byID[id]
	return r != nil && len(r.layers) > 0 && !r.cancelled
}

// cancel drops the caches of all attempts up to the given one and refuses their later
// steps.
func (rs *requests) cancel(id string, attempt int) {
	r := rs.byID[id]
	if r == nil {
		r = rs.add(id)
	}
	if attempt < r.attempt {
		return
	}
	*r = request{attempt: attempt, cancelled: true, layers: map[int]layerCache{}}
}

// checkPositions refuses a step unless it begins at the position that each of its
// layers needs next.
func (r *request) checkPositions(step driver.Step) *driver.Refused {
	for layer := step.First; layer < step.Last; layer++ {
		have := r.layers[layer].Positions
		if step.Position < have {
			return refuse(driver.ReasonPositionTaken, "layer %d has already computed positions below %d", layer, have)
		}
		if step.Position > have {
			return refuse(driver.ReasonMissing, "layer %d has a cache of only %d positions", layer, have)
		}
	}
	return nil
}

// run computes one position through a range of layers and extends their caches.
func (r *request) run(first, last, position int, state digest) digest {
	for layer := first; layer < last; layer++ {
		var kv digest
		copy(kv[:], r.layers[layer].KV)
		kv, state = r.id.layer(layer, position, kv, state)
		r.layers[layer] = layerCache{Positions: position + 1, KV: kv[:]}
	}
	return state
}

// export returns the request's cache.
func (r *request) export(id string) (driver.Cache, error) {
	data, err := json.Marshal(cacheData{Request: id, Adapter: r.id.adapter, Layers: r.layers})
	if err != nil {
		return driver.Cache{}, err
	}
	cache := driver.Cache{
		Request: id, Attempt: r.attempt, Model: r.id.model, Version: r.id.version, Data: data,
	}
	started := false
	for layer, held := range r.layers {
		if !started {
			cache.First, cache.Last, cache.Positions = layer, layer+1, held.Positions
			started = true
		}
		cache.First = min(cache.First, layer)
		cache.Last = max(cache.Last, layer+1)
		cache.Positions = min(cache.Positions, held.Positions)
	}
	return cache, nil
}
