// Package budgeter bounds what is sent to a service beyond the first time: in
// each window a share of the requests for it, and a fixed slack that all nodes
// share. Nodes that need more than an equal part get what the others leave.
package budgeter

import (
	"sync"
	"time"
)

const (
	// slots is how many parts a window is counted in.
	slots = 20
	// margin is the part of the budget that is used: requests are counted by
	// the time of their arrival here, which is not when they were sent.
	margin = 0.8
	// interval is how long an allowance holds: longer than nodes take to tell
	// each other what they have spent, so that all together never overspend.
	interval = 500 * time.Millisecond
)

// Spent is what was sent to a service in a window. It is an immutable value.
type Spent struct {
	// Requests are those of callers, Repeats what was sent beyond the first
	// time.
	Requests int
	Repeats  int
}

// Config sets a budget.
type Config struct {
	// Limits returns the repeats that one request allows, and those that all
	// nodes together may send in a window beside that.
	Limits func() (ratio, slack float64)
	// Window is the time over which both are counted.
	Window time.Duration
	// Nodes returns how many nodes share the budget.
	Nodes func() int
	// Others returns what the other nodes have sent in the last window, as far
	// as they have told, and how many have.
	Others func(service string) (spent Spent, nodes int)
	// Started is when this process began; zero means now.
	Started time.Time
	// Now is the clock.
	Now func() time.Time
}

// Budgeter keeps the budgets of services. It is safe for concurrent use.
type Budgeter struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*counts
}

// counts are those of the last slots, the current one included.
type counts struct {
	// slot is the number of the current slot since the zero time.
	slot  int64
	spent [slots]Spent
	// allowed is what may still be spent until the allowance is renewed.
	allowed float64
	renewed time.Time
}

// New returns a budgeter.
func New(cfg Config) *Budgeter {
	if cfg.Started.IsZero() {
		cfg.Started = cfg.Now()
	}
	return &Budgeter{cfg: cfg, services: make(map[string]*counts)}
}

// at returns a service's counts, moved on to now. It needs the lock.
func (b *Budgeter) at(service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	now := b.cfg.Now().UnixNano() / int64(b.cfg.Window/slots)
	for n := max(c.slot+1, now-slots+1); n <= now; n++ {
		c.spent[n%slots] = Spent{}
	}
	c.slot = max(c.slot, now)
	return c
}

// sum is what was sent in the last window.
func (c *counts) sum() Spent {
	var sum Spent
	for _, s := range c.spent {
		sum.Requests += s.Requests
		sum.Repeats += s.Repeats
	}
	return sum
}

// renew sets the allowance anew once its time is over: this node's part of
// what all have left.
func (b *Budgeter) renew(service string, c *counts) {
	now := b.cfg.Now()
	if now.Sub(c.renewed) < interval {
		return
	}
	c.renewed = now
	ratio, slack := b.cfg.Limits()
	// What an earlier process of this node has spent is not known: the slack is
	// earned over the first window.
	slack *= min(float64(now.Sub(b.cfg.Started))/float64(b.cfg.Window), 1)
	nodes := max(b.cfg.Nodes(), 1)
	own := c.sum()
	others, told := b.cfg.Others(service)
	if told < nodes-1 {
		// What the others leave is shared only where all know of it: two nodes that
		// know different ones would both spend the same part.
		left := margin*(ratio*float64(own.Requests)+slack/float64(nodes)) - float64(own.Repeats)
		c.allowed = max(left, 0)
		return
	}
	left := margin*(ratio*float64(own.Requests+others.Requests)+slack) - float64(own.Repeats+others.Repeats)
	c.allowed = max(left, 0) / float64(nodes)
}

// Request counts a request for a service.
func (b *Budgeter) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	c.spent[c.slot%slots].Requests++
}

// Repeat takes one repeat out of the budget, and tells whether there was one.
func (b *Budgeter) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	b.renew(service, c)
	if c.allowed < 1 {
		return false
	}
	c.allowed--
	c.spent[c.slot%slots].Repeats++
	return true
}

// Affords tells whether a repeat would be granted now.
func (b *Budgeter) Affords(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	b.renew(service, c)
	return c.allowed >= 1
}

// Spent returns what this node has sent in the last window, by service.
func (b *Budgeter) Spent() map[string]Spent {
	b.mu.Lock()
	defer b.mu.Unlock()
	spent := make(map[string]Spent, len(b.services))
	for service := range b.services {
		spent[service] = b.at(service).sum()
	}
	return spent
}
