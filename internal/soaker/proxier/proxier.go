// Package proxier passes TCP connections on over loopback and harms them on
// demand: it delays, resets, cuts one way or silences them.
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

// Modes. A connection that has lost bytes never goes on.
const (
	Pass   Mode = iota // pass
	Delay              // delay
	Reset              // reset
	Deaf               // deaf
	Mute               // mute
	Silent             // silent
)

// chunk is the most bytes that are passed on at once.
const chunk = 16 << 10

// Proxy passes connections to one address on to another. It is safe for
// concurrent use.
type Proxy struct {
	listen string
	target string

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[*net.TCPConn]bool
}

// New returns a proxy that doesn't listen yet.
func New(listen, target string) *Proxy {
	return &Proxy{listen: listen, target: target, conns: make(map[*net.TCPConn]bool)}
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listen }

// Set changes the mode; delay is the time by which each chunk is late in mode
// Delay. Reset resets what is open, and each new connection.
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

// Step passes connections on until its context ends.
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

// serve passes one connection on.
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
	p.hold(caller, target)
	defer p.release(caller, target)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(target, caller, Deaf)
	}()
	p.copy(caller, target, Mute)
	<-done
}

// copy passes one direction on until it ends. What comes while the direction is
// cut is lost, and so is all that follows on this connection.
func (p *Proxy) copy(to, from *net.TCPConn, cut Mode) {
	buf := make([]byte, chunk)
	lost := false
	for {
		n, err := from.Read(buf)
		mode, delay := p.state()
		lost = lost || (n > 0 && (mode == cut || mode == Silent))
		if mode == Delay {
			time.Sleep(delay)
		}
		if n > 0 && !lost {
			if _, failed := to.Write(buf[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !lost:
			_ = to.CloseWrite()
			return
		case err != nil && !lost:
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

func (p *Proxy) hold(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) release(conns ...*net.TCPConn) {
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
