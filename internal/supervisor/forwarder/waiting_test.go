package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/registrar"
	"banyanquay/internal/standin/emulator"
)

// update changes the table of endpoints.
func (w *harness) update(changes ...registrar.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = w.table.With(time.Now(), time.Now(), changes)
}

// An engine wants no requests for 12 s, and another one is registered 0.5 s after streams have lost
// theirs. Guards against streams that sleep until the first one takes requests again.
func TestStreamsThatWaitForAPermitUseNewEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(map[string][][2]int{"a": {{0, 80}, {0, 80}, {0, 80}}})
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		added, _ := w.table.Get("a2")
		w.update(registrar.Change{ID: "a2"})
		w.retrySlack = 2000
		w.waitLonger()
		w.f.cfg.Throttler.BackOff("a1", 12*time.Second)
		checkStreams(t, w.runStreams(t, 8, func() {
			e.Kill("a0:1", false)
			time.AfterFunc(500*time.Millisecond, func() { w.update(registrar.Change{ID: "a2", Entry: &added}) })
		}))
		if got, want := longestPause(w), 2*time.Second; got > want {
			t.Errorf("longest pause: got %v, want at most %v, after which callers leave", got, want)
		}
	})
}

// The only engine that is left takes no connection for a second. Guards against streams that try it
// once and then wait for another one until their time is up.
func TestStreamsTryUnreachableEnginesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
		e := emulator.New(emulator.Defaults(), all)
		relay := e.Relay()
		send := relay.Send
		var unreachable atomic.Bool
		relay.Send = func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
			if unreachable.Load() && address == "b0:1" {
				return driver.Reply{}, &driver.Unsent{Err: errors.New("i/o timeout")}
			}
			return send(ctx, address, f)
		}
		w := newHarness(t, relay, entries...)
		w.retrySlack = 2000
		w.waitLonger()
		checkStreams(t, w.runStreams(t, 8, func() {
			unreachable.Store(true)
			e.Kill("a0:1", false)
			time.AfterFunc(time.Second, func() { unreachable.Store(false) })
		}))
		if got, want := longestPause(w), 2*time.Second; got > want {
			t.Errorf("longest pause: got %v, want at most %v, after which callers leave", got, want)
		}
	})
}

// Streams lose their engine, and no other one is there for 11.5 s, longer than the budget's window.
// Guards against retries that are taken long before they are sent, and then sent with those of a later
// window.
func TestRetriesAreTakenWhenTheyAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			streams = 80
			slack   = 20
			window  = 10 * time.Second
		)
		all, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
		e := emulator.New(emulator.Defaults(), all)
		relay := e.Relay()
		send := relay.Send
		var mu sync.Mutex
		var sends []time.Time
		relay.Send = func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
			mu.Lock()
			sends = append(sends, time.Now())
			mu.Unlock()
			return send(ctx, address, f)
		}
		w := newHarness(t, relay, entries...)
		later, _ := w.table.Get("b0")
		w.update(registrar.Change{ID: "b0"})
		w.retrySlack = slack
		w.f.cfg.MaxConfirmationAge = func() time.Duration { return time.Hour }
		w.waitLonger()
		w.runStreams(t, streams, func() {
			e.Kill("a0:1", false)
			w.update(registrar.Change{ID: "a0"})
			time.AfterFunc(11500*time.Millisecond, func() { w.update(registrar.Change{ID: "b0", Entry: &later}) })
		})
		most, again := 0, sends[streams:]
		for i, first := range again {
			n := sort.Search(len(again)-i, func(k int) bool { return again[i+k].Sub(first) >= window })
			most = max(most, n)
		}
		if got, want := most, slack+streams/5; got > want {
			t.Errorf("retries in %v: got %d, want at most %d", window, got, want)
		}
	})
}

// The endpoint that is asked first hangs, and the budget has a retry 0.4 s after the attempt may make
// room. Guards against lookups that ask for a retry once only.
func TestLookupAtAHungEndpointWaitsForARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := ""
		w := newHarness(t, driver.Relay{Send: func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
			if first == "" {
				first = address
			}
			if address == first {
				<-ctx.Done()
				return driver.Reply{}, ctx.Err()
			}
			return signedReply(200, "ok")(f)
		}, Probe: acceptConnections}, plainEntries()...)
		w.retrySlack = 0
		time.AfterFunc(600*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.retrySlack = 200
		})
		a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Errorf("status: got %d, want %d, %s", got, want, a.Body)
		}
	})
}

// The other endpoint leaves while the first attempt goes on. Guards against an attempt that is ended
// for a successor that is no longer there.
func TestLookupGoesOnWhenTheOtherEndpointLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w *harness
		w = newHarness(t, driver.Relay{Send: func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
			for _, id := range []string{"d1", "d2"} {
				if id+":1" != address {
					w.update(registrar.Change{ID: id})
				}
			}
			select {
			case <-time.After(time.Second):
				return signedReply(200, "ok")(f)
			case <-ctx.Done():
				return driver.Reply{}, ctx.Err()
			}
		}, Probe: acceptConnections}, plainEntries()...)
		a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Errorf("status: got %d, want %d, %s", got, want, a.Body)
		}
	})
}

// bodyWithLateEnd is a body whose end comes some time after its last byte.
type bodyWithLateEnd struct {
	io.Reader
	ctx   context.Context
	delay time.Duration
}

func (b *bodyWithLateEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 || err == nil {
		return n, err
	}
	select {
	case <-time.After(b.delay):
		return 0, io.EOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (b *bodyWithLateEnd) Close() error { return nil }

// A sound engine is silent for 1.2 s between the last event of a stream and its end, and the node goes
// on at another one, which has no event left. Guards against a complete stream that is cut off.
func TestStreamThatLacksItsEndOnlyIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
		text := ""
		for n := range 20 {
			text += fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
		}
		first := ""
		w := newHarness(t, driver.Relay{
			Send: func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
				reply := driver.Reply{Status: 200, Signed: true, Echoed: true, Header: http.Header{}, Body: http.NoBody}
				if f.After == "" {
					first = address
					reply.Body = &bodyWithLateEnd{Reader: strings.NewReader(text), ctx: ctx, delay: 1200 * time.Millisecond}
				}
				return reply, nil
			},
			Probe: acceptConnections,
			Report: func(context.Context, string, string) (driver.Report, error) {
				return driver.Report{Pace: 1, Stalled: map[string]string{"r0": first}}, nil
			},
		}, entries...)
		w.waitLonger()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = w.f.Step().Run(ctx) }()
		a := w.send(ctx, "POST", pathLLM+"1", "r0", "800,200")
		cancel()
		time.Sleep(2 * time.Second) // lets pending probes and requests end
		if a.aborted || a.Body.String() != text {
			t.Errorf("aborted: %v, got %d bytes, want %d", a.aborted, a.Body.Len(), len(text))
		}
	})
}
