package planner

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
)

func TestMissingIsTheFirstRunOfLayersWithoutHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := span{first: rapid.IntRange(0, 3).Draw(t, "first"), last: 10}
		var holders []holder
		held := make([]bool, want.last+1)
		for range rapid.IntRange(0, 5).Draw(t, "holders") {
			first := rapid.IntRange(want.first, want.last-1).Draw(t, "from")
			last := rapid.IntRange(first+1, want.last).Draw(t, "to")
			holders = append(holders, holder{span: span{first, last}})
			for layer := first; layer < last; layer++ {
				held[layer] = true
			}
		}
		first := want.first
		for first < want.last && held[first] {
			first++
		}
		last := first
		for last < want.last && !held[last] {
			last++
		}
		if first == last {
			first, last = 0, 0
		}
		if got, want := firstUncovered(want, holders), (span{first, last}); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestARefusalNamesTheLayersWithoutHolder(t *testing.T) {
	endpoint := func(address string, first, last int) driver.Endpoint {
		held := driver.Holding{Model: "m", Version: "v", First: first, Last: last, Layers: 12}
		return driver.Endpoint{Address: address, Status: driver.Status{Incarnation: address, Holdings: []driver.Holding{held}}}
	}
	endpoints := []driver.Endpoint{endpoint("a", 0, 4), endpoint("b", 4, 7), endpoint("c", 9, 12)}
	detail := func(err error) string {
		var refusal refuser.Refusal
		if !errors.As(err, &refusal) || refusal.Code != refuser.NoPipeline {
			t.Fatalf("got %v, want code %v", err, refuser.NoPipeline)
		}
		return refusal.Detail
	}
	p := New(Config{})
	req := Request{Model: "m", Version: "v"}
	_, err := p.Choose(req, endpoints, noLoads)
	if got, want := detail(err), "layers 7 to 9 of m v"; !strings.Contains(got, want) {
		t.Errorf("a gap: got %q, want %q in it", got, want)
	}
	// Without b, no remaining endpoint holds the range of its stage.
	plan := Plan{{Address: "a", First: 0, Last: 4}, {Address: "b", Incarnation: "b", First: 4, Last: 7}, {Address: "d", First: 7, Last: 12}}
	_, err = p.Replace(req, plan, 1, endpoints, noLoads)
	if got, want := detail(err), "layers 4 to 7 of m v"; !strings.Contains(got, want) {
		t.Errorf("a lost stage: got %q, want %q in it", got, want)
	}
}

// TestSuspectHoldersAreUsedLast checks that an endpoint that only this node
// suspects gets work only where no other holds its layers.
func TestSuspectHoldersAreUsedLast(t *testing.T) {
	holder := func(address string, first, last int, suspect bool) driver.Endpoint {
		return driver.Endpoint{Address: address, Suspect: suspect, Status: driver.Status{
			StepMillis: 1, Holdings: []driver.Holding{{Model: "m", Version: "v", First: first, Last: last, Layers: 4}},
		}}
	}
	load := func(string) Load { return Load{} }
	for name, tt := range map[string]struct {
		endpoints []driver.Endpoint
		want      string
	}{
		"another serves": {[]driver.Endpoint{holder("a", 0, 2, true), holder("b", 0, 2, false), holder("c", 2, 4, false)}, "b c"},
		"no other":       {[]driver.Endpoint{holder("a", 0, 2, true), holder("c", 2, 4, false)}, "a c"},
	} {
		plan, err := New(Config{}).Choose(Request{Model: "m", Version: "v"}, tt.endpoints, load)
		if err != nil || len(plan) != 2 || plan[0].Address+" "+plan[1].Address != tt.want {
			t.Errorf("%s: got %v, %v, want %s", name, plan, err, tt.want)
		}
	}
}

// TestOpenBreakersAreUsedLast checks that an endpoint whose circuit breaker is open
// gets work only if no other endpoint holds its layers. Rejecting the request would
// not make those layers available any sooner.
func TestOpenBreakersAreUsedLast(t *testing.T) {
	holder := func(address string, first, last int) driver.Endpoint {
		return driver.Endpoint{Address: address, Status: driver.Status{
			StepMillis: 1, Holdings: []driver.Holding{{Model: "m", Version: "v", First: first, Last: last, Layers: 4}},
		}}
	}
	for name, tt := range map[string]struct {
		endpoints []driver.Endpoint
		want      string
	}{
		"another serves": {[]driver.Endpoint{holder("open", 0, 2), holder("b", 0, 2), holder("c", 2, 4)}, "b c"},
		"no other":       {[]driver.Endpoint{holder("open", 0, 2), holder("c", 2, 4)}, "open c"},
	} {
		load := func(address string) Load { return Load{BreakerOpen: address == "open"} }
		plan, err := New(Config{}).Choose(Request{Model: "m", Version: "v"}, tt.endpoints, load)
		if err != nil || len(plan) != 2 || plan[0].Address+" "+plan[1].Address != tt.want {
			t.Errorf("%s: got %v, %v, want %s", name, plan, err, tt.want)
		}
	}
}
