package supervisor

import (
	"testing"
	"time"

	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// The planner must see every step in flight, including those that the limiter
// doesn't admit.
func TestTheLoadShowsEveryStepInFlight(t *testing.T) {
	const steps = 20
	l := limiter.New(limiter.Config{})
	flights := runner.NewInFlight()
	ends := make([]func(time.Duration, error), 0, steps)
	for range steps {
		ends = append(ends, beginStep(l, flights, "e"))
	}
	if got := endpointLoad(l, flights, "e").InFlight; got != steps {
		t.Errorf("got %d steps in flight, want %d", got, steps)
	}
	for i, end := range ends {
		end(time.Millisecond, nil)
		if got, want := endpointLoad(l, flights, "e").InFlight, steps-i-1; got != want {
			t.Errorf("after %d ends: got %d steps in flight, want %d", i+1, got, want)
		}
	}
}
