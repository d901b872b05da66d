package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/registrar"
	"banyanquay/internal/standin/emulator"
)

// threeCentres returns the layer ranges of three data centres that hold all layers
// once; a has a second holder of layers 20 to 40.
func threeCentres() map[string][][2]int {
	return map[string][][2]int{
		"a": {{0, 20}, {20, 40}, {40, 60}, {60, 80}, {20, 40}},
		"b": {{0, 20}, {20, 40}, {40, 60}, {60, 80}},
		"c": {{0, 20}, {20, 40}, {40, 60}, {60, 80}},
	}
}

// checkStream returns what is wrong with a stream's answer; empty if nothing is.
func checkStream(a response, id string, events int) string {
	var want strings.Builder
	for n := range events {
		fmt.Fprintf(&want, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
	}
	switch {
	case a.aborted:
		return "the connection was aborted"
	case a.Code != http.StatusOK:
		return fmt.Sprintf("status %d: %s", a.Code, a.Body)
	case a.Body.String() != want.String():
		return fmt.Sprintf("the events are not 1 to %d, once and in order", events)
	}
	return ""
}

// runStreams starts some streams, calls action after a second, and returns the
// responses.
func (w *harness) runStreams(t *testing.T, streams int, action func()) []response {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = w.f.Step().Run(ctx) }()
	answers := make([]response, streams)
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 13 * time.Millisecond)
			answers[n] = w.send(ctx, "POST", pathLLM+"1", fmt.Sprintf("r%d", n), string(emulator.Body(800, 200)))
		})
	}
	time.Sleep(time.Second)
	action()
	wg.Wait()
	cancel()
	time.Sleep(probeTimeout + reportTimeout + changePathTimeout) // lets pending probes and requests end
	return answers
}

// An engine passes its health check and fails its requests. A resumable stream is
// tried elsewhere; if that fails, too, the failure is passed on. Later streams
// start elsewhere.
func TestStreamsOfAnEngineThatFailsThem(t *testing.T) {
	cases := []struct {
		name   string
		fails  map[string]bool
		status int
		sends  int
	}{
		{"one engine fails", map[string]bool{"a0:1": true}, 200, 2},
		{"both fail", map[string]bool{"a0:1": true, "b0:1": true}, 500, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
				var sent []string
				w := newHarness(t, driver.Relay{
					Probe: acceptConnections,
					Send: func(_ context.Context, address string, _ driver.Forward) (driver.Reply, error) {
						sent = append(sent, address)
						reply := driver.Reply{Status: 200, Signed: true, Header: http.Header{}}
						reply.Body = io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))
						if c.fails[address] {
							reply.Status, reply.Body = 500, io.NopCloser(strings.NewReader("failed at "+address))
						}
						return reply, nil
					},
				}, entries...)
				a := w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200")
				if got, want := a.Code, c.status; got != want {
					t.Errorf("status: got %d %q, want %d", got, a.Body, want)
				}
				if got, want := len(sent), c.sends; got != want {
					t.Errorf("sends: got %v, want %d", sent, want)
				}
				if c.status == 500 {
					if got, want := a.Body.String(), "failed at b0:1"; got != want {
						t.Errorf("body: got %q, want %q, the last engine's", got, want)
					}
					return
				}
				for n := range 3 {
					if a := w.send(t.Context(), "POST", pathLLM+"1", fmt.Sprint("r", 2+n), "800,200"); a.Code != 200 {
						t.Errorf("a later stream: got %d, want 200", a.Code)
					}
				}
				if got, want := len(sent), c.sends+3; got != want {
					t.Errorf("sends with three later streams: got %v, want %d", sent, want)
				}
			})
		})
	}
}

// Guards against the failure of a program that is no engine, which was passed on as an
// engine's: callers don't ask again after a 404.
func TestForeignAnswersToStreams(t *testing.T) {
	cases := []struct {
		name   string
		reply  driver.Reply
		status int
	}{
		{"an engine's failure", driver.Reply{Status: 404, Echoed: true}, 404},
		{"another program's failure", driver.Reply{Status: 404}, 502},
		{"another program's redirect", driver.Reply{Status: 302}, 502},
		{"another program's success", driver.Reply{Status: 200}, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, entries := engines(map[string][][2]int{"a": {{0, 80}}})
				w := newHarness(t, driver.Relay{
					Probe: acceptConnections,
					Send: func(context.Context, string, driver.Forward) (driver.Reply, error) {
						reply := c.reply
						reply.Header, reply.Body = http.Header{}, io.NopCloser(strings.NewReader("x"))
						return reply, nil
					},
				}, entries...)
				if got, want := w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200").Code, c.status; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
			})
		})
	}
}

