package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/loader"
	"banyanquay/internal/supervisor"
	"banyanquay/platform/imitator"
)

// Addresses of the test: each node has an address of its own, and all have the
// same ports.
const (
	siteIP   = "127.0.41.1"
	firstIP  = "127.0.41.%d"
	events   = 100
	patience = 20 * time.Second
)

// freePort returns a port that is free for some ports after it, by luck.
func freePort(t *testing.T) int {
	ln, err := net.Listen("tcp", siteIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// fleet is a site and some nodes in this process.
type fleet struct {
	site  *imitator.Site
	nodes []*fx.App
	port  int
}

// at is an address of a node.
func (f *fleet) at(node, offset int) string {
	return net.JoinHostPort(fmt.Sprintf(firstIP, 10+node), fmt.Sprint(f.port+offset))
}

// visitor is a caller that asks a node.
func (f *fleet) visitor(node int, key string) imitator.Caller {
	return imitator.Caller{Discovery: f.at(node, 3), Centre: []string{"a", "b", "c"}[node], Key: key}
}

// settings are those of a node.
func (f *fleet) settings(node int) loader.Settings {
	s := loader.Defaults()
	s.Address, s.Centre, s.Platform = f.at(node, 0), []string{"a", "b", "c"}[node], f.site.Address()
	s.FleetSecret = "sixteen bytes or more"
	s.Relay.Enabled = true
	s.Relay.Frontend, s.Relay.Readiness, s.Relay.Discovery = f.at(node, 1), f.at(node, 2), f.at(node, 3)
	s.Stop.AddressTTL.Duration, s.Stop.Deadline.Duration = 500*time.Millisecond, 8*time.Second
	return s
}

// start starts a site of three data centres and a node in each.
func start(t *testing.T) *fleet {
	f := &fleet{port: freePort(t)}
	f.site = imitator.New(imitator.Config{IP: siteIP, Port: f.port + 10, Centres: []string{"a", "b", "c"}, Engines: 3})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.site.Step().Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for n := range 3 {
		f.nodes = append(f.nodes, f.node(t, n))
	}
	f.await(t, "a stream is served", func() bool {
		_, err := f.visitor(0, imitator.Key).Stream(t.Context(), "first", events)
		return err == nil
	})
	return f
}

// node starts a node.
func (f *fleet) node(t *testing.T, n int) *fx.App {
	settings := f.settings(n)
	app := supervisor.NewRelay(supervisor.RelayConfig{
		Settings: settings, Logger: zap.NewNop(), Counters: counter.New(), Latencies: counter.NewLatencies(),
		Platform: onPlatform(settings, counter.New()),
	})
	if err := app.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stop(t, app) })
	return app
}

// stop stops a node; one that was stopped before stays so.
func stop(t *testing.T, app *fx.App) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		t.Error(err)
	}
}

// await waits until something holds.
func (f *fleet) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", patience, what)
}

