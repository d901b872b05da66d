package driver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// A service sends a second copy of an answer on a connection, late: when the next
// request on it has been sent. That must not be taken for the next call's answer.
func TestLateCopyOfAnAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveLateCopies(conn)
		}
	}()
	s := NewService(ServiceConfig{})
	for _, path := range []string{"/1", "/2", "/3"} {
		answer, err := s.Do(t.Context(), ln.Addr().String(), Call{Method: http.MethodGet, Path: path})
		if got, want := string(answer.Body), path; err != nil || got != want {
			t.Errorf("got %q, error %v, want %q", got, err, want)
		}
	}
}

// serveLateCopies answers each request with its path, after a copy of the previous answer
// on the same connection.
func serveLateCopies(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	previous := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		if _, err := io.WriteString(conn, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// Each call has a connection of its own, so that one which has become unresponsive
// affects no other call.
func TestDoUsesAConnectionForEachCall(t *testing.T) {
	var both sync.WaitGroup
	both.Add(2)
	ctx, cancel := context.WithCancel(t.Context())
	p := newPeer(t, &peer{})
	p.answer = func(n int) string {
		if n == 3 {
			// The third call is sent on a connection that has become unresponsive.
			cancel()
			return " "
		}
		return answerOK
	}
	p.before = func(n int) {
		if n <= 2 {
			both.Done()
			both.Wait()
		}
	}
	s := NewService(ServiceConfig{})
	call := Call{Method: http.MethodPost, Path: "/a"}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if _, err := s.Do(t.Context(), p.address, call); err != nil {
				t.Errorf("calling: %v", err)
			}
		})
	}
	wg.Wait()
	if _, err := s.Do(ctx, p.address, call); err == nil {
		t.Error("got no error from an unresponsive connection")
	}
	if _, err := s.Do(t.Context(), p.address, call); err != nil {
		t.Errorf("calling on a fresh connection: %v", err)
	}
	if got, want := p.connections(), 4; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}
