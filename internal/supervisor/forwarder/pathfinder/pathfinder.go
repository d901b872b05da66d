// Package pathfinder finds paths of engines: exact covers of a model's layers at the
// least cost, to which each crossing between data centres adds. It reads no clock
// and opens no socket.
package pathfinder

import (
	"math"
	"slices"
)

// Engine is a holder of the layers [First, Last) with its costs, in milliseconds per
// token. It is an immutable value.
type Engine struct {
	ID      string
	Address string
	Centre  string
	First   int
	Last    int
	// Indivisible is set if the engine must run all of these layers or none. One
	// engine may be listed with several ranges.
	Indivisible bool
	// StageCost is the cost of a stage at the engine, and LayerCost that of each
	// layer in it.
	StageCost float64
	LayerCost float64
}

// Stage is one stage of a path: an engine and the layers that it runs.
type Stage struct {
	ID      string
	Address string
	Centre  string
	First   int
	Last    int
}

// Request describes the path to find. It is an immutable value.
type Request struct {
	Layers  int
	Engines []Engine
	// Centre is the data centre of the node that uses the path.
	Centre string
	// RemoteCost is added to a path that begins in another data centre. CrossingCost is
	// added for each change of data centre along a path, including the return from its
	// last part to its first.
	RemoteCost   float64
	CrossingCost float64
	// Head, if set, is the stage that the path must begin with.
	Head *Stage
}

// label is the cheapest known path to a layer boundary that ends in a data centre.
type label struct {
	cost float64
	// prev is the index of the previous label, and engine the index of the engine
	// between the two; both are -1 if there is none.
	prev     int
	engine   int
	boundary int
	centre   int
}

// search is the state of a search. Its labels are those of the paths that begin in
// one data centre.
type search struct {
	req        Request
	boundaries []int
	centres    []string
	// enginesAt lists, for each boundary, the engines that hold the layer after it.
	enginesAt [][]int
	// labels has one label for each boundary and data centre, in the order of
	// boundaries.
	labels []label
}

// Find returns the path of least cost, and whether there is one.
func Find(req Request) ([]Stage, bool) {
	if path, cost := findLocal(req); cost <= min(req.RemoteCost, 2*req.CrossingCost) {
		return path, true // a remote start or two crossings alone cost as much
	}
	return findAnywhere(req)
}

// findLocal returns the cheapest path within the request's data centre and its cost,
// which is infinite if there is none.
func findLocal(req Request) ([]Stage, float64) {
	local := req
	local.Engines = nil
	for _, e := range req.Engines {
		if e.Centre == req.Centre {
			local.Engines = append(local.Engines, e)
		}
	}
	s := newSearch(local)
	centre := slices.Index(s.centres, req.Centre)
	if centre < 0 {
		return nil, math.Inf(1)
	}
	return s.cheapestFrom(centre)
}

// findAnywhere returns the cheapest path of those that begin in any data centre.
func findAnywhere(req Request) ([]Stage, bool) {
	path, cost := []Stage(nil), math.Inf(1)
	s := newSearch(req)
	for first := range s.centres {
		if found, c := s.cheapestFrom(first); c < cost {
			path, cost = found, c
		}
	}
	return path, path != nil
}

// Crossings counts the changes of data centre along a path, including the return
// from its last stage to its first.
func Crossings(path []Stage) int {
	n := 0
	for i, p := range path {
		if p.Centre != path[(i+1)%len(path)].Centre {
			n++
		}
	}
	return n
}

// newSearch collects the layer boundaries, the data centres and the engines at each
// boundary.
func newSearch(req Request) *search {
	s := &search{req: req}
	s.boundaries = append(s.boundaries, 0, req.Layers)
	for i := range req.Engines {
		e := &req.Engines[i]
		s.boundaries = append(s.boundaries, min(max(e.First, 0), req.Layers), min(max(e.Last, 0), req.Layers))
		if !slices.Contains(s.centres, e.Centre) {
			s.centres = append(s.centres, e.Centre)
		}
	}
	slices.Sort(s.boundaries)
	s.boundaries = slices.Compact(s.boundaries)
	s.enginesAt = make([][]int, len(s.boundaries))
	for n := range req.Engines {
		e := &req.Engines[n]
		at, _ := slices.BinarySearch(s.boundaries, max(e.First, 0))
		for ; at < len(s.boundaries) && s.boundaries[at] < e.Last; at++ {
			s.enginesAt[at] = append(s.enginesAt[at], n)
		}
	}
	return s
}

