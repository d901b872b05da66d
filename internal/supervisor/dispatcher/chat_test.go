package dispatcher

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// failAfter returns a runner whose only stage fails after some tokens.
func failAfter(tokens int) *runner.Runner {
	return runner.New(runner.Config{
		Engine: driver.Engine{
			Step: func(_ context.Context, _ string, s driver.Step) (driver.StepResult, error) {
				if s.Position >= tokens {
					return driver.StepResult{}, errors.New("connection reset")
				}
				return driver.StepResult{Request: s.Request, Attempt: s.Attempt, Position: s.Position, Outputs: slices.Repeat([]string{"t "}, len(s.Inputs))}, nil
			},
			Cancel: func(context.Context, string, driver.Cancel) error { return nil },
			Drop:   func(string) {},
		},
		Plan: func(planner.Request) (planner.Plan, error) {
			return planner.Plan{{Address: "e", First: 0, Last: 4}}, nil
		},
		Begin:     func(string) func(time.Duration, error) { return func(time.Duration, error) {} },
		Observe:   func(string, time.Duration) {},
		Failed:    func(string) {},
		Succeeded: func(string, ...string) {},
		Retry: func(retrier.FailedAttempt) (time.Duration, error) {
			return 0, refuser.New(refuser.RetryBudgetSpent, "none left")
		},
		StepTimeout:  time.Second,
		FillTimeout:  time.Second,
		Replacements: 1,
		Recorder:     recorder.Nop(),
	})
}

// The admitter measures the time per token by the released tokens: a request
// that ended early must not count as one that generated all its tokens.
func TestOnlyGeneratedTokensAreReleased(t *testing.T) {
	const requested = 20
	for _, generated := range []int{0, 3, requested} {
		released := -1
		d := New(Config{
			Admit: func(context.Context, admitter.Request) (admitter.Grant, error) {
				return admitter.Grant{Release: func(tokens int) { released = tokens }}, nil
			},
			Pipelines: failAfter(generated),
		})
		err := d.Chat(t.Context(), Chat{Request: "r", Prompt: "p", Tokens: requested}, func(int, string) error { return nil })
		if (err == nil) != (generated == requested) {
			t.Errorf("%d tokens generated: got error %v", generated, err)
		}
		if released != generated {
			t.Errorf("got %d tokens released, want %d", released, generated)
		}
	}
}
