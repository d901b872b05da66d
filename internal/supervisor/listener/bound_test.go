package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

func TestKeyAtItsLimitIsRefused(t *testing.T) {
	e := newTestListener()
	e.cfg.Limits.PerKey = 1
	finish := make(chan struct{})
	e.cfg.Chat = func(context.Context, dispatcher.Chat, runner.Emit) error {
		<-finish
		return nil
	}
	runInMemory(t, e, func(t *testing.T, p *pipeListener, _ func()) {
		first, second := p.dial(), p.dial()
		defer first.Close()
		defer second.Close()
		finish = make(chan struct{})
		writePost(t, first, chatPath, chatBody)
		synctest.Wait()
		writePost(t, second, chatPath, chatBody)
		r := bufio.NewReader(second)
		got := readResponse(t, r)
		if got.status != http.StatusTooManyRequests || !strings.Contains(got.body, `"ran":"never"`) {
			t.Errorf("got %+v, want 429 with ran never", got)
		}
		close(finish)
		if got := readResponse(t, bufio.NewReader(first)); got.status != http.StatusOK {
			t.Errorf("got %+v, want 200", got)
		}
		writePost(t, second, chatPath, chatBody)
		if got := readResponse(t, r); got.status != http.StatusOK {
			t.Errorf("after the first request: got %+v, want 200", got)
		}
	})
}

func TestConnectionsPastTheLimit(t *testing.T) {
	e := newTestListener()
	e.cfg.Limits.Connections = 1
	runInMemory(t, e, func(t *testing.T, p *pipeListener, _ func()) {
		served, refused := p.dial(), p.dial()
		defer served.Close()
		defer refused.Close()
		writePost(t, refused, chatPath, chatBody)
		got := readResponse(t, bufio.NewReader(refused))
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, refuser.NodeOverload.String()) || !strings.Contains(got.body, "10.0.0.2:80") {
			t.Errorf("got %+v, want node_overload with an address", got)
		}
		if _, err := refused.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("after the refusal: got %v, want EOF", err)
		}
		checkHardLimit(t, p)
		writePost(t, served, chatPath, chatBody)
		if got := readResponse(t, bufio.NewReader(served)); got.status != http.StatusOK {
			t.Errorf("got %+v, want 200", got)
		}
		served.Close()
		synctest.Wait()
		again := p.dial()
		defer again.Close()
		writePost(t, again, chatPath, chatBody)
		if got := readResponse(t, bufio.NewReader(again)); got.status != http.StatusOK {
			t.Errorf("after one connection ended: got %+v, want 200", got)
		}
	})
}

// checkHardLimit checks that a connection over the limit still serves health
// checks and that one over the hard limit is closed.
func checkHardLimit(t *testing.T, p *pipeListener) {
	t.Helper()
	health, cut := p.dial(), p.dial()
	defer health.Close()
	defer cut.Close()
	synctest.Wait()
	if _, err := cut.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("over the hard limit: got %v, want EOF", err)
	}
	writeGet(t, health, "/healthz")
	if got := readResponse(t, bufio.NewReader(health)); got.status != http.StatusOK {
		t.Errorf("health: got %+v, want 200", got)
	}
	health.Close()
	synctest.Wait()
}

// writeGet writes a request without a body to a connection.
func writeGet(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}
