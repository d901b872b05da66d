package generator

import (
	"context"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
)

// stage is an engine with the range of layers that its steps use.
type stage struct {
	*Generator
	first, last int
}

// newStage returns an engine that holds the given layers of model m, version 1.
func newStage(first, last, layers int) stage {
	hold := driver.Holding{Model: "m", Version: "1", First: first, Last: last, Layers: layers}
	return stage{Generator: New(Config{Holdings: []driver.Holding{hold}}), first: first, last: last}
}

// step returns a step of a request for the stage's layers.
func (s stage) step(request string, attempt, position int, inputs ...string) driver.Step {
	return driver.Step{
		Request: request, Attempt: attempt, Model: "m", Version: "1",
		First: s.first, Last: s.last, Position: position, Inputs: inputs,
	}
}

// reason returns the reason of a refusal, or "" for any other error.
func reason(err error) string {
	var refused *driver.Refused
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// split draws a pipeline of stages that covers all layers.
func split(t *rapid.T, layers int) []stage {
	var stages []stage
	for first := 0; first < layers; {
		last := rapid.IntRange(first+1, layers).Draw(t, "last")
		stages = append(stages, newStage(first, last, layers))
		first = last
	}
	return stages
}

func TestAnyPipelineAnswersAsExpected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 6).Draw(t, "layers")
		n := rapid.IntRange(1, 6).Draw(t, "tokens")
		stages := split(t, layers)
		requests := []string{"a", "b"}
		texts := map[string]string{"a": "prompt of a", "b": "prompt of b"}
		attempts := map[string]int{"a": 1, "b": 1}
		got := map[string][]string{}
		for position := range n {
			for _, request := range requests {
				if rapid.Bool().Draw(t, "move") {
					attempts[request]++
					move(t, stages, request, attempts[request], layers)
				}
				values := []string{texts[request]}
				for _, s := range stages {
					result, err := s.Step(t.Context(), s.step(request, attempts[request], position, values...))
					if err != nil {
						t.Fatalf("position %d of %s at layers %d to %d: %v", position, request, s.first, s.last, err)
					}
					values = result.Outputs
				}
				texts[request] = values[0]
				got[request] = append(got[request], values[0])
			}
		}
		for _, request := range requests {
			want := Expect("m", "1", layers, "prompt of "+request, n)
			if !slices.Equal(got[request], want) {
				t.Errorf("got %q for %s, want %q", got[request], request, want)
			}
		}
	})
}

// move exports a request's caches and imports them for a new attempt: into the same
// engines, except for one stage, where a new engine replaces the old one.
func move(t *rapid.T, stages []stage, request string, attempt, layers int) {
	replaced := rapid.IntRange(0, len(stages)-1).Draw(t, "replaced")
	for i, s := range stages {
		cache, err := s.Export(request)
		if i == replaced {
			fresh := newStage(s.first, s.last, layers)
			// The new engine also needs the caches of the other requests.
			for _, id := range []string{"a", "b"} {
				if other, err := s.Export(id); id != request && err == nil {
					if err := fresh.Import(other); err != nil {
						t.Fatalf("importing %s: %v", id, err)
					}
				}
			}
			stages[i] = fresh
		}
		if reason(err) == driver.ReasonMissing {
			continue
		}
		cache.Attempt = attempt
		if err := stages[i].Import(cache); err != nil {
			t.Fatalf("importing %s: %v", request, err)
		}
	}
}

func TestRefillEqualsStepByStep(t *testing.T) {
	want := Expect("m", "1", 4, "a prompt", 4)
	first, last := newStage(0, 2, 4), newStage(2, 4, 4)
	mid, err := first.Step(t.Context(), first.step("r", 1, 0, "a prompt", want[0], want[1]))
	if err != nil {
		t.Fatalf("refilling: %v", err)
	}
	end, err := last.Step(t.Context(), last.step("r", 1, 0, mid.Outputs...))
	if err != nil {
		t.Fatalf("refilling: %v", err)
	}
	if got := end.Outputs; !slices.Equal(got, want[:3]) {
		t.Errorf("got %q, want %q", got, want[:3])
	}
}

