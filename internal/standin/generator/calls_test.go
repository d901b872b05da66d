package generator

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"banyanquay/internal/encoder"
)

// Guards against losing a delayed call when its caller goes away during the delay:
// the call has to be recorded and run as on a slow link.
func TestCallOnSlowLinkArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStage(0, 2, 2)
		s.Control().Update(func(sw Switches) Switches {
			sw.DelayMillis = 200
			return sw
		})
		body, err := encoder.JSON(s.step("r", 1, 0, "a prompt"))
		if err != nil {
			t.Fatalf("encoding: %v", err)
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		func() {
			// The handler aborts, since the caller has gone away.
			defer func() { _ = recover() }()
			req := httptest.NewRequestWithContext(gone, http.MethodPost, "/step", bytes.NewReader(body))
			s.Handler().ServeHTTP(httptest.NewRecorder(), req)
		}()
		if got := s.StepCalls(); len(got) != 1 || got[0].Request != "r" {
			t.Errorf("got step calls %+v, want one of r", got)
		}
		if got := s.Traces(); len(got) != 1 {
			t.Errorf("got steps %+v that were run, want one", got)
		}
	})
}
