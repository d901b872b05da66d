package booker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
)

// proofTimeout is long enough for a busy machine.
const proofTimeout = 5 * time.Second

// start serves a booker and returns its address.
func start(t *testing.T, b *Booker) string {
	t.Helper()
	srv := httptest.NewServer(b.Handler())
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestChecks(t *testing.T) {
	tests := map[string]struct {
		checks     string
		fences     []uint64
		wantStatus []int
		wantRuns   int
	}{
		"none":  {describer.ChecksNothing, []uint64{2, 1, 2}, []int{200, 200, 200}, 3},
		"key":   {describer.ChecksKey, []uint64{2, 1, 2}, []int{200, 200, 200}, 1},
		"fence": {describer.ChecksFence, []uint64{2, 1, 2}, []int{200, 409, 200}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Config{Checks: test.checks})
			address := start(t, b)
			s := driver.NewService(driver.ServiceConfig{ProbeTimeout: proofTimeout})
			for i, fence := range test.fences {
				call := driver.Call{Method: http.MethodPost, Path: "/place", Key: "k", Fence: fence}
				answer, err := s.Once(t.Context(), address, call)
				if err != nil || answer.Status != test.wantStatus[i] {
					t.Errorf("got status %d and error %v for call %d, want %d", answer.Status, err, i, test.wantStatus[i])
				}
			}
			if got := b.Counts().Executions["k"]; got != test.wantRuns {
				t.Errorf("got %d executions, want %d", got, test.wantRuns)
			}
		})
	}
}

func TestSwitches(t *testing.T) {
	tests := map[string]struct {
		switches   Switches
		wantError  bool
		wantUnsent bool
		wantRuns   int
	}{
		"none":       {Switches{}, false, false, 1},
		"reply lost": {Switches{ReplyLost: true}, true, false, 1},
		"freeze":     {Switches{Freeze: true}, true, true, 0},
		"refuse":     {Switches{Refuse: true}, false, false, 0},
		"leave":      {Switches{Leave: true}, true, true, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(Config{})
			address := start(t, b)
			b.Control().Update(func(Switches) Switches { return test.switches })
			timeout := proofTimeout
			if test.switches.Freeze {
				timeout = 50 * time.Millisecond
			}
			s := driver.NewService(driver.ServiceConfig{ProbeTimeout: timeout})
			call := driver.Call{Method: http.MethodPost, Path: "/place", Body: []byte(`{"order":"k"}`)}
			_, err := s.Once(t.Context(), address, call)
			var unsent *driver.Unsent
			if (err != nil) != test.wantError || errors.As(err, &unsent) != test.wantUnsent {
				t.Errorf("got error %v, want one: %t, unsent: %t", err, test.wantError, test.wantUnsent)
			}
			if got := b.Counts().Executions["k"]; got != test.wantRuns {
				t.Errorf("got %d executions, want %d", got, test.wantRuns)
			}
		})
	}
}

func TestAnAbandonedCallIsStillExecuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{})
		b.Control().Update(func(sw Switches) Switches {
			sw.DelayMillis = 2000
			return sw
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		defer func() {
			if got, want := fmt.Sprint(recover()), http.ErrAbortHandler.Error(); got != want {
				t.Errorf("got panic %s, want %s", got, want)
			}
			if got, want := b.Counts().Executions["/place"], 1; got != want {
				t.Errorf("got %d executions, want %d", got, want)
			}
		}()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/place", nil)
		b.Handler().ServeHTTP(httptest.NewRecorder(), r)
	})
}
