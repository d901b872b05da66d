package driver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestStepIsNeverReplayed(t *testing.T) {
	p := newPeer(t, &peer{status: answerOK, answer: always("")})
	e := NewEngine(EngineConfig{})
	// The status request leaves a connection in the pool; net/http replays requests
	// only on reused connections.
	if _, err := e.Status(t.Context(), p.address); err != nil {
		t.Fatalf("asking for the status: %v", err)
	}
	if _, err := e.Step(t.Context(), p.address, Step{Request: "r"}); err == nil {
		t.Error("got no error from a step without an answer")
	}
	if got, want := p.arrivals(), 1; got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
	if got, want := p.connections(), 1; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}

// Guards against steps that the client's own timeout ends although their request has time left. Other
// calls keep that timeout.
func TestStepsEndWithTheirRequestOnly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	e := NewEngine(EngineConfig{Timeout: 50 * time.Millisecond})
	if _, err := e.Step(t.Context(), address, Step{}); err != nil {
		t.Errorf("a step: got %v, want an answer", err)
	}
	if _, err := e.Status(t.Context(), address); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a status request: got %v, want %v", err, context.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := e.Step(ctx, address, Step{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a step whose request has ended: got %v, want %v", err, context.DeadlineExceeded)
	}
}

func TestRefusedRequiresStatusAndReason(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   string
	}{
		"conflict":              {409, `{"reason":"position_taken"}`, ReasonPositionTaken},
		"gone":                  {410, `{"reason":"leaving"}`, ReasonLeaving},
		"not found":             {404, `{"reason":"not_held"}`, ReasonNotHeld},
		"forbidden":             {403, `{"reason":"old_fence"}`, ReasonFence},
		"overload":              {429, `{"reason":"overload"}`, ReasonOverload},
		"404 without a problem": {404, `404 page not found`, ""},
		"empty reason":          {409, `{}`, ""},
		"server error":          {500, `{"reason":"leaving"}`, ""},
		"gateway":               {503, `{"reason":"leaving"}`, ""},
		"redirect":              {307, `{"reason":"leaving"}`, ""},
		"other than 200":        {202, `{"reason":"leaving"}`, ""},
		"truncated reason":      {410, `{"reason":"leav`, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", test.status, len(test.body), test.body)
			p := newPeer(t, &peer{answer: always(raw)})
			_, err := NewEngine(EngineConfig{}).Step(t.Context(), p.address, Step{})
			if err == nil {
				t.Fatal("got no error")
			}
			got := ""
			var refused *Refused
			if errors.As(err, &refused) {
				got = refused.Reason
			}
			if got != test.want {
				t.Errorf("got reason %q, want %q", got, test.want)
			}
		})
	}
}

func TestDropUsesFreshConnections(t *testing.T) {
	p := newPeer(t, &peer{status: answerOK})
	e := NewEngine(EngineConfig{})
	ask := func() {
		if _, err := e.Status(t.Context(), p.address); err != nil {
			t.Fatalf("asking for the status: %v", err)
		}
	}
	ask()
	ask()
	if got, want := p.connections(), 1; got != want {
		t.Errorf("got %d connections before the drop, want %d", got, want)
	}
	e.Drop(p.address)
	ask()
	if got, want := p.connections(), 2; got != want {
		t.Errorf("got %d connections after the drop, want %d", got, want)
	}
}
