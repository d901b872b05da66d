// Package admitter decides which requests a node works on. It is a weighted
// fair queue over organisations, with priorities within each, and rejects at
// once what could not be answered in time.
package admitter

import (
	"context"
	"sync"
	"time"

	"banyanquay/internal/refuser"
)

// Request asks for admission. It is an immutable value.
type Request struct {
	Organisation string
	// Weight is the organisation's share, the same in all its requests.
	Weight float64
	// Priority orders the requests of one organisation; higher goes first.
	Priority int
	// Deadline is when the answer must be complete; zero means no deadline.
	Deadline time.Time
	// Tokens is the expected length of the answer.
	Tokens int
}

// Config tunes an admitter. Zero fields take their defaults.
type Config struct {
	// Capacity is the maximum number of requests in progress.
	Capacity int
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// TokenTime is the assumed time per token of a request until it has been
	// measured.
	TokenTime time.Duration
	// Burst limits how much an organisation that used less than its share may
	// catch up on later: what its share amounts to in this time.
	Burst time.Duration
	// Weight is used for requests without a weight.
	Weight float64
	// Now returns the current time.
	Now func() time.Time
}

// Defaults of Config.
const (
	DefaultCapacity  = 64
	DefaultMaxWait   = 10 * time.Second
	DefaultTokenTime = 25 * time.Millisecond
	DefaultBurst     = 2 * time.Second
	DefaultWeight    = 0.01
)

// tokenTimeSamples is the number of requests over which the token time is
// smoothed.
const tokenTimeSamples = 16

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.TokenTime <= 0 {
		c.TokenTime = DefaultTokenTime
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Weight <= 0 {
		c.Weight = DefaultWeight
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Admitter blocks requests until the queue grants them a slot. It is safe for
// concurrent use.
type Admitter struct {
	cfg Config

	mu    sync.Mutex
	queue *queue
	// ready has a channel for each waiting request, closed when it may run.
	ready map[*item]chan struct{}
}

// New returns an admitter.
func New(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	return &Admitter{
		cfg:   cfg,
		queue: newQueue(cfg),
		ready: make(map[*item]chan struct{}),
	}
}

// Resize changes the capacity. Running requests beyond a lower capacity
// continue.
func (a *Admitter) Resize(capacity int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Capacity = max(capacity, 1)
	a.queue.cfg.Capacity = a.cfg.Capacity
	a.grant()
}

// Running returns the number of requests in progress.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue.running)
}

// Grant is the admission of a request, held until Release is called.
type Grant struct {
	// Borrowed is set if the organisation had used up its share and its own
	// slots when the request arrived, so that the slot is one that another
	// organisation does not use.
	Borrowed bool
	// Release must be called once, with the number of tokens that the request
	// used.
	Release func(tokens int)
}

// Admit waits until the request may run. The caller must call release once,
// with the number of tokens that the request used. The error is a
// refuser.Refusal.
func (a *Admitter) Admit(ctx context.Context, req Request) (release func(tokens int), err error) {
	grant, err := a.Acquire(ctx, req)
	return grant.Release, err
}

// Acquire is like Admit and also reports whether the slot is borrowed.
func (a *Admitter) Acquire(ctx context.Context, req Request) (Grant, error) {
	it, ready, err := a.enqueue(req)
	if err != nil {
		return Grant{}, err
	}
	timer := time.NewTimer(a.remainingWait(it))
	defer timer.Stop()
	select {
	case <-ready:
		return Grant{Borrowed: it.borrowed, Release: a.releaser(it)}, nil
	case <-ctx.Done():
		return Grant{}, a.cancel(it, refuser.New(refuser.CallerLeft, "caller left the queue: %v", context.Cause(ctx)))
	case <-timer.C:
	}
	if err := a.expire(it); err != nil {
		return Grant{}, err
	}
	return Grant{Borrowed: it.borrowed, Release: a.releaser(it)}, nil
}

// enqueue adds a request to the queue and grants free slots. The channel is
// closed when the request may run.
func (a *Admitter) enqueue(req Request) (*item, chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	it, err := a.queue.offer(a.cfg.Now(), req)
	if err != nil {
		return nil, nil, err
	}
	ready := make(chan struct{})
	a.ready[it] = ready
	a.grant()
	return it, ready, nil
}

// grant lets requests run while there are free slots. The caller holds a.mu.
func (a *Admitter) grant() {
	for {
		it := a.queue.next(a.cfg.Now())
		if it == nil {
			return
		}
		close(a.ready[it])
		delete(a.ready, it)
	}
}

// remainingWait returns how long a request may still wait.
func (a *Admitter) remainingWait(it *item) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.waitDeadline(it).Sub(a.cfg.Now())
}

// expire rejects a request that waited too long; nil means that it was granted.
func (a *Admitter) expire(it *item) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	wait := a.queue.serviceTime(it.cost()) / time.Duration(a.cfg.Capacity)
	if !a.withdraw(it) {
		return nil
	}
	code := refuser.QueueTooLong
	if now.Before(it.arrived.Add(a.cfg.MaxWait)) {
		code = refuser.DeadlineTooClose
	}
	return refuser.New(code, "waited %v in the queue", now.Sub(it.arrived)).WithWait(wait)
}

// withdraw removes a request from the queue; false means that it was granted.
// The caller holds a.mu.
func (a *Admitter) withdraw(it *item) bool {
	if !a.queue.remove(it) {
		return false
	}
	delete(a.ready, it)
	return true
}

// cancel ends a request whose caller has left, whether it waits or was granted.
func (a *Admitter) cancel(it *item, refusal refuser.Refusal) error {
	a.mu.Lock()
	waiting := a.withdraw(it)
	a.mu.Unlock()
	if !waiting {
		a.releaser(it)(0)
	}
	return refusal
}

// releaser returns the function that ends a granted request.
func (a *Admitter) releaser(it *item) func(tokens int) {
	var once sync.Once
	return func(tokens int) {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.queue.finish(a.cfg.Now(), it, tokens)
			a.grant()
		})
	}
}
