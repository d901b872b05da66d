package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/emulator"
)

// Engines leave while the store is unreachable, so that no node knows. They refuse
// all requests for as long as that lasts, and each refusal costs a retry.
func TestEngineThatRefusesInARowIsTriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		w.f.cfg.MaxConfirmationAge = func() time.Duration { return time.Hour }
		e.Shed("a0:1", 1)
		const (
			streams  = 60
			interval = 50 * time.Millisecond
		)
		ask := func(n int) {
			if a := w.send(t.Context(), "POST", pathLLM+"1", fmt.Sprintf("r%d", n), string(emulator.Body(100, 4))); a.Code != 200 {
				t.Errorf("stream %d: got status %d, want 200", n, a.Code)
			}
		}
		for n := range streams {
			ask(n)
			time.Sleep(interval)
		}
		sends, _ := e.Counts()
		if got, want := sends-streams, 6; got > want {
			t.Errorf("in %v: got %d refused tries, want at most %d", streams*interval, got, want)
		}
		// The engine accepts requests again: it is used again soon, and a later refusal
		// counts as the first.
		e.Shed("a0:1", 0)
		time.Sleep(overloadBackoff << maxOverloadDoublings)
		ask(streams)
		e.Shed("a0:1", 1)
		before, _ := e.Counts()
		ask(streams + 1)
		time.Sleep(overloadBackoff)
		ask(streams + 2)
		after, _ := e.Counts()
		if got, want := after-before, 4; got != want {
			t.Errorf("after it accepted a request: got %d sends of two streams, want %d, a refusal each", got, want)
		}
	})
}

// All nodes have restarted, all callers resume their streams at once, and engines
// without free memory refuse some while the retry budget is spent. A caller that
// resumes has used its own retry: it waits for the budget. A new one is refused at once.
func TestResumedStreamWaitsForTheBudget(t *testing.T) {
	cases := []struct {
		name   string
		after  string
		status int
		took   time.Duration
	}{
		{"a new stream", "", 503, 0},
		{"a resumed stream", "7", 200, 600 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all, entries := engines(threeCentres())
				e := emulator.New(emulator.Defaults(), all)
				w := newHarness(t, e.Relay(), entries...)
				w.retrySlack = 0
				e.Shed("a0:1", 1)
				began := time.Now()
				time.AfterFunc(600*time.Millisecond, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.retrySlack = 200
				})
				r := httptest.NewRequestWithContext(t.Context(), "POST", "http://"+host+pathLLM+"1", bytes.NewReader(emulator.Body(100, 4)))
				r.Header.Set("ID", "r")
				r.Header.Set("Key", secret)
				r.Header.Set("After", c.after)
				a := w.serve(r)
				if got, want := a.Code, c.status; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
				if got, want := time.Since(began), c.took+time.Second; got > want {
					t.Errorf("took: got %v, want at most %v", got, want)
				}
			})
		})
	}
}

// A panic while a request is handled was answered by closing its connection: the caller
// got neither an answer nor a refusal.
func TestPanicIsAnswered(t *testing.T) {
	w := newHarness(t, driver.Relay{Send: func(context.Context, string, driver.Forward) (driver.Reply, error) {
		panic("unforeseen")
	}}, plainEntries()...)
	server := httptest.NewServer(w.f)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+pathPut+"1", io.MultiReader(strings.NewReader("body")))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Key", secret)
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatalf("got no answer, %v", err)
	}
	defer resp.Body.Close()
	if got, want := resp.StatusCode, http.StatusInternalServerError; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}
