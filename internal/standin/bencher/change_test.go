package bencher

import (
	"slices"
	"testing"
	"time"
)

// stepsEvery returns a step request of one request at every interval from one
// time to another.
func stepsEvery(step, from, to time.Duration) []stepRequest {
	var asks []stepRequest
	for at := from; at < to; at += step {
		asks = append(asks, stepRequest{request: "r", at: at})
	}
	return asks
}

func TestJoiningIsMeasuredAgainstThePeer(t *testing.T) {
	const step = 10 * time.Millisecond
	peer := stepsEvery(step, 0, 10*time.Second)
	// Half the peer's rate from 3 s on, and its whole rate from 4 s on.
	added := append(stepsEvery(2*step, 3*time.Second, 4*time.Second), stepsEvery(step, 4*time.Second, 10*time.Second)...)
	got := *measureJoining(added, peer, 2*time.Second, 10*time.Second)
	if want := (Joining{FirstStep: 1000, FairAfter: 2000, StepRatio: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	got = *measureJoining(nil, peer, 2*time.Second, 10*time.Second)
	if want := (Joining{FirstStep: -1, FairAfter: -1}); got != want {
		t.Errorf("never asked: got %+v, want %+v", got, want)
	}
}

// Later steps of a request must not count as a request newly routed to the
// engine.
func TestFirstsCountsEachRequestOnce(t *testing.T) {
	asks := []stepRequest{{"a", 1}, {"b", 2}, {"a", 3}, {"c", 4}, {"b", 5}}
	if got, want := firstSteps(asks), []time.Duration{1, 2, 4}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
