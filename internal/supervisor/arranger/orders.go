package arranger

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

const (
	// reportTimeout is how long an engine's entry may take to show a load that has
	// ended: the time to publish two entries to the store and to read them.
	reportTimeout = 3 * time.Second
	// rejectedDelay is the delay before an engine that rejected an order, or loads, is
	// asked for its state again.
	rejectedDelay = time.Second
	// unansweredDelay is the same after an order without an answer. It is above the age
	// of reports, so that the report shows whether the order was carried out.
	unansweredDelay = 500 * time.Millisecond
	// maxParallelOrders limits the orders and reports that are requested at once.
	maxParallelOrders = 16
)

// pendingOrder is an order that was sent and is not yet shown by the engine's entry, or
// a load that another node ordered.
type pendingOrder struct {
	born  int64
	first int
	last  int
	// expires is when the engine is asked whether the load runs.
	expires time.Time
	// orders is the engine's count of orders once it has accepted this one.
	orders int64
	// foreign is set if another order may be in effect, so that the range of the load is
	// unknown.
	foreign bool
	// until is when the load and its publication should have ended even if all engines
	// of the service load.
	until time.Time
	// heldFirst and heldLast bound the layers that the entry showed before the order.
	heldFirst int
	heldLast  int
	// ended is set once the engine has reported that it doesn't load any more.
	ended bool
	// unsent is set if the engine did not answer, so that no order was sent.
	unsent bool
}

// reported reports whether an engine's entry shows the load.
func (o pendingOrder) reported(e registrar.Entry) bool {
	if o.foreign {
		return e.Holds() && (e.First != o.heldFirst || e.Last != o.heldLast)
	}
	return o.first == e.First && o.last == e.Last
}

// fixCentres forbids other ranges for engines with layers in data centres with loads
// that another node ordered, until these should have ended: layers that seem to lack a
// holder may be among them.
func (a *Arranger) fixCentres(now time.Time, holders []Holder) {
	centres := make(map[string]bool)
	for _, h := range holders {
		if o, ok := a.pending[h.ID]; ok && o.foreign && now.Before(o.until) {
			centres[h.Centre] = true
		}
	}
	for i, h := range holders {
		if centres[h.Centre] && !h.empty() {
			holders[i].Fixed = true
		}
	}
}

// ended identifies a load that has ended, by the engine's start and count of orders.
type ended struct {
	born   int64
	orders int64
}

// checkPending asks the engines of expired orders for their state. An order is sent
// again only if the engine doesn't load, and either did not accept it or has not
// published its layers in time: an engine that accepts an order drops its layers, even
// if the order names the same ones.
func (a *Arranger) checkPending(ctx context.Context, now time.Time, table *registrar.Table) {
	maps.DeleteFunc(a.awaited, func(id string, l ended) bool {
		e, ok := table.Get(id)
		return !ok || e.Born != l.born
	})
	var due []registrar.Entry
	for id, o := range a.pending {
		e, ok := table.Get(id)
		switch {
		case !ok:
			delete(a.pending, id)
		case now.After(o.expires) && o.born == e.Born && !o.reported(e):
			due = append(due, e)
		}
	}
	next := make([]pendingOrder, len(due))
	inParallel(len(due), func(i int) {
		a.cfg.Recorder.Guard("order", func() { next[i] = a.check(ctx, now, due[i], a.pending[due[i].ID]) })
	})
	for i, e := range due {
		if next[i] != (pendingOrder{}) {
			a.pending[e.ID] = next[i]
			continue
		}
		if o := a.pending[e.ID]; o.ended {
			a.awaited[e.ID] = ended{born: o.born, orders: o.orders}
		}
		delete(a.pending, e.ID)
	}
}

// check returns a pending order by what its engine reports; the zero value if another
// order may be sent.
func (a *Arranger) check(ctx context.Context, now time.Time, e registrar.Entry, o pendingOrder) pendingOrder {
	if o.unsent {
		return pendingOrder{}
	}
	report, err := a.cfg.Report(ctx, e.Address, e.ID)
	if err != nil || report.Orders < o.orders {
		return pendingOrder{}
	}
	if report.Orders > o.orders {
		o.orders, o.foreign, o.ended = report.Orders, true, false
	}
	switch {
	case report.Busy:
		o.ended, o.expires = false, now.Add(rejectedDelay)
	case !o.ended:
		o.ended, o.expires = true, now.Add(reportTimeout)
	default:
		return pendingOrder{}
	}
	return o
}

