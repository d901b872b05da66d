package supervisor

import (
	"testing"
	"time"

	"banyanquay/internal/loader"
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

// Guards against requests that are admitted so late in a stop that its end cuts them off.
func TestAdmissionPeriod(t *testing.T) {
	cases := []struct{ ttl, deadline, want time.Duration }{
		{5 * time.Second, 10 * time.Minute, 5 * time.Second},
		{5 * time.Second, 8 * time.Second, 3 * time.Second},
		{2500 * time.Millisecond, 7300 * time.Millisecond, 2500 * time.Millisecond},
	}
	for _, c := range cases {
		s := loader.Stop{AddressTTL: loader.Duration{Duration: c.ttl}, Deadline: loader.Duration{Duration: c.deadline}}
		if got := admissionPeriod(s); got != c.want {
			t.Errorf("TTL %v, deadline %v: got %v, want %v", c.ttl, c.deadline, got, c.want)
		}
	}
}
