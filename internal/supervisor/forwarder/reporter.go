package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

const (
	// reportTimeout is the timeout of a report request.
	reportTimeout = 150 * time.Millisecond
	// reportTTL is how long a report is reused: an engine's own figures are some
	// hundred milliseconds old, and each report has a cost.
	reportTTL = 500 * time.Millisecond
)

// reportRequest is the last request for an engine's report.
type reportRequest struct {
	// done is closed when the report or the error is available.
	done   chan struct{}
	began  time.Time
	report driver.Report
	err    error
}

// reporter asks engines what their requests wait for. It is safe for concurrent
// use.
type reporter struct {
	fetch func(ctx context.Context, address, endpoint string) (driver.Report, error)
	now   func() time.Time

	mu       sync.Mutex
	requests map[string]*reportRequest
}

func newReporter(fetch func(ctx context.Context, address, endpoint string) (driver.Report, error), now func() time.Time) *reporter {
	return &reporter{fetch: fetch, now: now, requests: make(map[string]*reportRequest)}
}

// reports requests the reports of engines in parallel, and returns those that
// arrive by endpoint ID.
func (r *reporter) reports(path []pathfinder.Stage) map[string]driver.Report {
	requests := make([]*reportRequest, 0, len(path))
	for _, p := range path {
		requests = append(requests, r.start(p.Address, p.ID))
	}
	reports := make(map[string]driver.Report, len(path))
	for i, q := range requests {
		<-q.done
		if q.err == nil {
			reports[path[i].ID] = q.report
		}
	}
	return reports
}

// prune drops the reports of engines that are no longer known.
func (r *reporter) prune(known map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.requests, func(id string, _ *reportRequest) bool { return !known[id] })
}

// start returns a recent report request, or starts a new one.
func (r *reporter) start(address, endpoint string) *reportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if q := r.requests[endpoint]; q != nil && now.Sub(q.began) < reportTTL {
		return q
	}
	q := &reportRequest{done: make(chan struct{}), began: now}
	r.requests[endpoint] = q
	go func() {
		defer close(q.done)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		q.report, q.err = r.fetch(ctx, address, endpoint)
	}()
	return q
}
