package throttler

import (
	"context"
	"math"
	"time"

	"banyanquay/internal/encoder"
)

// query asks an endpoint's home for permits.
type query struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// PerSecond is the limit, and NamedAgeMillis the age of the last answer that named it
	// as far as the sender knows.
	PerSecond      float64
	NamedAgeMillis int64
	Wanted         int
	// Second is set if the first home didn't answer the sender.
	Second bool
	// Ended is set if an answer to the sender named no limit any more.
	Ended bool
}

// grant answers a query.
type grant struct {
	_       struct{} `cbor:",toarray"`
	Permits int
	// WaitMillis is when the next permit is due if there is none.
	WaitMillis int64
	// NamedAgeMillis is the age of the last answer to any node that named the limit.
	NamedAgeMillis int64
	// Ended is set if a later answer to another node named none.
	Ended bool
}

// HandleQuery answers another node's query.
func (t *Throttler) HandleQuery(body []byte) ([]byte, error) {
	q, err := encoder.FromCBOR[query](body)
	if err != nil {
		return nil, err
	}
	g, ok := t.relay(q)
	if !ok {
		g = t.answer(q)
	}
	return encoder.CBOR(g)
}

// answer answers a query out of this node's buckets.
func (t *Throttler) answer(q query) grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant(q)
}

// relay asks the first home in the name of a node that doesn't reach it, and reports whether
// that answered.
func (t *Throttler) relay(q query) (grant, bool) {
	homes := t.cfg.Homes(q.Endpoint)
	if !q.Second || len(homes) == 0 || homes[0] == t.cfg.Address {
		return grant{}, false
	}
	t.mu.Lock()
	failed := t.cfg.Now().Before(t.failed[homes[0]])
	t.mu.Unlock()
	if failed {
		return grant{}, false
	}
	q.Second = false
	g, err := t.queryHome(context.Background(), homes[0], q, relayTimeout)
	if err != nil {
		t.mu.Lock()
		t.recordFailed(context.Background(), homes[0])
		t.mu.Unlock()
		return grant{}, false
	}
	return g, true
}

// age returns an age that another node told, within what matters here.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), 2*limitTTL.Milliseconds())) * time.Millisecond
}

// grant takes permits out of an endpoint's bucket. The caller must hold mu.
func (t *Throttler) grant(q query) grant {
	now := t.cfg.Now()
	b := t.buckets[q.Endpoint]
	if b == nil {
		if len(t.buckets) >= maxBuckets {
			t.dropIdleBuckets(now)
		}
		b = &homeBucket{bucket: newBucket(now)}
		b.tokens = 1
		t.buckets[q.Endpoint] = b
	}
	if q.Ended {
		b.endedAt = now
		return grant{}
	}
	if at := now.Add(-age(q.NamedAgeMillis)); at.After(b.namedAt) {
		b.namedAt = at
	}
	if b.endedAt.After(b.namedAt) {
		return grant{Ended: true}
	}
	rate := rateOf(q.PerSecond)
	if q.Second {
		rate *= secondShare
	}
	g := b.take(rate, min(q.Wanted, maxPermits), now)
	g.NamedAgeMillis = now.Sub(b.namedAt).Milliseconds()
	return g
}

// homeBucket is the bucket of an endpoint at its home.
type homeBucket struct {
	bucket
	// namedAt is when an answer to any node last named the limit, and endedAt when one last
	// named none after that.
	namedAt time.Time
	endedAt time.Time
}

// dropIdleBuckets drops the buckets that were not used for limitTTL, or all if there is
// none. The caller must hold mu.
func (t *Throttler) dropIdleBuckets(now time.Time) {
	before := len(t.buckets)
	for endpoint, b := range t.buckets {
		if now.Sub(b.filledAt) > limitTTL {
			delete(t.buckets, endpoint)
		}
	}
	if len(t.buckets) == before {
		clear(t.buckets)
	}
}

// bucket is a token bucket whose rate is given with each use.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// newBucket returns a bucket that is filled from now on.
func newBucket(now time.Time) bucket { return bucket{filledAt: now} }

// rateOf returns the rate of permits, per second, that follows from a limit.
func rateOf(perSecond float64) float64 {
	rate := max(rateShare*perSecond, minRate)
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return minRate
	}
	return rate
}

// take takes up to wanted tokens from a bucket that is filled at a rate per second.
func (b *bucket) take(rate float64, wanted int, now time.Time) grant {
	b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), max(rate*burst.Seconds(), 1))
	b.filledAt = now
	taken := max(min(int(b.tokens), wanted), 0)
	b.tokens -= float64(taken)
	g := grant{Permits: taken}
	if taken == 0 {
		g.WaitMillis = int64(min((1-b.tokens)/rate, maxDenial.Seconds()) * 1000)
	}
	return g
}
