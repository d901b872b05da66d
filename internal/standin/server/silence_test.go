package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// switches are the switches that the tests control.
type switches struct {
	Silence bool `json:"silence"`
}

func TestSilenceAffectsOpenConnectionsOnly(t *testing.T) {
	silence := NewSilence()
	control := NewControl(switches{}, func(switches) switches {
		silence.Begin()
		return switches{}
	})
	router := http.NewServeMux()
	router.Handle("/control", control)
	entered, answer := make(chan struct{}), make(chan struct{})
	router.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-answer
		Answer(w, http.StatusOK, "late")
	})
	router.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { Answer(w, http.StatusOK, "here") })
	address := serve(t, Config{Handler: router, Silence: silence})

	old := dial(t, address)
	if got, err := ask(old, "GET / HTTP/1.1", ""); err != nil || !strings.Contains(got, "here") {
		t.Fatalf("got %q and error %v before the silence", got, err)
	}
	slow := dial(t, address)
	if _, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatalf("asking: %v", err)
	}
	<-entered
	if got, err := ask(dial(t, address), "POST /control HTTP/1.1", `{"silence":true}`); err != nil || !strings.Contains(got, "200") {
		t.Fatalf("got %q and error %v from the switch", got, err)
	}
	if got, err := ask(dial(t, address), "GET / HTTP/1.1", ""); err != nil || !strings.Contains(got, "here") {
		t.Errorf("got %q and error %v on a new connection", got, err)
	}
	close(answer)
	for name, conn := range map[string]net.Conn{"idle": old, "answering": slow} {
		if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatalf("setting the deadline: %v", err)
		}
		got, err := ask(conn, "GET / HTTP/1.1", "")
		if got != "" || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %q and error %v on the silent %s connection, want a timeout", got, err, name)
		}
	}
}

func TestInvalidBodyChangesNoSwitch(t *testing.T) {
	control := NewControl(switches{}, nil)
	address := serve(t, Config{Handler: control})
	for _, body := range []string{`{"silence":true,"other":1}`, `{"silence":true`, `{"silence":1}`} {
		got, err := ask(dial(t, address), "POST / HTTP/1.1", body)
		if err != nil || !strings.Contains(got, "400") {
			t.Errorf("got %q and error %v for %s, want status 400", got, err, body)
		}
	}
	if control.Get().Silence {
		t.Error("got a switch set by a bad body")
	}
}

// serve runs a server until the test ends, and returns its address.
func serve(t *testing.T, cfg Config) string {
	t.Helper()
	line, w := io.Pipe()
	cfg.Name, cfg.Listen, cfg.Stdout = "test", "127.0.0.1:0", w
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- Run(ctx, cfg) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	buf := make([]byte, 100)
	n, err := line.Read(buf)
	if err != nil {
		t.Fatalf("reading the server's line: %v", err)
	}
	return string(bytes.TrimSpace(buf[len("test listening at "):n]))
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dialling: %v", err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// ask sends a request and returns the first bytes of its answer.
func ask(conn net.Conn, line, body string) (string, error) {
	head := fmt.Sprintf("%s\r\nHost: a\r\nContent-Length: %d\r\n\r\n", line, len(body))
	if _, err := io.WriteString(conn, head+body); err != nil {
		return "", err
	}
	buf := make([]byte, 4096)
	n, err := conn.Read(buf)
	return string(buf[:n]), err
}
