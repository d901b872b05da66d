package detourer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/linker"
)

// Guards against a node that is cut off from endpoints and refuses what other nodes can
// serve.
func TestRequestsTakeADetour(t *testing.T) {
	cases := []struct {
		name string
		kind func(w *world) map[string]bool
		// first is how long the first request may take to be answered.
		first time.Duration
	}{
		{"new connections are refused", func(w *world) map[string]bool { return w.refused }, 40 * time.Millisecond},
		{"new connections hang", func(w *world) map[string]bool { return w.hanging }, 100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c", "d", "e")
				w.cut(c.kind(w), "a", true, endpoints...)
				w.cut(c.kind(w), "b", true, endpoints...)
				for n, limit := range []time.Duration{c.first, 10 * time.Millisecond} {
					at := time.Now()
					reply, body, err := w.send(t.Context(), "a", fmt.Sprint("r", n))
					if err != nil || body != "whole" || reply.Status != 200 || !reply.Signed || reply.Via == "" {
						t.Errorf("request %d: got %+v, %q, %v, want the whole answer by way of another node", n, reply, body, err)
					}
					if got := time.Since(at); got > limit {
						t.Errorf("request %d: answered after %v, want %v at most", n, got, limit)
					}
					time.Sleep(300 * time.Millisecond)
				}
				if got, want := len(w.arrivals), 2; got != want {
					t.Errorf("arrivals: got %v, want one of each request", w.arrivals)
				}
				relay := w.nodes["a"].Relay()
				if err := relay.Probe(t.Context(), endpoints[1]); err != nil {
					t.Errorf("probe of another endpoint: got %v, want it to count as reachable", err)
				}
				if r, err := relay.Report(t.Context(), endpoints[1], ""); err != nil || r.Orders != 7 {
					t.Errorf("report: got %+v, %v", r, err)
				}
				var refused *driver.Refused
				if err := relay.Place(t.Context(), endpoints[1], "", driver.Placement{}); !errors.As(err, &refused) || refused.Reason != driver.ReasonFence {
					t.Errorf("order: got %v, want the endpoint's refusal", err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = w.nodes["a"].Step().Run(ctx) }()
				w.cut(c.kind(w), "a", false, endpoints...)
				time.Sleep(5 * recheckInterval)
				if reply, _, err := w.send(t.Context(), "a", "last"); err != nil || reply.Via != "" {
					t.Errorf("after the partition: got via %q, %v, want a direct answer", reply.Via, err)
				}
				cancel()
			})
		})
	}
}

// An endpoint that has ended is reachable for no node; this node then doesn't take itself for
// cut off.
func TestEndedEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c")
		for node := range w.nodes {
			w.cut(w.refused, node, true, endpoints[0])
		}
		_, _, err := w.send(t.Context(), "a", "r")
		if !isUnsent(err) || !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v, want that nothing was sent since the connection was refused", err)
		}
		if err := w.nodes["a"].Relay().Probe(t.Context(), endpoints[0]); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("probe: got %v, want a refused connection, which proves that the endpoint has stopped", err)
		}
		if w.nodes["a"].Relay().CutOff(endpoints[0]) {
			t.Error("the node takes itself for cut off")
		}
	})
}

// A node that reaches some endpoints still calls these itself.
func TestPartialPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c")
		w.cut(w.hanging, "a", true, endpoints[0])
		if reply, _, err := w.send(t.Context(), "a", "r"); err != nil || reply.Via == "" {
			t.Errorf("got via %q, %v, want an answer by way of another node", reply.Via, err)
		}
		relay := w.nodes["a"].Relay()
		if !relay.CutOff(endpoints[0]) || relay.CutOff(endpoints[1]) {
			t.Errorf("cut off: got %v and %v, want the first endpoint only", relay.CutOff(endpoints[0]), relay.CutOff(endpoints[1]))
		}
	})
}

