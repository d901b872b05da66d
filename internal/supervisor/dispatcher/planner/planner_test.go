package planner

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
)

const testLayers = 6

// drawEndpoints draws a small fleet of two versions, with uneven overlaps and
// endpoints that may hold two ranges.
func drawEndpoints(t *rapid.T) []driver.Endpoint {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) driver.Endpoint {
		return driver.Endpoint{
			Centre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "centre"),
			Down:   rapid.IntRange(0, 9).Draw(t, "down") == 0,
			Status: driver.Status{
				Leaving:    rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				Holdings:   rapid.SliceOfN(rapid.Custom(drawHolding), 1, 2).Draw(t, "holdings"),
				Running:    rapid.IntRange(0, 8).Draw(t, "running"),
				Slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
				StepMillis: rapid.Float64Range(0.1, 4).Draw(t, "step"),
			},
		}
	}), 0, 8).Draw(t, "endpoints")
}

func drawHolding(t *rapid.T) driver.Holding {
	first := rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3, 3, 4, 5}).Draw(t, "first")
	held := driver.Holding{
		Model:   "m",
		Version: rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(t, "version"),
		First:   first,
		Last:    rapid.IntRange(first+1, testLayers).Draw(t, "last"),
		Layers:  testLayers,
	}
	if rapid.Bool().Draw(t, "adapted") {
		held.Adapters = []string{"x"}
	}
	return held
}

// withAddresses gives each endpoint an address and an incarnation.
func withAddresses(endpoints []driver.Endpoint) []driver.Endpoint {
	for i := range endpoints {
		endpoints[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
		endpoints[i].Status.Incarnation = fmt.Sprintf("i%d", i)
	}
	return endpoints
}

// mayRun reports whether the endpoint may run the layers for the request.
func mayRun(e driver.Endpoint, req Request, first, last int) bool {
	if e.Down || e.Status.Leaving || slices.Contains(req.Exclude, e.Address) {
		return false
	}
	for _, h := range e.Status.Holdings {
		adapted := req.Adapter == "" || slices.Contains(h.Adapters, req.Adapter)
		if h.Model == req.Model && h.Version == req.Version && adapted && h.First <= first && last <= h.Last {
			return true
		}
	}
	return false
}

// coverExists reports whether some sequence of distinct endpoints covers
// [at, last), by trying every boundary.
func coverExists(endpoints []driver.Endpoint, req Request, at, last int, taken map[int]bool) bool {
	if at == last {
		return true
	}
	for i, e := range endpoints {
		for to := at + 1; to <= last && !taken[i]; to++ {
			if !mayRun(e, req, at, to) {
				continue
			}
			taken[i] = true
			found := coverExists(endpoints, req, to, last, taken)
			delete(taken, i)
			if found {
				return true
			}
		}
	}
	return false
}

// checkCover fails the test unless the plan is an exact cover of [first, last)
// by distinct endpoints that hold their parts.
func checkCover(t *rapid.T, plan Plan, endpoints []driver.Endpoint, req Request, first, last int) {
	at := first
	seen := make(map[string]bool)
	for _, s := range plan {
		if s.First != at || s.Last <= s.First {
			t.Fatalf("got stage [%d, %d) at layer %d in %v", s.First, s.Last, at, plan)
		}
		at = s.Last
		i := slices.IndexFunc(endpoints, func(e driver.Endpoint) bool { return e.Address == s.Address })
		if !mayRun(endpoints[i], req, s.First, s.Last) {
			t.Fatalf("got stage %v, want one that its endpoint may run: %+v", s, endpoints[i])
		}
		if endpoints[i].Status.Incarnation != s.Incarnation || seen[s.Address] {
			t.Fatalf("got stage %v, want the endpoint's process, once: %v", s, plan)
		}
		seen[s.Address] = true
	}
	if at != last {
		t.Fatalf("got a cover up to %d, want %d: %v", at, last, plan)
	}
}

func drawRequest(t *rapid.T) Request {
	return Request{
		Model:   "m",
		Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "wanted"),
		Adapter: rapid.SampledFrom([]string{"", "x"}).Draw(t, "adapter"),
		Prefix:  uint64(rapid.IntRange(0, 3).Draw(t, "prefix")),
		Cached:  rapid.SliceOfN(rapid.SampledFrom([]string{"10.0.0.1:1", "gone:1"}), 0, 2).Draw(t, "cached"),
		Exclude: rapid.SliceOfN(rapid.SampledFrom([]string{"10.0.0.0:1", "10.0.0.2:1"}), 0, 1).Draw(t, "exclude"),
		Centre:  "a",
	}
}

