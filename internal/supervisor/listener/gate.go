package listener

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/refuser"
)

// ErrExpired is the cause with which the contexts of requests end that are in progress
// when the time of a planned stop is up.
var ErrExpired = trace.LimitExceeded("the deadline of the stop has passed")

// errClosed is the cause with which contexts end when the gate closes.
var errClosed = trace.LimitExceeded("the node is stopping")

// Gate counts the work in progress and stops admitting new work in three phases.
// While the node is leaving, callers with a cached address are still served;
// once the gate is closed, all new work is refused; once it has expired, the work in
// progress ends.
type Gate struct {
	mu sync.Mutex
	// running is the number of requests in progress.
	running int
	// pendingRefusals is the number of refusals by the closed gate that have
	// not been answered yet. New refusals are not counted once nothing is
	// running, so that callers can't delay the stop.
	pendingRefusals int
	leaving         bool
	closed          bool
	// deadline is when the stop ends; zero while the node isn't leaving.
	deadline time.Time
	// idle is closed when the gate is closed and no request or refusal is in
	// progress.
	idle chan struct{}
	// closing ends, by endClosing, when the gate closes.
	closing    context.Context
	endClosing context.CancelFunc
	// expiry ends, by expire, when the gate expires.
	expiry context.Context
	expire context.CancelFunc
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{idle: make(chan struct{})}
	g.closing, g.endClosing = context.WithCancel(context.Background())
	g.expiry, g.expire = context.WithCancel(context.Background())
	return g
}

// Acquire admits a request, or refuses it once the gate is closed. In both
// cases release must be called exactly once; a refusal may wait for the ledger
// before that.
func (g *Gate) Acquire() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return g.addRefusal(), refuser.New(refuser.Leaving, "the node is stopping").WithWait(time.Second)
	}
	g.running++
	return func() { g.release(&g.running) }, nil
}

// addRefusal counts a refusal if requests are still running.
func (g *Gate) addRefusal() (release func()) {
	if g.running == 0 {
		return func() {}
	}
	g.pendingRefusals++
	return func() { g.release(&g.pendingRefusals) }
}

// release ends a request or a refusal.
func (g *Gate) release(count *int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	*count--
	g.signalIdle()
}

// signalIdle closes idle when the last request and refusal of a closed gate
// have ended.
func (g *Gate) signalIdle() {
	if !g.closed || g.running+g.pendingRefusals > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// StartLeaving starts the leaving phase, in which requests are still admitted. The stop ends
// at the deadline; zero means that it has none.
func (g *Gate) StartLeaving(deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.deadline = deadline
}

// InTime reports whether a request that starts now ends before the deadline of a stop, or
// the node isn't stopping. The request ends by the deadline of ctx or, if longest is greater
// than 0, within that time.
func (g *Gate) InTime(ctx context.Context, longest time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deadline.IsZero() || longest > 0 && !time.Now().Add(longest).After(g.deadline) {
		return true
	}
	end, ok := ctx.Deadline()
	return ok && !end.After(g.deadline)
}

// Leaving reports whether the leaving phase has started.
func (g *Gate) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}

// Closed reports whether new work is refused. A request that was admitted earlier and has
// been passed on to no endpoint is to be refused, too: little of the stop's time may be left.
func (g *Gate) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Expire closes the gate and ends the contexts of the work in progress, which is to be
// answered at once.
func (g *Gate) Expire() {
	g.Close()
	g.expire()
}

// Context returns a context that also ends when the gate expires, with the cause
// ErrExpired. The function that it returns releases its resources.
func (g *Gate) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return endWith(ctx, g.expiry, ErrExpired, always)
}

// UntilClosed returns a context that also ends when the gate closes, for the waits of a
// request that has been passed on to no endpoint. The function that it returns releases its
// resources.
func (g *Gate) UntilClosed(ctx context.Context) (context.Context, context.CancelFunc) {
	return endWith(ctx, g.closing, errClosed, always)
}

// endWith returns a context that also ends, with a cause, when another one does and the
// condition holds then. If the other one has ended already, it ends before endWith returns.
func endWith(ctx, other context.Context, cause error, condition func(ctx context.Context) bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	end := func() {
		if condition(ctx) {
			cancel(cause)
		}
	}
	if other.Err() != nil {
		end()
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(other, end)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// always is the condition of contexts that end regardless of the time that a request has left.
func always(context.Context) bool { return true }

// WhileInTime returns a context that also ends when the gate closes, unless the request would
// end in time even if it started then; see InTime. It is for the waits of a request that has
// been passed on to no endpoint. The function that it returns releases its resources.
func (g *Gate) WhileInTime(ctx context.Context, longest time.Duration) (context.Context, context.CancelFunc) {
	return endWith(ctx, g.closing, errClosed, func(ctx context.Context) bool { return !g.InTime(ctx, longest) })
}

// Close refuses new work from now on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	g.closed = true
	g.endClosing()
	g.signalIdle()
}

// Wait blocks until the gate is idle or ctx ends, and returns how many requests
// and refusals are still in progress.
func (g *Gate) Wait(ctx context.Context) int {
	select {
	case <-g.idle:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running + g.pendingRefusals
}
