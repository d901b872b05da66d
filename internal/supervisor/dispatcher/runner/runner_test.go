package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

const (
	testModel   = "m"
	testVersion = "v"
	testLayers  = 12
	testPrompt  = "a prompt of some words"
)

// fault is what goes wrong with one step.
type fault int

const (
	none fault = iota
	// dies fails this and every later step of the endpoint.
	dies
	// replyLost runs the step and fails the call.
	replyLost
	// hangs never answers and never runs the step.
	hangs
	// runsThenHangs runs the step and never answers.
	runsThenHangs
	// leaves refuses this and every later step, as the endpoint is leaving.
	leaves
	// answersOther answers with another request's result.
	answersOther
	// overloads refuses this step for overload.
	overloads
	// runsThenLeaves and runsThenOverloads run the step and refuse it, as an earlier refusal
	// that is written once more on a kept connection does.
	runsThenLeaves
	runsThenOverloads
	// answersEarlier runs the step and answers with the endpoint's earlier result.
	answersEarlier
	// answersLate answers after lateTime.
	answersLate
	faultCount
)

var errReset = errors.New("connection reset")

// fleet is a set of engines with overlapping ranges whose calls fail by a
// script.
type fleet struct {
	endpoints []driver.Endpoint
	engines   map[string]*generator.Generator
	// script gives the fault of the n-th step; steps beyond it have none.
	script    []fault
	steps     int
	permanent map[string]fault
	sent      []driver.Step
	// earlier holds the last result of each endpoint.
	earlier map[string]driver.StepResult
	// credited lists the endpoints that a job's success was credited to.
	credited []string
	transfers
}

// ranges are held by one endpoint each; every layer has at least two holders.
var ranges = [][2]int{{0, 4}, {4, 8}, {8, 12}, {0, 6}, {6, 12}, {0, 4}, {4, 8}, {8, 12}}

func newFleet(script []fault) *fleet {
	f := &fleet{engines: make(map[string]*generator.Generator), script: script, permanent: make(map[string]fault), earlier: make(map[string]driver.StepResult)}
	for i, r := range ranges {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		holding := driver.Holding{Model: testModel, Version: testVersion, First: r[0], Last: r[1], Layers: testLayers}
		f.engines[address] = generator.New(generator.Config{
			Incarnation: address, Holdings: []driver.Holding{holding}, StepTime: time.Millisecond, Slots: 4, MaxQueue: 100,
		})
		f.endpoints = append(f.endpoints, driver.Endpoint{
			Address: address,
			Status:  driver.Status{Incarnation: address, Holdings: []driver.Holding{holding}, Slots: 4, StepMillis: 1},
		})
	}
	return f
}

// nextFault takes the fault of the next step.
func (f *fleet) nextFault(address string) fault {
	if gone, ok := f.permanent[address]; ok {
		return gone
	}
	n := f.steps
	f.steps++
	if n >= len(f.script) {
		return none
	}
	if f.script[n] == dies || f.script[n] == leaves {
		f.permanent[address] = f.script[n]
	}
	return f.script[n]
}

func (f *fleet) step(ctx context.Context, address string, step driver.Step) (driver.StepResult, error) {
	f.sent = append(f.sent, step)
	kind := f.nextFault(address)
	switch kind {
	case dies:
		return driver.StepResult{}, errReset
	case leaves:
		return driver.StepResult{}, &driver.Refused{Reason: driver.ReasonLeaving}
	case overloads:
		return driver.StepResult{}, &driver.Refused{Reason: driver.ReasonOverload}
	case hangs:
		<-ctx.Done()
		return driver.StepResult{}, ctx.Err()
	case answersLate:
		select {
		case <-time.After(lateTime):
		case <-ctx.Done():
			return driver.StepResult{}, ctx.Err()
		}
	}
	f.saveCache(address)
	result, err := f.engines[address].Step(ctx, step)
	earlier := f.earlier[address]
	if err == nil {
		f.earlier[address] = driver.StepResult{
			Request: result.Request, Attempt: result.Attempt, Position: result.Position, Outputs: slices.Clone(result.Outputs),
		}
	}
	switch kind {
	case runsThenLeaves:
		return driver.StepResult{}, &driver.Refused{Reason: driver.ReasonLeaving}
	case runsThenOverloads:
		return driver.StepResult{}, &driver.Refused{Reason: driver.ReasonOverload}
	case answersEarlier:
		return earlier, nil
	case replyLost:
		return driver.StepResult{}, errReset
	case runsThenHangs:
		<-ctx.Done()
		return driver.StepResult{}, ctx.Err()
	case answersOther:
		result.Request = "another"
		for i := range result.Outputs {
			result.Outputs[i] = "another's "
		}
	}
	return result, err
}

