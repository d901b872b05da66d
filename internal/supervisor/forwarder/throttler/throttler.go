// Package throttler knows what an endpoint has said it may be sent. It keeps the requests
// that all nodes together send to an endpoint within the limit that the endpoint names in
// its answers, and sends none to one that wants none from this node for a while. For each limited endpoint one
// node, its home, gives out permits at the limit's rate, and the others ask it for one
// before they send. With that they learn whether the endpoint still names the limit: in a
// large fleet each node has an answer of its own only now and then. A node that can't
// reach the home keeps to its equal part.
package throttler

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
)

const (
	// rateShare is the part of a limit that is given out. The rest is for requests of
	// nodes that have not had an answer with the limit yet.
	rateShare = 0.95
	// minRate is the rate of permits, per second, for an endpoint that takes almost
	// nothing: only an answer tells when the limit ends.
	minRate = 0.25
	// burst is the time over which unused permits add up.
	burst = 300 * time.Millisecond
	// limitTTL is how long a limit counts without a further answer, to any node, that names
	// it.
	limitTTL = 30 * time.Second
	// queryTimeout bounds a query to the home: several round trips between data centres.
	queryTimeout = 80 * time.Millisecond
	// maxPermits bounds the permits of one query, and maxBuckets the endpoints of which a
	// node is the home.
	maxPermits = 64
	maxBuckets = 4096
	// minDenial and maxDenial bound the time in which a node does not ask again after it
	// got no permit.
	minDenial = 20 * time.Millisecond
	maxDenial = 4 * time.Second
)

