package retrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a clock that the test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// TestAmplification draws a failure rate per phase, up to total failure. An
// organisation's calls, first attempts and retries together, must stay within 1.1
// times its requests plus the initial budget and what is refilled over time.
func TestAmplification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		r := New(Config{Now: c.Now})
		start := c.now
		requests, retries := 0, 0
		for phase := range rapid.IntRange(1, 4).Draw(t, "phases") {
			fails := rapid.SampledFrom([]int{0, 1, 5, 10, 10}).Draw(t, fmt.Sprint("fails", phase))
			for i := range 500 {
				requests++
				c.now = c.now.Add(time.Millisecond)
				address := fmt.Sprint("e", i%20)
				if i%10 >= fails {
					r.Succeeded("a", address)
					continue
				}
				for attempt := 1; attempt <= 4; attempt++ {
					if _, err := r.Retry(FailedAttempt{Organisation: "a", Address: address, Reason: StageFailed, Attempt: attempt}); err != nil {
						break
					}
					retries++
				}
			}
		}
		refilled := float64(c.now.Sub(start)) / float64(DefaultRefillInterval)
		want := 0.1*float64(requests) + DefaultInitialBudget + refilled
		if got := float64(retries); got > want+1e-6 {
			t.Fatalf("got %v retries of %d requests, want at most %v", got, requests, want)
		}
	})
}

// TestFailingEndpointSpendsItsOwnBudget has one endpoint fail for many
// organisations: the retries that it causes are limited by its budget.
func TestFailingEndpointSpendsItsOwnBudget(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	r := New(Config{Now: c.Now})
	retries := 0
	for i := range 1000 {
		if _, err := r.Retry(FailedAttempt{Organisation: fmt.Sprint("org", i), Address: "bad", Reason: StageUnresponsive, Attempt: 1}); err == nil {
			retries++
		}
	}
	if retries != DefaultInitialBudget {
		t.Errorf("got %d retries, want %d", retries, DefaultInitialBudget)
	}
	if got := r.cfg.Retries.Get("stage_silent").String(); got != "3" {
		t.Errorf("got the counter at %s, want 3", got)
	}
	c.now = c.now.Add(DefaultRefillInterval)
	if _, err := r.Retry(FailedAttempt{Organisation: "org", Address: "bad", Reason: StageUnresponsive, Attempt: 1}); err != nil {
		t.Errorf("got %v after %v, want the refilled retry", err, DefaultRefillInterval)
	}
}

// TestDelayIsFullJitter checks the bounds and the spread of the delays.
func TestDelayIsFullJitter(t *testing.T) {
	cfg := Config{}.withDefaults()
	for attempt := 1; attempt <= 12; attempt++ {
		bound := min(cfg.BaseDelay<<(attempt-1), cfg.MaxDelay)
		low, high := bound, time.Duration(0)
		for range 400 {
			d := cfg.delay(attempt)
			low, high = min(low, d), max(high, d)
		}
		if low < 0 || high > bound || low > bound/4 || high < bound/2 {
			t.Errorf("attempt %d: got delays from %v to %v, want them spread over 0 to %v", attempt, low, high, bound)
		}
	}
}

// TestIncidentExemptsRequestsInFlight repeatedly fails several requests at one
// endpoint. For each incident only those placed before it are exempt from the
// budgets, each once, and incidents are RefillInterval apart; the budget limits
// all other retries.
func TestIncidentExemptsRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		r := New(Config{Now: c.Now})
		start := c.now
		retries, maxInFlight := 0, 0
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			placed := c.now
			c.now = c.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "gap")) * time.Millisecond)
			n := rapid.IntRange(1, 50).Draw(t, "under way")
			maxInFlight = max(maxInFlight, n)
			reason := rapid.SampledFrom([]Reason{StageUnresponsive, StageOverload}).Draw(t, "reason")
			first := r.incidents["e"]
			for i := range n {
				_, err := r.Retry(FailedAttempt{Organisation: fmt.Sprint("org", i), Address: "e", Reason: reason, Attempt: 1, Placed: placed})
				if err == nil {
					retries++
				}
				if began := r.incidents["e"]; err != nil && began != first && reason == StageUnresponsive {
					t.Fatalf("got %v at the start of an incident, want a retry", err)
				}
			}
		}
		passed := float64(c.now.Sub(start)) / float64(DefaultRefillInterval)
		want := float64(maxInFlight)*(passed+1) + DefaultInitialBudget + passed
		if got := float64(retries); got > want+1e-6 {
			t.Fatalf("got %v retries, want at most %v", got, want)
		}
	})
}

// Guards against a counter of refused retries that grows while one attempt asks again and again.
func TestRepeatedRefusalsCountOnce(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	r := New(Config{Now: c.Now})
	attempt := FailedAttempt{Organisation: "a", Address: "e", Reason: StageUnresponsive, Attempt: 1}
	for range DefaultInitialBudget {
		if _, err := r.Retry(attempt); err != nil {
			t.Fatalf("got %v, want a retry", err)
		}
	}
	for i := range 5 {
		attempt.Repeated = i > 0
		if _, err := r.Retry(attempt); err == nil {
			t.Fatal("got a retry, want none left")
		}
	}
	if got := r.cfg.Retries.Get("stage_silent_refused").String(); got != "1" {
		t.Errorf("got the counter at %s, want 1", got)
	}
}
