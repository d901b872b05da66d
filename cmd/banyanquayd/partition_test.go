package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/platform/imitator"
)

// connectTimeout is how long a connection attempt of a node that is cut off hangs.
const connectTimeout = 250 * time.Millisecond

// Kinds of partitions.
const (
	// connected: there is none.
	connected int32 = iota
	// silent: no packet arrives. Connections hang, and new ones are not opened.
	silent
	// refusing: connections are reset, and new ones refused.
	refusing
	// halfOpen: connections live on, and new ones are refused.
	halfOpen
)

// partition cuts a node off from all endpoints, and from nothing else.
type partition struct {
	kind atomic.Int32
	mu   sync.Mutex
	// began is closed when the partition begins.
	began chan struct{}
}

// begin cuts the node off, and end ends that.
func (p *partition) begin(kind int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind.Store(kind)
	if p.began != nil {
		close(p.began)
		p.began = nil
	}
}

func (p *partition) end() { p.kind.Store(connected) }

// next returns a channel that is closed when the next partition begins.
func (p *partition) next() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.began == nil {
		p.began = make(chan struct{})
	}
	return p.began
}

// connect fails if the node is cut off, as a connection attempt would.
func (p *partition) connect(ctx context.Context) error {
	switch p.kind.Load() {
	case connected:
		return nil
	case silent:
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(connectTimeout):
			return syscall.ETIMEDOUT
		}
	default:
		return syscall.ECONNREFUSED
	}
}

// wrap returns the calls of a node behind the partition.
func (p *partition) wrap(relay driver.Relay) driver.Relay {
	send, probe, report, place, changePath := relay.Send, relay.Probe, relay.Report, relay.Place, relay.ChangePath
	relay.Send = func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
		if err := p.connect(ctx); err != nil {
			return driver.Reply{}, &driver.Unsent{Err: err}
		}
		cut := p.next()
		reply, err := send(ctx, address, f)
		if err == nil {
			reply.Body = &partitionedBody{ReadCloser: reply.Body, p: p, ctx: ctx, cut: cut}
		}
		return reply, err
	}
	relay.Probe = func(ctx context.Context, address string) error {
		if err := p.connect(ctx); err != nil {
			return err
		}
		return probe(ctx, address)
	}
	relay.Report = func(ctx context.Context, address, endpoint string) (driver.Report, error) {
		if err := p.connect(ctx); err != nil {
			return driver.Report{}, err
		}
		return report(ctx, address, endpoint)
	}
	relay.Place = func(ctx context.Context, address, endpoint string, order driver.Placement) error {
		if err := p.connect(ctx); err != nil {
			return err
		}
		return place(ctx, address, endpoint, order)
	}
	relay.ChangePath = func(ctx context.Context, address, endpoint, request string, path []driver.PathStage) error {
		if err := p.connect(ctx); err != nil {
			return err
		}
		return changePath(ctx, address, endpoint, request, path)
	}
	return relay
}

// partitionedBody is the body of an answer on a connection that a partition disturbs.
type partitionedBody struct {
	io.ReadCloser
	p   *partition
	ctx context.Context
	cut <-chan struct{}
}

func (b *partitionedBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	select {
	case <-b.cut:
	default:
		return n, err
	}
	switch b.p.kind.Load() {
	case silent:
		<-b.ctx.Done()
		return 0, context.Cause(b.ctx)
	case refusing:
		return 0, syscall.ECONNRESET
	default:
		return n, err
	}
}

// sendAll sends a first attempt each 25 ms for a time, a booking, a look-up or a stream in
// turn, directly to a node, and returns how many there were and how many were served.
func (f *fleet) sendAll(t *testing.T, node int, name string, duration time.Duration) (sent, served int64) {
	v := f.visitor(node, imitator.Key)
	v.Frontend = f.address(node, 1)
	kinds := []struct{ method, path string }{
		{http.MethodPost, "/book/1"}, {http.MethodGet, "/look/1"}, {http.MethodPost, "/stream/1"},
	}
	var wg sync.WaitGroup
	var count atomic.Int64
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		kind, id := kinds[sent%3], fmt.Sprint(name, node, "-", sent)
		sent++
		wg.Go(func() {
			if code, _, err := v.Call(t.Context(), kind.method, kind.path, id); err == nil && code == http.StatusOK {
				count.Add(1)
			}
			if kind.path == "/book/1" && f.site.Runs(id) > 1 {
				t.Errorf("%s: ran %d times, want at most once", id, f.site.Runs(id))
			}
		})
	}
	wg.Wait()
	return sent, count.Load()
}

// Guards against nodes that lost their connections to all endpoints, and nothing else, and
// refuse what the other nodes serve.
func TestNodesCutOffFromEndpoints(t *testing.T) {
	cases := []struct {
		name string
		kind int32
		cut  int
	}{
		{"one of three nodes, silent", silent, 1},
		{"two of three nodes, refused and reset", refusing, 2},
		{"one of three nodes, only new connections are refused", halfOpen, 1},
	}
	f := startFleet(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			streams := make(chan error, 6)
			for n := range cap(streams) {
				go func() {
					v := f.visitor(n%c.cut, imitator.Key)
					v.Frontend = f.address(n%c.cut, 1)
					_, err := v.Stream(t.Context(), fmt.Sprint(c.name, "-before-", n), streamEvents)
					streams <- err
				}()
			}
			time.Sleep(700 * time.Millisecond)
			for n := range c.cut {
				f.partitions[n].begin(c.kind)
				defer f.partitions[n].end()
			}
			for range cap(streams) {
				if err := <-streams; err != nil {
					t.Errorf("a stream that began before: %v, want it whole, resumed or not", err)
				}
			}
			time.Sleep(stableWindow)
			var wg sync.WaitGroup
			var sent, served [3]int64
			for n := range 3 {
				wg.Go(func() { sent[n], served[n] = f.sendAll(t, n, c.name, 3*time.Second) })
			}
			wg.Wait()
			var all, failed int64
			for n := range 3 {
				all, failed = all+sent[n], failed+sent[n]-served[n]
			}
			for n := range c.cut {
				if 3*served[n]*sent[2] < 2*served[2]*sent[n] {
					t.Errorf("node %d, cut off: served %d of %d first attempts, the others %d of %d, want two thirds as often at least", n, served[n], sent[n], served[2], sent[2])
				}
			}
			if limit := 10 + all/50; failed > limit {
				t.Errorf("first attempts that failed: got %d of %d, want at most %d", failed, all, limit)
			}
		})
	}
	if err := f.reached(t); err != nil {
		t.Error(err)
	}
}

// reached sends a booking to each node after all partitions, and returns what failed.
func (f *fleet) reached(t *testing.T) error {
	var all []error
	for n := range 3 {
		v := f.visitor(n, imitator.Key)
		v.Frontend = f.address(n, 1)
		if code, _, err := v.Call(t.Context(), http.MethodPost, "/book/1", fmt.Sprint("after", n)); err != nil || code != http.StatusOK {
			all = append(all, fmt.Errorf("a booking at node %d after the partition: got %d, %w", n, code, err))
		}
	}
	return errors.Join(all...)
}
