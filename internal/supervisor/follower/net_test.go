package follower

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/provider"
	"banyanquay/internal/standin/archiver"
)

// platform serves the stand-in of the platform on an in-memory network, so that
// nodes reach it by HTTP in fake time.
type platform struct {
	*archiver.Archiver
	accept chan net.Conn
	// closed is closed when no more connections are accepted.
	closed chan struct{}
	server *http.Server
}

// drainTime lets network traffic in flight end after a test: its writes sleep, and
// fake time stops once the test's own goroutine has returned.
const drainTime = time.Minute

// Accept, Close and Addr make the platform the listener of its own server.
func (p *platform) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *platform) Close() error   { return nil }
func (p *platform) Addr() net.Addr { return &net.TCPAddr{} }

// newPlatform returns a platform that serves until the test ends.
func newPlatform(t *testing.T) *platform {
	p := &platform{
		Archiver: archiver.New(archiver.Config{}), accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	p.server = &http.Server{Handler: p.Handler()}
	go func() { _ = p.server.Serve(p) }()
	t.Cleanup(func() {
		close(p.closed)
		_ = p.server.Close()
		time.Sleep(drainTime)
	})
	return p
}

// nodeNetwork is the network between one node and the platform.
type nodeNetwork struct {
	platform *platform
	log      provider.Log
	// latency is the one-way latency.
	latency time.Duration
	// hangDials makes new connections hang.
	hangDials atomic.Bool
	mu        sync.Mutex
	conns     []*simulatedConn
}

// newNodeNetwork returns a network with the given latency and a client that uses it.
func newNodeNetwork(t *testing.T, p *platform, latency time.Duration) *nodeNetwork {
	w := &nodeNetwork{platform: p, latency: latency}
	transport := &http.Transport{DialContext: w.dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	t.Cleanup(transport.CloseIdleConnections)
	w.log = provider.New(provider.Config{URL: "http://platform", HTTP: &http.Client{Transport: transport}}).Log()
	return w
}

// dial opens a connection, which takes a round trip.
func (w *nodeNetwork) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	sleep(ctx, 2*w.latency)
	if w.hangDials.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	dropsWrites := new(atomic.Bool)
	c := &simulatedConn{Conn: near, latency: w.latency, dropsWrites: dropsWrites}
	w.mu.Lock()
	w.conns = append(w.conns, c)
	w.mu.Unlock()
	select {
	case w.platform.accept <- &simulatedConn{Conn: far, latency: w.latency, dropsWrites: dropsWrites}:
		return c, nil
	case <-w.platform.closed:
		_ = near.Close()
		return nil, net.ErrClosed
	}
}

// dropWrites makes the connections that are open lose everything sent from now on,
// in both directions and without an error.
func (w *nodeNetwork) dropWrites() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.dropsWrites.Store(true)
	}
	w.conns = nil
}

// openIdleConns leaves idle connections in the client's pool by calling it
// concurrently.
func (w *nodeNetwork) openIdleConns(ctx context.Context, calls int) {
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() { _, _ = w.log.Read(ctx, "other", 0, 0) })
	}
	wg.Wait()
}

// simulatedConn is one end of a connection with latency.
type simulatedConn struct {
	net.Conn
	latency time.Duration
	// dropsWrites discards everything sent from now on, without an error. Both ends
	// of a connection share it.
	dropsWrites *atomic.Bool
}

// Write passes the data on after the latency.
func (c *simulatedConn) Write(data []byte) (int, error) {
	time.Sleep(c.latency)
	if c.dropsWrites.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// TestNetworkEndsWithACallUnderWay checks that a test can end while a request is in
// flight, and that the request ends too.
func TestNetworkEndsWithACallUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNodeNetwork(t, newPlatform(t), slowLatency)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = w.log.Read(t.Context(), "other", 0, 0)
		}()
		time.Sleep(2*slowLatency + slowLatency/2)
		select {
		case <-done:
			t.Error("the call has ended before the test, want it under way")
		default:
		}
	})
}