func noLoads(string) Load { return Load{} }

// TestChooseIsExactCoverWheneverOneExists compares Choose with a brute-force
// search.
func TestChooseIsExactCoverWheneverOneExists(t *testing.T) {
	for policy := LeastCost; policy <= RoundRobin; policy++ {
		t.Run(policy.String(), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				endpoints := withAddresses(drawEndpoints(t))
				req := drawRequest(t)
				plan, err := New(Config{Policy: policy}).Choose(req, endpoints, noLoads)
				want := coverExists(endpoints, req, 0, testLayers, map[int]bool{})
				if got := err == nil; got != want {
					t.Fatalf("got cover found %v (%v), want %v", got, err, want)
				}
				if err == nil {
					checkCover(t, plan, endpoints, req, 0, testLayers)
					return
				}
				var refusal refuser.Refusal
				if !errors.As(err, &refusal) || refusal.Code != refuser.NoPipeline {
					t.Fatalf("got error %v, want a refusal of no_pipeline", err)
				}
			})
		})
	}
}

// TestReplaceKeepsOtherStages replaces a random stage of a random plan.
func TestReplaceKeepsOtherStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := withAddresses(drawEndpoints(t))
		req := Request{Model: "m", Version: "v1", Prefix: 7, Centre: "a"}
		p := New(Config{})
		plan, err := p.Choose(req, endpoints, noLoads)
		if err != nil {
			t.Skip()
		}
		lost := rapid.IntRange(0, len(plan)-1).Draw(t, "lost")
		before := slices.Clone(plan)
		after, err := p.Replace(req, plan, lost, endpoints, noLoads)
		left := slices.DeleteFunc(slices.Clone(endpoints), func(e driver.Endpoint) bool {
			return slices.ContainsFunc(plan, func(s Stage) bool { return s.Address == e.Address })
		})
		want := coverExists(left, req, plan[lost].First, plan[lost].Last, map[int]bool{})
		if got := err == nil; got != want {
			t.Fatalf("got replacement found %v (%v), want %v", got, err, want)
		}
		if !slices.Equal(plan, before) {
			t.Fatalf("got the plan changed to %v, want %v", plan, before)
		}
		if err != nil {
			return
		}
		checkCover(t, after, endpoints, req, 0, testLayers)
		tail := len(after) - (len(plan) - lost - 1)
		if !slices.Equal(after[:lost], plan[:lost]) || !slices.Equal(after[tail:], plan[lost+1:]) {
			t.Fatalf("got %v, want only stage %d of %v replaced", after, lost, plan)
		}
	})
}

// TestChooseIsCheapest checks that the cost is at most 1.5 times the lowest
// cost over every cover, where each endpoint holds one range.
func TestChooseIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := withAddresses(drawEndpoints(t))
		for i := range endpoints {
			endpoints[i].Status.Holdings = endpoints[i].Status.Holdings[:1]
		}
		req := Request{Model: "m", Version: "v1", Centre: "a"}
		p := New(Config{})
		holders := p.collectHolders(driver.Endpoint.Serving, req, span{0, testLayers}, testLayers, endpoints, noLoads)
		p.setCosts(req, holders, 1)
		got := costOf(cheapestCover(span{0, testLayers}, holders), holders)
		want := leastCost(holders, 0, map[int]bool{})
		if got > want*1.5 || (math.IsInf(got, 1) != math.IsInf(want, 1)) {
			t.Fatalf("got cost %v, want at most 1.5 times the least %v", got, want)
		}
	})
}

