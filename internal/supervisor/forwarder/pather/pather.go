// Package pather finds paths of engines: exact covers of a model's layers that
// cross between data centres as little as can be. It reads no clock and opens
// no socket.
package pather

import (
	"math"
	"slices"
)

// Engine is a holder of the layers [First, Last) with its costs, in
// milliseconds a token. It is an immutable value.
type Engine struct {
	ID      string
	Address string
	Centre  string
	First   int
	Last    int
	// Whole is set if the engine takes part with all of these layers or not at
	// all. One engine may be listed with several ranges.
	Whole bool
	// Hop is the cost of a stage and Layer that of each layer in it.
	Hop   float64
	Layer float64
}

// Part is an engine's share of a path.
type Part struct {
	ID      string
	Address string
	Centre  string
	First   int
	Last    int
}

// Request says which path is wanted. It is an immutable value.
type Request struct {
	Layers  int
	Engines []Engine
	// Centre is the data centre from which the path is used.
	Centre string
	// Away is the cost of a path that begins in another data centre, and
	// Crossing that of each change of the data centre along it.
	Away     float64
	Crossing float64
	// Head, if set, is the part that the path must begin with.
	Head *Part
}

// label is the cheapest known way to a cut that ends in a data centre.
type label struct {
	cost float64
	// prev and engine lead back: the label before, and the engine between.
	prev   int
	engine int
	cut    int
	centre int
}

// search is one run of the search, for paths that begin in one data centre.
type search struct {
	req     Request
	cuts    []int
	centres []string
	// starts lists for each cut the engines that hold the layer after it.
	starts [][]int
	// labels has one label for each cut and data centre, cut by cut.
	labels []label
}

// Find returns the path of least cost, and whether there is one.
func Find(req Request) ([]Part, bool) {
	if path, cost := near(req); cost <= min(req.Away, 2*req.Crossing) {
		return path, true // the others cost more already for the way
	}
	return everywhere(req)
}

// near looks for a path of the request's data centre alone.
func near(req Request) ([]Part, float64) {
	own := req
	own.Engines = nil
	for _, e := range req.Engines {
		if e.Centre == req.Centre {
			own.Engines = append(own.Engines, e)
		}
	}
	s := newSearch(own)
	at := slices.Index(s.centres, req.Centre)
	if at < 0 {
		return nil, math.Inf(1)
	}
	return s.from(at)
}

// everywhere looks for paths that begin in any data centre.
func everywhere(req Request) ([]Part, bool) {
	path, cost := []Part(nil), math.Inf(1)
	s := newSearch(req)
	for first := range s.centres {
		if found, c := s.from(first); c < cost {
			path, cost = found, c
		}
	}
	return path, path != nil
}

// Crossings counts the changes of the data centre along a path, the return
// from its last part to its first included.
func Crossings(path []Part) int {
	n := 0
	for i, p := range path {
		if p.Centre != path[(i+1)%len(path)].Centre {
			n++
		}
	}
	return n
}

// newSearch lists cuts, data centres and holders.
func newSearch(req Request) *search {
	s := &search{req: req}
	s.cuts = append(s.cuts, 0, req.Layers)
	for i := range req.Engines {
		e := &req.Engines[i]
		s.cuts = append(s.cuts, min(max(e.First, 0), req.Layers), min(max(e.Last, 0), req.Layers))
		if !slices.Contains(s.centres, e.Centre) {
			s.centres = append(s.centres, e.Centre)
		}
	}
	slices.Sort(s.cuts)
	s.cuts = slices.Compact(s.cuts)
	s.starts = make([][]int, len(s.cuts))
	for n := range req.Engines {
		e := &req.Engines[n]
		at, _ := slices.BinarySearch(s.cuts, max(e.First, 0))
		for ; at < len(s.cuts) && s.cuts[at] < e.Last; at++ {
			s.starts[at] = append(s.starts[at], n)
		}
	}
	return s
}

// from returns the cheapest path that begins in a data centre.
func (s *search) from(first int) ([]Part, float64) {
	s.labels = make([]label, len(s.cuts)*len(s.centres))
	for i := range s.labels {
		s.labels[i] = label{cost: math.Inf(1), prev: -1, engine: -1, cut: i / len(s.centres), centre: i % len(s.centres)}
	}
	start := s.at(0, first)
	s.labels[start].cost = 0
	if s.centres[first] != s.req.Centre {
		s.labels[start].cost = s.req.Away
	}
	for at := range s.labels {
		if math.IsInf(s.labels[at].cost, 1) {
			continue
		}
		s.extend(at)
	}
	best, cost := -1, math.Inf(1)
	for centre := range s.centres {
		at := s.at(len(s.cuts)-1, centre)
		c := s.labels[at].cost
		if centre != first {
			c += s.req.Crossing
		}
		if c < cost {
			best, cost = at, c
		}
	}
	if best < 0 {
		return nil, cost
	}
	return s.trail(best), cost
}

// at is the index of a label.
func (s *search) at(cut, centre int) int {
	return cut*len(s.centres) + centre
}

// extend tries each engine from a label on.
func (s *search) extend(at int) {
	from := s.labels[at]
	for _, n := range s.starts[from.cut] {
		e := &s.req.Engines[n]
		if !s.allowed(at, n) {
			continue
		}
		cost := from.cost + e.Hop
		if e.Centre != s.centres[from.centre] {
			if from.cut == 0 {
				continue // paths that begin there have a run of their own
			}
			cost += s.req.Crossing
		}
		centre := slices.Index(s.centres, e.Centre)
		for to := from.cut + 1; to < len(s.cuts) && s.cuts[to] <= e.Last; to++ {
			if e.Whole && (s.cuts[from.cut] != e.First || s.cuts[to] != e.Last) {
				continue
			}
			if from.cut == 0 && s.req.Head != nil && s.cuts[to] != s.req.Head.Last {
				continue
			}
			c := cost + e.Layer*float64(s.cuts[to]-s.cuts[from.cut])
			if next := &s.labels[s.at(to, centre)]; c < next.cost {
				next.cost, next.prev, next.engine = c, at, n
			}
		}
	}
}

// allowed tells whether an engine may follow a label: none is used twice, and
// the head is where it was asked for.
func (s *search) allowed(at, engine int) bool {
	if head := s.req.Head; head != nil {
		isHead := s.req.Engines[engine].Address == head.Address
		if (s.labels[at].cut == 0) != isHead {
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

// trail follows the labels back from the end.
func (s *search) trail(at int) []Part {
	var path []Part
	for s.labels[at].prev >= 0 {
		l := s.labels[at]
		e := s.req.Engines[l.engine]
		path = append(path, Part{
			ID: e.ID, Address: e.Address, Centre: e.Centre,
			First: s.cuts[s.labels[l.prev].cut], Last: s.cuts[l.cut],
		})
		at = l.prev
	}
	slices.Reverse(path)
	return path
}
