package supervisor

import (
	"testing"

	"banyanquay/internal/supervisor/listener"
)

// Guards against calls for other nodes that go on when the deadline of a stop has passed, and
// against ones that begin while the node leaves.
func TestCallsForOthersEndWithTheGate(t *testing.T) {
	r := relayNode{gate: listener.NewGate()}
	ctx, leave, ok := r.enterDetour(t.Context())
	if !ok || ctx.Err() != nil {
		t.Fatalf("before the stop: got %v, %v, want a call that is admitted", ok, ctx.Err())
	}
	r.gate.Close()
	if ctx.Err() != nil {
		t.Error("the call ends when the gate closes")
	}
	r.gate.Expire()
	<-ctx.Done()
	leave()
	if got := r.gate.Wait(t.Context()); got != 0 {
		t.Errorf("in progress at the end: got %d", got)
	}
	_, leave, ok = r.enterDetour(t.Context())
	leave()
	if ok {
		t.Error("a call is admitted after the stop")
	}
}
