// Package throttler knows what an endpoint has said it may be sent. It keeps the requests
// that all nodes together send to an endpoint within the limit that the endpoint names in
// its answers, and sends none to one that wants none from this node for a while. For each limited endpoint one
// node, its home, gives out permits at the limit's rate, and the others ask it for one
// before they send. With that they learn whether the endpoint still names the limit: in a
// large fleet each node has an answer of its own only now and then. A second home takes
// the place of one that has ended; it asks the first one itself before it does. A node that
// reaches neither keeps to its equal part.
package throttler

import (
	"context"
	"maps"
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
	// secondShare is the part that the second home gives out: the first one may still give
	// out all to those that reach it.
	secondShare = 0.5
	// minRate is the rate of permits, per second, for an endpoint that takes almost
	// nothing: only an answer tells when the limit ends.
	minRate = 0.25
	// burst is the time over which unused permits add up.
	burst = 300 * time.Millisecond
	// limitTTL is how long a limit counts without a further answer, to any node, that names
	// it.
	limitTTL = 30 * time.Second
	// queryTimeout bounds a query to a home: several round trips between data centres.
	// relayTimeout bounds the one of the second home to the first meanwhile, and
	// failedBackoff is how long a home that didn't answer isn't asked.
	queryTimeout  = 80 * time.Millisecond
	relayTimeout  = 40 * time.Millisecond
	failedBackoff = time.Second
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
	// Address is this node's address. Homes returns those of the nodes that give out the
	// permits for an endpoint, the first one before the second.
	Address string
	Homes   func(endpoint string) []string
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
	// backoffs holds until when endpoints want no request from this node.
	backoffs map[string]time.Time
	// failed holds until when nodes that didn't answer are not asked.
	failed  map[string]time.Time
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
	return &Throttler{cfg: cfg, limits: make(map[string]*limit), backoffs: make(map[string]time.Time), failed: make(map[string]time.Time), buckets: make(map[string]*homeBucket)}
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

// BackOff records that an endpoint turned a request away and wants none from this node for a
// while. It does not shorten an earlier time.
func (t *Throttler) BackOff(endpoint string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	until := now.Add(d)
	if old, ok := t.backoffs[endpoint]; ok && !until.After(old) {
		return
	}
	if !t.backingOff(endpoint, now) {
		t.cfg.Counters.Stages.Add("backoffs", 1)
		t.cfg.Recorder.Info(recorder.EndpointBackoff, zap.String("endpoint", endpoint), zap.Duration("for", d))
	}
	t.backoffs[endpoint] = until
}

// backingOff reports whether an endpoint wants no request now. The caller must hold mu.
func (t *Throttler) backingOff(endpoint string, now time.Time) bool {
	return now.Before(t.backoffs[endpoint])
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
	homes := t.cfg.Homes(endpoint)
	if len(homes) == 0 || homes[0] == t.cfg.Address {
		t.grant(q)
		return
	}
	go t.cfg.Recorder.Guard("limit", func() {
		if _, err := t.queryHome(context.Background(), homes[0], q, queryTimeout); err != nil {
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
	if t.backingOff(endpoint, now) {
		return t.backoffs[endpoint].Sub(now), true
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
	if t.backingOff(endpoint, t.cfg.Now()) {
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

// ask asks an endpoint's homes for permits for the requests that wait. The caller must
// hold mu, which is released during the queries.
func (t *Throttler) ask(ctx context.Context, endpoint string, l *limit) {
	asked := t.cfg.Now()
	q := query{
		Endpoint: endpoint, PerSecond: l.perSecond, NamedAgeMillis: asked.Sub(l.namedAt).Milliseconds(), Wanted: min(l.waiting, maxPermits),
	}
	homes := t.cfg.Homes(endpoint)
	for n, home := range homes {
		q.Second = n > 0
		if home == t.cfg.Address {
			t.apply(endpoint, l, t.grant(q), asked)
			return
		}
		if t.cfg.Now().Before(t.failed[home]) {
			continue
		}
		g, err := t.queryUnlocked(ctx, home, q)
		if err == nil {
			t.apply(endpoint, l, g, asked)
			return
		}
		t.recordFailed(ctx, home)
	}
	nodes := float64(max(t.cfg.Nodes(), 1))
	g := l.own.take(rateOf(l.perSecond)/nodes, q.Wanted, t.cfg.Now())
	g.NamedAgeMillis = q.NamedAgeMillis
	t.apply(endpoint, l, g, asked)
}

// queryUnlocked sends a query to an endpoint's home. The caller must hold mu, which is
// released during the query.
func (t *Throttler) queryUnlocked(ctx context.Context, home string, q query) (grant, error) {
	t.mu.Unlock()
	defer t.mu.Lock()
	return t.queryHome(ctx, home, q, queryTimeout)
}

// recordFailed records that a home didn't answer, unless the caller left. The caller must
// hold mu.
func (t *Throttler) recordFailed(ctx context.Context, home string) {
	if ctx.Err() != nil {
		return
	}
	now := t.cfg.Now()
	maps.DeleteFunc(t.failed, func(_ string, until time.Time) bool { return !now.Before(until) })
	t.failed[home] = now.Add(failedBackoff)
	t.cfg.Counters.Fleet.Add("permit_queries_failed", 1)
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
func (t *Throttler) queryHome(ctx context.Context, home string, q query, timeout time.Duration) (grant, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// Retain drops the limits and backoffs of endpoints that are not known any more.
func (t *Throttler) Retain(known func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.limits {
		if !known(id) {
			delete(t.limits, id)
		}
	}
	maps.DeleteFunc(t.backoffs, func(id string, _ time.Time) bool { return !known(id) })
}
