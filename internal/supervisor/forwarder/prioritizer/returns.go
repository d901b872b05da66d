package prioritizer

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the minimum Retry-After: views of the load are older than less.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryShare is the maximum Retry-After as a share of the caller's remaining time,
	// which leaves it the time for the answer.
	maxRetryShare = 0.33
	// defaultRemaining replaces the remaining time of callers that state none.
	defaultRemaining = 10 * time.Second
	// slotTime is the length of a slot in which a number of callers may return, and
	// slotCount the number of slots that are planned ahead.
	slotTime  = 100 * time.Millisecond
	slotCount = 128
)

// returns are the returns of refused callers by the time at which they are due.
type returns struct {
	// tokens are those of the slots from first on, in a ring.
	tokens [slotCount]float64
	// first is the number of the earliest slot, counted from the epoch.
	first int64
}

// advance drops the slots that have passed.
func (r *returns) advance(now time.Time) {
	first := now.UnixNano() / int64(slotTime)
	if first-r.first >= slotCount {
		clear(r.tokens[:])
	} else {
		for at := r.first; at < first; at++ {
			r.tokens[at%slotCount] = 0
		}
	}
	r.first = max(first, r.first)
}

// take adds a return of the given tokens to the first slot from earliest to latest that
// stays within capacity, or else to the one with the fewest tokens, and returns its time.
func (r *returns) take(now time.Time, earliest, latest time.Duration, tokens, capacity float64) time.Duration {
	r.advance(now)
	first := now.Add(earliest).UnixNano() / int64(slotTime)
	last := min(max(now.Add(latest).UnixNano()/int64(slotTime), first), r.first+slotCount-1)
	best := first
	for at := first; at <= last; at++ {
		held := r.tokens[at%slotCount]
		if held == 0 || held+tokens <= capacity {
			best = at
			break
		}
		if held < r.tokens[best%slotCount] {
			best = at
		}
	}
	r.tokens[best%slotCount] += tokens
	if best == first {
		return earliest
	}
	return min(time.Unix(0, best*int64(slotTime)).Sub(now), latest)
}

// retryAfter returns when a rejected request is to come back: when the load is expected
// below its limit, spread over as long again. The caller holds the lock.
func (p *Prioritizer) retryAfter(now time.Time, req Request, limit float64) time.Duration {
	remaining := req.Remaining
	if remaining <= 0 {
		remaining = defaultRemaining
	}
	longest := min(time.Duration(maxRetryShare*float64(remaining)), slotTime*(slotCount-1))
	// The spread takes as long again.
	base := min(max(p.trend.until(limit), minRetryAfter), longest/2)
	wait := base + time.Duration(p.cfg.Rand()*float64(base))
	capacity := p.ended.perSecond(now) * slotTime.Seconds()
	return p.returns.take(now, wait, longest, float64(req.Tokens), capacity)
}

const (
	// fastTime and slowTime are the smoothing times whose difference gives the trend. A load
	// has reports of different age, so a shorter trend is mostly noise.
	fastTime = 300 * time.Millisecond
	slowTime = 900 * time.Millisecond
	// minFall is the slowest fall of the load, per second, that counts as one.
	minFall = 0.02
)

// trend is the smoothed load and its slope.
type trend struct {
	fast, slow float64
	load       float64
	at         time.Time
}

// add adds a load as of now. It starts anew after a time without any.
func (t *trend) add(now time.Time, load float64) {
	elapsed := now.Sub(t.at)
	if t.at.IsZero() || elapsed > 2*slowTime {
		t.fast, t.slow = load, load
	} else {
		t.fast += (load - t.fast) * (1 - math.Exp(-elapsed.Seconds()/fastTime.Seconds()))
		t.slow += (load - t.slow) * (1 - math.Exp(-elapsed.Seconds()/slowTime.Seconds()))
	}
	t.load, t.at = load, now
}

// slope returns the change of the load per second.
func (t *trend) slope() float64 {
	return (t.fast - t.slow) / (slowTime - fastTime).Seconds()
}

// until returns when the load is expected below a limit; 0 if it doesn't fall.
func (t *trend) until(limit float64) time.Duration {
	slope := t.slope()
	if slope > -minFall || t.load < limit {
		return 0
	}
	return time.Duration(min((t.load-limit)/-slope, time.Hour.Seconds()) * float64(time.Second))
}

// reaches reports whether the load is expected below a limit within the given time.
func (t *trend) reaches(limit float64, within time.Duration) bool {
	return t.slope() <= -minFall && t.load+t.slope()*within.Seconds() < limit
}

const (
	// freshShare is the share of the longest timeout of a route that callers state at least
	// who haven't asked before.
	freshShare = 0.99
	// timeoutTTL is how long a longest timeout counts.
	timeoutTTL = 30 * time.Second
)

// Timeouts knows the longest timeouts stated on a route. The zero value knows none.
type Timeouts struct {
	longest [2]time.Duration
	// since is when the second of the two began, which each cover timeoutTTL/2.
	since time.Time
}

// Returning reports whether a caller with the given timeout has asked before and waited for
// Retry-After, or came back early, and learns the timeout. Callers subtract the time that has
// passed since they first asked.
func (t *Timeouts) Returning(now time.Time, timeout time.Duration) (returning, early bool) {
	if timeout <= 0 {
		return false, false
	}
	switch elapsed := now.Sub(t.since); {
	case elapsed >= timeoutTTL:
		t.longest, t.since = [2]time.Duration{}, now
	case elapsed >= timeoutTTL/2:
		t.longest, t.since = [2]time.Duration{t.longest[1], 0}, now
	}
	t.longest[1] = max(t.longest[1], timeout)
	longest := max(t.longest[0], t.longest[1])
	asked := longest - timeout
	earliest := min(minRetryAfter, time.Duration(maxRetryShare/2*float64(longest)))
	returning = asked >= time.Duration(freshShare*float64(earliest))
	return returning, !returning && float64(timeout) < freshShare*float64(longest)
}
