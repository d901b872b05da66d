package commander

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveText starts a server that reads a request, writes a text, and closes the connection, or resets it.
func serveText(t *testing.T, text string, reset bool) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.5:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
		if reset {
			time.Sleep(20 * time.Millisecond) // the text arrives first
			_ = conn.SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against an answer that is taken for that of a node although its head is none of HTTP or its
// connection is reset: the tool would say that a change was accepted.
func TestUnsoundAnswers(t *testing.T) {
	const body = `{"id": "c1", "revision": 5, "offset": 7}`
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	cases := map[string]struct {
		text  string
		reset bool
	}{
		"status 000":             {"HTTP/1.1 000 X\r\n" + length + "\r\n" + body, false},
		"of HTTP/2.0":            {"HTTP/2.0 200 OK\r\n" + length + "\r\n" + body, false},
		"a blank in a name":      {"HTTP/1.1 200 OK\r\nX Bad: v\r\n" + length + "\r\n" + body, false},
		"a blank after a name":   {"HTTP/1.1 200 OK\r\n" + strings.Replace(length, ":", " :", 1) + "\r\n" + body, false},
		"a control byte":         {"HTTP/1.1 200 OK\r\nX\x01Bad: v\r\n" + length + "\r\n" + body, false},
		"no length, reset":       {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, true},
		"a part of a whole body": {"HTTP/1.1 200 OK\r\n" + length + "\r\n" + body[:9], false},
	}
	for name, c := range cases {
		r := run(t, []string{serveText(t, c.text, c.reset)}, "publish", writeTemplate(t, "0.5"), "--base", "4")
		if r.exit == OK || strings.Contains(r.stdout, "accepted") {
			t.Errorf("%s: got exit code %d, %q, want a failure", name, r.exit, r.stdout)
		}
	}
	sound := "HTTP/1.1 200 OK\r\n" + length + "\r\n" + body
	run(t, []string{serveText(t, sound, false)}, "publish", writeTemplate(t, "0.5"), "--base", "4").want(t, OK, "acme accepted at revision 5")
}
