// Package budgeter bounds what is sent to a service beyond the first time: in
// each window a share of the requests for it, and a fixed slack that all nodes
// share.
package budgeter

import (
	"sync"
	"time"
)

// slots is how many parts a window is counted in.
const slots = 10

// margin is the part of the budget that is used: requests are counted by the
// time of their arrival here, which is not when they were sent.
const margin = 0.8

// Config sets a budget.
type Config struct {
	// Limits returns the repeats that one request allows, and those that all
	// nodes together may send in a window beside that.
	Limits func() (ratio, slack float64)
	// Window is the time over which both are counted.
	Window time.Duration
	// Nodes returns how many nodes share Slack.
	Nodes func() int
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
	slot     int64
	requests [slots]int
	repeats  [slots]int
}

// New returns a budgeter.
func New(cfg Config) *Budgeter {
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
		c.requests[n%slots], c.repeats[n%slots] = 0, 0
	}
	c.slot = max(c.slot, now)
	return c
}

// Request counts a request for a service.
func (b *Budgeter) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	c.requests[c.slot%slots]++
}

// Repeat takes one repeat out of the budget, and tells whether there was one.
func (b *Budgeter) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	requests, repeats := 0, 0
	for n := range slots {
		requests += c.requests[n]
		repeats += c.repeats[n]
	}
	ratio, slack := b.cfg.Limits()
	share := slack / float64(max(b.cfg.Nodes(), 1))
	if float64(repeats+1) > margin*(ratio*float64(requests)+share) {
		return false
	}
	c.repeats[c.slot%slots]++
	return true
}
