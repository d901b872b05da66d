// Package forecaster computes the utilisation of a service's engines in one data
// centre: that of the layer with the highest one, and what still fits. It reads no clock
// and opens no socket.
package forecaster

import "slices"

// Holder is an engine that holds the layers [First, Last). It is an immutable value.
type Holder struct {
	ID     string
	Centre string
	First  int
	Last   int
	// Capacity is how many tokens the engine has memory for, and Used how many the
	// requests in progress were estimated to hold, those of all nodes as far as known.
	Capacity int
	Used     int
	// Full is set while the engine is known to take no requests, whatever Used says.
	Full bool
	// Slots is how many requests the engine serves at once as the first of their paths; 0
	// if not limited. FirstRequests is how many it has.
	Slots         int
	FirstRequests int
}

// Input describes the engines of a service. It is an immutable value.
type Input struct {
	Layers int
	// Centre is the data centre that the forecast covers; holders elsewhere don't count.
	Centre string
	// Holders leaves out engines that take no requests: suspects and those that leave.
	Holders []Holder
	// Correction is how many tokens requests use for each estimated one; 0 means 1.
	Correction float64
}

// Room is what the engines of a service in a data centre can still take. It is an
// immutable value.
type Room struct {
	// Capacity and Used are the tokens of the layer with the highest utilisation.
	Capacity int
	Used     int
	// Load is the utilisation of that layer or that of the slots of the engines with the
	// first layer, whichever is higher. At 1 and above the service is full.
	Load float64
	// Free is the size of the largest request for which each layer has an engine, in
	// tokens; 0 if there is no slot for it.
	Free int
}

// Forecast returns the room in a data centre.
func Forecast(in Input) Room {
	if in.Correction <= 0 {
		in.Correction = 1
	}
	in.Holders = slices.DeleteFunc(slices.Clone(in.Holders), func(h Holder) bool { return h.Centre != in.Centre })
	room := Room{Load: -1}
	for i, first := range in.boundaries() {
		layer := in.layer(first)
		if layer.Load > room.Load {
			room.Capacity, room.Used, room.Load = layer.Capacity, layer.Used, layer.Load
		}
		if i == 0 || layer.Free < room.Free {
			room.Free = layer.Free
		}
	}
	requests, slots, limited := in.firstRequests()
	if limited {
		room.Load = max(room.Load, ratio(requests, slots))
	}
	return room
}

// boundaries returns the layers at which the set of holders may change, beginning with
// layer 0.
func (in Input) boundaries() []int {
	all := []int{0}
	for _, h := range in.Holders {
		for _, layer := range []int{h.First, h.Last} {
			if layer > 0 && layer < in.Layers {
				all = append(all, layer)
			}
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// layer returns the room in the engines that hold a layer. A request needs one engine
// with memory for all its tokens, and for the first layer also with a slot.
func (in Input) layer(layer int) Room {
	var room Room
	for _, h := range in.Holders {
		if layer < h.First || layer >= h.Last || h.Capacity <= 0 {
			continue
		}
		used := h.used(in.Correction)
		room.Capacity += h.Capacity
		room.Used += used
		if layer > 0 || h.hasSlot() {
			room.Free = max(room.Free, h.Capacity-used)
		}
	}
	room.Load = ratio(room.Used, room.Capacity)
	return room
}

// used returns the tokens in use at an engine as corrected. Those of one that is known
// as full are at least its capacity.
func (h Holder) used(correction float64) int {
	used := int(float64(h.Used) * correction)
	if h.Full {
		return max(used, h.Capacity)
	}
	return used
}

// hasSlot reports whether the engine can serve one more request as the first.
func (h Holder) hasSlot() bool { return h.Slots <= 0 || h.FirstRequests < h.Slots }

// firstRequests returns the requests and the slots of the engines with the first layer,
// and whether all of these limit their requests.
func (in Input) firstRequests() (requests, slots int, limited bool) {
	for _, h := range in.Holders {
		if h.First > 0 || h.Last <= 0 {
			continue
		}
		if h.Slots <= 0 {
			return 0, 0, false
		}
		requests += h.FirstRequests
		slots += h.Slots
	}
	return requests, slots, slots > 0
}

// ratio returns the utilisation of a capacity; one of 0 is full.
func ratio(used, capacity int) float64 {
	if capacity <= 0 {
		return 1
	}
	return float64(used) / float64(capacity)
}

// CentreLoad is the utilisation of a service's engines in one data centre by the nodes
// of one, which need not be the same.
type CentreLoad struct {
	Centre  string
	Service string
	Load    float64
}
