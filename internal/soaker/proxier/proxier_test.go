package proxier

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// echo serves a listener that sends back what it receives; got returns the size of
// the next chunk, or 0 if none arrives.
func echo(t *testing.T) (address string, got func() int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	bytes := make(chan int, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, maxChunk)
				for {
					n, err := conn.Read(buf)
					if err != nil {
						return
					}
					bytes <- n
					_, _ = conn.Write(buf[:n])
				}
			}()
		}
	}()
	return ln.Addr().String(), func() int {
		select {
		case n := <-bytes:
			return n
		case <-time.After(200 * time.Millisecond):
			return 0
		}
	}
}

// startProxy runs a proxy for a target.
func startProxy(t *testing.T, target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := New(ln.Addr().String(), target)
	_ = ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Step().Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	var conn net.Conn
	var err error
	for range 50 {
		if conn, err = net.Dial("tcp", p.Address()); err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(err)
	return nil
}

func TestModes(t *testing.T) {
	cases := []struct {
		mode Mode
		// arrives and returns tell whether data gets to the target, and back.
		arrives, returns bool
	}{
		{Pass, true, true}, {Delay, true, true}, {DropToTarget, false, false}, {DropFromTarget, true, false}, {DropBoth, false, false},
	}
	for _, c := range cases {
		t.Run(c.mode.String(), func(t *testing.T) {
			target, got := echo(t)
			p := startProxy(t, target)
			conn := dial(t, p)
			p.Set(c.mode, 20*time.Millisecond)
			if _, err := conn.Write([]byte("word")); err != nil {
				t.Fatal(err)
			}
			if arrived := got() > 0; arrived != c.arrives {
				t.Errorf("arrived: got %v, want %v", arrived, c.arrives)
			}
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			n, _ := conn.Read(make([]byte, 10))
			if returned := n > 0; returned != c.returns {
				t.Errorf("returned: got %v, want %v", returned, c.returns)
			}
			p.Set(Pass, 0)
			if c.returns {
				return
			}
			// Bytes are missing on this connection, so it must not go on.
			_, _ = conn.Write([]byte("more"))
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			if n, _ := conn.Read(make([]byte, 10)); n > 0 {
				t.Errorf("a connection that lost bytes went on")
			}
		})
	}
}

// Guards against silences that lose bytes, or that end before the last of several that
// overlap.
func TestHold(t *testing.T) {
	target, got := echo(t)
	p := startProxy(t, target)
	conn := dial(t, p)
	p.Hold()
	p.Hold()
	p.Release()
	later := dial(t, p)
	for _, c := range []net.Conn{conn, later} {
		if _, err := c.Write([]byte("word")); err != nil {
			t.Fatal(err)
		}
	}
	if n := got(); n > 0 {
		t.Errorf("%d bytes arrived during a hold", n)
	}
	p.Release()
	for _, c := range []net.Conn{conn, later} {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		buf := make([]byte, 4)
		if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "word" {
			t.Errorf("after the hold: got %q, %v, want %q", buf, err, "word")
		}
	}
}

func TestReset(t *testing.T) {
	target, _ := echo(t)
	p := startProxy(t, target)
	conn := dial(t, p)
	if _, err := conn.Write([]byte("word")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	p.Set(Reset, 0)
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Errorf("an open connection was not reset")
	}
}
