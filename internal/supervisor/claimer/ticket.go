package claimer

import (
	"context"

	"github.com/gravitational/trace"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// maxAnswerBody is the max size of a recorded answer's body in bytes; of a larger
// one only the digest is recorded.
const maxAnswerBody = 32 << 10

// Ticket is the right to dispatch one attempt. Exactly one call of Done, Unknown
// or Release must end it.
type Ticket struct {
	p       *partition
	attempt reducer.Attempt
	claim   reducer.Entry
	fence   uint64
}

// Fence returns the claim's fence, which is greater than 0 and grows with each
// granted claim of the key.
func (t *Ticket) Fence() uint64 {
	return t.fence
}

// Done records the answer. It returns once the answer is in the log or ctx has
// ended; in the latter case appending continues in the background.
func (t *Ticket) Done(ctx context.Context, a Answer) error {
	e := endEntry(t.claim, reducer.Done)
	e.Answer = reducer.Answer{Status: a.Status, Header: a.Header, Body: a.Body}.Recorded(maxAnswerBody)
	t.p.cfg.Counters.Ledger.Add("done", 1)
	return t.appendEnd(ctx, e)
}

// Unknown records that the attempt was dispatched and its outcome is not known.
// It returns without waiting for the log.
func (t *Ticket) Unknown(context.Context) {
	t.p.cfg.Counters.Ledger.Add("unknown", 1)
	t.p.queue.put(endEntry(t.claim, reducer.Unknown))
	t.p.endClaim()
}

// Release ends the claim of an attempt that provably was not dispatched, and
// returns the refusal, to which it adds whether the key's attempts ran.
func (t *Ticket) Release(ctx context.Context, r refuser.Refusal) refuser.Refusal {
	t.p.cfg.Counters.Ledger.Add("released", 1)
	defer t.p.endClaim()
	return t.p.abandonClaim(ctx, t.attempt, t.claim, r)
}

// appendEnd appends an entry that ends the claim.
func (t *Ticket) appendEnd(ctx context.Context, e reducer.Entry) error {
	it := t.p.queue.put(e)
	t.p.endClaim()
	select {
	case <-it.done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "waiting for the answer of key %s to be recorded", t.claim.Key.Name)
	}
}
