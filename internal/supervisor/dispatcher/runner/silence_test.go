package runner

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

// lateTime is longer than the timeouts of the test's runners.
const lateTime = 3 * time.Second

// refuseRetries grants no retry.
func refuseRetries(retrier.FailedAttempt) (time.Duration, error) {
	return 0, refuser.New(refuser.RetryBudgetSpent, "none left")
}

// refusePaths makes a runner find no path after the first one.
func refusePaths(r *Runner) {
	plan, planned := r.cfg.Plan, false
	r.cfg.Plan = func(req planner.Request) (planner.Plan, error) {
		if planned {
			return nil, refuser.New(refuser.NoPipeline, "no path")
		}
		planned = true
		return plan(req)
	}
	r.cfg.Replace = func(planner.Request, planner.Plan, int) (planner.Plan, error) {
		return nil, refuser.New(refuser.NoPipeline, "no path")
	}
}

// Guards against requests refused although their engine is sound: a step that was silent for longer
// than its estimated time was ended before the budget was asked (3004, "retry budget spent after
// stage_silent"), and likewise without a path for the next attempt or a replacement left.
func TestSlowStagesAreGivenUpOnlyIfAnotherAttemptCanFollow(t *testing.T) {
	const tokens = 4
	lacks := map[string]func(r *Runner){
		"retry":       func(r *Runner) { r.cfg.Retry = refuseRetries },
		"path":        refusePaths,
		"replacement": func(r *Runner) { r.cfg.Replacements = 0 },
	}
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, tokens)
	for lack, prepare := range lacks {
		for n := range 8 {
			f := newFleet(append(make([]fault, n), answersLate))
			r := f.runner(4)
			prepare(r)
			var retries, failures int
			retry := r.cfg.Retry
			r.cfg.Retry = func(a retrier.FailedAttempt) (time.Duration, error) {
				delay, err := retry(a)
				if err == nil {
					retries++
				}
				return delay, err
			}
			r.cfg.Failed = func(string) { failures++ }
			got, err := runWith(t, r, job(tokens, nil))
			if err != nil || !slices.Equal(got, want) {
				t.Errorf("no %s, step %d is late: got %q, %v, want %q", lack, n, got, err, want)
			}
			for _, s := range f.sent {
				if s.Attempt != 1 {
					t.Errorf("no %s, step %d is late: got a step of attempt %d, want only the first attempt", lack, n, s.Attempt)
				}
			}
			if retries != 0 || failures != 1 {
				t.Errorf("no %s, step %d is late: got %d retries taken and %d reports of the endpoint, want 0 and 1", lack, n, retries, failures)
			}
		}
	}
}

// Guards against requests that stay at an engine that is silent for good: they must go on at another
// one as soon as the budget has a retry again, and take one only.
func TestSilentStageIsReplacedOnceTheBudgetHasARetry(t *testing.T) {
	const tokens = 4
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, tokens)
	for _, what := range []fault{hangs, runsThenHangs} {
		for n := range 8 {
			f := newFleet(append(make([]fault, n), what))
			r := f.runner(4)
			var start time.Time
			var took time.Duration
			asked, granted := 0, 0
			r.cfg.Retry = func(a retrier.FailedAttempt) (time.Duration, error) {
				if a.Repeated != (asked > 0) || a.Reason != retrier.StageUnresponsive {
					t.Errorf("fault %d at step %d: got repeated %t and %v when asked %d times before", what, n, a.Repeated, a.Reason, asked)
				}
				asked++
				if asked == 1 {
					start = time.Now()
				}
				if time.Since(start) < lateTime {
					return refuseRetries(a)
				}
				granted++
				took = time.Since(start)
				return time.Second, nil
			}
			got, err := runWith(t, r, job(tokens, nil))
			if err != nil || !slices.Equal(got, want) {
				t.Errorf("fault %d at step %d: got %q, %v, want %q", what, n, got, err, want)
			}
			if granted != 1 || took > lateTime+silenceInterval {
				t.Errorf("fault %d at step %d: got %d retries after %v, want one within %v", what, n, granted, took, lateTime+silenceInterval)
			}
		}
	}
}

// Guards against a step that is ended with a path that no longer exists when the next attempt begins:
// the path that was found must be used.
func TestSilentStageIsReplacedByThePathThatWasFound(t *testing.T) {
	const tokens = 4
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, tokens)
	for n := range 8 {
		f := newFleet(append(make([]fault, n), hangs))
		r := f.runner(4)
		replace, found := r.cfg.Replace, false
		refusePaths(r)
		r.cfg.Replace = func(req planner.Request, plan planner.Plan, lost int) (planner.Plan, error) {
			if found {
				return nil, refuser.New(refuser.NoPipeline, "no path")
			}
			found = true
			return replace(req, plan, lost)
		}
		got, err := runWith(t, r, job(tokens, nil))
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("silent at step %d: got %q, %v, want %q", n, got, err, want)
		}
	}
}

