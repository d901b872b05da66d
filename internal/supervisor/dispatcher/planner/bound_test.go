package planner

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
)

// minRate tries every set of layers. No feasible rate exceeds the capacity of a
// set's holders divided by the set's size, and by the max-flow min-cut theorem
// the minimum over all sets is feasible.
func minRate(endpoints []driver.Endpoint, req Request) float64 {
	best := math.Inf(1)
	for set := 1; set < 1<<testLayers; set++ {
		work, size := 0.0, 0.0
		for layer := range testLayers {
			if set&(1<<layer) != 0 {
				size++
			}
		}
		for _, e := range endpoints {
			for layer := range testLayers {
				if set&(1<<layer) != 0 && mayRun(e, req, layer, layer+1) {
					work += float64(max(e.Status.Slots, 1)) * 1000 / e.Status.StepMillis
					break
				}
			}
		}
		best = min(best, work/size)
	}
	return best
}

// TestBoundIsMinimumRate compares the bound with every set of layers, and
// checks that it is reached: the flow at that rate serves every layer within
// what each endpoint holds and its capacity.
func TestBoundIsMinimumRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := withAddresses(drawEndpoints(t))
		req := Request{Model: "m", Version: "v1"}
		got := MaxThroughput("m", "v1", endpoints)
		want := minRate(endpoints, req)
		if math.Abs(got.TokensPerSecond-want) > 1e-6*want {
			t.Fatalf("got bound %v, want %v", got.TokensPerSecond, want)
		}
		holders := New(Config{}).collectHolders(driver.Endpoint.Serving, req, span{0, testLayers}, testLayers, endpoints, noLoads)
		if len(holders) == 0 {
			return
		}
		a := newAllocation(span{0, testLayers}, holders)
		f := newFlow(a, got.TokensPerSecond)
		f.maximise()
		checkFlow(t, a, f, got.TokensPerSecond)
	})
}

func checkFlow(t *rapid.T, a *allocation, f *flow, rate float64) {
	served := make([]float64, a.blockCount())
	for e, blocks := range a.heldBlocks {
		sum := 0.0
		for at, b := range blocks {
			sum += f.assigned[e][at]
			served[b] += f.assigned[e][at]
		}
		if sum > a.capacities[e]*(1+1e-6) || slices.Min(append(f.assigned[e], 0)) < -1e-6 {
			t.Fatalf("got work %v of endpoint %d, want at most %v, none negative", f.assigned[e], e, a.capacities[e])
		}
	}
	for b, got := range served {
		if want := rate * a.layersIn(b); got < want*(1-1e-6) {
			t.Fatalf("got %v done of block %d, want %v", got, b, want)
		}
	}
}

// TestBoundNamesCriticalLayers has critical layers that are not contiguous, so
// that no single range shows them.
func TestBoundNamesCriticalLayers(t *testing.T) {
	endpoint := func(first, last, slots int) driver.Endpoint {
		held := driver.Holding{Model: "m", Version: "v", First: first, Last: last, Layers: 3}
		return driver.Endpoint{Status: driver.Status{
			Holdings: []driver.Holding{held}, Slots: slots, StepMillis: 1000,
		}}
	}
	got := MaxThroughput("m", "v", withAddresses([]driver.Endpoint{endpoint(0, 3, 4), endpoint(1, 2, 100)}))
	want := []Range{{0, 1}, {2, 3}}
	if got.TokensPerSecond != 2 || !slices.Equal(got.Critical, want) {
		t.Errorf("got %v, want 2 tokens a second limited by %v", got, want)
	}
}
