package supervisor

import (
	"fmt"
	"testing"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/tracker"
)

func TestSizeFollowsTheSlotsThatOthersLeave(t *testing.T) {
	engines := func(n int) []driver.Endpoint {
		var all []driver.Endpoint
		for range n {
			all = append(all, driver.Endpoint{Status: driver.Status{Slots: 10, Holdings: []driver.Holding{{Layers: 1}}}})
		}
		return all
	}
	nodes := func(loads ...int) []tracker.Node {
		all := []tracker.Node{{Address: "self", Load: 99}}
		for i, load := range loads {
			all = append(all, tracker.Node{Address: fmt.Sprint(i), Load: load})
		}
		return all
	}
	down := engines(2)
	down[1].Down = true
	tests := []struct {
		name      string
		endpoints []driver.Endpoint
		nodes     []tracker.Node
		running   int
		want      int
	}{
		{"all slots when the others are idle", engines(10), nodes(0, 0), 160, 170},
		{"what the others leave", engines(10), nodes(50, 20), 100, 100},
		{"an equal part at first", engines(10), nodes(0, 0), 0, 56},
		{"a step beyond what is running", engines(10), nodes(0, 0), 56, 77},
		{"an equal part when the others take all", engines(10), nodes(170, 0), 0, 56},
		{"no more than the limit", engines(100), nodes(), 0, 200},
		{"the limit without a view", nil, nodes(0), 0, 200},
		{"only endpoints that serve", down, nodes(), 0, 17},
		{"at least one", engines(1), nodes(make([]int, 40)...), 0, 2},
		{"at least one when crowded", engines(1), nodes(append(make([]int, 40), 17)...), 0, 1},
	}
	for _, tt := range tests {
		if got := chatLimit(tt.endpoints, tt.nodes, "self", tt.running, 200); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
