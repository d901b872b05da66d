package throttler

import (
	"context"
	"testing"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
)

// A panic in a request or a handler is caught, and the node goes on. One that leaves the lock
// held blocks the node forever instead, and one that releases it twice ends the process.
func TestPanicLeavesNoLockHeld(t *testing.T) {
	now := time.Now
	th := New(Config{
		Address: "a", Homes: func(string) []string { return []string{"b"} }, Nodes: func() int { return 2 },
		Query:    func(context.Context, string, []byte) ([]byte, error) { panic("unforeseen") },
		Now:      func() time.Time { return now() },
		Recorder: recorder.Nop(), Counters: counter.New(),
	})
	th.Learn("e", 10, true, time.Now())
	body, err := encoder.CBOR(query{Endpoint: "e", PerSecond: 10, Wanted: 1})
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name string
		call func()
	}{
		{"query to the home", func() { th.Acquire(t.Context(), "e") }},
		{"query of another node", func() {
			now = func() time.Time { panic("unforeseen") }
			_, _ = th.HandleQuery(body)
		}},
	}
	for _, c := range cases {
		if recorder.Nop().Guard(c.name, c.call) {
			t.Errorf("%s: got no panic", c.name)
		}
		if !th.mu.TryLock() {
			t.Fatalf("%s: the lock is held after a panic", c.name)
		}
		th.mu.Unlock()
	}
}
