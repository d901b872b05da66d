package runner

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// timeToFirstToken returns the time until the first token if the engine that
// gets the prompt hangs, after a number of requests without a fault.
func timeToFirstToken(t *testing.T, before int) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(nil)
		r := f.runner(4)
		r.cfg.FillTimeout = 15 * time.Second
		var start time.Time
		for n := range before + 1 {
			j := job(1, nil)
			j.Request = strconv.Itoa(n)
			if n == before {
				f.script = make([]fault, f.steps+1)
				f.script[f.steps] = hangs
			}
			start = time.Now()
			err := r.Run(t.Context(), j, func(int, string) error {
				took = time.Since(start)
				return nil
			})
			if err != nil {
				t.Fatalf("got %v, want an answer", err)
			}
		}
		time.Sleep(time.Minute)
	})
	return took
}

func TestUnresponsiveEngineDelaysFirstTokenByLittle(t *testing.T) {
	const want = 1200 * time.Millisecond
	for _, before := range []int{0, 1, 30} {
		got := timeToFirstToken(t, before)
		t.Logf("after %d requests: %v until the first token", before, got)
		if got > want {
			t.Errorf("after %d requests: got %v until the first token, want at most %v", before, got, want)
		}
	}
}

// If the time grows linearly with the workload, the timeout covers a long
// prompt behind a long queue, also after samples of only short ones.
func TestTimeoutCoversLongPromptsAndQueues(t *testing.T) {
	const limit = time.Hour
	rapid.Check(t, func(rt *rapid.T) {
		base := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "base"))
		layer := time.Duration(rapid.Int64Range(1, int64(10*time.Millisecond)).Draw(rt, "layer"))
		draw := func(name string) workload {
			tokens := rapid.IntRange(1, 2000).Draw(rt, name)
			s := &stage{}
			s.Last = 8
			s.Queue = rapid.Float64Range(0, 10).Draw(rt, name+"'s queue")
			return newWorkload(s, tokens)
		}
		takes := func(e workload) time.Duration {
			return base + time.Duration(e.layers*float64(layer))
		}
		var p prefillEstimate
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			e := draw("sample")
			p = p.withSample(e, takes(e))
		}
		e := draw("next")
		// Rounding may lose a nanosecond a step.
		want := takes(e) - time.Microsecond
		if got := p.timeout(e, limit); got < want {
			rt.Fatalf("got a timeout of %v, want %v", got, want)
		}
	})
}

// An engine answers early if it has the prefix cached. Such samples must not
// make an uncached prompt time out if at least one in 44 prompts is uncached.
func TestTimeoutCoversUncachedPrompts(t *testing.T) {
	const limit = time.Hour
	e := workload{layers: 8}
	rapid.Check(t, func(rt *rapid.T) {
		whole := time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(rt, "whole"))
		var p prefillEstimate
		for range rapid.IntRange(1, 4).Draw(rt, "prompts") {
			p = p.withSample(e, whole)
			for range rapid.IntRange(0, 43).Draw(rt, "hits") {
				p = p.withSample(e, whole/time.Duration(rapid.IntRange(2, 50).Draw(rt, "part")))
			}
			if got := p.timeout(e, limit); got < whole {
				rt.Fatalf("got a timeout of %v, want %v", got, whole)
			}
		}
	})
}

// Concurrent steps that time out lengthen the timeout once, and the timeout for
// an engine that is slower than its report grows by timed-out steps alone.
func TestExpiredPrefillsLengthenTheTimeoutOnceAWait(t *testing.T) {
	const limit = 15 * time.Second
	e := workload{layers: 1, reported: time.Second}
	var p prefillEstimate
	given := p.timeout(e, limit)
	p = p.withTimeout(e, given, limit)
	once := p.timeout(e, limit)
	if once <= given || once == limit {
		t.Fatalf("after one expired step: got %v, want over %v and under %v", once, given, limit)
	}
	if got := p.withTimeout(e, given, limit).timeout(e, limit); got != once {
		t.Errorf("after a second one that was given the same: got %v, want %v", got, once)
	}
	for range 5 {
		p = p.withTimeout(e, p.timeout(e, limit), limit)
	}
	if got := p.timeout(e, limit); got != limit {
		t.Errorf("after more of them: got %v, want %v", got, limit)
	}
}
