// Package dispatcher takes requests from admission to their final answer.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/dispatcher/retrier"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// Config is what a dispatcher needs.
type Config struct {
	// Admit waits for a chat request's turn, AdmitCall for a call's. Their
	// errors are refuser.Refusal values.
	Admit     func(ctx context.Context, req admitter.Request) (admitter.Grant, error)
	AdmitCall func(ctx context.Context, req admitter.Request) (admitter.Grant, error)
	// Ledger guards non-idempotent requests.
	Ledger *claimer.Claimer
	// Pipelines run chat requests.
	Pipelines *runner.Runner
	// Services call plain services.
	Services driver.Service
	// Offers lists the addresses that offer a service, best first.
	Offers func(organisation, service string) []string
	// Failed tells that an endpoint failed a call.
	Failed func(address string)
	// Retry asks the retry budgets for calls, Succeeded adds to them.
	Retry     func(t retrier.Try) (time.Duration, error)
	Succeeded func(organisation string, addresses ...string)
	// CallTimeout bounds a call to a plain service.
	CallTimeout time.Duration
	Recorder    *recorder.Recorder
	Counters    *counter.Set
}

// Dispatcher runs requests.
type Dispatcher struct {
	cfg Config
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg}
}

// Key identifies a non-idempotent request across attempts. It is an immutable
// value.
type Key struct {
	// Value is the caller's key, or one made by the node.
	Value string
	// Issued is when the caller made it, if that was stated.
	Issued time.Time
	// Number counts the key's attempts from 1 as the caller states it, 0 if it
	// does not.
	Number uint64
	// First is set when no other attempt can exist, as with a key made by the
	// node. A caller's own word would not do: its HTTP library may send a
	// request with a key twice without telling it.
	First bool
	// Fingerprint tells different requests under one key apart.
	Fingerprint uint64
}

// attempt prepares the ledger's record of a request that arrives now.
func (d *Dispatcher) attempt(org describer.Organisation, key Key, checks string) claimer.Attempt {
	return d.cfg.Ledger.Prepare(claimer.Attempt{
		Organisation: org.Template.Name,
		Key:          key.Value,
		Issued:       key.Issued,
		Number:       key.Number,
		First:        key.First,
		Fingerprint:  key.Fingerprint,
		Checks:       checks,
	})
}

// admission describes a request to an admitter.
func admission(ctx context.Context, org describer.Organisation, tokens int) admitter.Request {
	deadline, _ := ctx.Deadline()
	return admitter.Request{
		Organisation: org.Template.Name,
		Weight:       org.Template.Share,
		Priority:     org.Template.Priority,
		Deadline:     deadline,
		Tokens:       tokens,
	}
}

// recordWait bounds how long an answer waits for its record, so that a retry
// finds it; the append goes on after that.
const recordWait = 500 * time.Millisecond

// record records the answer of a claimed request. The caller gets the answer
// even if the log can't be reached.
func (d *Dispatcher) record(ctx context.Context, request string, ticket *claimer.Ticket, answer claimer.Answer) {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	if err := ticket.Done(ctx, answer); err != nil {
		d.cfg.Recorder.Warn(recorder.OutcomeLost, zap.String("request", request), zap.Error(err))
	}
}

// refusal returns err as a refusal; anything else is the node's own failure.
func refusal(err error) refuser.Refusal {
	var r refuser.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refuser.New(refuser.InternalError, "%v", err).WithRan(refuser.Maybe)
}

// proved marks a refusal in which the ledger spoke for every attempt.
func proved(r refuser.Refusal) error {
	return r.WithProof()
}