func TestStepRules(t *testing.T) {
	take := func(s stage, attempt, position int) string {
		_, err := s.Step(context.Background(), s.step("r", attempt, position, "x"))
		return reason(err)
	}
	tests := []struct {
		name string
		run  func(s stage) string
		want string
	}{
		{"next position", func(s stage) string { return take(s, 2, 2) }, ""},
		{"repeated position", func(s stage) string { return take(s, 2, 1) }, driver.ReasonPositionTaken},
		{"first position again", func(s stage) string { return take(s, 2, 0) }, driver.ReasonPositionTaken},
		{"gap", func(s stage) string { return take(s, 2, 3) }, driver.ReasonMissing},
		{"older attempt", func(s stage) string { return take(s, 1, 2) }, driver.ReasonAttempt},
		{"newer attempt", func(s stage) string { return take(s, 3, 0) }, ""},
		{"newer attempt in the middle", func(s stage) string { return take(s, 3, 2) }, driver.ReasonMissing},
		{"after cancel", func(s stage) string {
			s.Cancel(driver.Cancel{Request: "r", Attempt: 2})
			return take(s, 2, 2)
		}, driver.ReasonAttempt},
		{"newer attempt after cancel", func(s stage) string {
			s.Cancel(driver.Cancel{Request: "r", Attempt: 2})
			return take(s, 3, 0)
		}, ""},
		{"after a late cancel", func(s stage) string {
			s.Cancel(driver.Cancel{Request: "r", Attempt: 1})
			return take(s, 2, 2)
		}, ""},
		{"cancel before the request", func(s stage) string {
			s.Cancel(driver.Cancel{Request: "q", Attempt: 1})
			_, err := s.Step(context.Background(), s.step("q", 1, 0, "x"))
			return reason(err)
		}, driver.ReasonAttempt},
		{"unknown request in the middle", func(s stage) string {
			_, err := s.Step(context.Background(), s.step("q", 1, 1, "x"))
			return reason(err)
		}, driver.ReasonMissing},
		{"leaving, request in progress", func(s stage) string {
			leave(s)
			return take(s, 2, 2)
		}, ""},
		{"leaving, new request", func(s stage) string {
			leave(s)
			_, err := s.Step(context.Background(), s.step("q", 1, 0, "x"))
			return reason(err)
		}, driver.ReasonLeaving},
		{"layers not held", func(s stage) string {
			s.last = 3
			return take(s, 2, 2)
		}, driver.ReasonNotHeld},
		{"import over a cache", func(s stage) string {
			cache, _ := s.Export("r")
			return reason(s.Import(cache))
		}, driver.ReasonPositionTaken},
		{"import of an older attempt", func(s stage) string {
			cache, _ := s.Export("r")
			cache.Attempt = 1
			return reason(s.Import(cache))
		}, driver.ReasonAttempt},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStage(0, 2, 4)
			for position := range 2 {
				if got := take(s, 2, position); got != "" {
					t.Fatalf("got refused with %s", got)
				}
			}
			if got := test.run(s); got != test.want {
				t.Errorf("got reason %q, want %q", got, test.want)
			}
		})
	}
}

func leave(s stage) {
	s.Control().Update(func(sw Switches) Switches {
		sw.Leave = true
		return sw
	})
}

func TestRefusalsOfLeavingEngineAreCounted(t *testing.T) {
	s := newStage(0, 2, 4)
	_, _ = s.Step(context.Background(), s.step("old", 1, 0, "x"))
	leave(s)
	_, _ = s.Step(context.Background(), s.step("old", 1, 1, "x"))
	_, _ = s.Step(context.Background(), s.step("new", 1, 0, "x"))
	if got, want := s.Totals().Refused, 1; got != want {
		t.Errorf("got %d refused, want %d: only the new request", got, want)
	}
}
