package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

// retryAfter is the wait suggested to callers when no endpoint of a service is
// available or all have failed.
const retryAfter = 2 * time.Second

// Call is a request to a plain service. It is an immutable value.
type Call struct {
	Request      string
	Organisation describer.Organisation
	// Route is the template's route that matches the call.
	Route describer.Route
	// Call is what to send.
	Call driver.Call
	// Key is used when the route is non-idempotent.
	Key Key
}

// Result is a plain service's answer. Whoever gets it releases the answer.
type Result struct {
	Answer driver.Answer
	// Recorded is set when the answer is the recorded one of an earlier attempt.
	Recorded bool
}

// Call runs a request to a plain service. Its error is a refuser.Refusal.
func (d *Dispatcher) Call(ctx context.Context, call Call) (Result, error) {
	call.Call.Timeout = d.timeout(call.Route)
	if call.Route.NonIdempotent {
		return d.callOnce(ctx, call)
	}
	grant, err := d.admit(ctx, d.cfg.AdmitCall, admissionRequest(ctx, call.Organisation, 1), call.Call.Timeout)
	if err != nil {
		return Result{}, err
	}
	defer grant.Release(1)
	return d.callIdempotent(ctx, call)
}

// timeout returns the route's timeout, or the node's default if it has none.
func (d *Dispatcher) timeout(route describer.Route) time.Duration {
	if route.Timeout > 0 {
		return route.Timeout
	}
	return d.cfg.CallTimeout
}

// callIdempotent tries one endpoint after the other, as long as the retry
// budgets allow it.
func (d *Dispatcher) callIdempotent(ctx context.Context, call Call) (Result, error) {
	org := call.Organisation.Template.Name
	last := noEndpoint(call.Route.Service)
	for i, address := range d.cfg.ServiceAddresses(org, call.Route.Service) {
		placed := time.Now()
		answer, err := d.cfg.Services.Do(ctx, address, call.Call)
		if err == nil {
			d.cfg.Succeeded(org, address)
			return Result{Answer: answer}, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			return Result{}, refuser.New(refuser.CallerLeft, "calling %s: %v", address, err).WithRan(refuser.Maybe)
		}
		d.reportFailed(address, err)
		last = refuser.New(refuser.EndpointFailed, "calling %s: %v", address, err).WithRan(refuser.Maybe).WithWait(retryAfter)
		if ctx.Err() != nil {
			break
		}
		if _, err := d.cfg.Retry(retrier.FailedAttempt{Organisation: org, Address: address, Reason: retrier.ServiceFailed, Attempt: i + 1, Placed: placed}); err != nil {
			break
		}
	}
	return Result{}, last
}

// reportFailed reports an endpoint that has failed. One for whose answer this node had no memory
// hasn't.
func (d *Dispatcher) reportFailed(address string, err error) {
	if !bounder.Blameless(err) {
		d.cfg.Failed(address)
	}
}

// callOnce runs a non-idempotent call at most once under its key, unless it might outlast
// the node's stop.
func (d *Dispatcher) callOnce(ctx context.Context, call Call) (Result, error) {
	attempt := d.attempt(call.Organisation, call.Key, call.Route.Checks)
	if !d.callInTime(ctx, call) {
		return Result{}, proved(d.cfg.Ledger.Refuse(ctx, attempt, stopped()))
	}
	grant, err := d.admit(ctx, d.cfg.AdmitCall, admissionRequest(ctx, call.Organisation, 1), call.Call.Timeout)
	if err != nil {
		return Result{}, proved(d.cfg.Ledger.Refuse(ctx, attempt, refusal(err)))
	}
	defer grant.Release(1)
	ticket, recorded, err := d.cfg.Ledger.Begin(ctx, attempt)
	if err != nil {
		return Result{}, proved(refusal(err))
	}
	if recorded != nil {
		return Result{Answer: driver.Answer{Status: recorded.Status, Header: recorded.Header, Body: recorded.Body}, Recorded: true}, nil
	}
	return d.dispatch(ctx, call, ticket)
}

// callInTime reports whether a call that is sent now is answered before the node's stop.
func (d *Dispatcher) callInTime(ctx context.Context, call Call) bool {
	return d.cfg.InTime(ctx, call.Organisation.Template.Name, call.Call.Timeout)
}

