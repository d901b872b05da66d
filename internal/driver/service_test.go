package driver

import (
	"context"
	"net/http"
	"sync"
	"testing"
)

func TestDoDropsPoolAfterError(t *testing.T) {
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
	if got, want := p.connections(), 3; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}
