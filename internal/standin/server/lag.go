package server

import (
	"sync"
	"time"
)

// Lagging is a value whose changes become visible to readers after a fixed delay.
type Lagging[T any] struct {
	mu sync.Mutex
	// lag is the delay until readers see a change.
	lag time.Duration
	// history is ordered by time; its first entry is the value that readers saw
	// last.
	history []timedValue[T]
}

// timedValue is a value and the time at which it was set.
type timedValue[T any] struct {
	at    time.Time
	value T
}

// NewLagging returns a value whose initial state is visible immediately.
func NewLagging[T any](lag time.Duration, value T) *Lagging[T] {
	return &Lagging[T]{lag: lag, history: []timedValue[T]{{value: value}}}
}

// Set changes the value; readers see it after the lag.
func (l *Lagging[T]) Set(value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.trim(now)
	l.history = append(l.history, timedValue[T]{at: now, value: value})
}

// Get returns the value as it was one lag ago.
func (l *Lagging[T]) Get() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(time.Now())
	return l.history[0].value
}

// Latest returns the value set last, whether or not readers see it yet.
func (l *Lagging[T]) Latest() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history[len(l.history)-1].value
}

// trim drops the values that readers no longer see.
func (l *Lagging[T]) trim(now time.Time) {
	for len(l.history) > 1 && !l.history[1].at.Add(l.lag).After(now) {
		l.history = l.history[1:]
	}
}