// cheapestFrom returns the cheapest path that begins in a data centre, and its cost.
func (s *search) cheapestFrom(first int) ([]Stage, float64) {
	s.labels = make([]label, len(s.boundaries)*len(s.centres))
	for i := range s.labels {
		s.labels[i] = label{cost: math.Inf(1), prev: -1, engine: -1, boundary: i / len(s.centres), centre: i % len(s.centres)}
	}
	start := s.labelIndex(0, first)
	s.labels[start].cost = 0
	if s.centres[first] != s.req.Centre {
		s.labels[start].cost = s.req.RemoteCost
	}
	for at := range s.labels {
		if math.IsInf(s.labels[at].cost, 1) {
			continue
		}
		s.extend(at)
	}
	best, cost := -1, math.Inf(1)
	for centre := range s.centres {
		at := s.labelIndex(len(s.boundaries)-1, centre)
		c := s.labels[at].cost
		if centre != first {
			c += s.req.CrossingCost
		}
		if c < cost {
			best, cost = at, c
		}
	}
	if best < 0 {
		return nil, cost
	}
	return s.pathTo(best), cost
}

// labelIndex returns the index of the label of a boundary and a data centre.
func (s *search) labelIndex(boundary, centre int) int {
	return boundary*len(s.centres) + centre
}

// extend extends the path of a label by each engine that may follow it.
func (s *search) extend(at int) {
	from := s.labels[at]
	for _, n := range s.enginesAt[from.boundary] {
		e := &s.req.Engines[n]
		if !s.mayFollow(at, n) {
			continue
		}
		cost := from.cost + e.StageCost
		if e.Centre != s.centres[from.centre] {
			if from.boundary == 0 {
				continue // cheapestFrom covers those paths when first is that data centre
			}
			cost += s.req.CrossingCost
		}
		centre := slices.Index(s.centres, e.Centre)
		for to := from.boundary + 1; to < len(s.boundaries) && s.boundaries[to] <= e.Last; to++ {
			if e.Indivisible && (s.boundaries[from.boundary] != e.First || s.boundaries[to] != e.Last) {
				continue
			}
			if from.boundary == 0 && s.req.Head != nil && s.boundaries[to] != s.req.Head.Last {
				continue
			}
			c := cost + e.LayerCost*float64(s.boundaries[to]-s.boundaries[from.boundary])
			if next := &s.labels[s.labelIndex(to, centre)]; c < next.cost {
				next.cost, next.prev, next.engine = c, at, n
			}
		}
	}
}

// mayFollow reports whether an engine may follow a label: no engine is used twice, and
// a requested head is the first engine and only that.
func (s *search) mayFollow(at, engine int) bool {
	if head := s.req.Head; head != nil {
		isHead := s.req.Engines[engine].Address == head.Address
		if (s.labels[at].boundary == 0) != isHead {
			return false
		}
	}
	address := s.req.Engines[engine].Address
	for s.labels[at].prev >= 0 {
		if s.req.Engines[s.labels[at].engine].Address == address {
			return false
		}
		at = s.labels[at].prev
	}
	return true
}

// pathTo returns the path that ends at a label.
func (s *search) pathTo(at int) []Stage {
	var path []Stage
	for s.labels[at].prev >= 0 {
		l := s.labels[at]
		e := s.req.Engines[l.engine]
		path = append(path, Stage{
			ID: e.ID, Address: e.Address, Centre: e.Centre,
			First: s.boundaries[s.labels[l.prev].boundary], Last: s.boundaries[l.boundary],
		})
		at = l.prev
	}
	slices.Reverse(path)
	return path
}
