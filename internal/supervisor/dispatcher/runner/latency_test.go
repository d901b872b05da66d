package runner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
)

func TestStepTimeoutStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := time.Duration(rapid.Int64Range(int64(minStepTimeout), int64(10*time.Second)).Draw(rt, "limit"))
		var p latencyEstimate
		if got := p.timeout(limit); got != limit {
			rt.Fatalf("without a sample: got %v, want %v", got, limit)
		}
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			took := time.Duration(rapid.Int64Range(1, int64(limit)).Draw(rt, "took"))
			if rapid.Bool().Draw(rt, "late") {
				p = p.withTimeout(limit)
			} else {
				p = p.withSample(took)
			}
			if got := p.timeout(limit); got < minStepTimeout || got > limit {
				rt.Fatalf("got a timeout of %v, want %v to %v", got, minStepTimeout, limit)
			}
		}
	})
}

// An endpoint that has become slow answers none of its steps in time, so the
// timeout can grow only by steps that timed out.
func TestExpiredStepsLengthenTheTimeout(t *testing.T) {
	const limit = 4 * time.Second
	var p latencyEstimate
	for range 100 {
		p = p.withSample(100 * time.Millisecond)
	}
	p = p.withSample(110 * time.Millisecond)
	if got := p.timeout(limit); got != minStepTimeout {
		t.Fatalf("a steady endpoint: got %v, want %v", got, minStepTimeout)
	}
	for range 20 {
		p = p.withTimeout(limit)
	}
	if got := p.timeout(limit); got != limit {
		t.Errorf("after 20 expired steps: got %v, want %v", got, limit)
	}
}

// An unresponsive stage is given up after the timeout derived from its steps,
// not after the limit in the settings.
func TestUnresponsiveStageTimesOutByItsStepTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := make([]fault, 30)
		script[29] = hangs
		f := newFleet(script)
		r := f.runner(4)
		r.cfg.StepTimeout = time.Second
		var waited time.Duration
		r.cfg.Begin = func(string) func(time.Duration, error) {
			return func(took time.Duration, err error) {
				if errors.Is(err, context.DeadlineExceeded) {
					waited = took
				}
			}
		}
		err := r.Run(t.Context(), job(40, nil), func(int, string) error { return nil })
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		if waited != minStepTimeout {
			t.Errorf("got %v until the stage was given up, want %v", waited, minStepTimeout)
		}
		time.Sleep(time.Minute)
	})
}

// A step that ends because its request ends doesn't change the endpoint's
// estimate.
func TestEndOfARequestDoesNotChangeTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFleet(nil).runner(0)
		r.cfg.StepTimeout = time.Minute
		r.decodeLatencies.values["e"] = latencyEstimate{mean: time.Second, deviation: time.Second}
		r.cfg.Engine.Step = func(ctx context.Context, _ string, _ driver.Step) (driver.StepResult, error) {
			<-ctx.Done()
			return driver.StepResult{}, ctx.Err()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		p := &pipeline{runner: r}
		s := &stage{}
		s.Address = "e"
		_, err := p.decode(ctx, s, 1, []string{"x"})
		if err == nil {
			t.Fatal("got no error, want one")
		}
		if got, want := r.decodeLatencies.values["e"].deviation, time.Second; got != want {
			t.Errorf("got deviation %v, want %v", got, want)
		}
	})
}
