// Package pacer decides when a long prompt is sent to engines at which short prompts
// wait for their first event. An engine prefills one prompt after the other, so a long
// one delays all that reach the engine after it.
package pacer

import (
	"slices"
	"sync"
	"time"
)

const (
	// DefaultFactor is how many times the usual prompt a long one exceeds.
	DefaultFactor = 2
	// backlogDivisor bounds an engine's prefill backlog to half of the target of a short
	// prompt that waits there. The other half is for its own prefill and its first step.
	backlogDivisor = 2
	// behindDivisor bounds the work before the first event of a long prompt that is put
	// behind short ones to an eighth of its target, so that it meets its target also where
	// short ones take most of an engine. With a quarter, waves of 16,000 tokens missed it.
	behindDivisor = 8
	// holdDivisor bounds the time for which a long prompt is held to a quarter of its
	// target.
	holdDivisor = 4
	// checkInterval is the maximum time after which a held prompt is checked again: short
	// prompts get their first events at any moment.
	checkInterval = 20 * time.Millisecond
	// minCheckInterval keeps a prompt that is nearly due from being checked in a loop.
	minCheckInterval = time.Millisecond
	// grantAge is how long a prompt that was allowed is counted here. By then its prefill
	// is in the backlog that the caller states. Without it, all long prompts that are
	// checked at the same moment would be sent.
	grantAge = 5 * time.Millisecond
)

// Engine is a stage of a path. It is an immutable value.
type Engine struct {
	ID string
	// Backlog is how long the engine still prefills the prompts that it has, and Prefill
	// how long it would prefill this one.
	Backlog time.Duration
	Prefill time.Duration
}

// Request is what is known of a request. It is an immutable value.
type Request struct {
	// Tokens is the length of the prompt, and Usual that of the service's usual one; 0 if
	// that is unknown, and then no prompt is long and none is held.
	Tokens int
	Usual  int
	// Target is the time from Arrived in which the first event is due; 0 if there is none.
	Target  time.Duration
	Arrived time.Time
}

// Pacer knows the prompts that wait for their first event. It is safe for concurrent use.
type Pacer struct {
	// factor returns how many times the usual prompt a long one exceeds; 0 means that no
	// prompt is long.
	factor func() float64

	mu sync.Mutex
	// waiting holds the short prompts that wait, by engine. Engines without any are left
	// out.
	waiting map[string]map[*waiter]bool
	// longs is the number of long prompts that were sent and have no first event.
	longs int
	// granted holds the prefill of the long prompts that were allowed within grantAge,
	// oldest first, with one entry for each engine of their paths.
	granted []grant
}

// waiter is a short prompt without a first event.
type waiter struct {
	due    time.Time
	target time.Duration
}

// grant is the prefill of a long prompt that was allowed, at one engine.
type grant struct {
	at      time.Time
	id      string
	prefill time.Duration
}

// New returns a Pacer. A nil factor means DefaultFactor.
func New(factor func() float64) *Pacer {
	if factor == nil {
		factor = func() float64 { return DefaultFactor }
	}
	return &Pacer{factor: factor, waiting: make(map[string]map[*waiter]bool)}
}

// Long reports whether a prompt is long.
func (p *Pacer) Long(req Request) bool {
	factor := p.factor()
	return factor > 0 && req.Usual > 0 && float64(req.Tokens) > factor*float64(req.Usual)
}

// Begin counts a prompt that is sent to engines as waiting there, until the returned
// function is called. Further calls of that function have no effect. A short prompt past
// its target no longer holds others: it has missed it, and its engine may have stopped.
func (p *Pacer) Begin(ids []string, req Request) (end func()) {
	if req.Usual <= 0 || req.Target <= 0 {
		return func() {}
	}
	if p.Long(req) {
		p.addLongs(1)
		return sync.OnceFunc(func() { p.addLongs(-1) })
	}
	w := &waiter{due: req.Arrived.Add(req.Target), target: req.Target}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		if p.waiting[id] == nil {
			p.waiting[id] = make(map[*waiter]bool)
		}
		p.waiting[id][w] = true
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, id := range ids {
			if delete(p.waiting[id], w); len(p.waiting[id]) == 0 {
				delete(p.waiting, id)
			}
		}
	}
}

