package placer

import (
	"slices"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/placer/reducer"
)

// runRounds lets every node run rounds and every load end, without faults.
func (w *cluster) runRounds(t *testing.T, rounds int) {
	t.Helper()
	for range rounds {
		w.now = w.now.Add(2 * time.Second)
		for _, n := range w.nodes {
			n.round(t.Context())
		}
		for _, e := range w.engines {
			e.finish()
		}
	}
}

// counts returns how many engines hold each layer of a model.
func (w *cluster) counts(model string) []int {
	counts := make([]int, testLayers)
	for _, e := range w.engines {
		for _, h := range e.status.Holdings {
			for layer := h.First; h.Model == model && layer < h.Last; layer++ {
				counts[layer]++
			}
		}
	}
	return counts
}

// Without faults, all missing layers are loaded, nothing is removed, and nothing
// changes after that.
func TestMissingLayersAreLoadedAndNothingIsTakenAway(t *testing.T) {
	w := newCluster()
	w.wants = []Want{{Model: "m", Version: "1"}, {Model: "k", Version: "1", Adapters: []string{"a"}}}
	other := driver.Holding{Model: "k", Version: "1", Last: testLayers, Layers: testLayers}
	w.engines[1].status.Holdings = []driver.Holding{other}
	for _, e := range w.engines[:3] {
		e.status.Capacity = 2 * testLayers
	}
	for range 60 {
		var before [testEngines][]driver.Holding
		for i, e := range w.engines {
			before[i] = e.status.Holdings
		}
		w.runRounds(t, 1)
		for i, e := range w.engines {
			if !holdsAll(e.status, before[i]) {
				t.Fatalf("got %v after %v, want nothing taken away", e.status.Holdings, before[i])
			}
		}
	}
	for _, e := range w.engines {
		for _, h := range e.status.Holdings {
			if h.Model == "k" && !slices.Contains(h.Adapters, "a") {
				t.Errorf("got %v without its adapter", h)
			}
		}
	}
	for _, model := range []string{"m", "k"} {
		if got, want := w.counts(model), []int{2, 2, 2, 2}; !slices.Equal(got, want) {
			t.Errorf("got %v holders of the layers of %s, want %v", got, model, want)
		}
	}
}

// An endpoint that ignores fencing numbers accepts an order of an earlier holder.
// The current holder sees the change in the reports, counts it and loads again what
// was lost.
func TestStaleOrderIsCountedAndRepaired(t *testing.T) {
	w := newCluster()
	w.ignoreFences = true
	w.engines[0].status.Capacity = 1
	w.runRounds(t, 30)
	holder := w.nodes[slices.IndexFunc(w.nodes, func(p *Placer) bool { return p.leaseState != nil })]
	at := slices.IndexFunc(w.engines, func(e *engineModel) bool { return e.fence > 0 })
	_ = w.deliver(inFlightOrder{to: at, order: driver.Order{Fence: 1}})
	w.engines[at].status.Holdings = nil
	w.runRounds(t, 1)
	if got := holder.cfg.Counters.Placement.Get("contradictions"); got == nil || got.String() != "1" {
		t.Errorf("got %v contradictions, want 1", got)
	}
	w.runRounds(t, 30)
	if got, want := w.counts("m"), []int{2, 2, 2, 2}; !slices.Equal(got, want) {
		t.Errorf("got %v holders of the layers, want %v", got, want)
	}
}

// The task of a load is not used for a later load of the same endpoint: the record
// that ended the first load may have taken effect late.
func TestLaterLoadHasItsOwnTask(t *testing.T) {
	w := newCluster()
	w.runRounds(t, 3)
	p := w.nodes[slices.IndexFunc(w.nodes, func(p *Placer) bool { return p.leaseState != nil })]
	p.task(reducer.Load{Endpoint: "1", Begun: 1}).ended = true
	if p.task(reducer.Load{Endpoint: "1", Begun: 2}).ended {
		t.Error("got a new load that has ended, want one that has not")
	}
}

// If the holder is known to have ended, another node takes over long before the
// lease expires.
func TestEndedHolderIsReplacedAtOnce(t *testing.T) {
	w := newCluster()
	w.runRounds(t, 3)
	holds := func(p *Placer) bool { return p.leaseState != nil }
	at := slices.IndexFunc(w.nodes, holds)
	w.gone = w.nodes[at].cfg.Node
	w.nodes = slices.Delete(w.nodes, at, at+1)
	w.runRounds(t, 2)
	if !slices.ContainsFunc(w.nodes, holds) {
		t.Error("got no holder, want the next candidate")
	}
}