// inParallel calls a function for the numbers below n, several at once.
func inParallel(n int, call func(i int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelOrders)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			call(i)
		})
	}
	wg.Wait()
}

// sendOrders sends the orders and waits for their answers.
func (a *Arranger) sendOrders(ctx context.Context, fence uint64, orders []assignment) {
	outcomes := make([]outcome, len(orders))
	inParallel(len(orders), func(i int) {
		outcomes[i] = outcome{delay: unansweredDelay, unsent: true}
		a.cfg.Recorder.Guard("order", func() { outcomes[i] = a.sendOrder(ctx, fence, orders[i]) })
	})
	// Loads share the bandwidth to the weights with those that were ordered before.
	loads := len(a.pending) + len(orders)
	now := a.cfg.Now()
	for i, j := range orders {
		o := outcomes[i]
		if o.accepted {
			o.delay = j.loadTime(loads)
		}
		a.pending[j.entry.ID] = pendingOrder{
			born: j.entry.Born, first: j.rng.First, last: j.rng.Last, expires: now.Add(o.delay),
			orders: o.orders, foreign: o.foreign, ended: o.ended, unsent: o.unsent,
			until: now.Add(j.loadTime(j.engines)), heldFirst: j.entry.First, heldLast: j.entry.Last,
		}
	}
}

// loadTime returns the time until an engine's entry shows a load, if a number of loads
// run at once.
func (j assignment) loadTime(loads int) time.Duration {
	return j.load*time.Duration(1+loads/max(j.maxParallelLoads, 1)) + reportTimeout
}

// outcome is the outcome of sending an order.
type outcome struct {
	accepted bool
	// delay is the delay before the engine is asked for its state again, if it did not
	// accept the order.
	delay time.Duration
	// orders, foreign, ended and unsent are those of the pending order.
	orders  int64
	foreign bool
	ended   bool
	unsent  bool
}

// sendOrder sends one order, unless the engine loads already or may have loaded layers
// that its entry doesn't show yet. The order is conditional on the engine's count of
// accepted orders: a delayed one has no effect after a later one, and an unanswered one
// may be sent again.
func (a *Arranger) sendOrder(ctx context.Context, fence uint64, j assignment) outcome {
	report, err := a.cfg.Report(ctx, j.entry.Address, j.entry.ID)
	unsent := err != nil
	last := ended{born: j.entry.Born, orders: report.Orders}
	switch {
	case err != nil:
	case report.Busy:
		return outcome{delay: rejectedDelay, orders: report.Orders, foreign: true}
	case !j.entry.Holds() && report.Orders > 0 && a.awaited[j.entry.ID] != last:
		return outcome{delay: reportTimeout, orders: report.Orders, foreign: true, ended: true}
	default:
		err = a.cfg.Place(ctx, j.entry.Address, j.entry.ID, driver.Placement{
			First: j.rng.First, Last: j.rng.Last, Fence: fence, Orders: report.Orders,
		})
	}
	a.cfg.Counters.Placement.Add("orders", 1)
	a.cfg.Recorder.Info(recorder.LoadBegun,
		zap.String("endpoint", j.entry.ID), zap.String("address", j.entry.Address),
		zap.Int("first", j.rng.First), zap.Int("last", j.rng.Last),
		zap.Int("held_first", j.entry.First), zap.Int("held_last", j.entry.Last),
		zap.Uint64("fence", fence), zap.Int64("orders", report.Orders), zap.Error(err))
	o := outcome{delay: unansweredDelay, orders: report.Orders + 1, unsent: unsent}
	var refused *driver.Refused
	switch {
	case err == nil:
		o.accepted = true
	case errors.As(err, &refused):
		if refused.Reason == driver.ReasonFence {
			a.cfg.Fenced()
		}
		o.delay, o.foreign = rejectedDelay, true
	}
	return o
}
