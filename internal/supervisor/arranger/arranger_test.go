package arranger

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

// fakeEngines are in-memory engines that carry out orders.
type fakeEngines struct {
	// mu guards the orders, which are sent concurrently.
	mu      sync.Mutex
	entries map[string]registrar.Entry
	orders  map[string]int64
	// drop reports for the n-th order whether its answer is lost; the order is then
	// carried out later, from delayed.
	drop    func(n int) bool
	delayed []func()
	sent    int
	fence   uint64
	// leads is set while the arranger's node leads.
	leads bool
	pace  map[string]float64
	// odd is an entry of another writer; its ID is empty if there is none.
	odd registrar.Entry
}

func newFakeEngines(engines int) *fakeEngines {
	y := &fakeEngines{
		entries: map[string]registrar.Entry{}, orders: map[string]int64{}, drop: func(int) bool { return false },
		leads: true, pace: map[string]float64{},
	}
	for n := range engines {
		id := fmt.Sprintf("e%02d", n)
		y.entries[id] = registrar.Entry{
			ID: id, Service: "llm", Address: id, Centre: []string{"a", "b"}[n%2], Accelerator: "l4", Model: "m", Version: "1",
		}
	}
	return y
}

// place carries out an order if it matches the engine's count of orders.
func (y *fakeEngines) place(id string, p driver.Placement) error {
	if p.Fence < y.fence {
		return &driver.Refused{Reason: driver.ReasonFence}
	}
	if p.Orders != y.orders[id] {
		return &driver.Refused{Reason: driver.ReasonState}
	}
	y.fence = p.Fence
	y.orders[id]++
	e := y.entries[id]
	e.First, e.Last = p.First, p.Last
	y.entries[id] = e
	return nil
}

func (y *fakeEngines) arranger() *Arranger {
	return New(Config{
		Configuration: func() *mapper.Configuration {
			return mapper.New(mapper.Draft{Version: 1, Services: []mapper.Service{{Name: "llm", Engine: &mapper.Engine{
				Layers: 80, LayerMB: 1750, CacheBytes: 426000, LoadTime: 14 * time.Second, MaxParallelLoads: 6, Prompt: 772, Answer: 145,
				Accelerators: []mapper.Accelerator{{Name: "l4", MB: 21600, Pace: 16}},
			}}}})
		},
		Endpoints: func() *registrar.Table {
			var all []registrar.Change
			for id, e := range y.entries {
				all = append(all, registrar.Change{ID: id, Entry: &e})
			}
			if y.odd.ID != "" {
				all = append(all, registrar.Change{ID: y.odd.ID, Entry: &y.odd})
			}
			table := registrar.Table{}.With(time.Now(), time.Now(), all)
			return &table
		},
		Report: func(_ context.Context, address, _ string) (driver.Report, error) {
			y.mu.Lock()
			defer y.mu.Unlock()
			return driver.Report{Orders: y.orders[address]}, nil
		},
		Place: func(_ context.Context, address, _ string, p driver.Placement) error {
			y.mu.Lock()
			defer y.mu.Unlock()
			y.sent++
			if y.drop(y.sent) {
				y.delayed = append(y.delayed, func() { _ = y.place(address, p) })
				return trace.ConnectionProblem(nil, "no answer")
			}
			return y.place(address, p)
		},
		Pace:  func(id string) float64 { return y.pace[id] },
		Leads: func() bool { return y.leads },
		Fenced: func() {
			y.mu.Lock()
			defer y.mu.Unlock()
			y.leads = false
		},
		Confirm: func(context.Context) (uint64, bool) {
			return 3, y.leads
		},
		Now: time.Now, Recorder: recorder.Nop(), Counters: counter.New(),
	})
}

// uncovered counts the layers of a data centre that no engine holds.
func (y *fakeEngines) uncovered(centre string) int {
	var holders []Holder
	for _, e := range y.entries {
		if !e.Leaving {
			holders = append(holders, Holder{Centre: e.Centre, First: e.First, Last: e.Last})
		}
	}
	return gaps(80, centre, holders)
}

func (y *fakeEngines) run(a *Arranger, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(planInterval) {
		a.reconcile(context.Background())
	}
}

// Half of the orders get no answer and are carried out seconds later, after newer
// ones.
func TestLateOrdersLeaveNoGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(22)
		y.drop = func(n int) bool { return n%2 == 0 }
		a := y.arranger()
		y.run(a, 4*time.Second)
		for _, centre := range []string{"a", "b"} {
			if got, want := y.uncovered(centre), 0; got != want {
				t.Errorf("%s after 4 s: got %d layers without a holder, want %d", centre, got, want)
			}
		}
		for _, do := range y.delayed {
			do()
		}
		for _, centre := range []string{"a", "b"} {
			if got, want := y.uncovered(centre), 0; got != want {
				t.Errorf("%s after the late orders: got %d layers without a holder, want %d", centre, got, want)
			}
		}
	})
}

