// Package proxier forwards TCP connections over loopback and injects faults into
// them on demand: delays, resets and the loss of one direction or both.
package proxier

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/grouper"
)

//go:generate stringer -type=Mode -linecomment -output=mode_string.go

// Mode is what a proxy does to connections.
type Mode int

// Modes. DropToTarget loses what goes to the target, DropFromTarget what comes from
// it, and DropBoth both. A connection that has lost bytes in a direction forwards
// nothing more in that direction.
const (
	Pass           Mode = iota // pass
	Delay                      // delay
	Reset                      // reset
	DropToTarget               // deaf
	DropFromTarget             // mute
	DropBoth                   // silent
)

// maxChunk is the maximum number of bytes that are forwarded at once.
const maxChunk = 16 << 10

// Proxy forwards connections from one address to another. It is safe for concurrent
// use.
type Proxy struct {
	listen string
	target string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[*net.TCPConn]bool
	// holds counts the calls of Hold without a Release; released is closed when the last
	// one is released, and nil if there is none.
	holds    int
	released chan struct{}
}

// New returns a proxy that doesn't listen yet.
func New(listen, target string) *Proxy {
	return &Proxy{listen: listen, target: target, conns: make(map[*net.TCPConn]bool)}
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listen }

// Set changes the mode; delay is the time by which each chunk is late in mode Delay.
// Reset resets all open connections and each new one.
func (p *Proxy) Set(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = mode, delay
	if mode != Reset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

// Hold makes the proxy pass nothing on in either direction, the ends of connections
// included, until Release is called as often. Nothing is lost, and connections are
// accepted meanwhile. It is independent of the mode.
func (p *Proxy) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds++; p.holds == 1 {
		p.released = make(chan struct{})
	}
}

// Release ends a Hold.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holds--; p.holds == 0 {
		close(p.released)
		p.released = nil
	}
}

// awaitRelease waits until nothing holds the connections, or ctx ends.
func (p *Proxy) awaitRelease(ctx context.Context) {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	if released == nil {
		return
	}
	select {
	case <-released:
	case <-ctx.Done():
	}
}

// Step forwards connections until its context ends.
func (p *Proxy) Step() grouper.Step {
	return grouper.Step{Name: "proxy " + p.listen, Run: func(ctx context.Context) error {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", p.listen)
		if err != nil {
			return trace.Wrap(err, "listening on %s", p.listen)
		}
		stop := context.AfterFunc(ctx, func() {
			_ = ln.Close()
			p.Set(Reset, 0)
		})
		defer stop()
		for {
			conn, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return trace.Wrap(err, "accepting at %s", p.listen)
			}
			go p.serve(ctx, conn.(*net.TCPConn))
		}
	}}
}

// serve forwards one connection.
func (p *Proxy) serve(ctx context.Context, caller *net.TCPConn) {
	defer func() { _ = caller.Close() }()
	if mode, _ := p.state(); mode == Reset {
		reset(caller)
		return
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	target := conn.(*net.TCPConn)
	defer func() { _ = target.Close() }()
	p.track(caller, target)
	defer p.untrack(caller, target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(ctx, target, caller, DropToTarget)
	}()
	p.copy(ctx, caller, target, DropFromTarget)
	<-done
}

// copy forwards one direction until it ends. Data that arrives in dropMode or DropBoth
// is dropped, and so are all later data in this direction.
func (p *Proxy) copy(ctx context.Context, to, from *net.TCPConn, dropMode Mode) {
	buf := make([]byte, maxChunk)
	dropped := false
	for {
		n, err := from.Read(buf)
		p.awaitRelease(ctx)
		mode, delay := p.state()
		dropped = dropped || (n > 0 && (mode == dropMode || mode == DropBoth))
		if mode == Delay {
			time.Sleep(delay)
		}
		if n > 0 && !dropped {
			if _, failed := to.Write(buf[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !dropped:
			_ = to.CloseWrite()
			return
		case err != nil && !dropped:
			reset(to)
			return
		case err != nil:
			return
		}
	}
}

func (p *Proxy) state() (Mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
	}
}

// reset closes a connection so that its other end sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
