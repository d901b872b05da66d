package follower

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
)

// testEvent is one event of a scenario with two nodes: a publish, or a change of the
// log's faults.
type testEvent struct {
	After time.Duration
	What  string
	Node  int
	Count int
	Late  time.Duration
}

// drawScenario generates a scenario with no more changes than a history holds.
func drawScenario(t *rapid.T) []testEvent {
	scenario := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) testEvent {
		return testEvent{
			After: time.Duration(rapid.IntRange(0, 9000).Draw(t, "after")) * time.Millisecond,
			What: rapid.SampledFrom([]string{
				"publish", "publish", "publish", "lose", "delay", "outage", "reads fail", "calm",
			}).Draw(t, "what"),
			Node:  rapid.IntRange(0, 1).Draw(t, "node"),
			Count: rapid.IntRange(1, 40).Draw(t, "count"),
			Late:  time.Duration(rapid.IntRange(100, 60000).Draw(t, "late")) * time.Millisecond,
		}
	}), 1, 16).Draw(t, "story")
	published := 0
	for i := range scenario {
		if scenario[i].What == "publish" {
			if published++; published > 8 {
				scenario[i].What = "calm"
			}
		}
	}
	return scenario
}

// applyEvent sets the log's faults according to the event.
func applyEvent(l *fakeLog, m testEvent) {
	l.locked(func() {
		switch m.What {
		case "lose":
			l.lostReplies = m.Count
		case "delay":
			l.lateAppends, l.lateBy = m.Count, m.Late
		case "outage":
			l.readDown, l.appendDown = true, true
		case "reads fail":
			l.readDown = true
		case "calm":
			l.readDown, l.appendDown, l.lostReplies, l.lateAppends = false, false, 0, 0
		}
	})
}

// publishResult is what Publish returned for a change.
type publishResult struct {
	out Outcome
	err error
}

// runScenario runs a scenario. It returns the results of Publish by change, and the
// changes in the history once every late append has taken effect.
func runScenario(t *testing.T, scenario []testEvent) (map[string]publishResult, map[string]AcceptedChange) {
	l := newFakeLog()
	nodes := []*node{start(t, l, "n0", "n0", "n1"), start(t, l, "n1", "n0", "n1")}
	synctest.Wait()
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := make(map[string]publishResult)
	for i, m := range scenario {
		time.Sleep(m.After)
		if m.What != "publish" {
			applyEvent(l, m)
			continue
		}
		wg.Go(func() {
			n := nodes[m.Node]
			_, base, _ := n.View().Published("acme")
			c := change("acme", base, 0.5)
			c.ID = fmt.Sprint("c", i)
			out, err := n.Publish(t.Context(), c)
			mu.Lock()
			defer mu.Unlock()
			results[c.ID] = publishResult{out, err}
		})
	}
	wg.Wait()
	applyEvent(l, testEvent{What: "calm"})
	time.Sleep(2 * time.Minute)
	accepted := make(map[string]AcceptedChange)
	for _, past := range nodes[0].View().History("acme") {
		accepted[past.ID] = past
	}
	if got, want := nodes[1].View().History("acme"), len(accepted); len(got) != want {
		t.Errorf("got %d changes at one node and %d at the other", len(got), want)
	}
	return results, accepted
}

// TestPublishResultsMatchTheLog checks that the results of Publish agree with the
// log, also after late appends have taken effect.
func TestPublishResultsMatchTheLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawScenario(rt)
		var results map[string]publishResult
		var accepted map[string]AcceptedChange
		synctest.Test(t, func(t *testing.T) {
			results, accepted = runScenario(t, scenario)
		})
		revisions := make(map[describer.Revision]string)
		for id, past := range accepted {
			if other, ok := revisions[past.Revision]; ok {
				rt.Fatalf("changes %s and %s were both accepted as revision %d", id, other, past.Revision)
			}
			revisions[past.Revision] = id
		}
		for id, a := range results {
			past, ok := accepted[id]
			var refusal refuser.Refusal
			switch {
			case a.err == nil && (!ok || past.Revision != a.out.Revision || past.Offset != a.out.Offset):
				rt.Fatalf("%s was reported as accepted as %+v, the log has %+v", id, a.out, past)
			case a.err != nil && !errors.As(a.err, &refusal):
				rt.Fatalf("%s: got %v, want a refusal", id, a.err)
			case a.err != nil && refusal.Ran == refuser.Never && ok:
				rt.Fatalf("%s was refused (%v), the log has %+v", id, a.err, past)
			}
		}
	})
}
