package provider

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerOnce serves one connection: it reads a request, writes the text and closes. It returns
// the base URL.
func answerOnce(t *testing.T, text string) string {
	t.Helper()
	// Tests of other packages dial ports of 127.0.0.1 at which nothing listens.
	ln, err := net.Listen("tcp", "127.0.0.4:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(text))
		}
	}()
	return "http://" + ln.Addr().String()
}

// platformCalls are the calls of the platform.
func platformCalls() map[string]func(ctx context.Context, c *Client) error {
	return map[string]func(ctx context.Context, c *Client) error{
		"append": func(ctx context.Context, c *Client) error {
			_, err := c.Log().Append(ctx, "s", []byte("x"))
			return err
		},
		"read": func(ctx context.Context, c *Client) error {
			_, err := c.Log().Read(ctx, "s", 0, 0)
			return err
		},
		"list": func(ctx context.Context, c *Client) error {
			_, err := c.List().VMs(ctx)
			return err
		},
	}
}

// Guards against an answer of the platform that is taken for one although its status line is none of
// HTTP.
func TestStatusOutsideHTTP(t *testing.T) {
	for name, call := range platformCalls() {
		for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 999 X", "HTTP/2.0 200 OK"} {
			text := line + "\r\nContent-Length: 2\r\n\r\n{}"
			if err := call(t.Context(), New(Config{URL: answerOnce(t, text)})); err == nil {
				t.Errorf("%s, %q: got success, want an error", name, text)
			}
		}
	}
}

// Guards against an answer of the platform with a line in its head that is no header.
func TestNamesOfHeaders(t *testing.T) {
	for name, call := range platformCalls() {
		for _, line := range []string{"X Bad: v", "Content-Length : 2", "X\x01Bad: v"} {
			text := "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n{}"
			if err := call(t.Context(), New(Config{URL: answerOnce(t, text)})); err == nil {
				t.Errorf("%s, %q: got success, want an error", name, text)
			}
		}
	}
}

// Guards against an answer of the platform that is cut off within its head and followed by a
// failure, and that is taken for an append that succeeded, a page without records or an empty
// list.
func TestSecondAnswerWithinAHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Long: a\r\n b\r\n\r\n"
	const second = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\n{\"reason\":\"not ready\"}"
	for name, call := range platformCalls() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := 1; n < len(head)-1; n++ {
				if err := call(t.Context(), New(Config{URL: answerOnce(t, head[:n]+second)})); err == nil {
					t.Errorf("second answer after %q: got success, want an error", head[:n])
				}
			}
		})
	}
}

// Guards against a part of an answer without a length that is taken for an append that succeeded, since the
// platform resets the connection while the records are still being written.
func TestPartBeforeAResetDuringTheUpload(t *testing.T) {
	// More than the socket buffers of both sides take.
	const uploadBytes = 5 << 20
	const calls = 12
	ln, err := net.Listen("tcp", "127.0.0.4:0")
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
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}")
				time.Sleep(20 * time.Millisecond) // the part arrives first
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	c := New(Config{URL: "http://" + ln.Addr().String()})
	for range calls {
		if got, err := c.Log().Append(t.Context(), "s", bytes.Repeat([]byte("x"), uploadBytes)); err == nil {
			t.Errorf("got %+v, want an error", got)
		}
	}
}
