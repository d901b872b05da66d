package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/forwarder/pather"
)

const (
	// reportTimeout bounds a question to an engine.
	reportTimeout = 150 * time.Millisecond
	// reportFresh is how long a report is used again: an engine's own figures
	// are some hundred milliseconds old, and each report is paid for.
	reportFresh = 500 * time.Millisecond
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

// reports asks engines at once and returns their reports by ID, of those that
// answer.
func (r *reporter) reports(path []pather.Part) map[string]driver.Report {
	asked := make([]*inquiry, 0, len(path))
	for _, p := range path {
		asked = append(asked, r.begin(p.Address, p.ID))
	}
	reports := make(map[string]driver.Report, len(path))
	for i, q := range asked {
		<-q.done
		if q.err == nil {
			reports[path[i].ID] = q.report
		}
	}
	return reports
}

// keep forgets the reports of engines that are gone.
func (r *reporter) keep(known map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.inquiries, func(id string, _ *inquiry) bool { return !known[id] })
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
