package quarantiner

import (
	"testing"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

// The linker catches a panic in a handler and goes on. One that leaves the lock held blocks
// the node forever instead: each request asks whether it is in quarantine.
func TestPanicLeavesNoLockHeld(t *testing.T) {
	q := New(Config{Now: func() time.Time { panic("unforeseen") }, Recorder: recorder.Nop()})
	body, err := encoder.CBOR(message{})
	if err != nil {
		t.Fatal(err)
	}
	if recorder.Nop().Guard("message", func() { q.receive(linker.Link{ID: "1"}, body) }) {
		t.Error("got no panic")
	}
	if !q.mu.TryLock() {
		t.Fatal("the lock is held after a panic")
	}
	q.mu.Unlock()
}
