package driver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// uploadBytes is more than the socket buffers of both sides take, so that a request of this size is
// still being written when an early answer arrives.
const uploadBytes = 5 << 20

// earlyPeer starts a TCP server that reads only the head of each call, sends a raw answer, and then
// ends the connection as it is told. It answers status requests as usual.
func earlyPeer(t *testing.T, answer string, end func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatalf("listening: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		switch {
		case err != nil:
		case req.URL.Path == "/status":
			_, _ = io.WriteString(conn, answerOK)
			_, _ = io.Copy(io.Discard, r)
		default:
			_, _ = io.WriteString(conn, answer)
			end(conn)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// uploads are the ways in which calls with large bodies are sent.
func uploads(t *testing.T) map[string]func(address string) error {
	s := NewService(longProbeTimeout)
	body := []byte(strings.Repeat("x", uploadBytes))
	call := Call{Method: http.MethodPost, Path: "/a", Body: body}
	return map[string]func(address string) error{
		"do": func(address string) error {
			answer, err := s.Do(t.Context(), address, call)
			answer.Release()
			return err
		},
		"once": func(address string) error {
			answer, err := s.Once(t.Context(), address, call)
			answer.Release()
			return err
		},
		"step": func(address string) error {
			_, err := NewEngine(EngineConfig{}).Step(t.Context(), address, Step{Request: "r", Inputs: []string{string(body)}})
			return err
		},
		"import": func(address string) error {
			// It is in base64, which takes a third more.
			return NewEngine(EngineConfig{}).Import(t.Context(), address, Cache{Request: "r", Data: body[:uploadBytes*3/4]})
		},
	}
}

// endPause is the time after which the answer has arrived, while the call is still being written.
const endPause = 20 * time.Millisecond

// awaitUnread waits until a connection has data that has not been read. Without any, the kernel would
// close the connection and not reset it.
func awaitUnread(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	for unread := 0; err == nil && unread == 0; time.Sleep(endPause) {
		controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
		err = errors.Join(err, controlErr)
	}
}

// Ways in which a peer ends a connection whose call it has not read.
var (
	// cutOffs reset the connection; without linger the kernel does so since there is unread data.
	cutOffs = map[string]func(conn *net.TCPConn){
		"reset at once": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		"reset": func(conn *net.TCPConn) {
			time.Sleep(endPause)
			_ = conn.SetLinger(0)
		},
		"closed with unread data": awaitUnread,
	}
	// closes close the connection after all that was sent.
	closes = map[string]func(conn *net.TCPConn){
		"closed, the call is read": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"closed, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(endPause)
			_ = conn.SetLinger(0)
		},
	}
)

// Guards against a part of an answer without a length that is taken for the whole one, since the
// connection is reset while the call is still being written.
func TestPartBeforeAResetDuringTheUpload(t *testing.T) {
	const calls = 5
	for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n"} {
		for ended, end := range cutOffs {
			for way, call := range uploads(t) {
				t.Run(way+" "+ended, func(t *testing.T) {
					t.Parallel()
					address := earlyPeer(t, head+"\r\n{}", end)
					for range calls {
						var refused *Refused
						if err := call(address); err == nil || isUnsent(err) || errors.As(err, &refused) {
							t.Errorf("%q: got %v, want an error that doesn't say that the call did not run", head, err)
						}
					}
				})
			}
		}
	}
}

// Guards against sound answers that are lost since they arrive before the call has been read: those
// without framing whose connection is closed after them, and those with framing however it ends.
func TestEarlyAnswerIsTaken(t *testing.T) {
	const calls = 5
	// Longer than what is read from a connection at once.
	long := "{}" + strings.Repeat(" ", 10000)
	answers := map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"chunks":      "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"long answer": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"neither":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}",
	}
	for framing, answer := range answers {
		ends := maps.Clone(closes)
		if framing != "neither" {
			maps.Copy(ends, cutOffs)
		}
		for ended, end := range ends {
			for way, call := range uploads(t) {
				t.Run(fmt.Sprintf("%s, %s, %s", way, framing, ended), func(t *testing.T) {
					t.Parallel()
					address := earlyPeer(t, answer, end)
					for range calls {
						if err := call(address); err != nil {
							t.Errorf("got error %v, want the answer", err)
						}
					}
				})
			}
		}
	}
}
