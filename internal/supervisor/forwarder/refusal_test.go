package forwarder

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/standin/emulator"
)

// Engines leave while the store is unreachable, so that no node knows. They refuse
// all requests for as long as that lasts, and each refusal costs a retry.
func TestEngineThatRefusesInARowIsTriedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, entries := engines(threeCentres())
		e := emulator.New(emulator.Defaults(), all)
		w := newHarness(t, e.Relay(), entries...)
		w.f.cfg.MaxConfirmationAge = func() time.Duration { return time.Hour }
		e.Shed("a0:1", 1)
		const (
			streams  = 60
			interval = 50 * time.Millisecond
		)
		ask := func(n int) {
			if a := w.send(t.Context(), "POST", pathLLM+"1", fmt.Sprintf("r%d", n), string(emulator.Body(100, 4))); a.Code != 200 {
				t.Errorf("stream %d: got status %d, want 200", n, a.Code)
			}
		}
		for n := range streams {
			ask(n)
			time.Sleep(interval)
		}
		sends, _ := e.Counts()
		if got, want := sends-streams, 6; got > want {
			t.Errorf("in %v: got %d refused tries, want at most %d", streams*interval, got, want)
		}
		// The engine accepts requests again: it is used again soon, and a later refusal
		// counts as the first.
		e.Shed("a0:1", 0)
		time.Sleep(overloadBackoff << maxOverloadDoublings)
		ask(streams)
		e.Shed("a0:1", 1)
		before, _ := e.Counts()
		ask(streams + 1)
		time.Sleep(overloadBackoff)
		ask(streams + 2)
		after, _ := e.Counts()
		if got, want := after-before, 4; got != want {
			t.Errorf("after it accepted a request: got %d sends of two streams, want %d, a refusal each", got, want)
		}
	})
}
