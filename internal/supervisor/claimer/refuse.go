package claimer

import (
	"context"
	"time"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Refuse completes the refusal of an attempt that was not dispatched and never
// will be: it sets whether the key's attempts up to this one ran. For that it may
// append a void and wait for it for at most releaseTimeout. For an attempt without
// a number this is certain only if the whole key is barred, which is done if no
// retry helps according to the refusal's code.
func (c *Claimer) Refuse(ctx context.Context, a Attempt, r refuser.Refusal) refuser.Refusal {
	f := a.reducerAttempt()
	if f.Number == 0 && !refuser.Lookup(r.Code).Retry {
		f.Number = reducer.AllAttempts
	}
	p := c.partitionOf(f.Key)
	defer p.watchKey(ctx, f.Key)()
	result := p.withRan(f, r)
	if result.Ran != refuser.Maybe || f.Number == 0 || p.health.down() {
		return result
	}
	if plan, _ := p.plan(f); plan.Move != reducer.Ask {
		return result
	}
	p.cfg.Counters.Ledger.Add("voids", 1)
	it := p.queue.put(reducer.Entry{
		Kind:   reducer.Void,
		Key:    f.Key,
		Issued: f.Issued,
		Nonce:  p.cfg.NewNonce(),
		Number: f.Number,
	})
	p.awaitApplied(ctx, it)
	return p.withRan(f, r)
}

// Settle bars every attempt of a key permanently, unless one has been granted,
// and sets whether any of them ran. It is for callers that give up.
func (c *Claimer) Settle(ctx context.Context, a Attempt, r refuser.Refusal) refuser.Refusal {
	a.Number = reducer.AllAttempts
	return c.Refuse(ctx, a, r)
}

// awaitApplied waits until an entry has been appended and applied, for at most
// releaseTimeout.
func (p *partition) awaitApplied(ctx context.Context, it *item) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	select {
	case <-it.done:
	case <-ctx.Done():
		return
	}
	for it.status == appended {
		p.mu.Lock()
		passed, changed := p.viewOf(it.entry.Key).Next() > it.position.Offset, p.changed
		p.mu.Unlock()
		if passed {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// abandonClaim refuses an attempt whose claim may be in the log, and appends a
// release. The attempt must not be dispatched any more.
func (p *partition) abandonClaim(ctx context.Context, a reducer.Attempt, claim reducer.Entry, r refuser.Refusal) refuser.Refusal {
	defer p.watchKey(ctx, a.Key)()
	it := p.queue.put(endEntry(claim, reducer.Release))
	if p.withRan(a, r).Ran == refuser.Maybe && a.Number > 0 && !p.health.down() {
		p.awaitApplied(ctx, it)
	}
	return p.refuse(a, r)
}

// refuse adds to a refusal whether the key's attempts ran, according to the view.
func (p *partition) refuse(a reducer.Attempt, r refuser.Refusal) refuser.Refusal {
	return p.withRan(a, r)
}

// endEntry returns an entry that ends a claim.
func endEntry(claim reducer.Entry, kind reducer.Kind) reducer.Entry {
	return reducer.Entry{
		Kind:   kind,
		Key:    claim.Key,
		Issued: claim.Issued,
		Nonce:  claim.Nonce,
		Number: claim.Number,
	}
}

// ledgerDown returns the refusal for an unreachable log.
func (p *partition) ledgerDown() refuser.Refusal {
	return refuser.New(refuser.LedgerUnavailable, "stream %s is unreachable", p.stream).WithWait(p.health.retryAfter())
}

// undecidedRefusal returns the refusal of a claim that was not decided.
func (p *partition) undecidedRefusal(code refuser.Code) refuser.Refusal {
	if code == refuser.LedgerUnavailable {
		return p.ledgerDown()
	}
	return refuser.New(code, "request ended while waiting for the ledger")
}

// details holds explanations that are more specific than those of the refuser's
// table of codes.
var details = map[refuser.Code]string{
	refuser.KeyReused:  "the key's body or issue time differs from its first attempt",
	refuser.KeyExpired: "the ledger no longer covers the key's issue time",
	refuser.Superseded: "an earlier refusal bars this attempt; one with a higher Idempotency-Attempt or a new key may run",
}

// refusalFor returns the refusal for a code of the ledger.
func refusalFor(code refuser.Code) refuser.Refusal {
	detail, ok := details[code]
	if !ok {
		detail = "refused by the ledger"
	}
	r := refuser.New(code, "%s", detail)
	switch code {
	case refuser.InProgress:
		return r.WithWait(inProgressRetryDelay)
	case refuser.LedgerCatchUp, refuser.Superseded:
		return r.WithWait(time.Second)
	}
	return r
}

// verdictCode returns the code of a verdict that rejects a claim.
func verdictCode(v reducer.Verdict) refuser.Code {
	switch v {
	case reducer.Barred, reducer.Killed:
		return refuser.Superseded
	case reducer.Mismatched:
		return refuser.KeyReused
	case reducer.Premature:
		return refuser.KeyFromFuture
	case reducer.Uncovered:
		return refuser.KeyExpired
	}
	return refuser.InternalError
}