// addLongs changes the number of long prompts that wait.
func (p *Pacer) addLongs(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longs += n
}

// Allow reports whether a prompt that has not been sent yet may be sent along a path now,
// and if not, after which time to ask again. Only long prompts are ever held, and only
// until Arrived plus a quarter of their target.
func (p *Pacer) Allow(now time.Time, path []Engine, req Request) (wait time.Duration, ok bool) {
	if !p.Long(req) {
		return 0, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = slices.DeleteFunc(p.granted, func(g grant) bool { return now.Sub(g.at) >= grantAge })
	excess := time.Duration(0)
	for _, e := range path {
		excess = max(excess, p.excess(now, e))
	}
	left := holdLimit(path, req) - now.Sub(req.Arrived)
	if excess > 0 && left > 0 {
		return min(max(min(excess, checkInterval), minCheckInterval), left), false
	}
	for _, e := range path {
		p.granted = append(p.granted, grant{at: now, id: e.ID, prefill: e.Prefill})
	}
	return 0, true
}

// Blocks reports whether a long prompt would be held for this engine.
func (p *Pacer) Blocks(now time.Time, e Engine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.excess(now, e) > 0
}

// excess returns by how much an engine's backlog with the prompt exceeds what the short
// prompts that wait there tolerate; 0 if none waits. The caller holds the lock.
func (p *Pacer) excess(now time.Time, e Engine) time.Duration {
	tightest := time.Duration(0)
	for w := range p.waiting[e.ID] {
		if now.Before(w.due) && (tightest == 0 || w.target < tightest) {
			tightest = w.target
		}
	}
	if tightest == 0 {
		return 0
	}
	return max(e.Backlog+p.recent(now, e.ID)+e.Prefill-tightest/backlogDivisor, 0)
}

// recent returns the prefill of the prompts that an engine got within grantAge. The caller
// holds the lock.
func (p *Pacer) recent(now time.Time, id string) time.Duration {
	sum := time.Duration(0)
	for _, g := range p.granted {
		if g.id == id && now.Sub(g.at) < grantAge {
			sum += g.prefill
		}
	}
	return sum
}

// HoldLimit returns the maximum time after its arrival until which a long prompt is held.
func HoldLimit(req Request) time.Duration { return req.Target / holdDivisor }

// holdLimit returns the time after its arrival until which a long prompt may be held on a
// path. One that meets its target only if it is held for less is held for less, so that a
// quarter of the target is left for the first step. One whose prefill takes longer than
// its target is held for the full quarter, since it is late in any case.
func holdLimit(path []Engine, req Request) time.Duration {
	limit, longest := HoldLimit(req), time.Duration(0)
	for _, e := range path {
		longest = max(longest, e.Prefill)
	}
	if longest >= req.Target {
		return limit
	}
	return max(min(limit, req.Target-limit-longest), 0)
}

// Behind reports whether the engines of a path may prefill a prompt after the short ones
// of its class: it is long, it would have its prefill within an eighth of its target if
// nothing overtook it, and no other long prompt of this node waits. With less time left it
// would starve behind short ones, and of several the later ones would overtake it.
func (p *Pacer) Behind(now time.Time, path []Engine, req Request) bool {
	if !p.Long(req) {
		return false
	}
	needed := now.Sub(req.Arrived)
	for _, e := range path {
		needed = max(needed, now.Sub(req.Arrived)+e.Backlog+e.Prefill)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longs == 0 && needed <= req.Target/behindDivisor
}

// Step returns the priority of a prompt that goes behind those with the given priority:
// the next less urgent one if it is at most least and none of those taken by the classes
// of the service, else the same.
func Step(priority, least int, taken []int) int {
	if priority >= least || slices.Contains(taken, priority+1) {
		return priority
	}
	return priority + 1
}
