package retrier

import (
	"time"
)

// budget is the state of a token bucket of retries. It is an immutable value.
type budget struct {
	// tokens is from 0 to the larger of MaxBudget and InitialBudget.
	tokens float64
	// asOf is the time for which tokens holds. It never decreases.
	asOf time.Time
}

// currentBudget returns a budget refilled up to now. A new one starts with
// InitialBudget.
func (c Config) currentBudget(budgets map[string]budget, name string, now time.Time) budget {
	b, ok := budgets[name]
	if !ok {
		return budget{tokens: c.InitialBudget, asOf: now}
	}
	if elapsed := now.Sub(b.asOf); elapsed > 0 {
		if b.tokens < c.InitialBudget {
			b.tokens = min(c.InitialBudget, b.tokens+float64(elapsed)/float64(c.RefillInterval))
		}
		b.asOf = now
	}
	return b
}

// deposit returns the budget after a success.
func (b budget) deposit(cfg Config) budget {
	b.tokens = min(max(cfg.MaxBudget, cfg.InitialBudget), b.tokens+cfg.Ratio)
	return b
}

// withdraw returns the budget after a retry.
func (b budget) withdraw() budget {
	b.tokens--
	return b
}