// Engines are replaced one after the other, a new one every 0.6 s. Each new engine
// must get layers while further ones still arrive.
func TestNewEnginesGetLayersDuringRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(22)
		a := y.arranger()
		y.run(a, 4*time.Second)
		for n := range 14 {
			id, old := fmt.Sprintf("n%02d", n), fmt.Sprintf("e%02d", n)
			y.entries[id] = registrar.Entry{
				ID: id, Service: "llm", Address: id, Centre: y.entries[old].Centre, Accelerator: "l4", Model: "m", Version: "1",
			}
			y.run(a, 600*time.Millisecond)
			e := y.entries[old]
			e.Leaving = true
			y.entries[old] = e
			if last := fmt.Sprintf("n%02d", n-1); n > 0 && y.entries[last].Last == 0 {
				t.Errorf("engine %s has no layers after 1.2 s", last)
			}
		}
	})
}

// The engines of a data centre that holds hardly more than one copy of the layers
// are replaced one after the other, each 0.6 s after its predecessor begins to
// leave. The new engine takes the layers that lost a holder. The other engines keep
// theirs, since a change takes an engine out of service for seconds.
func TestReleaseMovesNoOtherEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(18)
		a := y.arranger()
		y.run(a, 4*time.Second)
		sent := y.sent
		const replaced = 5
		for n := range replaced {
			id, old := fmt.Sprintf("n%02d", n), fmt.Sprintf("e%02d", 2*n)
			e := y.entries[old]
			e.Leaving = true
			y.entries[old] = e
			y.run(a, 600*time.Millisecond)
			y.entries[id] = registrar.Entry{
				ID: id, Service: "llm", Address: id, Centre: e.Centre, Accelerator: "l4", Model: "m", Version: "1",
			}
			y.run(a, 600*time.Millisecond)
		}
		if got, want := y.sent-sent, replaced; got > want {
			t.Errorf("orders: got %d, want %d, one to each new engine", got, want)
		}
		if got, want := y.uncovered("a"), 0; got != want {
			t.Errorf("after the release: got %d layers without a holder, want %d", got, want)
		}
	})
}

// An engine is lost for good in a data centre that holds hardly more than one copy
// of the layers. The other engines close the gap after tileDelay.
func TestLastingGapIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(18)
		a := y.arranger()
		y.run(a, 4*time.Second)
		delete(y.entries, "e00")
		y.run(a, tileDelay+2*time.Second)
		if got, want := y.uncovered("a"), 0; got != want {
			t.Errorf("got %d layers without a holder, want %d", got, want)
		}
	})
}

func TestFencedArrangerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(20)
		y.fence = 9
		a := y.arranger()
		y.run(a, 5*time.Second)
		if got, want := y.sent, 20; got > want {
			t.Errorf("orders after an engine has seen a higher fencing number: got %d in all, want at most %d", got, want)
		}
	})
}

// An engine becomes too slow to be used, and the others of its data centre must hold
// all layers without it.
func TestSlowEngineIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(22)
		a := y.arranger()
		y.run(a, 4*time.Second)
		slow := "e00"
		y.pace[slow] = 12
		y.run(a, 8*time.Second)
		e := y.entries[slow]
		e.Leaving = true
		y.entries[slow] = e
		if got, want := y.uncovered("a"), 0; got != want {
			t.Errorf("without the slow engine: got %d layers without a holder, want %d", got, want)
		}
	})
}

func TestNoOrdersWithoutChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		y := newFakeEngines(22)
		a := y.arranger()
		y.run(a, 5*time.Second)
		sent := y.sent
		y.run(a, 20*time.Second)
		if got, want := y.sent, sent; got != want {
			t.Errorf("orders: got %d, want the %d of the start", got, want)
		}
	})
}

// Guards against one entry with layers that the model doesn't have: it ended every plan with a
// panic or counted as a holder of all layers, so that no engine was ordered to load.
func TestOddLayersDoNotStopPlans(t *testing.T) {
	for _, l := range [][2]int{
		{0, 81}, {40, 1 << 20}, {-1, 40}, {-40, -1}, {79, 200}, {80, 81}, {100, 200}, {math.MinInt, math.MaxInt},
	} {
		t.Run(fmt.Sprintf("%d to %d", l[0], l[1]), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				y := newFakeEngines(44)
				a := y.arranger()
				y.run(a, 4*time.Second)
				y.odd = registrar.Entry{
					ID: "odd", Service: "llm", Address: "odd", Centre: "a", Accelerator: "l4", Model: "m", Version: "1", First: l[0], Last: l[1],
				}
				for id, e := range y.entries {
					if e.Centre == "a" && e.First <= 50 && e.Last > 50 {
						delete(y.entries, id) // leaves for good
					}
				}
				if got := y.uncovered("a"); got == 0 {
					t.Fatal("each layer has a holder, want a gap")
				}
				y.run(a, 30*time.Second)
				if got, want := y.uncovered("a"), 0; got != want {
					t.Errorf("got %d layers without a holder, want %d", got, want)
				}
				if got, want := y.orders["odd"], int64(0); got != want {
					t.Errorf("got %d orders to the other writer's address, want %d", got, want)
				}
			})
		})
	}
}