// Guards against a step that is ended after its retry was granted although its path has gone meanwhile,
// or that pays twice: the retry's delay is waited for while the step goes on.
func TestSilentStageWhosePathGoesDuringTheDelay(t *testing.T) {
	const tokens = 4
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, tokens)
	f := newFleet([]fault{none, none, none, replyLost, none, none, none, none, none, answersLate})
	r := f.runner(4)
	granted := 0
	r.cfg.Retry = func(retrier.FailedAttempt) (time.Duration, error) {
		granted++
		if granted == 2 {
			refusePaths(r)
			_, _ = r.cfg.Plan(job(tokens, nil).Route)
		}
		return 700 * time.Millisecond, nil
	}
	got, err := runWith(t, r, job(tokens, nil))
	if err != nil || !slices.Equal(got, want) || granted != 2 {
		t.Errorf("got %q, %v and %d retries, want %q and 2", got, err, granted, want)
	}
}

// Guards against silent stages without a retry that keep a request beyond its deadline, and against
// their refusal for another reason than the deadline.
func TestSilentStageWithoutARetryEndsAtTheDeadline(t *testing.T) {
	const deadline = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := newFleet([]fault{none, none, none, hangs}).runner(4)
		r.cfg.Retry = refuseRetries
		ctx, cancel := context.WithTimeout(t.Context(), deadline)
		defer cancel()
		start := time.Now()
		err := r.Run(ctx, job(4, nil), func(int, string) error { return nil })
		var refusal refuser.Refusal
		if !errors.As(err, &refusal) || refusal.Code != refuser.DeadlinePassed || refusal.Ran != refuser.Maybe {
			t.Errorf("got %v, ran %v, want %v and maybe", err, refusal.Ran, refuser.DeadlinePassed)
		}
		if took := time.Since(start); took != deadline {
			t.Errorf("got the end after %v, want %v", took, deadline)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against requests that wait at an engine whose connection failed: only silence is waited for.
func TestFailedConnectionOfASilentStageIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFleet(nil).runner(4)
		r.cfg.Retry = refuseRetries
		step := r.cfg.Engine.Step
		r.cfg.Engine.Step = func(ctx context.Context, address string, s driver.Step) (driver.StepResult, error) {
			if s.Position == 2 {
				time.Sleep(lateTime)
				return driver.StepResult{}, errReset
			}
			return step(ctx, address, s)
		}
		start := time.Now()
		err := r.Run(t.Context(), job(4, nil), func(int, string) error { return nil })
		var refusal refuser.Refusal
		if !errors.As(err, &refusal) || refusal.Code != refuser.RetryBudgetSpent {
			t.Errorf("got %v, want %v", err, refuser.RetryBudgetSpent)
		}
		if took := time.Since(start); took > lateTime+100*time.Millisecond {
			t.Errorf("got the end after %v, want it when the connection fails, after %v", took, lateTime)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against tokens that are lost, doubled or another attempt's where steps are late or silent and
// retries are granted now and then, also while several stages are filled.
func TestEveryTokenPassesEveryLayerOnceUnderSilence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "tokens")
		resumed := rapid.IntRange(0, n-1).Draw(rt, "resumed")
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{none, none, none, answersLate, hangs, runsThenHangs}), 0, 40).Draw(rt, "script")
		grants := rapid.SliceOfN(rapid.Bool(), 0, 40).Draw(rt, "grants")
		delay := time.Duration(rapid.IntRange(0, 2000).Draw(rt, "delay")) * time.Millisecond
		r := newFleet(script).runner(100)
		asked := 0
		r.cfg.Retry = func(a retrier.FailedAttempt) (time.Duration, error) {
			asked++
			if asked <= len(grants) && !grants[asked-1] {
				return refuseRetries(a)
			}
			return delay, nil
		}
		want := generator.Expect(testModel, testVersion, testLayers, testPrompt, n)
		got, err := runWith(t, r, job(n, want[:resumed]))
		if err != nil || !slices.Equal(got, want[resumed:]) {
			rt.Fatalf("got %q, %v, want %q", got, err, want[resumed:])
		}
	})
}

// Guards against a panic in the call of a step that ends the process.
func TestPanicInAStepEndsOnlyItsAttempt(t *testing.T) {
	f := newFleet(nil)
	r := f.runner(4)
	step := r.cfg.Engine.Step
	var panicked atomic.Bool
	r.cfg.Engine.Step = func(ctx context.Context, address string, s driver.Step) (driver.StepResult, error) {
		if s.Position == 2 && !panicked.Swap(true) {
			panic("test")
		}
		return step(ctx, address, s)
	}
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 4)
	if got, err := runWith(t, r, job(4, nil)); err != nil || !slices.Equal(got, want) {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}
