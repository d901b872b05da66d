package generator

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

func TestOrdersAndFences(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{ChecksFence: checks, LoadTime: time.Second})
				newer := driver.Holding{Model: "m", Version: "2", Last: 1, Layers: 1}
				older := driver.Holding{Model: "m", Version: "1", Last: 1, Layers: 1}
				if err := g.Order(driver.Order{Fence: 7, Hold: []driver.Holding{newer}}); err != nil {
					t.Fatalf("ordering: %v", err)
				}
				if got := len(g.Status().Holdings); got != 0 {
					t.Errorf("got %d holdings before they are loaded, want 0", got)
				}
				got := reason(g.Order(driver.Order{Fence: 6, Hold: []driver.Holding{older}}))
				want, version := "", "1"
				if checks {
					want, version = driver.ReasonFence, "2"
				}
				if got != want {
					t.Errorf("got reason %q for an old fence, want %q", got, want)
				}
				time.Sleep(2 * time.Second)
				if got := g.Status().Holdings; len(got) != 1 || got[0].Version != version {
					t.Errorf("got holdings %+v, want version %s", got, version)
				}
			})
		})
	}
}

func TestSlotsRunTogetherByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := driver.Holding{Model: "m", Version: "1", Last: 2, Layers: 2}
		g := New(Config{Holdings: []driver.Holding{hold}, Slots: 2, StepTime: time.Second})
		begin := time.Now()
		var mu sync.Mutex
		ends := map[int]time.Duration{}
		var wg sync.WaitGroup
		for priority := range 6 {
			step := driver.Step{
				Request: fmt.Sprint(priority), Model: "m", Version: "1",
				Last: 2, Inputs: []string{"x"}, Priority: priority,
			}
			wg.Go(func() {
				if _, err := g.Step(t.Context(), step); err != nil {
					t.Errorf("running: %v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				ends[priority] = time.Since(begin)
			})
			synctest.Wait()
		}
		wg.Wait()
		// Priorities 0 and 1 arrived first and took the slots; the rest run highest
		// first.
		for priority, want := range []int{2, 2, 6, 6, 4, 4} {
			if got := ends[priority]; got != time.Duration(want)*time.Second {
				t.Errorf("got priority %d done after %s, want %d s", priority, got, want)
			}
		}
	})
}

func TestPrefixCacheSavesPrefillAndPublishesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hold := driver.Holding{Model: "m", Version: "1", Last: 1, Layers: 1}
		g := New(Config{
			Holdings: []driver.Holding{hold}, PrefillTime: time.Second,
			PrefixBlocks: 1, EventDelay: time.Hour,
		})
		prompt := "a b c d e f g h i j k l m n o p q"
		for i, want := range []time.Duration{16 * time.Second, 0} {
			begin := time.Now()
			step := driver.Step{Request: fmt.Sprint(i), Model: "m", Version: "1", Last: 1, Inputs: []string{prompt}}
			if _, err := g.Step(t.Context(), step); err != nil {
				t.Fatalf("running: %v", err)
			}
			if got := time.Since(begin); got != want {
				t.Errorf("got %s for run %d, want %s", got, i, want)
			}
		}
		if got := len(g.Prefixes(0).Events); got != 0 {
			t.Errorf("got %d events before their delay, want 0", got)
		}
		time.Sleep(2 * time.Hour)
		page := g.Prefixes(0)
		want := driver.PrefixHashes("m", "1", "", prompt)[0]
		if len(page.Events) != 1 || page.Events[0].Prefix != want || page.Next != 2 {
			t.Errorf("got page %+v, want one event of prefix %d", page, want)
		}
	})
}