func costOf(plan Plan, holders []holder) float64 {
	if plan == nil {
		return math.Inf(1)
	}
	sum := 0.0
	for _, s := range plan {
		i := slices.IndexFunc(holders, func(h holder) bool { return h.endpoint.Address == s.Address })
		sum += holders[i].stageCost + holders[i].layerCost*float64(s.Last-s.First)
	}
	return sum
}

func leastCost(holders []holder, at int, taken map[int]bool) float64 {
	if at == testLayers {
		return 0
	}
	best := math.Inf(1)
	for i := range holders {
		h := &holders[i]
		if taken[i] || h.span.first > at {
			continue
		}
		for to := at + 1; to <= h.span.last; to++ {
			taken[i] = true
			best = min(best, h.stageCost+h.layerCost*float64(to-at)+leastCost(holders, to, taken))
			delete(taken, i)
		}
	}
	return best
}

// TestChooseLooksPastCheapestStart has an endpoint with two ranges that is the
// cheapest for the first layers and the only one for the last, so that it can't
// be used for the first.
func TestChooseLooksPastCheapestStart(t *testing.T) {
	endpoint := func(step float64, ranges ...span) driver.Endpoint {
		e := driver.Endpoint{Centre: "a", Status: driver.Status{Slots: 1, StepMillis: step}}
		for _, r := range ranges {
			e.Status.Holdings = append(e.Status.Holdings, driver.Holding{
				Model: "m", Version: "v1", First: r.first, Last: r.last, Layers: 12,
			})
		}
		return e
	}
	endpoints := withAddresses([]driver.Endpoint{
		endpoint(1, span{0, 4}, span{8, 12}), endpoint(9, span{0, 4}), endpoint(1, span{4, 8}),
	})
	plan, err := New(Config{}).Choose(Request{Model: "m", Version: "v1"}, endpoints, noLoads)
	if err != nil || len(plan) != 3 || plan[0].Address != endpoints[1].Address {
		t.Errorf("got %v (%v), want the expensive endpoint first", plan, err)
	}
}

// TestChooseRejectsLateRequests has one pipeline of 10 ms a token and a load
// that doubles it. A request with less time left than the pipeline takes is
// rejected before it runs.
func TestChooseRejectsLateRequests(t *testing.T) {
	held := driver.Holding{Model: "m", Version: "v1", First: 0, Last: 9, Layers: 9}
	endpoints := withAddresses([]driver.Endpoint{{
		Centre: "a", Status: driver.Status{Slots: 4, StepMillis: 1, Holdings: []driver.Holding{held}},
	}})
	tests := []struct {
		inFlight int
		within   time.Duration
		want     refuser.Code
	}{
		{0, 0, 0},
		{0, 1020 * time.Millisecond, 0},
		{0, 990 * time.Millisecond, refuser.DeadlineTooClose},
		{4, 1850 * time.Millisecond, refuser.DeadlineTooClose},
		{4, 1950 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		req := Request{Model: "m", Version: "v1", Centre: "a", Tokens: 100, TimeLeft: tt.within}
		loads := func(string) Load { return Load{InFlight: tt.inFlight} }
		plan, err := New(Config{}).Choose(req, endpoints, loads)
		var refusal refuser.Refusal
		errors.As(err, &refusal)
		if refusal.Code != tt.want || (tt.want == 0) != (len(plan) == 1) {
			t.Errorf("%d in flight within %v: got %v (%v), want code %v", tt.inFlight, tt.within, plan, err, tt.want)
		}
	}
}
