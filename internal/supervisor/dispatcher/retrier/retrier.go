// Package retrier limits retries: each organisation and each endpoint has a
// retry budget that grows with its successes, so that retries can't amplify an
// overload. Requests in flight at an endpoint when it fails are retried without
// a charge to the budgets.
package retrier

import (
	"cmp"
	"expvar"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"banyanquay/internal/refuser"
)

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the reason for a retry.
type Reason int

// Reasons.
const (
	// StageFailed is a stage that crashed or answered with an error.
	StageFailed Reason = iota // stage_failed
	// StageUnresponsive is a stage that made no progress in time.
	StageUnresponsive // stage_silent
	// StageLeaving is a stage that refused a step because it is leaving.
	StageLeaving // stage_leaving
	// StageOverload is a stage that refused a step for overload.
	StageOverload // stage_overload
	// CacheMissing is a stage that has lost the request's cache.
	CacheMissing // cache_missing
	// NotHeld is a stage that no longer holds the layers.
	NotHeld // not_held
	// ServiceUnsent is a service call of which nothing was written.
	ServiceUnsent // service_unsent
	// ServiceFailed is an idempotent service call that failed.
	ServiceFailed // service_failed
)

// Config tunes a retrier. Zero fields take their defaults.
type Config struct {
	// Ratio is the number of retries that one success adds to a budget.
	Ratio float64
	// InitialBudget is the number of retries in a new budget. A budget below
	// it is refilled up to it over time.
	InitialBudget float64
	// RefillInterval is the time in which a budget below InitialBudget regains one
	// retry. It is also the minimum time from the start of one incident of an endpoint
	// to the start of its next: until then, further failures there start none.
	RefillInterval time.Duration
	// MaxBudget is the maximum number of retries in a budget, unless
	// InitialBudget is higher.
	MaxBudget float64
	// BaseDelay is the maximum of the first delay, and MaxDelay of every delay.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Retries counts retries by reason. Those exempt from the budgets also count
	// as reason_spared, and refused ones only as reason_refused.
	Retries *expvar.Map
	// Now returns the current time.
	Now func() time.Time
}

// Defaults of Config.
const (
	DefaultRatio          = 0.1
	DefaultInitialBudget  = 3
	DefaultRefillInterval = 10 * time.Second
	DefaultMaxBudget      = 100
	DefaultBaseDelay      = 20 * time.Millisecond
	DefaultMaxDelay       = 2 * time.Second
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.Ratio = cmp.Or(c.Ratio, DefaultRatio)
	c.InitialBudget = cmp.Or(c.InitialBudget, DefaultInitialBudget)
	c.RefillInterval = cmp.Or(c.RefillInterval, DefaultRefillInterval)
	c.MaxBudget = cmp.Or(c.MaxBudget, DefaultMaxBudget)
	c.BaseDelay = cmp.Or(c.BaseDelay, DefaultBaseDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, DefaultMaxDelay)
	if c.Retries == nil {
		c.Retries = new(expvar.Map).Init()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Retrier holds the retry budgets. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu            sync.Mutex
	organisations map[string]budget
	endpoints     map[string]budget
	incidents     incidents
}

// FailedAttempt is a failed attempt that may be retried. It is an immutable value.
type FailedAttempt struct {
	Organisation string
	// Address is the endpoint at which it failed.
	Address string
	Reason  Reason
	// Attempt counts the failed attempts, from 1.
	Attempt int
	// Placed is when the endpoint was chosen. Zero means that it was already
	// known to fail, so that the retry is not exempt from the budgets.
	Placed time.Time
	// Repeated is set if a retry of the same attempt was refused before: a further refusal isn't
	// counted.
	Repeated bool
}

// New returns a retrier.
func New(cfg Config) *Retrier {
	return &Retrier{
		cfg:           cfg.withDefaults(),
		organisations: make(map[string]budget),
		endpoints:     make(map[string]budget),
		incidents:     make(incidents),
	}
}

// Succeeded adds to the budgets of an organisation whose request was answered
// and of each endpoint involved.
func (r *Retrier) Succeeded(organisation string, addresses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	r.organisations[organisation] = r.cfg.currentBudget(r.organisations, organisation, now).deposit(r.cfg)
	for _, address := range addresses {
		r.endpoints[address] = r.cfg.currentBudget(r.endpoints, address, now).deposit(r.cfg)
	}
}

// Retry returns the delay before the next attempt, or a refusal with the code
// RetryBudgetSpent. It takes one retry out of both budgets, unless the request
// was placed before an incident and did not fail for overload.
func (r *Retrier) Retry(t FailedAttempt) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if r.incidents.exempt(t, now, r.cfg.RefillInterval) {
		r.cfg.Retries.Add(t.Reason.String()+"_spared", 1)
	} else if err := r.charge(t, now); err != nil {
		if !t.Repeated {
			r.cfg.Retries.Add(t.Reason.String()+"_refused", 1)
		}
		return 0, err
	}
	r.cfg.Retries.Add(t.Reason.String(), 1)
	return r.cfg.delay(t.Attempt), nil
}

// charge takes one retry out of the budgets of the organisation and of the
// endpoint.
func (r *Retrier) charge(t FailedAttempt, now time.Time) error {
	org := r.cfg.currentBudget(r.organisations, t.Organisation, now)
	endpoint := r.cfg.currentBudget(r.endpoints, t.Address, now)
	if org.tokens < 1 || endpoint.tokens < 1 {
		return refuser.New(refuser.RetryBudgetSpent,
			"retry budget spent after %s: organisation %s has %.1f retries left, endpoint %s has %.1f",
			t.Reason, t.Organisation, org.tokens, t.Address, endpoint.tokens).WithWait(r.cfg.RefillInterval)
	}
	r.organisations[t.Organisation] = org.withdraw()
	r.endpoints[t.Address] = endpoint.withdraw()
	return nil
}

// Forget deletes the budget and the incident of an endpoint that is gone.
func (r *Retrier) Forget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.endpoints, address)
	delete(r.incidents, address)
}

// delay returns a full-jitter delay: uniform from 0 to a bound that doubles
// with each attempt, up to MaxDelay.
func (c Config) delay(attempt int) time.Duration {
	b := backoff.ExponentialBackOff{
		InitialInterval:     c.BaseDelay / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         c.MaxDelay / 2,
	}
	b.Reset()
	delay := b.NextBackOff()
	for range min(attempt, maxDoublings) - 1 {
		delay = b.NextBackOff()
	}
	return delay
}

// maxDoublings limits the number of doublings that delay computes.
const maxDoublings = 32
