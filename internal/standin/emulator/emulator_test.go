package emulator

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

// pair returns two engines that hold half of the layers each, a third that can
// replace the second, and the path along the first two.
func pair(cfg Config) (*Emulator, []driver.PathStage) {
	e := New(cfg, []Engine{
		{ID: "a", Address: "a:1", First: 0, Last: 40, Pace: 10, PrefillPace: 10, MemoryTokens: 400000},
		{ID: "b", Address: "b:1", First: 40, Last: 80, Pace: 10, PrefillPace: 10, MemoryTokens: 400000},
		{ID: "c", Address: "c:1", First: 40, Last: 80, Pace: 10, PrefillPace: 10, MemoryTokens: 400000},
	})
	return e, []driver.PathStage{{Address: "a:1", First: 0, Last: 40}, {Address: "b:1", First: 40, Last: 80}}
}

// eventTimes sends a generation and returns the times of its events since the start.
func eventTimes(t *testing.T, e *Emulator, id string, path []driver.PathStage, prompt, answer int) []time.Duration {
	t.Helper()
	begun := time.Now()
	reply, err := e.Relay().Send(t.Context(), path[0].Address, driver.Forward{ID: id, Path: path, Body: Body(prompt, answer)})
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("sending %s: got status %d and error %v", id, reply.Status, err)
	}
	defer func() { _ = reply.Body.Close() }()
	var at []time.Duration
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			at = append(at, time.Since(begun))
		}
	}
	return at
}

func TestRequestsShareSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, path := pair(BatchedDefaults())
		alone := eventTimes(t, e, "x", path, 10, 40)
		both := make(chan []time.Duration, 2)
		for _, id := range []string{"y", "z"} {
			go func() { both <- eventTimes(t, e, id, path, 10, 40) }()
		}
		<-both
		got, one := (<-both)[19], alone[19]
		if got < one || got > 2*one {
			t.Errorf("two at once end after %v, one alone after %v: want them in the same passes, with some wait", got, one)
		}
	})
}

func TestPromptsAreReadInChunks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, path := pair(BatchedDefaults())
		const chunks = 8
		got := eventTimes(t, e, "x", path, chunks*512, 2)[0]
		// Both engines read at the same time, except during the first chunk and the
		// last.
		whole := chunks * 512 * 10 * time.Millisecond / 272
		if want := whole * 3 / 4; got > want || got < whole/2 {
			t.Errorf("got the first event after %v, want between %v and %v: half of the reading and more", got, whole/2, want)
		}
	})
}

// tokens returns the number of tokens reserved at an engine.
func tokens(e *Emulator, address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engines[address].tokens
}

func TestReservedTokensFollowPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, path := pair(BatchedDefaults())
		done := make(chan []time.Duration, 1)
		go func() { done <- eventTimes(t, e, "x", path, 400, 400) }()
		time.Sleep(time.Second)
		other := []driver.PathStage{path[0], {Address: "c:1", First: 40, Last: 80}}
		if err := e.Relay().ChangePath(t.Context(), "a:1", "a", "x", other); err != nil {
			t.Fatal(err)
		}
		if got := tokens(e, "b:1"); got != 0 {
			t.Errorf("the engine that was left: got %d tokens held, want none", got)
		}
		if got, want := tokens(e, "c:1"), 800; got != want {
			t.Errorf("the new engine: got %d tokens held, want %d", got, want)
		}
		<-done
		synctest.Wait()
		if got := tokens(e, "a:1") + tokens(e, "c:1"); got != 0 {
			t.Errorf("after the end: got %d tokens held, want none", got)
		}
	})
}

func TestEngineComesBackWithoutLayers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := BatchedDefaults()
		cfg.LoadTime, cfg.MaxParallelLoads = 10*time.Second, 1
		e, _ := pair(cfg)
		e.Kill("b:1", false)
		if e.Answers("b:1") {
			t.Error("a killed engine answers")
		}
		e.Start("b:1")
		p := driver.Placement{First: 40, Last: 80, Fence: 3}
		if err := e.Relay().Place(t.Context(), "b:1", "b", p); err != nil {
			t.Fatal(err)
		}
		var refused *driver.Refused
		if err := e.Relay().Place(t.Context(), "b:1", "b", p); !errors.As(err, &refused) {
			t.Errorf("a second order with the same count: got error %v, want a refusal", err)
		}
		if report, err := e.Relay().Report(context.Background(), "b:1", "b"); err != nil || !report.Busy {
			t.Errorf("while it loads: got report %+v and error %v, want busy", report, err)
		}
		time.Sleep(4 * time.Second)
		if _, last := e.Held("b:1"); last != 0 {
			t.Errorf("got layers up to %d before the load ended", last)
		}
		time.Sleep(2 * time.Second)
		if first, last := e.Held("b:1"); first != 40 || last != 80 {
			t.Errorf("got layers %d to %d after the load, want 40 to 80", first, last)
		}
	})
}
