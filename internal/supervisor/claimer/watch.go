package claimer

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Timeouts of questions about a key to its homes.
const (
	// firstReplyTimeout bounds how long an attempt waits for the first reply of a
	// home.
	firstReplyTimeout = 2 * time.Second
	// queryTimeout bounds one query; a home answers within maxAnswerWait.
	queryTimeout = maxAnswerWait + time.Second
)

// watch is the state of a key that this node asks homes about.
type watch struct {
	// view holds the newest reply about the key; nil until a home has replied.
	view *reducer.View
	// failed is set once every home has failed to reply, until one replies.
	failed bool
	// users counts the calls that use the key; the last one calls cancel.
	users  int
	cancel context.CancelFunc
}

// watchKey keeps the partition's state of a key up to date until the returned function
// is called. A partition that doesn't use its own view queries homes for it.
func (p *partition) watchKey(ctx context.Context, key reducer.Key) func() {
	p.mu.Lock()
	if p.usesOwnView() {
		p.mu.Unlock()
		return func() {}
	}
	w := p.watches[key]
	if w == nil {
		pollCtx, cancel := context.WithCancel(p.ctx)
		w = &watch{cancel: cancel}
		p.watches[key] = w
		p.pollers.Go(func() { p.pollHomes(pollCtx, key, w) })
	}
	w.users++
	p.mu.Unlock()
	p.awaitFirstReply(ctx, w)
	return func() { p.unwatchKey(key, w) }
}

// unwatchKey ends one use of a key, and stops asking homes after the last use.
func (p *partition) unwatchKey(key reducer.Key, w *watch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.users--
	if w.users == 0 {
		w.cancel()
		delete(p.watches, key)
	}
}

// awaitFirstReply waits until a home has replied or all homes have failed, for
// at most firstReplyTimeout.
func (p *partition) awaitFirstReply(ctx context.Context, w *watch) {
	ctx, cancel := context.WithTimeout(ctx, firstReplyTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		known, changed := w.view != nil || w.failed, p.changed
		p.mu.Unlock()
		if known {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// usesOwnView reports whether decisions are made by this node's own view. They
// always are if every node follows the stream. The caller holds mu.
func (p *partition) usesOwnView() bool {
	stopped := p.ctx == nil || p.ctx.Err() != nil
	return p.cfg.Homes == nil || stopped || (p.following && p.view.CaughtUp())
}

// viewOf returns the view that decides on a key; the caller holds mu.
func (p *partition) viewOf(key reducer.Key) *reducer.View {
	if w := p.watches[key]; w != nil && w.view != nil && !p.usesOwnView() {
		return w.view
	}
	return p.view
}

// pollHomes asks homes about a key until ctx ends. It asks one home until that
// fails, then the next.
func (p *partition) pollHomes(ctx context.Context, key reducer.Key, w *watch) {
	delay := newBackoff()
	q := Query{Partition: p.number, Key: key}
	for turn := 0; ctx.Err() == nil; {
		homes := p.cfg.Homes(p.number)
		if len(homes) == 0 {
			homes = []string{""}
		}
		e, err := p.queryHome(ctx, homes[turn%len(homes)], q)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			q.Wait, q.Seen = true, e.State.Offset
			p.applyReply(w, e)
			delay.Reset()
			continue
		}
		p.cfg.Counters.Ledger.Add("questions_failed", 1)
		turn++
		if turn%len(homes) == 0 {
			p.recordPollFailure(w, err)
			p.health.read.pause(ctx, delay.NextBackOff())
		}
	}
}

// queryHome sends a query to one home and returns its reply.
func (p *partition) queryHome(ctx context.Context, home string, q Query) (reducer.Extract, error) {
	if home == "" || p.cfg.Query == nil {
		return reducer.Extract{}, trace.NotFound("partition %d has no known home", q.Partition)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	body, err := encoder.CBOR(q)
	if err != nil {
		return reducer.Extract{}, err
	}
	reply, err := p.cfg.Query(ctx, home, body)
	if err != nil {
		return reducer.Extract{}, trace.Wrap(err, "asking home %s of partition %d", home, q.Partition)
	}
	p.cfg.Counters.Ledger.Add("questions", 1)
	return encoder.FromCBOR[reducer.Extract](reply)
}

// applyReply stores a home's reply. It ignores one that is older than the reply
// already stored, as another home may lag behind.
func (p *partition) applyReply(w *watch, e reducer.Extract) {
	p.mu.Lock()
	if w.view == nil || e.Next >= w.view.Next() {
		w.view = e.View(p.cfg.Horizon)
	}
	w.failed = false
	p.updateNewest(e.Newest)
	p.mu.Unlock()
	p.recordSuccess(&p.health.read, &p.health.append)
}

// recordPollFailure records that no home replied.
func (p *partition) recordPollFailure(w *watch, err error) {
	p.recordFailure(&p.health.read, "read", err)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.failed = true
	p.notifyWaiters()
}

// updateNewest records the newest known log time and notifies the goroutines that
// wait for a view. The caller holds mu.
func (p *partition) updateNewest(newest int64) {
	if newest > p.newestTime {
		p.newestTime, p.newestLearnedAt = newest, p.cfg.Now()
	}
	p.notifyWaiters()
}

// notifyWaiters notifies the goroutines that wait for a view to change. The caller
// holds mu.
func (p *partition) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}
