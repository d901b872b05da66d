package planner

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
)

// replicas returns n equal endpoints that hold the whole model.
func replicas(n int) []driver.Endpoint {
	endpoints := make([]driver.Endpoint, n)
	for i := range endpoints {
		held := driver.Holding{Model: "m", Version: "v1", First: 0, Last: 8, Layers: 8}
		endpoints[i] = driver.Endpoint{
			Centre: "a", Status: driver.Status{Slots: 8, StepMillis: 1, Holdings: []driver.Holding{held}},
		}
	}
	return withAddresses(endpoints)
}

// chooseAddress returns the address that a node with a seed chooses.
func chooseAddress(t *testing.T, seed uint64, req Request, endpoints []driver.Endpoint, loads func(string) Load) string {
	t.Helper()
	req.Model, req.Version, req.Centre = "m", "v1", "a"
	plan, err := New(Config{Seed: seed}).Choose(req, endpoints, loads)
	if err != nil {
		t.Fatalf("got %v, want a plan", err)
	}
	return plan[0].Address
}

// TestAffinityIsTheSameAtAllNodes checks that nodes agree on a prefix's
// endpoint, and that losing an endpoint moves only its own prefixes.
func TestAffinityIsTheSameAtAllNodes(t *testing.T) {
	endpoints := replicas(6)
	perEndpoint := make(map[string]int)
	for prefix := uint64(1); prefix <= 600; prefix++ {
		req := Request{Prefix: prefix}
		want := chooseAddress(t, 1, req, endpoints, noLoads)
		perEndpoint[want]++
		if got := chooseAddress(t, 2, req, endpoints, noLoads); got != want {
			t.Fatalf("prefix %d: got %s at another node, want %s", prefix, got, want)
		}
		if got := chooseAddress(t, 1, req, endpoints[1:], noLoads); got != want && want != endpoints[0].Address {
			t.Fatalf("prefix %d: got %s without another endpoint, want still %s", prefix, got, want)
		}
	}
	for address, got := range perEndpoint {
		if got < 50 || got > 150 {
			t.Errorf("got %d of 600 prefixes at %s, want about 100", got, address)
		}
	}
}

// TestAffinityIsBounded draws loads and cache events, valid or stale. The
// chosen endpoint is the fastest one, or its load is within the limit and it
// takes no longer than the discount allows, so that a stale event can't
// overload an endpoint.
func TestAffinityIsBounded(t *testing.T) {
	endpoints := replicas(5)
	rapid.Check(t, func(t *rapid.T) {
		inFlight := rapid.SliceOfN(rapid.IntRange(0, 9), 5, 5).Draw(t, "inFlight")
		loads := func(address string) Load {
			i := slices.IndexFunc(endpoints, func(e driver.Endpoint) bool { return e.Address == address })
			return Load{InFlight: inFlight[i], RTT: time.Microsecond}
		}
		stale := rapid.SampledFrom([]string{"10.9.9.9:1", endpoints[0].Address, endpoints[3].Address}).Draw(t, "stale")
		req := Request{
			Model: "m", Version: "v1", Cached: []string{stale},
			Prefix: rapid.Uint64Range(1, 1000).Draw(t, "prefix"),
		}
		plan, err := New(Config{}).Choose(req, endpoints, loads)
		if err != nil {
			t.Fatalf("got %v, want a plan", err)
		}
		total := 0
		for _, n := range inFlight {
			total += n
		}
		got, least := loads(plan[0].Address).InFlight, slices.Min(inFlight)
		bound := DefaultLoadFactor*float64(total)/5 + 1
		quick := float64(8+least) / (1 - DefaultAffinityDiscount) * (1 + 2*maxJitter)
		if got > least && (float64(got) > bound || float64(8+got) > quick) {
			t.Fatalf("got an endpoint with %d in flight of %v, want %d, or at most %.1f and %.1f", got, inFlight, least, bound, quick-8)
		}
	})
}

// TestCacheEventIsUsedWhileAffineEndpointIsLoaded has an event name each
// endpoint in turn. It is followed while the affine endpoint is loaded, and
// ignored while it is not.
func TestCacheEventIsUsedWhileAffineEndpointIsLoaded(t *testing.T) {
	endpoints := replicas(4)
	affine := chooseAddress(t, 1, Request{Prefix: 1}, endpoints, noLoads)
	loads := func(address string) Load {
		if address == affine {
			return Load{InFlight: 8}
		}
		return Load{}
	}
	for _, e := range endpoints {
		req := Request{Prefix: 1, Cached: []string{e.Address, "10.9.9.9:1"}}
		if got := chooseAddress(t, 1, req, endpoints, noLoads); got != affine {
			t.Errorf("got %s by an event of %s, want the affine %s", got, e.Address, affine)
		}
		if got := chooseAddress(t, 1, req, endpoints, loads); got != e.Address && e.Address != affine {
			t.Errorf("got %s while %s is loaded, want %s that has the prefix", got, affine, e.Address)
		}
	}
}
