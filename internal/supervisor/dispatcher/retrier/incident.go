package retrier

import (
	"time"
)

// incidents holds when the latest incident of each endpoint began: its first
// failure after Config.RefillInterval without a new incident. The failure was not
// known when earlier requests were placed at the endpoint, so they are retried
// without a charge to the budgets: a VM that crashes with many requests in flight
// fails none of them for lack of budget. This happens at most once per
// RefillInterval, so the exempt retries are limited, too.
type incidents map[string]time.Time

// exempt reports whether a retry is exempt from the budgets, and begins a new
// incident if one is due.
func (i incidents) exempt(t FailedAttempt, now time.Time, interval time.Duration) bool {
	if t.Reason.isOverload() {
		return false
	}
	began, ok := i[t.Address]
	if !ok || now.Sub(began) >= interval {
		began = now
		i[t.Address] = now
	}
	return !t.Placed.IsZero() && t.Placed.Before(began)
}

// isOverload reports whether the reason can only be an overload, which a retry
// would increase.
func (r Reason) isOverload() bool {
	return r == StageOverload || r == CacheMissing
}
