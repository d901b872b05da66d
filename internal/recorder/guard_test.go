package recorder

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestGuard(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	r := New(zap.New(core))
	if !r.Guard("works", func() {}) {
		t.Error("got false from a function that returns, want true")
	}
	if r.Guard("fails", func() { panic("unforeseen") }) {
		t.Error("got true from a function that panics, want false")
	}
	lines := logs.All()
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1", len(lines))
	}
	fields := lines[0].ContextMap()
	if got, want := fields["where"], "fails"; got != want {
		t.Errorf("where: got %v, want %v", got, want)
	}
	if got, want := fields["panic"], "unforeseen"; got != want {
		t.Errorf("panic: got %v, want %v", got, want)
	}
}
