package dispatcher

import (
	"context"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
)

// RefuseCall completes the refusal of a call that was not and will not be run.
// For a non-idempotent call, the ledger states whether other attempts ran.
func (d *Dispatcher) RefuseCall(ctx context.Context, call Call, r refuser.Refusal) error {
	if !call.Route.NonIdempotent {
		return r
	}
	return proved(d.cfg.Ledger.Refuse(ctx, d.attempt(call.Organisation, call.Key, call.Route.Checks), r))
}

// RefuseChat completes the refusal of a chat request that was not and will not be run.
// For a non-idempotent request, the ledger states whether other attempts ran.
func (d *Dispatcher) RefuseChat(ctx context.Context, chat Chat, r refuser.Refusal) error {
	if !chat.Organisation.Template.ChatNonIdempotent {
		return r
	}
	return proved(d.cfg.Ledger.Refuse(ctx, d.attempt(chat.Organisation, chat.Key, describer.ChecksNothing), r))
}
