// Package budgeter limits the retries that are sent to a service. The retry budget
// of a window is a ratio of the requests in it plus a fixed slack, and all nodes
// share it. A node with reports of all others may use its equal part of what remains
// of the budget; without them, it is limited to its equal part of the whole.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slots is the number of slots in which a window is counted.
	slots = 20
	// safetyFactor is the part of the budget that is used. It leaves a margin
	// because requests are counted when they arrive at this node, not when they were
	// sent.
	safetyFactor = 0.8
	// reservedShare is the part of the budget that only requests whose answer has begun
	// may use: their callers would lose what they have, and the others may return.
	reservedShare = 0.4
	// renewInterval is how long an allowance is valid. It is longer than nodes take
	// to exchange what they have spent, so that together they never exceed the
	// budget.
	renewInterval = 500 * time.Millisecond
)

// Usage counts what was sent to a service in a window. It is an immutable value.
type Usage struct {
	// Requests counts the requests of callers, and Retries all that was sent beyond
	// the first attempt.
	Requests int
	Retries  int
}

// Config configures a Budgeter.
type Config struct {
	// Limits returns the number of retries that one request allows, and the slack:
	// how many all nodes together may send in a window in addition.
	Limits func() (ratio, slack float64)
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Nodes returns the number of nodes that share the budget.
	Nodes func() int
	// Others returns what the other nodes have sent in the last window, as far as
	// they have reported it, and how many nodes have reported.
	Others func(service string) (spent Usage, nodes int)
	// Started is when this process began; the zero value means now.
	Started time.Time
	// Now is the clock.
	Now func() time.Time
}

// Budgeter keeps the retry budgets of services. It is safe for concurrent use.
type Budgeter struct {
	cfg Config

	// mu is not held while a function of cfg other than Now is called.
	mu       sync.Mutex
	services map[string]*usageWindow
}

// usageWindow counts what was sent to a service in the last slots, including the current
// one.
type usageWindow struct {
	// slot is the number of the current slot since the Unix epoch.
	slot  int64
	spent [slots]Usage
	// allowance is how many retries may still be sent until it is renewed, and reserved
	// how many of these only requests whose answer has begun may use.
	allowance float64
	reserved  float64
	renewedAt time.Time
}

// take reports whether a retry is left for a request, and takes it.
func (c *usageWindow) take(begun bool) bool {
	if !c.allows(begun) {
		return false
	}
	c.allowance--
	c.spent[c.slot%slots].Retries++
	return true
}

// allows reports whether a retry is left for a request.
func (c *usageWindow) allows(begun bool) bool {
	if begun {
		return c.allowance >= 1
	}
	return c.allowance >= 1+c.reserved
}

// New returns a Budgeter.
func New(cfg Config) *Budgeter {
	if cfg.Started.IsZero() {
		cfg.Started = cfg.Now()
	}
	return &Budgeter{cfg: cfg, services: make(map[string]*usageWindow)}
}

// current returns a service's usage, advanced to the current slot. The caller must
// hold mu.
func (b *Budgeter) current(service string) *usageWindow {
	c := b.services[service]
	if c == nil {
		c = &usageWindow{}
		b.services[service] = c
	}
	now := b.cfg.Now().UnixNano() / int64(b.cfg.Window/slots)
	for n := max(c.slot+1, now-slots+1); n <= now; n++ {
		c.spent[n%slots] = Usage{}
	}
	c.slot = max(c.slot, now)
	return c
}

// total returns what was sent in the last window.
func (c *usageWindow) total() Usage {
	var sum Usage
	for _, s := range c.spent {
		sum.Requests += s.Requests
		sum.Retries += s.Retries
	}
	return sum
}

// terms are what an allowance depends on besides what this node has sent. They are an
// immutable value.
type terms struct {
	// replaces is when the allowance that they replace was renewed.
	replaces time.Time
	// at is the time before the functions of the configuration were called.
	at       time.Time
	ratio    float64
	slack    float64
	nodes    int
	others   Usage
	reported int
}

// terms returns the present terms of a service, for an allowance that was renewed at
// replaces. It calls the functions of the configuration without the lock: they take locks
// under which other parts may call the Budgeter.
func (b *Budgeter) terms(service string, replaces time.Time) terms {
	t := terms{replaces: replaces, at: b.cfg.Now()}
	t.ratio, t.slack = b.cfg.Limits()
	// What an earlier process of this node has spent is not known, so the slack
	// becomes available gradually over the first window.
	t.slack *= min(float64(t.at.Sub(b.cfg.Started))/float64(b.cfg.Window), 1)
	t.nodes = max(b.cfg.Nodes(), 1)
	t.others, t.reported = b.cfg.Others(service)
	return t
}

// renew sets a new allowance: this node's part of what remains of the shared budget.
func (c *usageWindow) renew(t terms) {
	c.renewedAt = t.at
	own := c.total()
	if t.reported < t.nodes-1 {
		// Without reports of all other nodes, a node uses no more than its equal
		// part. Nodes that have reports of different others would otherwise both
		// spend the same remainder.
		budget := safetyFactor * (t.ratio*float64(own.Requests) + t.slack/float64(t.nodes))
		c.allowance, c.reserved = max(budget-float64(own.Retries), 0), reservedShare*budget
		return
	}
	budget := safetyFactor * (t.ratio*float64(own.Requests+t.others.Requests) + t.slack)
	c.allowance = max(budget-float64(own.Retries+t.others.Retries), 0) / float64(t.nodes)
	c.reserved = reservedShare * budget / float64(t.nodes)
}

// withAllowance returns the result of use, which it calls with the lock held and the usage
// of a service whose allowance has not expired.
func (b *Budgeter) withAllowance(service string, use func(c *usageWindow) bool) bool {
	result, expired, renewedAt := b.try(service, nil, use)
	for expired {
		t := b.terms(service, renewedAt)
		result, expired, renewedAt = b.try(service, &t, use)
	}
	return result
}

// try calls use unless the allowance has expired. The terms, nil if there are none, renew
// the allowance that they replace. If another call has renewed it meanwhile, they are not
// used: they may lack what the other nodes have sent since.
func (b *Budgeter) try(service string, t *terms, use func(c *usageWindow) bool) (result, expired bool, renewedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	if t != nil && t.replaces.Equal(c.renewedAt) {
		c.renew(*t)
	} else if b.cfg.Now().Sub(c.renewedAt) >= renewInterval {
		return false, true, c.renewedAt
	}
	return use(c), false, c.renewedAt
}

// Request counts a caller's request to a service.
func (b *Budgeter) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.current(service)
	c.spent[c.slot%slots].Requests++
}

// TakeRetry takes one retry out of the budget, and reports whether there was one. begun
// is set for a request whose answer has begun.
func (b *Budgeter) TakeRetry(service string, begun bool) bool {
	return b.withAllowance(service, func(c *usageWindow) bool { return c.take(begun) })
}

// CanRetry reports whether TakeRetry would succeed now.
func (b *Budgeter) CanRetry(service string, begun bool) bool {
	return b.withAllowance(service, func(c *usageWindow) bool { return c.allows(begun) })
}

// Usage returns what this node has sent in the last window, by service.
func (b *Budgeter) Usage() map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := make(map[string]Usage, len(b.services))
	for service := range b.services {
		spent[service] = b.current(service).total()
	}
	return spent
}
