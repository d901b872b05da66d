package admitter

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// studyFleet returns endpoints with four kinds of accelerators in three data
// centres, which hold quarters, halves and uneven ranges of the layers.
func studyFleet() []driver.Endpoint {
	ranges := [][2]int{{0, 8}, {8, 16}, {16, 24}, {24, 32}, {0, 16}, {16, 32}, {4, 20}, {12, 32}}
	slots := []int{16, 8, 8, 4}
	steps := []float64{0.25, 0.5, 1, 1}
	var fleet []driver.Endpoint
	for i := range 24 {
		kind := (i + i/8) % 4
		held := driver.Holding{Model: "m", Version: "v", First: ranges[i%8][0], Last: ranges[i%8][1], Layers: studyLayers}
		fleet = append(fleet, driver.Endpoint{
			Address: fmt.Sprintf("e%d", i), Centre: fmt.Sprint(i / 8),
			Status: driver.Status{Slots: slots[kind], StepMillis: steps[kind], Holdings: []driver.Holding{held}},
		})
	}
	return fleet
}

// newStudy returns a study of four nodes.
func newStudy(policy planner.Policy, capacity int, seed uint64) *study {
	s := &study{rng: rand.New(rand.NewPCG(seed, 2)), now: epoch, engines: make(map[string]*engine)}
	s.reported, s.sampled = studyFleet(), studyFleet()
	for _, e := range studyFleet() {
		s.engines[e.Address] = &engine{Endpoint: e}
	}
	clock := func() time.Time { return s.now }
	for i := range 4 {
		s.nodes = append(s.nodes, &studyNode{
			centre:  i % 3,
			queue:   newQueue(Config{Capacity: capacity}.withDefaults()),
			planner: planner.New(planner.Config{Policy: policy, Seed: uint64(i)}),
			limiter: limiter.New(limiter.Config{Now: clock}),
		})
	}
	return s
}

// sample samples the endpoints' load and publishes the previous sample.
func (s *study) sample() {
	s.reported = s.sampled
	s.sampled = studyFleet()
	for i, e := range s.sampled {
		s.sampled[i].Status.Running = s.engines[e.Address].busy + len(s.engines[e.Address].waiting)
	}
	s.after(sampleEvery, s.sample)
}

// run runs the study with a load in tokens per second, half of which comes from
// one organisation.
func (s *study) run(load float64) {
	var next func()
	next = func() {
		org := max(s.rng.IntN(2*(organisations-1))-(organisations-2), 0)
		s.arrive(s.nodes[s.rng.IntN(len(s.nodes))], org)
		s.after(time.Duration(s.rng.ExpFloat64()*meanTokens/load*1e9), next)
	}
	s.sample()
	next()
	for s.now.Sub(epoch) < studyEnd {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// jain returns Jain's fairness index over the ratios of each organisation's goodput
// to its attainable goodput: its demand or, for the largest organisation, the
// capacity that the others do not use.
func (s *study) jain(bound float64) float64 {
	remaining := bound * (studyEnd - warmUp).Seconds()
	for _, demand := range s.offered[1:] {
		remaining -= demand
	}
	sum, squares := 0.0, 0.0
	for org, got := range s.good {
		want := s.offered[org]
		if org == 0 {
			want = min(want, remaining)
		}
		sum += got / want
		squares += got / want * got / want
	}
	return sum * sum / organisations / squares
}

// Flags of the study.
var (
	full = flag.Bool("study", false, "run every policy at every load")
	seed = flag.Uint64("seed", 1, "seed of the study")
)

// TestStudy checks that the least-cost policy keeps its goodput under overload
// and starves no organisation. With -study it prints the goodput of every policy
// at every load, relative to the bound, and checks that least cost is at least as
// good as the baselines.
func TestStudy(t *testing.T) {
	loads, last := []float64{1.5}, planner.LeastCost
	if *full {
		loads, last = []float64{0.5, 0.9, 1.5}, planner.RoundRobin
	}
	bound := planner.MaxThroughput("m", "v", studyFleet()).TokensPerSecond
	t.Logf("bound %.0f tokens/s", bound)
	for _, load := range loads {
		want := 0.85 * min(load, 0.94)
		for policy := last; policy >= planner.LeastCost; policy-- {
			s := newStudy(policy, 144, *seed)
			s.run(load * bound)
			got, jain := 0.0, s.jain(bound)
			for _, tokens := range s.good {
				got += tokens / bound / (studyEnd - warmUp).Seconds()
			}
			t.Logf("load %.0f%% %-11v goodput %.3f jain %.3f hits %.2f refused %d, %d of %d under their share, late %d",
				100*load, policy, got, jain, float64(s.hits)/float64(s.prefills), s.refused, s.smallRefused, s.smallRequests, s.late)
			if policy > planner.LeastCost {
				want = max(want, got)
			} else if got < want || jain < 0.95 {
				t.Errorf("load %v: got goodput %v and fairness %v, want at least %v and 0.95", load, got, jain, want)
			}
		}
	}
}
