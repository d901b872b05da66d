package generator

import (
	"banyanquay/internal/driver"
)

// Totals counts the engine's work since its start. It is an immutable value.
type Totals struct {
	// Steps is the number of steps that were accepted.
	Steps int `json:"steps"`
	// Work is the number of layers run, summed over all positions.
	Work int `json:"work"`
	// Filled is the part of Work that was spent on rebuilding caches.
	Filled int `json:"filled"`
	// Blocks is the number of complete prefix blocks of the prompts, and Hits the
	// number of those that were cached.
	Blocks int `json:"blocks"`
	Hits   int `json:"hits"`
	// Refused is the number of steps of new requests that were refused because the
	// engine is leaving.
	Refused int `json:"refused"`
}

// Totals returns the work since the engine's start.
func (g *Generator) Totals() Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.totals
}

// with returns the totals after a further step with this many positions.
func (t Totals) with(step driver.Step, positions int) Totals {
	work := (step.Last - step.First) * positions
	t.Steps++
	t.Work += work
	if step.Fill {
		t.Filled += work
	}
	return t
}

// Add returns the sum of two totals.
func (t Totals) Add(other Totals) Totals {
	t.Steps += other.Steps
	t.Work += other.Work
	t.Filled += other.Filled
	t.Blocks += other.Blocks
	t.Hits += other.Hits
	t.Refused += other.Refused
	return t
}

// Sub returns the work since an earlier count: the difference of the two.
func (t Totals) Sub(earlier Totals) Totals {
	t.Steps -= earlier.Steps
	t.Work -= earlier.Work
	t.Filled -= earlier.Filled
	t.Blocks -= earlier.Blocks
	t.Hits -= earlier.Hits
	t.Refused -= earlier.Refused
	return t
}