// All nodes start again at the same moment, and all callers reconnect at once.
// Nodes that don't know of each other must not all choose the fastest engine.
func TestStartingNodesSpreadTheirStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(map[string][][2]int{"a": {{0, 40}, {0, 40}, {0, 40}, {0, 40}, {40, 80}}})
		entries[0].Accelerator = "fast"
		const nodes = 300
		first := make(map[string]int)
		for range nodes {
			w := newHarness(t, emulator.New(emulator.Defaults(), all).Relay(), entries...)
			w.starting = true
			path, err := w.f.path(&call{neededTokens: 1000, service: "llm"}, "")
			if err != nil {
				t.Fatal(err)
			}
			first[path[0].ID]++
		}
		for id, got := range first {
			if want := nodes / 2; got > want {
				t.Errorf("%s is the first engine of %d of %d nodes, want at most %d of four engines", id, got, nodes, want)
			}
		}
	})
}

// An engine crashes while the retry budget is spent. The streams through it can't
// continue; the others must not be affected.
func TestStreamsWithSpentRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		w.retrySlack = 0
		aborted := 0
		for n, a := range w.runStreams(t, 8, func() { e.Kill("a0:1", false) }) {
			if checkStream(a, fmt.Sprintf("r%d", n), 100) != "" {
				aborted++
				if a.Code == http.StatusOK && !a.aborted {
					t.Errorf("stream %d ended early and looks complete", n)
				}
			}
		}
		sends, _ := e.Counts()
		if got, want := sends, 8+1; got > want {
			t.Errorf("sends: got %d, want at most %d, by the budget", got, want)
		}
		if aborted == 0 {
			t.Errorf("no stream was aborted, though their first engine stopped and no retry is allowed")
		}
	})
}

// Engines restart without layers at the same address, and nodes still believe that
// they hold layers.
func TestPathsAvoidEnginesThatLostTheirLayers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		for i := range all {
			if all[i].Address == "a2:1" {
				all[i].First, all[i].Last = 0, 0
			}
		}
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		for n, a := range w.runStreams(t, 10, func() {}) {
			if fault := checkStream(a, fmt.Sprintf("r%d", n), 100); fault != "" {
				t.Errorf("stream %d: %s", n, fault)
			}
		}
		sends, _ := e.Counts()
		if got, want := sends, 12; got > want {
			t.Errorf("sends for 10 streams: got %d, want at most %d", got, want)
		}
	})
}

// An engine becomes twelve times slower. New streams must avoid it.
func TestNewStreamsAvoidASlowEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		w.runStreams(t, 6, func() { e.Slow("a2:1", 12) })
		if got, want := w.f.Pace("a2"), 12.0; got != want {
			t.Fatalf("pace of the slow engine: got %v, want %v", got, want)
		}
		path, err := w.f.path(&call{
			neededTokens: 1000, service: "llm",
		}, "")
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range path {
			if p.ID == "a2" {
				t.Errorf("a new path %v uses the slow engine", ids(path))
			}
		}
	})
}

func TestCallerThatLeavesEndsItsGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := make(chan struct{})
		_, entries := engines(map[string][][2]int{"a": {{0, 80}}})
		w := newHarness(t, driver.Relay{Probe: acceptConnections, Send: func(ctx context.Context, _ string, _ driver.Forward) (driver.Reply, error) {
			r, pw := io.Pipe()
			go func() {
				<-ctx.Done()
				_ = pw.CloseWithError(ctx.Err())
				close(stopped)
			}()
			return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: r}, nil
		}}, entries...)
		ctx, cancel := context.WithCancel(t.Context())
		left := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			left = time.Now()
			cancel()
		}()
		w.send(ctx, "POST", pathLLM+"1", "r1", "800,200")
		<-stopped
		if got, want := time.Since(left), 500*time.Millisecond; got > want {
			t.Errorf("the engine was told %v after the caller left, want within %v", got, want)
		}
	})
}

func TestTruncatedEventIsNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
		var after []string
		bodies := []string{"id: 1\ndata: x\n\nid: 2\nda", "id: 2\ndata: y\n\n"}
		w := newHarness(t, driver.Relay{
			Probe: acceptConnections,
			Send: func(_ context.Context, _ string, f driver.Forward) (driver.Reply, error) {
				after = append(after, f.After)
				body := bodies[min(len(after), len(bodies))-1]
				return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
			},
		}, entries...)
		a := w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200")
		if got, want := a.Body.String(), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		if got, want := strings.Join(after, ","), ",1"; got != want {
			t.Errorf("resumed after event: got %q, want %q", got, want)
		}
	})
}

// acceptConnections accepts each connection.
func acceptConnections(context.Context, string) error { return nil }

