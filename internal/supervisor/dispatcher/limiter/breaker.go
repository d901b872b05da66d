package limiter

import (
	"time"
)

//go:generate stringer -type=phase -linecomment -output=phase_string.go

// phase is the state of a circuit breaker.
type phase int

const (
	closed   phase = iota // closed
	open                  // open
	halfOpen              // half_open
)

// breaker is a circuit breaker. It is an immutable value.
type breaker struct {
	phase phase
	// failures counts consecutive failures while closed.
	failures int
	// until is the end of the open phase, or the timeout of the probe while
	// half open. It is always set in these phases, so that a lost probe can't
	// block the endpoint permanently.
	until time.Time
	// backoff is the length of the last open phase, from cfg.MinBackoff to
	// cfg.MaxBackoff; 0 while closed.
	backoff time.Duration
}

// rejects reports whether the breaker lets no step through.
func (b breaker) rejects(now time.Time) bool {
	return b.phase != closed && now.Before(b.until)
}

// allow decides whether a step may start, and returns the resulting breaker. After
// an open phase, only one step at a time may start, as a probe.
func (b breaker) allow(cfg Config, now time.Time) (breaker, bool) {
	if b.phase == closed {
		return b, true
	}
	if now.Before(b.until) {
		return b, false
	}
	b.phase = halfOpen
	b.until = now.Add(cfg.ProbeTimeout)
	return b, true
}

// succeeded returns the breaker after a success. While it is open, the step
// began before it opened, so its success is ignored.
func (b breaker) succeeded() breaker {
	if b.phase == open {
		return b
	}
	return breaker{}
}

// failed returns the breaker after a failure.
func (b breaker) failed(cfg Config, now time.Time) breaker {
	switch b.phase {
	case closed:
		b.failures++
		if b.failures < cfg.FailureThreshold {
			return b
		}
		b.backoff = cfg.MinBackoff
	case halfOpen:
		b.backoff = min(2*b.backoff, cfg.MaxBackoff)
	case open:
		return b
	}
	return breaker{phase: open, until: now.Add(b.backoff), backoff: b.backoff}
}