func (f *fleet) runner(replacements int) *Runner {
	p := planner.New(planner.Config{})
	load := func(string) planner.Load { return planner.Load{} }
	return New(Config{
		Engine: driver.Engine{
			Step:   f.step,
			Export: f.exportCache,
			Import: f.importCache,
			Cancel: func(context.Context, string, driver.Cancel) error { return nil },
			Drop:   func(string) {},
		},
		Plan: func(req planner.Request) (planner.Plan, error) { return p.Choose(req, f.endpoints, load) },
		Replace: func(req planner.Request, plan planner.Plan, lost int) (planner.Plan, error) {
			return p.Replace(req, plan, lost, f.endpoints, load)
		},
		Begin:   func(string) func(time.Duration, error) { return func(time.Duration, error) {} },
		Observe: func(string, time.Duration) {},
		Failed:  func(string) {},
		Leaving: func(string) {},
		Retry: func(retrier.FailedAttempt) (time.Duration, error) {
			return time.Millisecond, nil
		},
		Succeeded:    func(_ string, addresses ...string) { f.credited = append(f.credited, addresses...) },
		StepTimeout:  100 * time.Millisecond,
		FillTimeout:  time.Second,
		Replacements: replacements,
		Recorder:     recorder.Nop(),
	})
}

func job(tokens int, resume []string) Job {
	return Job{
		Request: "r",
		Route:   planner.Request{Model: testModel, Version: testVersion, Tokens: tokens},
		Prompt:  testPrompt,
		Tokens:  tokens,
		Resume:  resume,
	}
}

// runJob runs a job under fake time and returns what was emitted.
func runJob(t *testing.T, f *fleet, replacements int, j Job) ([]string, error) {
	return runWith(t, f.runner(replacements), j)
}

// runWith runs a job by a runner under fake time and returns what was emitted.
func runWith(t *testing.T, r *Runner, j Job) (got []string, err error) {
	synctest.Test(t, func(t *testing.T) {
		next := len(j.Resume)
		err = r.Run(t.Context(), j, func(position int, token string) error {
			if position != next {
				t.Errorf("got position %d, want %d", position, next)
			}
			next++
			got = append(got, token)
			return nil
		})
		time.Sleep(time.Minute)
	})
	return got, err
}

func TestEveryTokenPassesEveryLayerOnceUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "tokens")
		resumed := rapid.IntRange(0, n-1).Draw(rt, "resumed")
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			// Three of four steps have no fault, so that answers get long.
			if rapid.IntRange(0, 3).Draw(rt, "sound") > 0 {
				return none
			}
			return fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault"))
		}), 0, 40).Draw(rt, "script")
		want := generator.Expect(testModel, testVersion, testLayers, testPrompt, n)
		got, err := runJob(t, newFleet(script), 100, job(n, want[:resumed]))
		whole := append(slices.Clone(want[:resumed]), got...)
		if !slices.Equal(whole, want[:len(whole)]) {
			rt.Fatalf("got tokens %q, want %q", whole, want)
		}
		if err == nil && len(whole) != n {
			rt.Fatalf("got %d tokens and no error, want %d", len(whole), n)
		}
		var refusal refuser.Refusal
		if err != nil && !errors.As(err, &refusal) {
			rt.Fatalf("got error %v, want a refusal", err)
		}
		if err != nil && refusal.Ran == refuser.Never {
			rt.Fatalf("got %v after steps were sent, want no promise that it never ran", err)
		}
	})
}

// Guards against a step that ran, whose answer is an earlier refusal or result written once
// more on a kept connection: no token may be lost, doubled or another one, and no caller told
// that the request never ran.
func TestRepeatedAnswersOfAnEngine(t *testing.T) {
	for _, what := range []fault{runsThenLeaves, runsThenOverloads, answersEarlier} {
		want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 4)
		for n := range 8 {
			script := append(make([]fault, n), what)
			if got, err := runJob(t, newFleet(script), 4, job(4, nil)); err != nil || !slices.Equal(got, want) {
				t.Errorf("fault %d at step %d: got %q, %v, want %q", what, n, got, err, want)
			}
		}
		_, err := runJob(t, newFleet(slices.Repeat([]fault{what}, 50)), 3, job(4, nil))
		var refusal refuser.Refusal
		if !errors.As(err, &refusal) || refusal.Ran != refuser.Maybe {
			t.Errorf("fault %d at each step: got %v, ran %v, want a refusal that says maybe", what, err, refusal.Ran)
		}
	}
}