// dispatch sends a claimed call. It tries another endpoint only as long as no
// byte of the call has been written.
func (d *Dispatcher) dispatch(ctx context.Context, call Call, ticket *claimer.Ticket) (Result, error) {
	// The call continues when the caller leaves, and its answer is recorded. At the deadline
	// of a planned stop it ends, while its outcome can still be recorded.
	limited := ctx
	ctx, cancel := d.cfg.UntilStopped(context.WithoutCancel(limited))
	defer cancel()
	out := call.Call
	out.Key, out.Fence = keyAndFence(call, ticket)
	last := noEndpoint(call.Route.Service)
	org := call.Organisation.Template.Name
	for i, address := range d.cfg.ServiceAddresses(org, call.Route.Service) {
		if !d.callInTime(limited, call) {
			return Result{}, proved(ticket.Release(ctx, stopped()))
		}
		placed := time.Now()
		answer, err := d.cfg.Services.Once(ctx, address, out)
		if err == nil && isDuplicate(call.Route, answer) {
			answer.Release()
			return Result{}, d.outcomeUnknown(ctx, call, ticket, address, errDuplicate)
		}
		if err == nil {
			d.cfg.Succeeded(org, address)
			d.record(ctx, call.Request, ticket, claimer.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
			return Result{Answer: answer}, nil
		}
		if ctx.Err() == nil {
			d.reportFailed(address, err)
		}
		var unsent *driver.Unsent
		if !errors.As(err, &unsent) {
			return Result{}, d.outcomeUnknown(ctx, call, ticket, address, err)
		}
		if ctx.Err() != nil {
			return Result{}, proved(ticket.Release(ctx, stopped()))
		}
		last = refuser.New(refuser.EndpointFailed, "the call could not be sent to %s: %v", address, err).WithWait(retryAfter)
		if _, err := d.cfg.Retry(retrier.FailedAttempt{Organisation: org, Address: address, Reason: retrier.ServiceUnsent, Attempt: i + 1, Placed: placed}); err != nil {
			break
		}
	}
	return Result{}, proved(ticket.Release(ctx, last))
}

// errDuplicate is the outcome of a call whose key the service has seen before.
var errDuplicate = errors.New("the service has already seen a call with this key")

// isDuplicate reports whether a service that checks keys or fences refused the
// call because of another one. The refusal does not hold the other call's answer,
// so it must not be recorded as the answer of the key.
func isDuplicate(route describer.Route, answer driver.Answer) bool {
	checks := route.Checks == describer.ChecksKey || route.Checks == describer.ChecksFence
	return checks && answer.Status == http.StatusConflict
}

// keyAndFence returns what the service checks to refuse a second execution; what
// it does not check is empty. The key includes the organisation, as services are
// shared and organisations choose the text of their keys.
func keyAndFence(call Call, ticket *claimer.Ticket) (string, uint64) {
	key := call.Organisation.Template.Name + keySeparator + call.Key.Value
	switch call.Route.Checks {
	case describer.ChecksKey:
		return key, 0
	case describer.ChecksFence:
		return key, ticket.Fence()
	default:
		return "", 0
	}
}

// keySeparator can't be part of an organisation's name.
const keySeparator = "/"

// outcomeUnknown records that the call was sent and its outcome was lost, and
// returns the refusal.
func (d *Dispatcher) outcomeUnknown(ctx context.Context, call Call, ticket *claimer.Ticket, address string, err error) error {
	ticket.Unknown(ctx)
	d.cfg.Recorder.Warn(recorder.OutcomeLost,
		zap.String("request", call.Request), zap.String("endpoint", address), zap.Error(err))
	return refuser.New(refuser.OutcomeUnknown, "the call was sent to %s, but its outcome is unknown: %v", address, err).WithRan(refuser.Maybe)
}

// noEndpoint returns the refusal of a call to a service that no endpoint offers.
func noEndpoint(service string) refuser.Refusal {
	return refuser.New(refuser.NoEndpoint, "no endpoint offers service %s", service).WithWait(retryAfter)
}