// Config configures a Throttler. Its functions are safe for concurrent use.
type Config struct {
	// Home returns the address of the node that gives out the permits for an endpoint;
	// empty if it is this node.
	Home func(endpoint string) string
	// Query sends a query to another node's HandleQuery.
	Query func(ctx context.Context, address string, query []byte) ([]byte, error)
	// Nodes returns how many nodes share the endpoints.
	Nodes    func() int
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// Throttler holds the limits of endpoints. It is safe for concurrent use.
type Throttler struct {
	cfg Config

	mu sync.Mutex
	// limits holds the endpoints that name a limit, and buckets those of which this node
	// is the home.
	limits map[string]*limit
	// rests holds until when endpoints want no request from this node.
	rests   map[string]time.Time
	buckets map[string]*homeBucket
}

// limit is an endpoint's limit as this node knows it. Its fields are guarded by the
// Throttler's mu, except asking.
type limit struct {
	perSecond float64
	// namedAt is when an answer last named it, to this node or to one that asked the home.
	namedAt time.Time
	// permits are left from the last query, and deniedUntil is when the home may be asked
	// again.
	permits     int
	deniedUntil time.Time
	// waiting counts the requests that wait for a permit, and asking is held by the one
	// that asks for all of them.
	waiting int
	asking  chan struct{}
	// own limits this node while the home doesn't answer.
	own bucket
}

// New returns a Throttler without limits.
func New(cfg Config) *Throttler {
	return &Throttler{cfg: cfg, limits: make(map[string]*limit), rests: make(map[string]time.Time), buckets: make(map[string]*homeBucket)}
}

// Learn records the limit that an endpoint named in an answer, in requests a second;
// named is false for an answer without one, which ends the limit if the request was sent
// after the limit was last named.
func (t *Throttler) Learn(endpoint string, perSecond float64, named bool, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[endpoint]
	if !named {
		if l != nil && sentAt.After(l.namedAt) {
			t.end(endpoint, l)
			t.tellEnd(endpoint)
		}
		return
	}
	now := t.cfg.Now()
	if l == nil {
		l = &limit{asking: make(chan struct{}, 1), own: newBucket(now)}
		t.limits[endpoint] = l
		t.cfg.Counters.Stages.Add("limits_named", 1)
		t.cfg.Recorder.Info(recorder.LimitNamed, zap.String("endpoint", endpoint), zap.Float64("per_second", perSecond))
	}
	l.perSecond, l.namedAt = perSecond, now
}

// Rest records that an endpoint turned a request away and wants none from this node for a
// while. It does not shorten an earlier rest.
func (t *Throttler) Rest(endpoint string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	until := now.Add(d)
	if old, ok := t.rests[endpoint]; ok && !until.After(old) {
		return
	}
	if !t.resting(endpoint, now) {
		t.cfg.Counters.Stages.Add("rests", 1)
		t.cfg.Recorder.Info(recorder.EndpointResting, zap.String("endpoint", endpoint), zap.Duration("for", d))
	}
	t.rests[endpoint] = until
}

// resting reports whether an endpoint wants no request now. The caller must hold mu.
func (t *Throttler) resting(endpoint string, now time.Time) bool {
	return now.Before(t.rests[endpoint])
}

// end drops a limit. The caller must hold mu.
func (t *Throttler) end(endpoint string, l *limit) {
	delete(t.limits, endpoint)
	t.cfg.Counters.Stages.Add("limits_ended", 1)
	t.cfg.Recorder.Info(recorder.LimitEnded, zap.String("endpoint", endpoint), zap.Float64("per_second", l.perSecond))
}

// tellEnd tells an endpoint's home that the limit has ended. The caller must hold mu.
func (t *Throttler) tellEnd(endpoint string) {
	q := query{Endpoint: endpoint, Ended: true}
	home := t.cfg.Home(endpoint)
	if home == "" {
		t.grant(q)
		return
	}
	go t.cfg.Recorder.Guard("limit", func() {
		if _, err := t.queryHome(context.Background(), home, q); err != nil {
			t.cfg.Counters.Fleet.Add("permit_queries_failed", 1) // the others learn it from their own answers
		}
	})
}

// Denied reports whether an endpoint takes no request of this node now, and how long
// that is known to last.
func (t *Throttler) Denied(endpoint string) (wait time.Duration, denied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if t.resting(endpoint, now) {
		return t.rests[endpoint].Sub(now), true
	}
	l := t.current(endpoint)
	if l == nil || l.permits > 0 {
		return 0, false
	}
	wait = l.deniedUntil.Sub(now)
	return wait, wait > 0
}

// current returns an endpoint's limit, or nil if it has none. The caller must hold mu.
func (t *Throttler) current(endpoint string) *limit {
	l := t.limits[endpoint]
	if l != nil && t.cfg.Now().Sub(l.namedAt) > limitTTL {
		delete(t.limits, endpoint)
		return nil
	}
	return l
}

// Acquire takes a permit for one request to an endpoint and reports whether there was
// one. An endpoint without a limit needs none.
func (t *Throttler) Acquire(ctx context.Context, endpoint string) bool {
	t.mu.Lock()
	l := t.current(endpoint)
	if t.resting(endpoint, t.cfg.Now()) {
		t.mu.Unlock()
		return t.denied()
	}
	if l == nil {
		t.mu.Unlock()
		return true
	}
	if t.cfg.Now().Before(l.deniedUntil) && l.permits == 0 {
		t.mu.Unlock()
		return t.denied()
	}
	l.waiting++
	t.mu.Unlock()
	select {
	case l.asking <- struct{}{}:
	case <-ctx.Done():
		t.mu.Lock()
		l.waiting--
		t.mu.Unlock()
		return false
	}
	defer func() { <-l.asking }()
	t.mu.Lock()
	defer t.mu.Unlock()
	defer func() { l.waiting-- }()
	if l.permits == 0 && !t.cfg.Now().Before(l.deniedUntil) {
		t.ask(ctx, endpoint, l)
	}
	if l.permits == 0 {
		return t.denied()
	}
	l.permits--
	return true
}

// denied counts a request that got no permit, and returns false.
func (t *Throttler) denied() bool {
	t.cfg.Counters.Retries.Add("limit_reached", 1)
	return false
}

// ask asks an endpoint's home for permits for the requests that wait. The caller must
// hold mu, which is released during the query.
func (t *Throttler) ask(ctx context.Context, endpoint string, l *limit) {
	asked := t.cfg.Now()
	q := query{
		Endpoint: endpoint, PerSecond: l.perSecond, NamedAgeMillis: asked.Sub(l.namedAt).Milliseconds(), Wanted: min(l.waiting, maxPermits),
	}
	home := t.cfg.Home(endpoint)
	if home == "" {
		t.apply(endpoint, l, t.grant(q), asked)
		return
	}
	t.mu.Unlock()
	g, err := t.queryHome(ctx, home, q)
	t.mu.Lock()
	if err != nil {
		if ctx.Err() == nil {
			t.cfg.Counters.Fleet.Add("permit_queries_failed", 1)
		}
		g = l.own.take(l.perSecond/float64(max(t.cfg.Nodes(), 1)), q.Wanted, t.cfg.Now())
		g.NamedAgeMillis = q.NamedAgeMillis
	}
	t.apply(endpoint, l, g, asked)
}

// apply adds the permits of a grant that was asked for at asked, or notes when to ask
// again. If the limit has ended, all requests that wait get a permit. The caller must hold
// mu.
func (t *Throttler) apply(endpoint string, l *limit, g grant, asked time.Time) {
	now := t.cfg.Now()
	if g.Ended {
		if t.limits[endpoint] == l {
			t.end(endpoint, l)
		}
		l.permits += l.waiting
		return
	}
	if at := asked.Add(-age(g.NamedAgeMillis)); at.After(l.namedAt) {
		l.namedAt = at
	}
	l.permits += g.Permits
	if g.Permits == 0 {
		l.deniedUntil = now.Add(min(max(time.Duration(g.WaitMillis)*time.Millisecond, minDenial), maxDenial))
	}
}

// queryHome sends a query to an endpoint's home.
func (t *Throttler) queryHome(ctx context.Context, home string, q query) (grant, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := encoder.CBOR(q)
	if err != nil {
		return grant{}, err
	}
	data, err := t.cfg.Query(ctx, home, body)
	if err != nil {
		return grant{}, err
	}
	g, err := encoder.FromCBOR[grant](data)
	g.Permits = min(max(g.Permits, 0), q.Wanted)
	return g, err
}

// query asks an endpoint's home for permits.
type query struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// PerSecond is the limit, and NamedAgeMillis the age of the last answer that named it
	// as far as the sender knows.
	PerSecond      float64
	NamedAgeMillis int64
	Wanted         int
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
	t.mu.Lock()
	g := t.grant(q)
	t.mu.Unlock()
	return encoder.CBOR(g)
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
	g := b.take(q.PerSecond, min(q.Wanted, maxPermits), now)
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

// Retain drops the limits and rests of endpoints that are not known any more.
func (t *Throttler) Retain(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.limits {
		if !known(id) {
			delete(t.limits, id)
		}
	}
	maps.DeleteFunc(t.rests, func(id string, _ time.Time) bool { return !known(id) })
}

// bucket is a token bucket whose rate is given with each use.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

// newBucket returns a bucket that is filled from now on.
func newBucket(now time.Time) bucket { return bucket{filledAt: now} }

// take takes up to wanted tokens at the rate that follows from a limit.
func (b *bucket) take(perSecond float64, wanted int, now time.Time) grant {
	rate := max(rateShare*perSecond, minRate)
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		rate = minRate
	}
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
