package claimer

import (
	"context"
	"errors"
	"time"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Timeouts and delays of a claim.
const (
	// claimTimeout bounds how long a claim waits to be decided.
	claimTimeout = 4 * time.Second
	// uncertainAppendTimeout bounds how long to look in the log for a claim whose
	// append failed.
	uncertainAppendTimeout = 150 * time.Millisecond
	// releaseTimeout bounds how long a refusal waits for its release or void.
	releaseTimeout = time.Second
	// inProgressRetryDelay is when to retry a request that is still running.
	inProgressRetryDelay = 2 * time.Second
)

// Begin claims the right to dispatch an attempt. It returns a ticket, the answer
// that was recorded earlier, or a refuser.Refusal as the error.
func (c *Claimer) Begin(ctx context.Context, a Attempt) (*Ticket, *Answer, error) {
	f := a.reducerAttempt()
	p := c.partitionOf(f.Key)
	defer p.watchKey(ctx, f.Key)()
	deadline := c.cfg.Now().Add(c.cfg.Wait)
	for {
		plan, changed := p.plan(f)
		if r, refused := p.precheck(f, plan); refused {
			return nil, nil, p.refuse(f, r)
		}
		if plan.Move == reducer.Await {
			ended := p.holderEnded(plan.State.Holder)
			if !ended && p.awaitChange(ctx, changed, deadline.Sub(c.cfg.Now())) {
				continue
			}
			plan = p.afterWait(plan, f, ended)
		}
		switch plan.Move {
		case reducer.Reply:
			c.cfg.Counters.Ledger.Add("replies", 1)
			return nil, recordedAnswer(plan.State.Answer), nil
		case reducer.Refuse:
			return nil, nil, p.refuse(f, refusalFor(plan.Code))
		}
		t, again, err := p.submitClaim(ctx, f, plan)
		if !again {
			return t, nil, err
		}
	}
}

// precheck refuses a plan whose claim can't be appended or would be ignored.
// Plans that append nothing are valid during an outage, too. A key that is
// issued in the future by the node's clock and by the estimated log time is
// refused before the append; the log's time decides in any case.
func (p *partition) precheck(a reducer.Attempt, plan reducer.Plan) (refuser.Refusal, bool) {
	if plan.Move == reducer.Reply || plan.Move == reducer.Refuse {
		return refuser.Refusal{}, false
	}
	if p.health.down() {
		return p.ledgerDown(), true
	}
	now := max(p.logTime(), p.cfg.Now().UnixMilli())
	if reducer.IssuedInFuture(a, now) {
		return refusalFor(refuser.KeyFromFuture), true
	}
	return refuser.Refusal{}, false
}

// holderEnded reports whether a holder's process has ended.
func (p *partition) holderEnded(h reducer.Holder) bool {
	earlier := h.Node == p.cfg.Node && h.Incarnation != p.cfg.Incarnation
	return earlier || p.cfg.HasEnded(h.Node, h.Incarnation)
}

// awaitChange waits for the view to change and reports whether it did in time.
func (p *partition) awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// submitClaim appends a claim and waits until it is decided. It reports whether
// to plan again because another claim came first.
func (p *partition) submitClaim(ctx context.Context, a reducer.Attempt, plan reducer.Plan) (*Ticket, bool, error) {
	e := p.claimEntry(a, plan)
	p.cfg.Counters.Ledger.Add("claims", 1)
	p.live.Add(1)
	granted := false
	defer func() {
		if !granted {
			p.endClaim()
		}
	}()
	it := p.queue.put(e)
	verdict, fence, code := p.awaitVerdict(ctx, a, it)
	p.cfg.Counters.Ledger.Add("claims_"+verdict.String(), 1)
	switch verdict {
	case reducer.Granted:
		granted = true
		return &Ticket{p: p, attempt: a, claim: e, fence: fence}, false, nil
	case reducer.Beaten:
		return nil, true, nil
	case reducer.Undecided:
		if it.currentStatus() == unsent {
			return nil, false, p.refuse(a, p.undecidedRefusal(code))
		}
		return nil, false, p.abandonClaim(ctx, a, e, p.undecidedRefusal(code))
	case reducer.Uncovered, reducer.Premature:
		return nil, false, p.abandonClaim(ctx, a, e, refusalFor(verdictCode(verdict)))
	}
	return nil, false, p.refuse(a, refusalFor(verdictCode(verdict)))
}

// claimEntry builds the claim of an attempt.
func (p *partition) claimEntry(a reducer.Attempt, plan reducer.Plan) reducer.Entry {
	e := reducer.Entry{
		Kind:        reducer.Claim,
		Key:         a.Key,
		Issued:      a.Issued,
		Nonce:       p.cfg.NewNonce(),
		Number:      a.Number,
		Fingerprint: a.Fingerprint,
		Node:        p.cfg.Node,
		Incarnation: p.cfg.Incarnation,
		Checks:      a.Checks,
	}
	if plan.Move == reducer.TakeOver {
		e.Over = plan.State.Holder.Nonce
	}
	return e
}

// awaitVerdict waits until a claim is decided. With Undecided it returns the code
// of what prevented a decision; the claim must not be dispatched then, even if
// it is granted later.
func (p *partition) awaitVerdict(ctx context.Context, a reducer.Attempt, it *item) (reducer.Verdict, uint64, refuser.Code) {
	ctx, cancel := context.WithTimeoutCause(ctx, claimTimeout, errClaimTimeout)
	defer cancel()
	settled := it.done
	var grace <-chan time.Time
	for {
		verdict, fence, changed := p.currentVerdict(a, it)
		if verdict != reducer.Undecided {
			return verdict, fence, 0
		}
		select {
		case <-settled:
			settled = nil
			switch it.status {
			case uncertain:
				grace = time.After(uncertainAppendTimeout)
			case unsent:
				return reducer.Undecided, 0, refuser.LedgerUnavailable
			}
		case <-grace:
			return reducer.Undecided, 0, refuser.LedgerUnavailable
		case <-changed:
		case <-ctx.Done():
			return reducer.Undecided, 0, contextCode(ctx)
		}
	}
}

// errClaimTimeout distinguishes the claim's timeout from the caller's.
var errClaimTimeout = errors.New("claim timeout")

// contextCode returns the code for the reason why a context ended.
func contextCode(ctx context.Context) refuser.Code {
	switch {
	case errors.Is(context.Cause(ctx), errClaimTimeout):
		return refuser.LedgerUnavailable
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuser.DeadlinePassed
	}
	return refuser.CallerLeft
}

// currentVerdict returns the verdict on a claim by the current view, its fence,
// and the channel that is closed when the view changes.
func (p *partition) currentVerdict(a reducer.Attempt, it *item) (reducer.Verdict, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.viewOf(a.Key)
	verdict, fence := view.ClaimVerdict(a, it.entry.Nonce)
	passed := it.currentStatus() == appended && view.Next() > it.position.Offset
	if verdict == reducer.Undecided && passed {
		verdict = reducer.IgnoredVerdict(a, it.position)
	}
	return verdict, fence, p.changed
}
