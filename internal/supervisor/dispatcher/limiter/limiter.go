// Package limiter keeps what a node measures of each endpoint: steps in
// flight, link time, an adaptive concurrency limit and a circuit breaker.
package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// Config tunes a limiter. Zero fields take their defaults.
type Config struct {
	// MinLimit and MaxLimit bound the limit of steps in flight to one endpoint,
	// and InitialLimit is its initial value.
	MinLimit     float64
	InitialLimit float64
	MaxLimit     float64
	// Tolerance is the multiple of its base latency that an endpoint may take
	// before the limit shrinks.
	Tolerance float64
	// FailureThreshold is the number of consecutive failures that open the
	// breaker.
	FailureThreshold int
	// MinBackoff is the length of the first open phase; each failed probe
	// doubles it, up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ProbeTimeout is the time after which a probe without a result no longer
	// blocks the next one.
	ProbeTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// Defaults of Config.
const (
	DefaultMinLimit         = 1
	DefaultInitialLimit     = 4
	DefaultMaxLimit         = 1024
	DefaultTolerance        = 3
	DefaultFailureThreshold = 3
	DefaultMinBackoff       = 500 * time.Millisecond
	DefaultMaxBackoff       = 15 * time.Second
	DefaultProbeTimeout     = 5 * time.Second
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	setFloat(&c.MinLimit, DefaultMinLimit)
	setFloat(&c.InitialLimit, DefaultInitialLimit)
	setFloat(&c.MaxLimit, DefaultMaxLimit)
	setFloat(&c.Tolerance, DefaultTolerance)
	setDuration(&c.MinBackoff, DefaultMinBackoff)
	setDuration(&c.MaxBackoff, DefaultMaxBackoff)
	setDuration(&c.ProbeTimeout, DefaultProbeTimeout)
	if c.FailureThreshold <= 0 {
		c.FailureThreshold = DefaultFailureThreshold
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// setFloat sets a field to a value unless it is positive.
func setFloat(field *float64, value float64) {
	if *field <= 0 {
		*field = value
	}
}

// setDuration sets a field to a value unless it is positive.
func setDuration(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// state holds the measurements of one endpoint. It is an immutable value.
type state struct {
	// inFlight is never negative.
	inFlight int
	// lastContended is the last time at which more than maxUncontendedSteps
	// were in flight.
	lastContended time.Time
	window        window
	breaker       breaker
	link          link
}

// Limiter keeps one state for each endpoint. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu     sync.Mutex
	states map[string]state
}

// New returns a limiter.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg.withDefaults(), states: make(map[string]state)}
}

// get returns an endpoint's state. The caller holds l.mu.
func (l *Limiter) get(address string) state {
	s, ok := l.states[address]
	if !ok {
		s.window.limit = l.cfg.InitialLimit
	}
	return s
}

// Load returns an endpoint's measurements for the planner.
func (l *Limiter) Load(address string) planner.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(address)
	now := l.cfg.Now()
	load := planner.Load{
		InFlight:    s.inFlight,
		Limit:       int(s.window.limit),
		RTT:         s.link.estimate(now),
		BreakerOpen: s.breaker.rejects(now),
	}
	if s.breaker.phase == closed {
		load.Penalty = float64(s.breaker.failures)
	}
	return load
}

// Begin counts a step as in flight, unless the endpoint is at its limit or its
// breaker rejects the step. Every Begin that returns true needs one End.
func (l *Limiter) Begin(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(address)
	if s.inFlight >= int(s.window.limit) {
		return false
	}
	var ok bool
	if s.breaker, ok = s.breaker.allow(l.cfg, l.cfg.Now()); !ok {
		return false
	}
	s.inFlight++
	l.states[address] = s
	return true
}

// End records the result of a step. To the breaker, a refusal by the endpoint
// is a success, as the endpoint answered, and a step that the caller cancelled
// is neither a success nor a failure.
func (l *Limiter) End(address string, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(address)
	now := l.cfg.Now()
	if s.inFlight > maxUncontendedSteps {
		s.lastContended = now
	}
	var refused *driver.Refused
	switch {
	case err == nil:
		uncontended := s.inFlight <= maxUncontendedSteps && s.lastContended.Before(now.Add(-took))
		s.window = s.window.observe(l.cfg, now, sample{took, s.inFlight, uncontended})
		s.breaker = s.breaker.succeeded()
	case errors.As(err, &refused):
		s.breaker = s.breaker.succeeded()
		if refused.Reason == driver.ReasonOverload {
			s.window = s.window.overloaded(l.cfg, now)
		}
	case errors.Is(err, context.Canceled):
	default:
		s.breaker = s.breaker.failed(l.cfg, now)
	}
	s.inFlight = max(s.inFlight-1, 0)
	l.states[address] = s
}

// Observe records the time of a step in excess of its stage's reported Work:
// link, queue, and whatever else makes the endpoint slower than it reports.
func (l *Limiter) Observe(address string, excess time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(address)
	s.link = s.link.observe(l.cfg.Now(), excess)
	l.states[address] = s
}

// Forget deletes the state of an endpoint that is gone.
func (l *Limiter) Forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.states, address)
}
