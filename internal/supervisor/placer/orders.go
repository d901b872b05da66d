package placer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/placer/reducer"
)

// Limits of the backoff after a failure.
const (
	minBackoff = 5 * time.Second
	maxBackoff = 10 * time.Minute
)

// task is the holder's work on one open load.
type task struct {
	// begun distinguishes the load from earlier ones of its endpoint.
	begun provider.Offset
	// firstSeen is when this holder first saw the load.
	firstSeen time.Time
	// acceptedBy is the incarnation that accepted the order, empty if none is known
	// to have done so.
	acceptedBy string
	// ended is set once the endpoint has accepted the order that ends the load.
	ended bool
	// backoff applies to the next order after a failed one.
	backoff backoff
}

// backoff holds the number of consecutive failures and the time before which there is
// no retry.
type backoff struct {
	failures int
	until    time.Time
}

// nextBackoff returns the backoff after another failure: exponential, with jitter
// between half and all of the delay.
func (p *Placer) nextBackoff(w backoff) backoff {
	d := min(minBackoff<<min(w.failures, 10), maxBackoff)
	return backoff{failures: w.failures + 1, until: p.cfg.Now().Add(d/2 + p.cfg.Jitter(d/2))}
}

// hasLoad reports whether an endpoint has an open load.
func (p *Placer) hasLoad(address string) bool {
	return slices.ContainsFunc(p.view.State().Loads, func(l reducer.Load) bool { return l.Endpoint == address })
}

// task returns the holder's work on a load.
func (p *Placer) task(l reducer.Load) *task {
	t := p.leaseState.tasks[l.Endpoint]
	if t == nil || t.begun != l.Begun {
		t = &task{begun: l.Begun, firstSeen: p.cfg.Now()}
		p.leaseState.tasks[l.Endpoint] = t
	}
	return t
}

// continuingLoads returns the loads that stay open. A load ends when its endpoint
// reports all of it, or has accepted the order that ends it. A load that exceeds its
// timeout is given up if its endpoint is unavailable. Otherwise it is first
// cancelled in a record, so that the order that ends it has a higher fencing number
// than every order that began it.
func (p *Placer) continuingLoads() []reducer.Load {
	var open []reducer.Load
	for _, l := range p.view.State().Loads {
		t := p.task(l)
		r := p.leaseState.reports[l.Endpoint]
		late := p.cfg.Now().Sub(t.firstSeen) >= p.cfg.LoadTimeout
		switch {
		case l.Cancelled && t.ended, late && p.unavailable(l.Endpoint):
			p.loadCancelled(l)
		case !l.Cancelled && r.fresh && holdsAll(r.status, l.Hold):
			p.loadEnded(l)
		case !l.Cancelled && late:
			open = append(open, l.WithCancelled())
		default:
			open = append(open, l)
		}
	}
	return open
}

// unavailable reports whether an endpoint is down or no longer listed.
func (p *Placer) unavailable(address string) bool {
	return !slices.ContainsFunc(p.cfg.Endpoints(), func(e driver.Endpoint) bool {
		return e.Address == address && !e.Down
	})
}

// loadEnded records that an endpoint reports all of a load.
func (p *Placer) loadEnded(l reducer.Load) {
	delete(p.leaseState.tasks, l.Endpoint)
	delete(p.leaseState.backoffs, l.Endpoint)
	p.count("loads_ended")
	p.cfg.Recorder.Info(recorder.LoadEnded, zap.String("endpoint", l.Endpoint))
}

// loadCancelled records a load that was not completed.
func (p *Placer) loadCancelled(l reducer.Load) {
	delete(p.leaseState.tasks, l.Endpoint)
	p.leaseState.backoffs[l.Endpoint] = p.nextBackoff(p.leaseState.backoffs[l.Endpoint])
	p.count("loads_cancelled")
	p.cfg.Recorder.Warn(recorder.LoadCancelled, zap.String("endpoint", l.Endpoint))
}

// nextLoad returns a load to begin in this round. Its endpoint is polled once more,
// since the order names all that the endpoint is to hold.
func (p *Placer) nextLoad(ctx context.Context, open []reducer.Load) (reducer.Load, bool) {
	now := p.cfg.Now()
	if len(open) >= p.cfg.MaxLoads || !p.ready(now) {
		return reducer.Load{}, false
	}
	wants := p.cfg.Wants()
	first, ok := planLoad(wants, p.engines(now))
	if !ok {
		return first, false
	}
	p.poll(ctx, []string{first.Endpoint})
	l, ok := planLoad(wants, p.engines(now))
	if !ok || l.Endpoint != first.Endpoint {
		return l, false
	}
	l.Begun = p.view.Next()
	p.count("loads_begun")
	p.cfg.Recorder.Info(recorder.LoadBegun, zap.String("endpoint", l.Endpoint))
	return l, true
}

// sendOrders sends the orders that follow from the state as it was read, and no
// others: a load that is not in the stream is not ordered.
func (p *Placer) sendOrders(ctx context.Context) {
	if !p.holdsLease() {
		p.endLease()
		return
	}
	s := p.view.State()
	loads := slices.DeleteFunc(slices.Clone(s.Loads), func(l reducer.Load) bool { return !p.needsOrder(l) })
	errs := make([]error, len(loads))
	callAll(len(loads), func(i int) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		errs[i] = p.cfg.Engine.Order(ctx, loads[i].Endpoint, driver.Order{Fence: s.Fence(), Hold: p.targetHoldings(loads[i])})
	})
	for i, l := range loads {
		p.recordAnswer(l, errs[i])
	}
}

// needsOrder reports whether an order has to be sent for a load now.
func (p *Placer) needsOrder(l reducer.Load) bool {
	t, r := p.task(l), p.leaseState.reports[l.Endpoint]
	if !r.fresh || p.cfg.Now().Before(t.backoff.until) {
		return false
	}
	if l.Cancelled {
		return !t.ended
	}
	return t.acceptedBy != r.status.Incarnation || t.acceptedBy == ""
}

// targetHoldings returns what the endpoint of a load is to hold: what it holds
// already, if the load was cancelled.
func (p *Placer) targetHoldings(l reducer.Load) []driver.Holding {
	if l.Cancelled {
		return p.leaseState.reports[l.Endpoint].status.Holdings
	}
	return l.Hold
}

// recordAnswer records the outcome of an order.
func (p *Placer) recordAnswer(l reducer.Load, err error) {
	t := p.task(l)
	var refused *driver.Refused
	switch {
	case err == nil:
		p.count("orders_taken")
		t.ended = l.Cancelled
		t.acceptedBy = p.leaseState.reports[l.Endpoint].status.Incarnation
	case errors.As(err, &refused):
		p.count("orders_refused_" + strings.ToLower(refused.Reason))
		t.backoff = p.nextBackoff(t.backoff)
	default:
		p.count("orders_failed")
		t.backoff = p.nextBackoff(t.backoff)
	}
}