// streams runs some streams at all nodes and does something meanwhile.
func (f *fleet) streams(t *testing.T, do func()) (resumed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Go(func() {
			times, err := f.visitor(n%3, imitator.Key).Stream(t.Context(), fmt.Sprint("s", n), events)
			mu.Lock()
			defer mu.Unlock()
			resumed += times
			if err != nil {
				t.Errorf("stream %d: %v", n, err)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	do()
	wg.Wait()
	return resumed
}

// Callers that keep their connections notice nothing of a planned stop.
func TestKeptConnectionsOfAStoppingNode(t *testing.T) {
	f := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	for n := range 6 {
		v := f.visitor(n%2, imitator.Key) // the third node stops
		transport := &http.Transport{MaxIdleConnsPerHost: 2}
		defer transport.CloseIdleConnections()
		v.Client = &http.Client{Transport: transport}
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("kept-%d-%d", n, i)
				if code, _, err := v.Call(t.Context(), http.MethodPost, "/book/1", id); err != nil || code != http.StatusOK {
					t.Errorf("%s: got %d, %v, want 200", id, code, err)
				}
				if got, want := f.site.Runs(id), 1; got != want {
					t.Errorf("%s: ran %d times, want %d", id, got, want)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	stop(t, f.nodes[2])
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
}

// The pattern: all nodes end right after a configuration was acknowledged, before
// they know of it. What they answer after their start, they answer by it.
func TestRestartedNodesKnowTheLastConfiguration(t *testing.T) {
	f := start(t)
	f.site.Configure("other-key")
	var wg sync.WaitGroup
	for _, app := range f.nodes {
		wg.Go(func() { stop(t, app) })
	}
	wg.Wait()
	for n := range 3 {
		f.nodes[n] = f.node(t, n)
	}
	for n := range 3 {
		f.await(t, "the removed key is answered", func() bool {
			code, _, err := f.visitor(n, imitator.Key).Call(t.Context(), http.MethodGet, "/look/1", fmt.Sprint("old", n))
			if err == nil && code != http.StatusUnauthorized && code != http.StatusServiceUnavailable {
				t.Errorf("node %d: the removed key gets %d, want 401, or 503 until the node knows", n, code)
			}
			return err == nil && code != http.StatusServiceUnavailable
		})
		f.await(t, "the new key is served", func() bool {
			code, _, err := f.visitor(n, "other-key").Call(t.Context(), http.MethodGet, "/look/1", fmt.Sprint("new", n))
			return err == nil && code == http.StatusOK
		})
	}
	if got := f.site.Runs("old0") + f.site.Runs("old1") + f.site.Runs("old2"); got > 0 {
		t.Errorf("requests with the removed key ran %d times", got)
	}
}

// The whole path with real sockets: store, placement, discovery, both kinds of
// services, a crash, keys that come and go, and a planned stop.
func TestNodesOnThePlatform(t *testing.T) {
	f := start(t)
	ctx := t.Context()
	v := f.visitor(1, imitator.Key)
	if code, body, err := v.Call(ctx, http.MethodPost, "/book/1", "b1"); err != nil || code != http.StatusOK {
		t.Errorf("a booking: got %d %q, %v, want 200", code, body, err)
	}
	if got, want := f.site.Runs("b1"), 1; got != want {
		t.Errorf("executions of the booking: got %d, want %d", got, want)
	}
	if code, _, _ := v.Call(ctx, http.MethodGet, "/none/1", "n1"); code != http.StatusNotFound {
		t.Errorf("an unknown path: got %d, want 404", code)
	}
	lost := f.site.EngineAddresses("b")[1]
	if got := f.streams(t, func() { f.site.Kill(lost) }); got > 0 {
		t.Errorf("callers had to resume %d streams around the crash of an engine, want none", got)
	}
	f.site.Configure("other-key")
	time.Sleep(2 * time.Second)
	for n := range 3 {
		if code, _, _ := f.visitor(n, imitator.Key).Call(ctx, http.MethodGet, "/look/1", fmt.Sprint("k", n)); code != http.StatusUnauthorized {
			t.Errorf("node %d: a key that was taken away 2 s ago gets %d, want 401", n, code)
		}
		if code, _, _ := f.visitor(n, "other-key").Call(ctx, http.MethodGet, "/look/1", fmt.Sprint("o", n)); code != http.StatusOK {
			t.Errorf("node %d: a key that came 2 s ago gets %d, want 200", n, code)
		}
	}
	f.site.Configure(imitator.Key)
	time.Sleep(2 * time.Second)
	if got := f.streams(t, func() { stop(t, f.nodes[2]) }); got > 0 {
		t.Errorf("callers had to resume %d streams around a planned stop, want none", got)
	}
	addresses, err := f.visitor(0, imitator.Key).Addresses(ctx)
	if err != nil || len(addresses) != 2 {
		t.Errorf("addresses after a node left: got %v, %v, want two", addresses, err)
	}
}
