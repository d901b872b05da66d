package driver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A service answers with a head that never ends. Neither way of calling it may read
// the head without a limit.
func TestEndlessHead(t *testing.T) {
	const limit = 32 << 20
	heads := map[string][2]string{
		"a header":        {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X-Header: x\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = ln.Close() })
			sent := make(chan int, 4)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() { sent <- serveEndlessHead(conn, head[0], head[1], limit) }()
				}
			}()
			s := NewService(longProbeTimeout)
			for way, call := range map[string]func() error{
				"do": func() error {
					_, err := s.Do(t.Context(), ln.Addr().String(), Call{Method: http.MethodGet, Path: "/a"})
					return err
				},
				"once": func() error {
					_, err := s.Once(t.Context(), ln.Addr().String(), Call{Method: http.MethodPost, Path: "/a"})
					return err
				},
			} {
				if err := call(); err == nil {
					t.Errorf("%s: got no error", way)
				}
				select {
				case n := <-sent:
					if n >= limit {
						t.Errorf("%s: got %d bytes of the head read, want at most %d and the sockets' buffers", way, n, maxHeaderBytes)
					}
				case <-time.After(10 * time.Second):
					t.Errorf("%s: the connection was not closed", way)
				}
			}
		})
	}
}

// serveEndlessHead answers status requests, and the first other request with a head
// that never ends. It returns how many bytes of that were sent.
func serveEndlessHead(conn net.Conn, start, again string, limit int) int {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path != "/status" {
			break
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
	n, err := io.WriteString(conn, start)
	text := strings.Repeat(again, 1+4096/len(again))
	for err == nil && n < limit {
		var more int
		more, err = io.WriteString(conn, text)
		n += more
	}
	return n
}
