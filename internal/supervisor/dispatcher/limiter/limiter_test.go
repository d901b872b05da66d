package limiter

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
)

// clock is a clock that the test sets.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_700_000_000, 0)} }

func (c *clock) Now() time.Time { return c.now }

var errReset = errors.New("connection reset")

// TestBreakerAlwaysProbesAgain takes the breaker of one endpoint through random
// sequences of results, lost probes and pauses. After MaxBackoff with nothing in
// flight it must let a step through, and a success must then close it.
func TestBreakerAlwaysProbesAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newClock()
		l := New(Config{Now: c.Now})
		inFlight := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if l.Begin("e") {
					inFlight++
				}
			case 1, 2:
				if inFlight > 0 {
					err := rapid.SampledFrom([]error{nil, errReset, errReset, context.Canceled}).Draw(t, "err")
					l.End("e", time.Millisecond, err)
					inFlight--
				}
			case 3:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
			}
		}
		c.now = c.now.Add(DefaultMaxBackoff)
		for range inFlight {
			l.End("e", 0, context.Canceled)
		}
		if l.Load("e").BreakerOpen || !l.Begin("e") {
			t.Fatalf("got a breaker that lets nothing through after %v, want a probe", DefaultMaxBackoff)
		}
		l.End("e", time.Millisecond, nil)
		first, second := l.Begin("e"), l.Begin("e")
		if !first || !second {
			t.Fatalf("got a breaker that is not closed after a good probe, want it closed")
		}
	})
}

// TestBreakerLetsOneProbeThrough checks that a failing endpoint gets one step
// after each open phase, and that a refusal closes the breaker.
func TestBreakerLetsOneProbeThrough(t *testing.T) {
	c := newClock()
	l := New(Config{Now: c.Now})
	for range DefaultFailureThreshold {
		l.Begin("e")
		l.End("e", time.Millisecond, errReset)
	}
	probes := 0
	for range 10 * 300 {
		if l.Begin("e") {
			probes++
			l.End("e", time.Millisecond, errReset)
		}
		if l.Begin("e") {
			t.Fatalf("got a step let through right after a failed probe, want none")
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	if probes < 20 || probes > 26 {
		t.Errorf("got %d probes in 5 minutes, want 20 to 26: open phases double up to %v", probes, DefaultMaxBackoff)
	}
	c.now = c.now.Add(DefaultMaxBackoff)
	if !l.Begin("e") || l.Begin("e") || !l.Load("e").BreakerOpen {
		t.Errorf("got no probe or more than one, want one at a time")
	}
	l.End("e", time.Millisecond, &driver.Refused{Reason: driver.ReasonMissing})
	if l.Load("e").BreakerOpen {
		t.Errorf("got an open breaker after the endpoint answered, want it closed")
	}
}

// TestLimitFollowsCapacity changes the slots of an endpoint whose latency grows
// with the steps in flight beyond its slots.
func TestLimitFollowsCapacity(t *testing.T) {
	c := newClock()
	l := New(Config{Now: c.Now, Tolerance: 2})
	run := func(slots int) int {
		for range 400 {
			n := 0
			for l.Begin("e") {
				n++
			}
			took := 10 * time.Millisecond * time.Duration(max(n, slots)) / time.Duration(slots)
			c.now = c.now.Add(took)
			for range n {
				l.End("e", took, nil)
			}
		}
		return l.Load("e").Limit
	}
	for _, slots := range []int{8, 32, 4} {
		if got := run(slots); got < slots || got > 3*slots {
			t.Errorf("got limit %d before %d slots, want %d to %d", got, slots, slots, 3*slots)
		}
	}
}

// TestLimitRelearnsSlowLink makes a link permanently a hundred times slower: the
// limit falls at first and then grows again, as the latency is not due to a queue.
func TestLimitRelearnsSlowLink(t *testing.T) {
	c := newClock()
	l := New(Config{Now: c.Now})
	run := func(rounds int, took time.Duration) int {
		for range rounds {
			n := 0
			for n < 8 && l.Begin("e") {
				n++
			}
			c.now = c.now.Add(took)
			for range n {
				l.End("e", took, nil)
			}
		}
		return l.Load("e").Limit
	}
	run(100, time.Millisecond)
	if got := run(10, 100*time.Millisecond); got > 2 {
		t.Errorf("got limit %d after the link degraded, want at most 2", got)
	}
	if got := run(400, 100*time.Millisecond); got < 8 {
		t.Errorf("got limit %d once the link's latency was learnt, want at least 8", got)
	}
}

// TestSlowEndpointIsTriedAgain makes a link slower for a while. An endpoint that
// is no longer used is not measured, so its link time must decay towards its
// former value, or the planner never tries the endpoint again.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	c := newClock()
	l := New(Config{Now: c.Now})
	observe := func(link time.Duration) {
		for range 40 {
			c.now = c.now.Add(50 * time.Millisecond)
			l.Observe("e", link)
		}
	}
	observe(time.Millisecond)
	observe(100 * time.Millisecond)
	if got := l.Load("e").RTT; got < 90*time.Millisecond {
		t.Errorf("got link time %v while it is slow, want about 100ms", got)
	}
	c.now = c.now.Add(time.Minute)
	if got := l.Load("e").RTT; got > 3*time.Millisecond {
		t.Errorf("got link time %v after a minute without use, want at most 3ms", got)
	}
	l.Observe("e", 100*time.Millisecond)
	l.Observe("e", 100*time.Millisecond)
	if got := l.Load("e").RTT; got < 40*time.Millisecond {
		t.Errorf("got link time %v after two slow steps, want at least 40ms", got)
	}
}