// Guards against a node that was paused, finds its connections late and takes itself for cut
// off.
func TestPausedNodeIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c")
		w.cut(w.hanging, "a", true, endpoints...)
		w.nodes["a"].cfg.PausedSince = func(time.Time) bool { return true }
		relay := w.nodes["a"].Relay()
		ctx, cancel := context.WithTimeout(t.Context(), probeTimeout)
		defer cancel()
		if err := relay.Probe(ctx, endpoints[0]); err == nil {
			t.Error("probe: got a connection, want none in time")
		}
		time.Sleep(checkTimeout)
		if relay.CutOff(endpoints[0]) || relay.CutOff(endpoints[1]) {
			t.Error("the node takes itself for cut off")
		}
	})
}

// A connection that opens while others are asked is used, and nothing is held against it.
func TestSlowConnectionIsNoPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c")
		relay := w.nodes["a"].Relay()
		w.nodes["a"].cfg.Direct.Probe = func(context.Context, string) error {
			time.Sleep(2 * probePatience)
			return nil
		}
		if err := relay.Probe(t.Context(), endpoints[0]); err != nil {
			t.Errorf("probe: got %v, want a connection", err)
		}
		time.Sleep(checkTimeout)
		if relay.CutOff(endpoints[0]) {
			t.Error("the node takes itself for cut off")
		}
	})
}

// A node that reaches one endpoint of four calls the others by way of other nodes, and none
// of them again itself until they accept.
func TestReachOfOneEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c")
		w.cut(w.hanging, "a", true, endpoints...)
		if _, _, err := w.send(t.Context(), "a", "r"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = w.nodes["a"].Step().Run(ctx) }()
		w.cut(w.hanging, "a", false, endpoints[3])
		time.Sleep(2 * recheckInterval)
		relay := w.nodes["a"].Relay()
		for i, want := range []bool{true, true, true, false} {
			if got := relay.CutOff(endpoints[i]); got != want {
				t.Errorf("%s by way of others: got %v, want %v", endpoints[i], got, want)
			}
		}
		w.cut(w.hanging, "a", false, endpoints...)
		time.Sleep(2 * recheckInterval)
		if relay.CutOff(endpoints[0]) {
			t.Error("after the partition endpoints are still called by way of others")
		}
	})
}

// A caller that leaves says nothing of the nodes that help.
func TestCallerThatLeavesKeepsTheHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.cut(w.refused, "a", true, endpoints...)
		if _, _, err := w.send(t.Context(), "a", "r"); err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		w.gone["b"] = true
		w.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, _ = w.send(ctx, "a", "r2")
		if got, want := len(w.nodes["a"].shuffledHelpers()), 1; got != want {
			t.Errorf("helpers: got %d, want %d", got, want)
		}
	})
}

// A request that an endpoint may have got is sent no second time, whoever sent it.
func TestRequestThatMayHaveRunTakesNoDetour(t *testing.T) {
	reset := func(context.Context) (driver.Reply, error) { return driver.Reply{}, syscall.ECONNRESET }
	cases := []struct {
		name    string
		prepare func(w *world)
	}{
		{"the connection breaks", func(w *world) { w.answer = reset }},
		{"the other node's connection breaks", func(w *world) {
			w.answer = reset
			w.cut(w.refused, "a", true, endpoints...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c")
				c.prepare(w)
				if _, _, err := w.send(t.Context(), "a", "r"); err == nil || isUnsent(err) {
					t.Errorf("got %v, want an error that doesn't rule out that the request ran", err)
				}
				if got, want := len(w.arrivals), 1; got != want {
					t.Errorf("arrivals: got %v, want one", w.arrivals)
				}
			})
		})
	}
}

// An answer whose way breaks off is not complete, and nodes that can't help are left.
func TestHelpersThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b", "c", "d")
		w.cut(w.refused, "a", true, endpoints...)
		if _, _, err := w.send(t.Context(), "a", "r1"); err != nil {
			t.Fatal(err)
		}
		w.mu.Lock()
		w.gone["b"], w.gone["c"] = true, true
		w.mu.Unlock()
		for n := range 5 {
			if reply, body, err := w.send(t.Context(), "a", fmt.Sprint("r2", n)); err != nil || body != "whole" || reply.Via != "d" {
				t.Errorf("with two of three nodes gone: got via %q, %q, %v, want the answer by way of the third", reply.Via, body, err)
			}
		}
		w.mu.Lock()
		w.broken["d"] = true
		w.mu.Unlock()
		if _, body, err := w.send(t.Context(), "a", "r3"); err == nil || isUnsent(err) {
			t.Errorf("a way that breaks off: got %q, %v, want an error", body, err)
		}
	})
}

