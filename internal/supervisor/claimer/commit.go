package claimer

import (
	"context"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Timeouts and thresholds of appends.
const (
	appendTimeout = 3 * time.Second
	// quickFailureThreshold is the time within which an append must fail to be
	// retried at once.
	quickFailureThreshold = 500 * time.Millisecond
	// flushTimeout bounds the last appends when the node stops, and the wait for them.
	flushTimeout = 2 * time.Second
)

// commit appends batches from the queue until ctx ends, then flushes the queue.
func (p *partition) commit(ctx context.Context) error {
	delay := newBackoff()
	for {
		select {
		case <-ctx.Done():
			p.flush(ctx)
			return nil
		case <-p.queue.ready:
		}
		if p.cfg.Linger > 0 {
			sleep(ctx, p.cfg.Linger)
		}
		for p.appendBatch(ctx) != nil && ctx.Err() == nil {
			p.health.append.pause(ctx, delay.NextBackOff())
		}
		delay.Reset()
	}
}

// flush appends the queued entries when the node stops, except claims. It waits for the
// entries that end the node's live claims, as requests end in the same moment; without them,
// retries of these keys would wait for an end that never comes.
func (p *partition) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for {
		live := p.live.Load()
		for _, it := range p.queue.takeClaims() {
			it.finish(unsent)
		}
		for p.queue.hasItems() {
			if p.appendBatch(ctx) != nil {
				return
			}
		}
		if live == 0 {
			return
		}
		select {
		case <-p.queue.ready:
		case <-ctx.Done():
			return
		}
	}
}

// endClaim counts a claim as ended, after the entry that ends it has been queued.
func (p *partition) endClaim() {
	p.live.Add(-1)
	p.queue.notify()
}

// appendBatch appends one batch. While the log is known to be unreachable, it
// also appends an empty batch if the queue is empty, to probe the log.
func (p *partition) appendBatch(ctx context.Context) error {
	items := p.queue.take(p.cfg.MaxBatch)
	if len(items) == 0 && !p.health.down() {
		return nil
	}
	pos, err := p.appendWithRetry(ctx, items)
	if err != nil {
		p.recordFailure(&p.health.append, "append", err)
		p.failBatch(items)
		return err
	}
	p.recordSuccess(&p.health.append, &p.health.read)
	p.cfg.Counters.Ledger.Add("appends", 1)
	p.cfg.Counters.Ledger.Add("entries", int64(len(items)))
	for _, it := range items {
		it.position = reducer.Position{Offset: pos.Offset, At: pos.At}
		it.finish(appended)
	}
	return nil
}

// appendWithRetry appends a batch, and retries once if that failed fast. Both
// appends may take effect: the fold decides each nonce only once.
func (p *partition) appendWithRetry(ctx context.Context, items []*item) (provider.Position, error) {
	var batch reducer.Batch
	for _, it := range items {
		batch.Entries = append(batch.Entries, it.entry)
	}
	data, err := encoder.CBOR(batch)
	if err != nil {
		return provider.Position{}, err
	}
	began := p.cfg.Now()
	pos, err := p.append(ctx, data)
	if err == nil || ctx.Err() != nil || p.health.down() || p.cfg.Now().Sub(began) > quickFailureThreshold {
		return pos, err
	}
	p.cfg.Counters.Retries.Add("ledger_append", 1)
	return p.append(ctx, data)
}

// append appends one record.
func (p *partition) append(ctx context.Context, data []byte) (provider.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return p.cfg.Log.Append(ctx, p.stream, data)
}

// failBatch ends the claims of a batch whose append failed as uncertain, and the
// queued claims as unsent. It puts the other entries of the batch back into the
// queue.
func (p *partition) failBatch(items []*item) {
	var retried []*item
	for _, it := range items {
		if it.mustAppend() {
			retried = append(retried, it)
		} else {
			it.finish(uncertain)
		}
	}
	for _, it := range p.queue.takeClaims() {
		it.finish(unsent)
	}
	if len(retried) > 0 {
		p.queue.requeue(retried)
	}
}
