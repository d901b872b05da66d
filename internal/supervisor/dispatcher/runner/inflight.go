package runner

import (
	"sync"
)

// InFlight counts all steps in flight to each endpoint, including those that no
// limit counts. It is safe for concurrent use.
type InFlight struct {
	mu sync.Mutex
	// counts has no zero entries.
	counts map[string]int
}

// NewInFlight returns an empty count.
func NewInFlight() *InFlight {
	return &InFlight{counts: make(map[string]int)}
}

// Begin counts a step as started. Every Begin needs one End.
func (f *InFlight) Begin(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[address]++
}

// End counts a step as ended.
func (f *InFlight) End(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[address]--
	if f.counts[address] == 0 {
		delete(f.counts, address)
	}
}

// Count returns the steps in flight to an endpoint.
func (f *InFlight) Count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[address]
}
