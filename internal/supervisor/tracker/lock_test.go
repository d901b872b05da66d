package tracker

import (
	"testing"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

// The linker catches a panic in a handler and goes on. One that leaves the lock held ends
// all links, and the node counts as down, instead.
func TestPanicLeavesNoLockHeld(t *testing.T) {
	now := time.Now
	tr := New(Config{Address: "a:1", Now: func() time.Time { return now() }})
	now = func() time.Time { panic("unforeseen") }
	body, err := encoder.CBOR(message{})
	if err != nil {
		t.Fatal(err)
	}
	if recorder.Nop().Guard("message", func() { tr.receive(linker.Link{ID: "1", Address: "b:1"}, body) }) {
		t.Error("got no panic")
	}
	if !tr.mu.TryLock() {
		t.Fatal("the lock is held after a panic")
	}
	tr.mu.Unlock()
}
