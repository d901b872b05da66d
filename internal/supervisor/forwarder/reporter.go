package forwarder

import (
	"context"
	"sync"
	"time"

	"banyanquay/internal/driver"
)

const (
	// reportTimeout bounds a question to an engine.
	reportTimeout = 150 * time.Millisecond
	// reportFresh is how long a report is used again: an engine's own figures
	// are some hundred milliseconds old.
	reportFresh = 250 * time.Millisecond
)

// inquiry is the last report of an engine.
type inquiry struct {
	// done is closed when the report is there.
	done   chan struct{}
	began  time.Time
	report driver.Report
	err    error
}

// reporter asks engines what their requests wait for. It is safe for
// concurrent use.
type reporter struct {
	ask func(ctx context.Context, address, endpoint string) (driver.Report, error)
	now func() time.Time

	mu        sync.Mutex
	inquiries map[string]*inquiry
}

func newReporter(ask func(ctx context.Context, address, endpoint string) (driver.Report, error), now func() time.Time) *reporter {
	return &reporter{ask: ask, now: now, inquiries: make(map[string]*inquiry)}
}

// stalled returns the address that a request waits for at an engine, and
// whether it waits for one.
func (r *reporter) stalled(address, endpoint, request string) (string, bool) {
	q := r.begin(address, endpoint)
	<-q.done
	if q.err != nil {
		return "", false
	}
	at, ok := q.report.Stalled[request]
	return at, ok
}

// begin returns a recent inquiry, or a new one.
func (r *reporter) begin(address, endpoint string) *inquiry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if q := r.inquiries[endpoint]; q != nil && now.Sub(q.began) < reportFresh {
		return q
	}
	q := &inquiry{done: make(chan struct{}), began: now}
	r.inquiries[endpoint] = q
	go func() {
		defer close(q.done)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		q.report, q.err = r.ask(ctx, address, endpoint)
	}()
	return q
}
