package generator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"banyanquay/internal/driver"
)

// serve serves the engine over HTTP and returns its address.
func (s stage) serve(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestProtocolOverHTTP(t *testing.T) {
	e := driver.NewEngine(driver.EngineConfig{})
	ctx := t.Context()
	old, fresh := newStage(0, 2, 2), newStage(0, 2, 2)
	from, to := old.serve(t), fresh.serve(t)
	want := Expect("m", "1", 2, "a prompt", 3)

	got := make([]string, 0, len(want))
	run := func(address string, attempt, position int, input string) {
		t.Helper()
		result, err := e.Step(ctx, address, old.step("r/1 x", attempt, position, input))
		if err != nil {
			t.Fatalf("running position %d: %v", position, err)
		}
		got = append(got, result.Outputs...)
	}
	run(from, 1, 0, "a prompt")
	run(from, 1, 1, want[0])
	cache, err := e.Export(ctx, from, "r/1 x")
	if err != nil || cache.Positions != 2 || cache.Last != 2 {
		t.Fatalf("got cache %+v and error %v, want 2 positions of 2 layers", cache, err)
	}
	cache.Attempt = 2
	if err := e.Import(ctx, to, cache); err != nil {
		t.Fatalf("importing: %v", err)
	}
	run(to, 2, 2, want[1])
	if !slices.Equal(got, want) {
		t.Errorf("got tokens %q, want %q", got, want)
	}
	if err := e.Cancel(ctx, to, driver.Cancel{Request: "r/1 x", Attempt: 2}); err != nil {
		t.Errorf("cancelling: %v", err)
	}
	_, err = e.Step(ctx, to, old.step("r/1 x", 2, 3, want[2]))
	if got := reason(err); got != driver.ReasonAttempt {
		t.Errorf("got reason %q after the cancel, want %q", got, driver.ReasonAttempt)
	}
	if err := e.Order(ctx, to, driver.Order{}); err != nil {
		t.Errorf("ordering: %v", err)
	}
	if status, err := e.Status(ctx, to); err != nil || len(status.Holdings) != 0 {
		t.Errorf("got status %+v and error %v, want no holdings", status, err)
	}
	if _, err := e.Prefixes(ctx, to, 1); err != nil {
		t.Errorf("asking for cache events: %v", err)
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	e := driver.NewEngine(driver.EngineConfig{})
	s := newStage(0, 2, 2)
	began, ended := make(chan struct{}, 4), make(chan struct{}, 4)
	handler := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		defer func() { ended <- struct{}{} }()
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	step := s.step("r", 1, 0, "x")

	s.Control().Update(func(sw Switches) Switches {
		sw.FailSteps = 1
		return sw
	})
	_, err := e.Step(t.Context(), address, step)
	if err == nil || reason(err) != "" {
		t.Errorf("got error %v from a failing step, want no refusal", err)
	}
	<-began
	<-ended
	s.Control().Update(func(sw Switches) Switches {
		sw.Freeze = true
		return sw
	})
	ctx, cancel := context.WithCancel(t.Context())
	frozen := make(chan error)
	go func() {
		_, err := e.Step(ctx, address, step)
		frozen <- err
	}()
	<-began
	cancel()
	if err := <-frozen; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v from a frozen engine, want none before the cancel", err)
	}
	// The caller returns before the engine notices the cancellation, and the call
	// stays frozen only if the switch is still set then.
	<-ended
	s.Control().Update(func(sw Switches) Switches {
		sw.Freeze = false
		return sw
	})
	// Neither the failed step nor the frozen one may have been computed.
	if _, err := e.Step(t.Context(), address, step); err != nil {
		t.Errorf("got error %v from the first step that runs", err)
	}
	if got, want := len(s.Traces()), 1; got != want {
		t.Errorf("got %d steps in the trace, want %d", got, want)
	}
}
