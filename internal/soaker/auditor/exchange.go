package auditor

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"banyanquay/platform/imitator"
)

// lossSlack is how long after its last byte a connection may end without an answer if
// its request was passed on to no endpoint: the request and the close crossed.
const lossSlack = 200 * time.Millisecond

// Exchange is a request on one connection, and how it ended. It is an immutable value.
type Exchange struct {
	Kind Kind
	imitator.Exchange
}

// closed reports whether the caller wrote the whole request, waited for the answer, and got
// none.
func (e Exchange) closed() bool {
	return e.Err != nil && !e.Written.IsZero() && !errors.Is(e.Err, context.DeadlineExceeded)
}

// disturbance is a period in which a node or an endpoint may end connections without an
// answer, or an endpoint is silent or answers without an end.
type disturbance struct {
	address string
	from    time.Time
	// until is zero while it lasts.
	until time.Time
}

// overlaps reports whether some of the time between from and until is in the period.
func (d *disturbance) overlaps(from, until time.Time) bool {
	return !d.from.After(until) && (d.until.IsZero() || !d.until.Before(from))
}

// Disturb records that the node or endpoint at an address is disturbed from now on, so
// that it may end connections without an answer, until the function that it returns
// is called.
func (a *Auditor) Disturb(address string) (end func()) {
	return a.begin(&a.disturbances, address)
}

// Silence records that the endpoint at an address is silent from now on, until the function
// that it returns is called.
func (a *Auditor) Silence(address string) (end func()) { return a.begin(&a.silences, address) }

// AnswerUnsoundly records that the endpoint at an address answers without an end, or breaks its answers, from now on,
// until the function that it returns is called.
func (a *Auditor) AnswerUnsoundly(address string) (end func()) {
	return a.begin(&a.unsound, address)
}

// begin adds a period that ends when the function that it returns is called.
func (a *Auditor) begin(periods *[]*disturbance, address string) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &disturbance{address: address, from: time.Now()}
	*periods = append(*periods, d)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		d.until = time.Now()
	}
}

// RecordExchange adds an exchange that has ended.
func (a *Auditor) RecordExchange(e Exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exchanges = append(a.exchanges, e)
}

// checkEnd returns the violation if a node ended the connection of a request that it
// had read, without a complete answer and for no reason of its own or of the endpoints
// that had the request. a.mu must be held.
func (a *Auditor) checkEnd(e Exchange) string {
	if !e.closed() || a.disturbed(e.Address, e.Written, e.Ended) {
		return ""
	}
	// With a chunked body, a request can arrive before its last byte was written.
	arrivals := slices.DeleteFunc(slices.Clone(a.cfg.Arrivals(e.ID)), func(arrival imitator.Arrival) bool { return arrival.At.After(e.Ended) })
	if len(arrivals) == 0 && e.Ended.Sub(e.Written) <= lossSlack {
		return ""
	}
	var endpoints []string
	for _, arrival := range arrivals {
		for _, address := range arrival.Addresses {
			if a.disturbed(address, arrival.At, e.Ended) {
				return ""
			}
		}
		if e.Kind == Stream && e.Began && overlaps(a.unsound, arrival.Addresses[0], arrival.At, e.Ended) {
			// The answer had begun, so that the node can't replace it by a failure. Nothing
			// else excuses a node whose endpoint answers so: it can answer 502.
			return ""
		}
		endpoints = append(endpoints, arrival.Endpoint)
	}
	stopped := ""
	if s := a.stopOf(e); s != nil {
		if a.excuses(s, e, arrivals) {
			return ""
		}
		stopped = fmt.Sprintf(", written %v and closed %v after its SIGTERM", e.Written.Sub(s.from).Round(time.Millisecond), e.Ended.Sub(s.from).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s %s written %s: lost: %s closed the connection after %v (kept %v, chunked %v, passed on to %q%s): %v",
		e.Kind, e.ID, e.Written.Format("15:04:05.000"), e.Address, e.Ended.Sub(e.Written).Round(time.Millisecond), e.Reused, e.Chunked, strings.Join(endpoints, " "), stopped, e.Err)
}

// disturbed reports whether a node or endpoint was disturbed at some time. a.mu must be
// held.
func (a *Auditor) disturbed(address string, from, until time.Time) bool {
	return overlaps(a.disturbances, address, from, until)
}

// overlaps reports whether a period at an address overlaps the time between from and until.
func overlaps(periods []*disturbance, address string, from, until time.Time) bool {
	return slices.ContainsFunc(periods, func(d *disturbance) bool { return d.address == address && d.overlaps(from, until) })
}
