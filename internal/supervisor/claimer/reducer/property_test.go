package reducer

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// property runs the simulation with a set of rules.
func property(r rules, strict bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, r, strict)
		t.Repeat(w.actions())
	}
}

// setFlag sets one of rapid's flags for one test.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	f := flag.Lookup(name)
	old := f.Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

func TestEveryInterleavingRunsAtMostOnce(t *testing.T) {
	setFlag(t, "rapid.steps", "100")
	setFlag(t, "rapid.checks", "4000")
	rapid.Check(t, property(allRules, true))
}

// recordingT records the failures of a test that is expected to fail.
type recordingT struct {
	*testing.T
	failed bool
	text   strings.Builder
}

func (f *recordingT) Errorf(format string, args ...any) {
	f.failed = true
	fmt.Fprintf(&f.text, format+"\n", args...)
}

func (f *recordingT) Fatalf(format string, args ...any) {
	f.Errorf(format, args...)
	f.FailNow()
}

func (f *recordingT) FailNow() {
	f.failed = true
	runtime.Goexit()
}

func (f *recordingT) Failed() bool { return f.failed }

func TestEachRuleIsNeeded(t *testing.T) {
	setFlag(t, "rapid.steps", "100")
	setFlag(t, "rapid.checks", "200000")
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.nofailfile", "true")
	strict := false
	mutants := map[string]func(*rules){
		"first":    func(r *rules) { r.singleHolder = false },
		"once":     func(r *rules) { r.decideOnce = false },
		"kill":     func(r *rules) { r.earlyRelease = false },
		"bar":      func(r *rules) { r.barRefused = false },
		"future":   func(r *rules) { r.rejectFuture = false },
		"coverage": func(r *rules) { r.requireCoverage = false },
		"chain":    func(r *rules) { r.holdAfterTakeover = false },
		"keyed":    func(r *rules) { r.takeoverNeedsKey = false },
	}
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			r := allRules
			mutate(&r)
			f := &recordingT{T: t}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				rapid.Check(f, property(r, strict))
			}()
			<-ended
			if !f.failed {
				t.Errorf("the property holds without the rule, so no test covers the rule")
			}
			t.Log(f.text.String())
		})
	}
}
