package claimer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
)

// Bounds of the retry delay in a refusal, before jitter.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// operation is the health of reads or of appends.
type operation struct {
	// since is when the current outage began; zero if there is none.
	since time.Time
	// retryNow holds a token when the other operation has just succeeded after
	// an outage.
	retryNow chan struct{}
}

// health tracks whether the log is reachable.
type health struct {
	now func() time.Time

	mu     sync.Mutex
	read   operation
	append operation
}

func newHealth(now func() time.Time) health {
	return health{
		now:    now,
		read:   operation{retryNow: make(chan struct{}, 1)},
		append: operation{retryNow: make(chan struct{}, 1)},
	}
}

// failing reports whether the last call of an operation failed.
func (h *health) failing(d *operation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !d.since.IsZero()
}

// down reports whether the log is known to be unreachable.
func (h *health) down() bool {
	return h.failing(&h.read) || h.failing(&h.append)
}

// retryAfter returns the delay after which a caller should retry. It grows with
// the length of the outage and has jitter, so that callers do not retry all at
// once.
func (h *health) retryAfter() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var outage time.Duration
	for _, d := range []operation{h.read, h.append} {
		if !d.since.IsZero() {
			outage = max(outage, h.now().Sub(d.since))
		}
	}
	base := min(max(outage/2, minRetryAfter), maxRetryAfter)
	return base + rand.N(base)
}

// recordFailure records a failed call of an operation and logs the start of an
// outage.
func (p *partition) recordFailure(d *operation, verb string, err error) {
	p.cfg.Counters.Ledger.Add(verb+"_failures", 1)
	p.health.mu.Lock()
	began := d.since.IsZero()
	if began {
		d.since = p.cfg.Now()
	}
	p.health.mu.Unlock()
	if began {
		p.cfg.Recorder.Warn(recorder.LedgerUnreachable, zap.String("stream", p.stream),
			zap.String("verb", verb), zap.Error(err))
	}
}

// pause waits before the next call of a failing operation. It returns early when
// the other operation succeeds.
func (d *operation) pause(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.retryNow:
	}
}

// recordSuccess records a successful call of an operation. At the end of an
// outage it makes the other operation retry at once.
func (p *partition) recordSuccess(d, other *operation) {
	p.health.mu.Lock()
	since := d.since
	d.since = time.Time{}
	p.health.mu.Unlock()
	if !since.IsZero() {
		select {
		case other.retryNow <- struct{}{}:
		default:
		}
		p.cfg.Recorder.Info(recorder.LedgerReachable, zap.String("stream", p.stream),
			zap.Duration("outage", p.cfg.Now().Sub(since)))
	}
}
