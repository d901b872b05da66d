package pathfinder

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func engine(id, centre string, first, last int) Engine {
	return Engine{ID: id, Address: id, Centre: centre, First: first, Last: last, StageCost: 0.3, LayerCost: 0.1}
}

func names(path []Stage) string {
	s := ""
	for _, p := range path {
		s += fmt.Sprintf("%s[%d,%d) ", p.ID, p.First, p.Last)
	}
	return s
}

func TestFind(t *testing.T) {
	whole := []Engine{engine("a1", "a", 0, 4), engine("a2", "a", 4, 8), engine("b1", "b", 0, 4), engine("b2", "b", 4, 8)}
	cases := []struct {
		name    string
		engines []Engine
		head    *Stage
		want    string
	}{
		{"the own data centre", whole, nil, "a1[0,4) a2[4,8) "},
		{"a whole path elsewhere before one that crosses", whole[1:], nil, "b1[0,4) b2[4,8) "},
		{"a crossing where no data centre has a whole path", []Engine{whole[1], whole[2]}, nil, "b1[0,4) a2[4,8) "},
		{"no path if a layer has no holder", whole[:1], nil, ""},
		{"a part of a holder's range", append(whole[:1:1], engine("a3", "a", 2, 8)), nil, "a1[0,4) a3[4,8) "},
		{"all of ranges that can't be parted", []Engine{
			{ID: "a1", Address: "a1", Centre: "a", First: 0, Last: 4, Indivisible: true},
			{ID: "a3", Address: "a3", Centre: "a", First: 2, Last: 8, Indivisible: true},
			engine("b2", "b", 4, 8),
		}, nil, "a1[0,4) b2[4,8) "},
		{"one of two listings of an engine", append(whole[:1:1], Engine{
			ID: "a2", Address: "a2", Centre: "a", First: 4, Last: 6, Indivisible: true,
		}, engine("a2", "a", 4, 8)), nil, "a1[0,4) a2[4,8) "},
		{"the head that was asked for", whole, &Stage{Address: "b1", Last: 4}, "b1[0,4) b2[4,8) "},
		{"no path from a head that is gone", whole[:2], &Stage{Address: "b1", Last: 4}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path, ok := Find(Request{Layers: 8, Engines: c.engines, Centre: "a", RemoteCost: 2, CrossingCost: 30, Head: c.head})
			if got := names(path); got != c.want || ok != (c.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, c.want)
			}
		})
	}
}

func TestCrossings(t *testing.T) {
	a, b := Stage{Centre: "a"}, Stage{Centre: "b"}
	cases := []struct {
		path []Stage
		want int
	}{
		{[]Stage{a, a}, 0}, {[]Stage{a, b}, 2}, {[]Stage{a, b, a}, 2}, {[]Stage{a, b, a, b}, 4}, {nil, 0},
	}
	for _, c := range cases {
		if got := Crossings(c.path); got != c.want {
			t.Errorf("%v: got %d, want %d", c.path, got, c.want)
		}
	}
}

// A path runs each layer once and in order, on an engine that holds it, and uses no
// engine twice. There is a path if a single engine holds all layers.
func TestPathsAreExactCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 12).Draw(t, "layers")
		var engines []Engine
		for i := range rapid.IntRange(0, 8).Draw(t, "engines") {
			first := rapid.IntRange(0, layers-1).Draw(t, "first")
			last := rapid.IntRange(first+1, layers).Draw(t, "last")
			centre := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre")
			engines = append(engines, engine(fmt.Sprint(i), centre, first, last))
		}
		path, ok := Find(Request{Layers: layers, Engines: engines, Centre: "a", RemoteCost: 2, CrossingCost: 30})
		if !ok {
			for _, e := range engines {
				if e.First == 0 && e.Last == layers {
					t.Fatalf("no path, though %s holds all layers", e.ID)
				}
			}
			return
		}
		at, used := 0, map[string]bool{}
		for _, p := range path {
			var e Engine
			for _, each := range engines {
				if each.ID == p.ID {
					e = each
				}
			}
			if p.First != at || p.Last <= p.First || e.First > p.First || e.Last < p.Last || used[p.ID] {
				t.Fatalf("path %s at layer %d of engines %v", names(path), at, engines)
			}
			at, used[p.ID] = p.Last, true
		}
		if at != layers {
			t.Fatalf("path %s ends at layer %d of %d", names(path), at, layers)
		}
	})
}

// large returns about a hundred engines in each of eight data centres. They are of
// three kinds, and their ranges are laid end to end several times.
func large() []Engine {
	var engines []Engine
	for c := range 8 {
		first := c
		for n := range 103 {
			width := []int{6, 10, 6, 10, 6, 16}[n%6]
			e := engine(fmt.Sprintf("e%d-%d", c, n), fmt.Sprint("c", c), first, min(first+width, 80))
			e.StageCost, e.LayerCost = 3, []float64{0.17, 0.18, 0.17, 0.18, 0.17, 0.04}[n%6]
			engines = append(engines, e)
			if first = e.Last; first >= 80 {
				first = 0
			}
		}
	}
	return engines
}

func BenchmarkFind820(b *testing.B) {
	req := Request{Layers: 80, Engines: large(), Centre: "c3", RemoteCost: 82, CrossingCost: 110}
	for b.Loop() {
		if _, ok := Find(req); !ok {
			b.Fatal("got no path")
		}
	}
}

// Find skips the search of other data centres if the local path can't be beaten. The
// cost must be the same as that of a search of all data centres.
func TestFindLooksElsewhereOnlyIfItPays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := Request{
			Layers: 8, Centre: "a", RemoteCost: float64(rapid.IntRange(0, 60).Draw(t, "away")),
			CrossingCost: float64(rapid.IntRange(0, 60).Draw(t, "crossing")),
		}
		for n := range rapid.IntRange(1, 14).Draw(t, "engines") {
			first := rapid.IntRange(0, 7).Draw(t, "first")
			e := engine(fmt.Sprint("e", n), []string{"a", "b", "c"}[rapid.IntRange(0, 2).Draw(t, "centre")], first, rapid.IntRange(first+1, 8).Draw(t, "last"))
			e.StageCost, e.LayerCost = float64(rapid.IntRange(1, 9).Draw(t, "hop")), float64(rapid.IntRange(1, 9).Draw(t, "layer"))
			req.Engines = append(req.Engines, e)
		}
		got, ok := Find(req)
		want, all := findAnywhere(req)
		if ok != all || math.Abs(cost(req, got)-cost(req, want)) > 1e-9 {
			t.Errorf("got %v, of cost %v, want %v, of cost %v", got, cost(req, got), want, cost(req, want))
		}
	})
}

// cost returns the cost of a path, 0 if there is none.
func cost(req Request, path []Stage) float64 {
	sum := 0.0
	for i, p := range path {
		for _, e := range req.Engines {
			if e.ID == p.ID {
				sum += e.StageCost + e.LayerCost*float64(p.Last-p.First)
			}
		}
		if p.Centre != path[(i+1)%len(path)].Centre {
			sum += req.CrossingCost
		}
	}
	if len(path) > 0 && path[0].Centre != req.Centre {
		sum += req.RemoteCost
	}
	return sum
}