func TestOnlyTheLostStageIsReplaced(t *testing.T) {
	// Without the ranges of six layers every pipeline has three stages, so the
	// fifth step is the second token's at the second stage.
	f := newFleet([]fault{none, none, none, none, dies})
	f.endpoints = slices.Delete(f.endpoints, 3, 5)
	got, err := runJob(t, f, 4, job(4, nil))
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 4)
	if err != nil || !slices.Equal(got, want) {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
	var fills, first int
	for _, s := range f.sent {
		if s.Fill {
			fills++
		}
		if s.First == 0 {
			first++
		}
	}
	if first != 4 {
		t.Errorf("got %d steps at the first stage, want one for each of 4 tokens", first)
	}
	if fills == 0 {
		t.Error("got no fill of the new stage's cache")
	}
}

func TestReplacementsAreBounded(t *testing.T) {
	script := make([]fault, 50)
	for i := range script {
		script[i] = replyLost
	}
	f := newFleet(script)
	_, err := runJob(t, f, 3, job(2, nil))
	var refusal refuser.Refusal
	if !errors.As(err, &refusal) || refusal.Code != refuser.EndpointFailed {
		t.Fatalf("got %v, want code %v", err, refuser.EndpointFailed)
	}
	if got, want := f.steps, 4; got != want {
		t.Errorf("got %d steps, want %d", got, want)
	}
	if got, want := refusal.Ran, refuser.Maybe; got != want {
		t.Errorf("got ran %v, want %v", got, want)
	}
}

func TestTheOnlyHolderIsTriedAgainUnderANewAttempt(t *testing.T) {
	for _, what := range []fault{replyLost, runsThenHangs, hangs} {
		f := newFleet([]fault{none, none, none, none, what})
		f.endpoints = f.endpoints[:3]
		got, err := runJob(t, f, 4, job(3, nil))
		want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 3)
		if err != nil || !slices.Equal(got, want) {
			t.Errorf("fault %d: got %q, %v, want %q", what, got, err, want)
		}
	}
}

func TestWholePipelineIsReplannedWhereOneStageCantBeReplaced(t *testing.T) {
	// The plan has two stages; only the endpoint of the second one could also
	// take the first stage.
	f := newFleet([]fault{none, none, dies})
	whole := driver.Holding{Model: testModel, Version: testVersion, Last: testLayers, Layers: testLayers}
	f.engines["10.0.0.2:1"] = generator.New(generator.Config{
		Holdings: []driver.Holding{whole}, StepTime: time.Millisecond, Slots: 4, MaxQueue: 100,
	})
	f.endpoints[2].Status.Holdings = []driver.Holding{whole}
	f.endpoints = []driver.Endpoint{f.endpoints[3], f.endpoints[2]}
	r := f.runner(4)
	plan, first := r.cfg.Plan, true
	r.cfg.Plan = func(req planner.Request) (planner.Plan, error) {
		if !first {
			return plan(req)
		}
		first = false
		return planner.Plan{
			{Address: "10.0.0.3:1", Incarnation: "10.0.0.3:1", First: 0, Last: 6},
			{Address: "10.0.0.2:1", Incarnation: "10.0.0.2:1", First: 6, Last: testLayers},
		}, nil
	}
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 3)
	got, err := runWith(t, r, job(3, nil))
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// TestSuccessCreditsItsEndpoints checks that a failed engine is not credited
// and those that answered in the end are.
func TestSuccessCreditsItsEndpoints(t *testing.T) {
	f := newFleet([]fault{dies})
	if _, err := runJob(t, f, 3, job(4, nil)); err != nil {
		t.Fatal(err)
	}
	last := make(map[string]bool)
	for _, s := range f.sent[len(f.sent)-len(f.credited):] {
		last[fmt.Sprint(s.First, s.Last)] = true
	}
	if len(f.credited) == 0 || len(f.credited) != len(last) {
		t.Errorf("got %v credited for %d stages, want each stage's endpoint", f.credited, len(last))
	}
	for address := range f.permanent {
		if slices.Contains(f.credited, address) {
			t.Errorf("got %s credited, want no credit for an endpoint that failed", address)
		}
	}
}
