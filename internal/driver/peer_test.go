package driver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Raw responses of a peer.
const (
	answerOK         = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	answerClose      = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
	answerLeaving    = "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"leaving\":true}"
	answerTruncated  = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}" + hangUp
	answerEarlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answerOK
)

// hangUp at the end of a response makes the peer close the connection after sending
// it.
const hangUp = "\x00"

// peer is a TCP server that sends raw responses and counts connections and calls.
type peer struct {
	address string
	// status is the raw response to GET /status; if empty, the peer doesn't respond.
	status string
	// answer returns the raw response to the n-th call; if empty, the peer closes the
	// connection.
	answer func(n int) string
	// before is called before the n-th call is answered, unless it is nil.
	before func(n int)
	// repeats is set if the response before on the same connection is sent once more,
	// ahead of the next one.
	repeats bool

	mu       sync.Mutex
	conns    int
	requests []*http.Request
}

// newPeer starts a peer that is stopped at the end of the test.
func newPeer(t *testing.T, p *peer) *peer {
	t.Helper()
	// Tests of other packages dial ports of 127.0.0.1 at which nothing listens.
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	p.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns++
			p.mu.Unlock()
			t.Cleanup(func() { conn.Close() })
			go p.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return p
}

// serve answers requests until the connection is closed by either side.
func (p *peer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	previous := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/status" && p.status == "" {
			// Doesn't respond, but stays open until the other side closes.
			_, _ = io.Copy(io.Discard, r)
			return
		}
		answer := p.respond(req)
		if answer == "" {
			return
		}
		answer, last := strings.CutSuffix(answer, hangUp)
		if _, err := io.WriteString(conn, previous+answer); err != nil || last {
			return
		}
		if p.repeats {
			previous = answer
		}
	}
}

// respond returns the raw response to a request and counts the request if it is a
// call.
func (p *peer) respond(req *http.Request) string {
	if req.URL.Path == "/status" {
		return p.status
	}
	body, _ := io.ReadAll(req.Body)
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	p.mu.Lock()
	p.requests = append(p.requests, req)
	n := len(p.requests)
	p.mu.Unlock()
	if p.before != nil {
		p.before(n)
	}
	return p.answer(n)
}

// arrivals returns the number of calls received.
func (p *peer) arrivals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

// connections returns the number of connections accepted.
func (p *peer) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// always returns an answer function with the same response for every call.
func always(answer string) func(int) string {
	return func(int) string { return answer }
}
