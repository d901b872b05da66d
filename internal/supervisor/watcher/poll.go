package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/grouper"
)

// Timing of the polls.
const (
	pollInterval = time.Second
	pollTimeout  = 600 * time.Millisecond
	// retryDelay is the wait before a failed poll is retried once over a
	// fresh connection.
	retryDelay = 50 * time.Millisecond
)

// poll polls an endpoint until ctx ends.
func (w *Watcher) poll(ctx context.Context, address string) {
	wait := rand.N(pollInterval)
	for grouper.Sleep(ctx, wait) {
		started := time.Now()
		w.pollWithRetry(ctx, address)
		wait = max(pollInterval-rand.N(pollInterval/10)-time.Since(started), retryDelay)
	}
}

// pollWithRetry polls an endpoint, and once more over a fresh connection if that
// fails.
func (w *Watcher) pollWithRetry(ctx context.Context, address string) {
	if w.pollOnce(ctx, address) {
		return
	}
	if w.cfg.Engine.Drop != nil {
		w.cfg.Engine.Drop(address)
	}
	if grouper.Sleep(ctx, retryDelay) {
		w.pollOnce(ctx, address)
	}
}

// pollOnce asks an endpoint for its status and reports whether it answered.
func (w *Watcher) pollOnce(ctx context.Context, address string) bool {
	started := w.cfg.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, err := w.cfg.Engine.Status(pollCtx, address)
	if ctx.Err() != nil {
		return false
	}
	w.cfg.Counters.Fleet.Add("polls", 1)
	w.mu.Lock()
	defer w.unlockAndNotify()
	if err != nil {
		w.cfg.Counters.Fleet.Add("polls_failed", 1)
		if bounder.Blameless(err) {
			// This node had no memory for the status, which says nothing about the endpoint.
			return true
		}
		w.core.pollFailed(w.cfg.Now(), started, address)
		return false
	}
	w.core.pollSucceeded(w.cfg.Now(), started, address, status)
	return true
}

// probe polls an endpoint at once, unless a probe of it is under way.
func (w *Watcher) probe(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx := w.ctx
	if ctx == nil || w.probing[address] {
		return
	}
	w.probing[address] = true
	w.running.Go(func() {
		w.pollWithRetry(ctx, address)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.probing, address)
	})
}
