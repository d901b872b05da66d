package supervisor

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/standin/generator"
)

// stageFault is a fault of engines.
type stageFault struct {
	name string
	set  func(s *generator.Switches)
}

var stageFaults = []stageFault{
	{"steps fail", func(s *generator.Switches) { s.FailSteps = 2 }},
	{"engine frozen", func(s *generator.Switches) { s.Freeze = true }},
	{"engine leaves", func(s *generator.Switches) { s.Leave = true }},
	{"open connections silent", func(s *generator.Switches) { s.Silence = true }},
}

// TestFullAnswersWhileStagesFail uses a new fleet for each fault, so that the retry
// budget spent on one fault isn't missing for the next.
func TestFullAnswersWhileStagesFail(t *testing.T) {
	want := generator.Expect(testModel, testVersion, testLayers, "user: stock?\n", 2)
	for _, fault := range stageFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, describer.ChecksNothing)
			f.inject(fault, f.engines[:3])
			for _, node := range f.nodes {
				r := f.chat(node)
				if r.status != http.StatusOK {
					t.Errorf("got %d %+v, want an answer", r.status, r.problem)
					continue
				}
				if got := contentOf(t, r.body); got != want[0]+want[1] {
					t.Errorf("got %q, want %q", got, want[0]+want[1])
				}
			}
		})
	}
}

// inject sets a fault at engines.
func (f *fleet) inject(fault stageFault, engines []*generator.Generator) {
	for _, g := range engines {
		g.Control().Update(func(s generator.Switches) generator.Switches {
			fault.set(&s)
			return s
		})
	}
}

// manyTokens makes an answer long enough to be in progress when a fault is injected,
// at engines that are slowed down by slowSteps.
const (
	manyTokens = 20
	slowSteps  = 20
)

// TestManyStreamsOutliveAnEngine injects a fault at an engine that serves many
// streams of one organisation, at a node that has just started.
func TestManyStreamsOutliveAnEngine(t *testing.T) {
	const streams = 32
	want := strings.Join(generator.Expect(testModel, testVersion, testLayers, "user: stock?\n", manyTokens), "")
	for _, fault := range stageFaults[1:] {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, describer.ChecksNothing)
			for _, g := range f.engines {
				g.Control().Update(func(s generator.Switches) generator.Switches {
					s.SlowFactor = slowSteps
					return s
				})
			}
			replies := make(chan reply, streams)
			for range streams {
				go func() { replies <- f.chatWithTokens(f.nodes[0], manyTokens) }()
			}
			// Two engines hold the first layers. On a busy machine, one of them may
			// be out of use.
			one, two := f.engines[0], f.engines[3]
			f.await("streams at the engines", func() bool {
				return len(one.Traces())+len(two.Traces()) > streams || len(replies) == streams
			})
			if len(two.Traces()) > len(one.Traces()) {
				one = two
			}
			f.inject(fault, []*generator.Generator{one})
			for range streams {
				r := <-replies
				if r.status != http.StatusOK {
					t.Errorf("got %d %+v, want an answer", r.status, r.problem)
				} else if got := contentOf(t, r.body); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			}
		})
	}
}

// TestSuspectEngineServesWhereNoOtherDoes sends requests while the only engine for
// some layers is suspect after a failed step and the poll that resolves the
// suspicion is delayed.
func TestSuspectEngineServesWhereNoOtherDoes(t *testing.T) {
	const requests = 10
	f := newFleet(t, 1, describer.ChecksNothing)
	f.inject(stageFault{set: func(s *generator.Switches) { s.Leave = true }}, f.engines[3:])
	f.await("the other engines to be out of use", func() bool { return f.countServing(f.nodes[0]) == 4 })
	f.inject(stageFault{set: func(s *generator.Switches) { s.FailSteps, s.DelayMillis = 1, 100 }}, f.engines[:1])
	replies := make(chan reply, requests)
	for range requests {
		go func() { replies <- f.chat(f.nodes[0]) }()
		time.Sleep(10 * time.Millisecond)
	}
	for range requests {
		if r := <-replies; r.status != http.StatusOK {
			t.Errorf("got %d %+v, want an answer", r.status, r.problem)
		}
	}
}