// The end of the caller ends the call of the other node.
func TestCallerThatLeavesEndsTheDetour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.cut(w.refused, "a", true, endpoints...)
		ended := make(chan struct{})
		w.answer = func(ctx context.Context) (driver.Reply, error) {
			<-ctx.Done()
			close(ended)
			return driver.Reply{}, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, _, err := w.send(ctx, "a", "r"); err == nil {
			t.Error("got an answer, want none")
		}
		<-ended
	})
}

// Whatever a node sends, nothing panics, and no call is made that it doesn't name.
func FuzzServe(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, query []byte) {
		w := newWorld("a", "b")
		w.nodes["a"].Serve(t.Context(), query, func([]byte) error { return nil })
	})
}

// A node by way of which a stream arrives reports, after the head of the answer, that the call
// was not sent or was refused, or begins another answer. The request has arrived by then: the
// body must end with an error of another kind, or a request that may not run again is sent again.
func TestDetourThatFailsWithinAnAnswer(t *testing.T) {
	reply := &driver.Reply{Status: 200, Signed: true}
	part := func(text string) message { return message{Data: []byte(text)} }
	cases := []struct {
		name     string
		messages []message
	}{
		{"unsent", []message{{Failure: &failure{Text: "unsent", Unsent: true}}}},
		{"unable", []message{{Failure: unable("the node is stopping")}}},
		{"refused", []message{{Failure: &failure{Text: "refused", Refused: &driver.Refused{Reason: driver.ReasonState}}}}},
		{"reset", []message{{Failure: &failure{Text: "reset"}}}},
		{"the connection ends", nil},
		{"another answer", []message{{Reply: reply}, part("other"), {End: true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			messages := append([]message{part("begun")}, c.messages...)
			b := &body{conn: linker.Conn{Close: func() {}, Receive: func() ([]byte, error) {
				if len(messages) == 0 {
					return nil, io.ErrUnexpectedEOF
				}
				m := messages[0]
				messages = messages[1:]
				return encoder.CBOR(m)
			}}}
			got, err := io.ReadAll(b)
			if want := "begun"; string(got) != want || err == nil {
				t.Errorf("got %q, error %v, want %q and an error", got, err, want)
			}
			var refused *driver.Refused
			if isUnsent(err) || errors.As(err, &refused) {
				t.Errorf("error: got %T %v, want one that says that the request may have run", err, err)
			}
		})
	}
}

// Guards against calls for other nodes that end with a dead link at the deadline of a stop: the
// other node gets a message, and the request may have run.
func TestCallsForOthersAtTheStopsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld("a", "b")
		w.cut(w.refused, "a", true, endpoints...)
		deadline, expire := context.WithCancel(t.Context())
		w.nodes["b"].cfg.Enter = func(ctx context.Context) (context.Context, func(), bool) {
			ctx, cancel := context.WithCancel(ctx)
			context.AfterFunc(deadline, cancel)
			return ctx, cancel, true
		}
		w.answer = func(ctx context.Context) (driver.Reply, error) {
			<-ctx.Done()
			return driver.Reply{}, errors.New("given up by the node")
		}
		time.AfterFunc(time.Second, expire)
		began := time.Now()
		_, _, err := w.send(t.Context(), "a", "r")
		if err == nil || isUnsent(err) || !strings.Contains(err.Error(), "given up by the node") {
			t.Errorf("got error %v, want the failure of the call, which may have run", err)
		}
		if got, want := time.Since(began), 1100*time.Millisecond; got > want {
			t.Errorf("ended after %v, want at most %v", got, want)
		}
	})
}