// Engines that are alive break off their streams again and again. A request must
// run on no more of them than its route allows; those that have stopped don't
// count.
func TestAttemptsOfABrokenStream(t *testing.T) {
	refuses := func(context.Context, string) error { return syscall.ECONNREFUSED }
	hangs := func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	}
	cases := []struct {
		name  string
		probe func(context.Context, string) error
		runs  int
		more  bool
	}{
		{"engines that are alive", acceptConnections, 2, false},
		{"engines that have stopped", refuses, 2, true},
		{"engines that are unreachable", hangs, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, entries := engines(map[string][][2]int{"a": {{0, 80}, {0, 80}, {0, 80}}, "b": {{0, 80}}})
				runs := 0
				w := newHarness(t, driver.Relay{
					Probe: c.probe,
					Send: func(context.Context, string, driver.Forward) (driver.Reply, error) {
						runs++
						body := io.MultiReader(strings.NewReader(fmt.Sprintf("id: %d\ndata: x\n\n", runs)), failingReader{})
						return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(body)}, nil
					},
				}, entries...)
				if a := w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200"); !a.aborted {
					t.Errorf("a stream without an end looks complete")
				}
				if got, want := runs, c.runs; got < want || (got > want && !c.more) {
					t.Errorf("runs: got %d, want %d (more allowed: %v)", got, want, c.more)
				}
			})
		})
	}
}

// An engine leaves while a stream that started earlier moves.
func TestLaterAttemptsAvoidEnginesThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, entries := engines(map[string][][2]int{"a": {{0, 80}, {0, 80}}, "b": {{0, 80}}})
		var w *harness
		var second string
		w = newHarness(t, driver.Relay{
			Probe: acceptConnections,
			Send: func(_ context.Context, address string, f driver.Forward) (driver.Reply, error) {
				if f.After != "" {
					second = address
					return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
				}
				var left []registrar.Change
				for _, e := range entries {
					if e.Centre == "a" {
						e.Leaving = true
						left = append(left, registrar.Change{ID: e.ID, Entry: &e})
					}
				}
				w.table = w.table.With(time.Now(), time.Now(), left)
				body := io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failingReader{})
				return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(body)}, nil
			},
		}, entries...)
		w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200")
		if got, want := second, "b0:1"; got != want {
			t.Errorf("the second attempt went to %q, want %q: the others have left", got, want)
		}
	})
}

// A stream that may not be resumed stalls before its first event. An engine may
// have started it, so it must not be sent to another one.
func TestStreamThatMayNotResumeIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		list := routes()
		list[0].Resumable = false
		w.view.Configuration = mapper.New(mapper.Draft{Version: 2, Routes: list, Services: w.view.Configuration.Services()})
		e.Kill("a0:1", true)
		e.Kill("b0:1", true)
		e.Kill("c3:1", true)
		began := time.Now()
		answers := w.runStreams(t, 1, func() {})
		if sends, _ := e.Counts(); sends > 1 {
			t.Errorf("got %d sends, want at most one", sends)
		}
		if got, want := answers[0].Code, http.StatusGatewayTimeout; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		if got, want := time.Since(began), 4*time.Second+500*time.Millisecond; got > want {
			t.Errorf("answered after %v, want by the caller's deadline of 4 s", got)
		}
	})
}

// Engines that hold whole models get no path, and their streams move like others.
func TestStreamsOfWholeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []driver.Forward
		bodies := []string{"id: 1\ndata: x\n\nid: 2\nda", "id: 2\ndata: y\n\n"}
		w := newHarness(t, driver.Relay{
			Probe: acceptConnections,
			Send: func(_ context.Context, _ string, f driver.Forward) (driver.Reply, error) {
				sent = append(sent, f)
				body := bodies[min(len(sent), len(bodies))-1]
				return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
			},
		}, registrar.Entry{ID: "w1", Service: "whole", Address: "w1:1", Centre: "a"},
			registrar.Entry{ID: "w2", Service: "whole", Address: "w2:1", Centre: "a"})
		w.view.Configuration = mapper.New(mapper.Draft{
			Version: 2, Services: []mapper.Service{{Name: "whole", Engine: &mapper.Engine{}}},
			Routes: []mapper.Route{{
				Host: host, Prefix: pathLLM, Kind: mapper.Streaming, Resumable: true, Attempts: 2,
				Offers: []mapper.WeightedService{{Service: "whole", Weight: 1}},
			}},
		})
		a := w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200")
		if got, want := a.Body.String(), "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		for _, f := range sent {
			if len(f.Path) > 0 {
				t.Errorf("an engine with a whole model got path %v", f.Path)
			}
		}
	})
}
