package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// Chat is a request to a model. It is an immutable value.
type Chat struct {
	// Request is unique across the fleet.
	Request      string
	Organisation describer.Organisation
	// Route is the request to the planner.
	Route  planner.Request
	Prompt string
	Tokens int
	Resume []string
	// Key is used when the organisation's chats are non-idempotent.
	Key Key
}

// Chat runs a request to a model and emits its tokens. Its error is a
// refuser.Refusal, or what emit returned.
func (d *Dispatcher) Chat(ctx context.Context, chat Chat, emit runner.Emit) error {
	if chat.Organisation.Template.ChatNonIdempotent {
		return d.chatOnce(ctx, chat, emit)
	}
	return d.chat(ctx, chat, emit)
}

// withTimeLimit bounds a request on a borrowed slot by its deadline, so that it
// is not started if it can't finish in time. A request within its organisation's
// share is always started.
func (c Chat) withTimeLimit(ctx context.Context, grant admitter.Grant) Chat {
	deadline, ok := ctx.Deadline()
	if ok && grant.Borrowed {
		c.Route.TimeLeft = time.Until(deadline)
	}
	return c
}

// chat admits and runs a request.
func (d *Dispatcher) chat(ctx context.Context, chat Chat, emit runner.Emit) error {
	grant, err := d.admit(ctx, d.cfg.Admit, admissionRequest(ctx, chat.Organisation, chat.Tokens-len(chat.Resume)), 0)
	if err != nil {
		return err
	}
	count := 0
	defer func() { grant.Release(count) }()
	return d.run(ctx, chat.withTimeLimit(ctx, grant), countTokens(emit, &count))
}

// countTokens returns an emit function that counts the generated tokens, so that
// the admitter does not mistake a request that ended early for a fast one.
func countTokens(emit runner.Emit, count *int) runner.Emit {
	return func(position int, token string) error {
		*count++
		return emit(position, token)
	}
}

// run runs the request's pipeline.
func (d *Dispatcher) run(ctx context.Context, chat Chat, emit runner.Emit) error {
	job := runner.Job{
		Request:  chat.Request,
		Route:    chat.Route,
		Prompt:   chat.Prompt,
		Tokens:   chat.Tokens,
		Resume:   chat.Resume,
		Priority: chat.Organisation.Template.Priority,
	}
	return d.cfg.Pipelines.Run(ctx, job, emit)
}

// chatOnce runs a non-idempotent request at most once under its key, unless it might outlast
// the node's stop.
func (d *Dispatcher) chatOnce(ctx context.Context, chat Chat, emit runner.Emit) error {
	attempt := d.attempt(chat.Organisation, chat.Key, describer.ChecksNothing)
	if !d.cfg.InTime(ctx, chat.Organisation.Template.Name, 0) {
		return proved(d.cfg.Ledger.Refuse(ctx, attempt, stopped()))
	}
	grant, err := d.admit(ctx, d.cfg.Admit, admissionRequest(ctx, chat.Organisation, chat.Tokens-len(chat.Resume)), 0)
	if err != nil {
		return proved(d.cfg.Ledger.Refuse(ctx, attempt, refusal(err)))
	}
	count := 0
	defer func() { grant.Release(count) }()
	ticket, answer, err := d.cfg.Ledger.Begin(ctx, attempt)
	if err != nil {
		return proved(refusal(err))
	}
	if answer != nil {
		return replay(*answer, len(chat.Resume), emit)
	}
	return d.runOnce(ctx, chat, ticket, countTokens(emit, &count))
}

// runOnce runs a claimed request and records how it ended.
func (d *Dispatcher) runOnce(ctx context.Context, chat Chat, ticket *claimer.Ticket, emit runner.Emit) error {
	// The request continues when the caller leaves, and its answer is recorded. At the
	// deadline of a planned stop it ends, while its outcome can still be recorded.
	ctx, cancel := detach(ctx)
	defer cancel()
	ctx, release := d.cfg.UntilStopped(ctx)
	defer release()
	if errors.Is(ctx.Err(), context.Canceled) || !d.cfg.InTime(ctx, chat.Organisation.Template.Name, 0) {
		return proved(ticket.Release(ctx, stopped()))
	}
	var tokens []string
	err := d.run(ctx, chat, func(position int, token string) error {
		tokens = append(tokens, token)
		_ = emit(position, token)
		return nil
	})
	if err == nil {
		body := []byte(strings.Join(tokens, tokenSeparator))
		d.record(ctx, chat.Request, ticket, claimer.Answer{Status: http.StatusOK, Body: body})
		return nil
	}
	r := refusal(err)
	if r.Ran == refuser.Never {
		return proved(ticket.Release(ctx, r))
	}
	ticket.Unknown(ctx)
	return r
}

// tokenSeparator can't be part of a token.
const tokenSeparator = "\x00"

// replay emits the tokens of a recorded answer from position first.
func replay(answer claimer.Answer, first int, emit runner.Emit) error {
	for i, token := range strings.Split(string(answer.Body), tokenSeparator) {
		if err := emit(first+i, token); err != nil {
			return err
		}
	}
	return nil
}

// detach returns a context that keeps the deadline of ctx, but not its
// cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	ctx = context.WithoutCancel(ctx)
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}
