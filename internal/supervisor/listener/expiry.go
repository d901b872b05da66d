package listener

import (
	"context"
	"errors"
	"time"

	"banyanquay/internal/refuser"
)

// retryElsewhereDelay is when to retry at another node after a node that is leaving has
// refused a request.
const retryElsewhereDelay = time.Second

// expired reports whether a request's context ended since the gate has expired.
func expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrExpired)
}

// asExpired replaces the refusal of a request whose context the gate has ended: the parts
// that ran it take that for a caller that left. Whether it ran is kept. A request that may
// have run and may not be repeated is not refused with the status 503, on which clients
// repeat requests. Other errors are returned unchanged.
func asExpired(ctx context.Context, nonIdempotent bool, err error) error {
	refusal := asRefusal(err)
	if !expired(ctx) || refusal.Code != refuser.CallerLeft {
		return err
	}
	refusal.Code = refuser.Leaving
	refusal.Wait = retryElsewhereDelay
	if nonIdempotent && refusal.Attempt != refuser.Never {
		refusal.Code, refusal.Wait = refuser.OutcomeUnknown, 0
	}
	refusal.Detail = ErrExpired.Error()
	return refusal
}
