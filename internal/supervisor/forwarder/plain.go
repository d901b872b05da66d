package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/quarantiner"
)

const (
	// maxAnswerBytes limits the size of an answer, which is buffered until it is known
	// to be complete. All that is buffered at once is limited by Config.Memory.
	maxAnswerBytes = 16 << 20
	// defaultMemoryBytes is the memory of the process if there is no Config.Memory.
	defaultMemoryBytes = 256 << 20
	// attemptTargetShare is the share of a route's target that one attempt of a
	// repeatable request may take while other attempts are left.
	attemptTargetShare = 0.8
	// minAttemptTimeout is the lower limit of that time.
	minAttemptTimeout = 150 * time.Millisecond
	// retryDelay is the Retry-After of a request for which no endpoint was available.
	retryDelay = 300 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome struct {
	reply driver.Reply
	// body is the complete answer.
	body []byte
	// err is set if there is no complete answer.
	err error
	// notRun is set if the endpoint did not run the request and will not.
	notRun bool
}

// succeeded reports whether the answer is complete, authentic and not a server error.
func (o outcome) succeeded() bool {
	return o.err == nil && o.reply.Status < http.StatusInternalServerError && !o.notRun && o.authentic()
}

// authentic reports whether the answer is complete and the endpoint's own. 101 is the only
// interim status that the transport returns; no request asks for it.
func (o outcome) authentic() bool {
	return o.err == nil && o.reply.Status >= http.StatusOK && o.reply.Authentic()
}

// presumed returns the outcome as it is passed on if the request can't be sent again: an answer that may be whole counts as
// whole.
func (o outcome) presumed() outcome {
	if errors.Is(o.err, errLeftUnproven) {
		o.err = nil
	}
	return o
}

// deliverable reports whether the answer may be passed on to the caller.
func (o outcome) deliverable() bool {
	return o.authentic() && !o.notRun && deliverableStatus(o.reply)
}

// servePlain runs a request at an endpoint of a plain service, and at others while
// it may be retried.
func (f *Forwarder) servePlain(c *call) {
	end, r, admitted := f.admitForRoom(c)
	if !admitted {
		f.refuse(c, r)
		return
	}
	defer end()
	// The last deliverable answer, or one that may be whole, is kept for the case that the last attempt has none.
	var last, kept outcome
	var lastEndpoint, keptEndpoint registrar.Entry
	for {
		if r, held := f.quarantined(c); held {
			if c.runs == 0 {
				f.refuse(c, r)
				return
			}
			break
		}
		e, ok := f.nextEndpoint(c)
		if !ok {
			break
		}
		lastEndpoint = e
		last = f.tryEndpoint(c, e)
		if presumed := last.presumed(); presumed.deliverable() && (presumed.succeeded() || !kept.succeeded()) {
			kept, keptEndpoint = presumed, lastEndpoint
		}
		if last.succeeded() || !f.mayResend(c, last) {
			break
		}
	}
	if c.sends > 0 && !last.succeeded() && kept.reply.Status != 0 {
		last, lastEndpoint = kept, keptEndpoint
	}
	f.finish(c, last, lastEndpoint)
}

// nextEndpoint returns the endpoint of a plain service to which the request is sent next, and
// whether it is: there is an endpoint, the request goes on, and the budget has a retry for it if
// it needs one.
func (f *Forwarder) nextEndpoint(c *call) (registrar.Entry, bool) {
	e, ok := f.permittedEndpoint(c)
	if _, ended := f.interruption(c); ended || !ok {
		return e, false
	}
	return e, !c.arrived || f.takePlainRetry(c)
}

// takePlainRetry takes a retry from the budget for a plain service, unless it is taken already.
func (f *Forwarder) takePlainRetry(c *call) bool {
	if c.paid.Swap(false) || f.cfg.Budget.TakeRetry(c.service, false) {
		return true
	}
	f.cfg.Counters.Retries.Add("budget_spent", 1)
	return false
}

// mayResend reports whether the request may be sent to another endpoint after an
// unsuccessful outcome.
func (f *Forwarder) mayResend(c *call, o outcome) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if limited && left < minAttemptTimeout/3 {
		return false
	}
	if o.notRun {
		return c.sends < maxPlainSends
	}
	return c.route.Repeatable() && c.runs < c.route.Attempts
}

// maxPlainSends limits how many endpoints may refuse one request.
const maxPlainSends = 4

// chooseEndpoint returns the endpoint with the lowest cost that has not been tried,
// and whether there is one.
func (f *Forwarder) chooseEndpoint(c *call) (registrar.Entry, bool) {
	var best registrar.Entry
	lowest := -1.0
	// Endpoints may have left since the request arrived.
	members, _ := f.members(c.service)
	if members == nil {
		return best, false
	}
	for _, e := range members.entries {
		if c.tried[e.ID] || c.limited[e.ID] || f.limitReached(e.ID) {
			continue
		}
		cost := f.cost(e)
		if lowest < 0 || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, lowest >= 0
}

// Weights of the choice between endpoints of a plain service, in units of the time
// of a request at an idle endpoint.
const (
	suspectCost     = 50.0
	failureCost     = 10.0
	otherCentreCost = 0.5
	tieBreakCost    = 0.05
)

// cost is the expected time at an endpoint, in units of the time at an idle one.
func (f *Forwarder) cost(e registrar.Entry) float64 {
	rec := f.assessor.Record(e.ID)
	slots := float64(max(e.Slots, 1))
	share := slots / float64(max(f.cfg.Nodes(), 1))
	cost := 1 + float64(rec.Requests)/max(share, 1) + failureCost*rec.FailureRate + tieBreakCost*rand.Float64()
	if e.Centre != f.cfg.Centre {
		cost += otherCentreCost
	}
	if f.assessor.IsSuspect(e.ID) {
		cost += suspectCost
	}
	return cost
}

// tryEndpoint sends the request to one endpoint and waits for the complete answer.
func (f *Forwarder) tryEndpoint(c *call, e registrar.Entry) outcome {
	began := f.cfg.Now()
	c.tried[e.ID] = true
	c.sends++
	end := f.assessor.Begin([]string{e.ID}, 0)
	defer end()
	ctx, stop := context.WithTimeout(c.r.Context(), f.attemptTimeout(c))
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit, ok := f.retryTimeout(c); ok {
		tried := maps.Clone(c.tried)
		f.start("retry", func() { f.endForRetry(ctx, c, plainRetry{after: limit, tried: tried, cancel: cancel}) })
	}
	defer f.plain.begin(c, cancel)()
	o := f.exchange(ctx, c, e)
	took := f.cfg.Now().Sub(began)
	if !o.notRun {
		c.runs++
	}
	crashed := f.crashed(ctx, c, e, o)
	switch {
	case crashed:
		f.cfg.Quarantine.RecordCrash(quarantiner.Crash{Endpoint: e.ID, Request: c.content, Sent: began, Answering: true})
	case o.authentic():
		f.endpointLived(e.Address, began)
		if !o.notRun {
			f.watchEnding(&ending{request: c.content, endpoint: e, sent: began, at: f.cfg.Now(), detoured: c.detoured})
		}
	case o.notRun:
		f.probeIfPending(e.Address)
	}
	switch {
	case o.succeeded():
		f.assessor.Succeeded(e.ID, took)
	case errors.Is(context.Cause(ctx), errQuarantined), bounder.Blameless(o.err), endedByLeaving(o.err), f.lostEndpoint(c, e):
		// The endpoint is not at fault.
	case c.r.Context().Err() == nil:
		f.assessor.Failed(e.ID)
	}
	if !o.succeeded() {
		f.cfg.Recorder.Info(recorder.AttemptFailed,
			zap.String("request", c.ID), zap.String("endpoint", e.ID), zap.String("address", e.Address),
			zap.Int("status", o.reply.Status), zap.Bool("never", o.notRun), zap.Int("send", c.sends),
			zap.Bool("stopped", crashed), zap.Stringer("fingerprint", c.content.Fingerprint),
			zap.Duration("took", took), zap.Error(o.err))
	}
	return o
}

// crashed reports whether an attempt broke off since its endpoint has stopped. If the
// attempt ended first, the endpoint isn't probed.
func (f *Forwarder) crashed(ctx context.Context, c *call, e registrar.Entry, o outcome) bool {
	return o.err != nil && !errors.Is(o.err, bounder.ErrExhausted) && !endedByLeaving(o.err) && !o.notRun && ctx.Err() == nil &&
		f.brokenByStop(e.Address) && !f.lostEndpoint(c, e)
}

// lostEndpoint reports whether this node has been cut off from the endpoint of an attempt
// since it was sent, so that neither the endpoint nor the request is at fault.
func (f *Forwarder) lostEndpoint(c *call, e registrar.Entry) bool {
	return !c.detoured && f.cutOffFrom(e.Address)
}

// attemptTimeout is how long one attempt may take.
func (f *Forwarder) attemptTimeout(c *call) time.Duration {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if !limited {
		left = time.Hour
	}
	return max(left, time.Millisecond)
}

// retryTimeout is how long an attempt at a plain service may take while another endpoint may be
// tried, and whether the route allows one.
func (f *Forwarder) retryTimeout(c *call) (time.Duration, bool) {
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts || c.route.Target <= 0 {
		return 0, false
	}
	return max(time.Duration(attemptTargetShare*float64(c.route.Target)), minAttemptTimeout), true
}

// plainRetry is how an attempt at a plain service makes room for another one.
type plainRetry struct {
	// after is how long the attempt takes before.
	after time.Duration
	// tried holds the endpoints that are not tried again.
	tried  map[string]bool
	cancel context.CancelCauseFunc
}

// endForRetry ends an attempt once there are another endpoint and a retry for it. It runs beside the
// request's goroutine, until the attempt ends.
func (f *Forwarder) endForRetry(ctx context.Context, c *call, r plainRetry) {
	for wait := r.after; grouper.Sleep(ctx, wait); wait = pollInterval {
		if f.hasOther(c.service, r.tried) && f.cfg.Budget.TakeRetry(c.service, false) {
			c.paid.Store(true)
			r.cancel(errStalled)
			return
		}
	}
}

// hasOther reports whether a plain service has an endpoint that has not been tried and takes
// requests.
func (f *Forwarder) hasOther(service string, tried map[string]bool) bool {
	members, ok := f.members(service)
	return ok && slices.ContainsFunc(members.entries, func(e registrar.Entry) bool {
		return !tried[e.ID] && !f.limitReached(e.ID)
	})
}

// exchange sends the request and reads the complete answer.
func (f *Forwarder) exchange(ctx context.Context, c *call, e registrar.Entry) outcome {
	began := f.cfg.Now()
	fw := f.forward(c, e.ID)
	c.detoured, fw.OnDetour = false, func() { c.detoured = true }
	reply, err := f.cfg.Relay.Send(ctx, e.Address, fw)
	if err != nil {
		var unsent *driver.Unsent
		notSent := errors.As(err, &unsent)
		c.arrived = c.arrived || !notSent
		if !notSent && ctx.Err() == nil {
			f.ends.noteBreak(e.Address, f.cfg.Now())
		}
		return outcome{err: err, notRun: notSent}
	}
	c.arrived = true
	defer reply.Body.Close()
	f.learnLimits(e.ID, e.Born, reply, began)
	answer := f.newAnswerBody(ctx, reply, e.Address)
	body, held, err := f.cfg.Memory.Calls.ReadAll(answer, maxAnswerBytes)
	c.reservations = append(c.reservations, held)
	if err == nil {
		err = driver.CheckBody(body)
	}
	if err == nil {
		text := jsonEnd(mediaType(reply.Header.Get("Content-Type")), body)
		err = f.checkRead(reply, readEnd{endpoint: e, body: answer, detoured: c.detoured, least: minEndSilence, text: text})
	}
	return outcome{reply: reply, body: body, err: err, notRun: reply.NotRun}
}

// brokenByStop reports whether an answer broke off just now since its endpoint has stopped.
func (f *Forwarder) brokenByStop(address string) bool {
	now := f.cfg.Now()
	return f.prober.stopped(address) || f.prober.stoppedSince(now, address)
}

// leaves reports whether this start of an endpoint is known to leave, so that its stop is no crash.
func (f *Forwarder) leaves(e registrar.Entry) bool {
	now, listed := f.cfg.Endpoints().Get(e.ID)
	return listed && now.SameStart(e) && now.Leaving
}

// finish answers the caller with the outcome, or with a refusal.
func (f *Forwarder) finish(c *call, o outcome, endpoint registrar.Entry) {
	interruption, ended := f.interruption(c)
	if ended && interruption.Code == refuser.CallerLeft {
		f.refuse(c, interruption)
		return
	}
	if c.sends > 0 && o.deliverable() {
		defer f.limitWrites(c).end()
		f.copyHeader(c, o.reply)
		c.w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		c.w.WriteHeader(o.reply.Status)
		c.answered = true
		c.firstWrite = f.cfg.Now()
		if c.Method != http.MethodHead {
			_, _ = io.Copy(c.w, bytes.NewReader(o.body))
		}
		_ = http.NewResponseController(c.w).Flush() // within the limit; fails if the caller has left
		f.recordAnswer(c, o.reply.Status, endpoint.ID)
		return
	}
	if ended {
		f.refuse(c, interruption)
		return
	}
	f.refuse(c, f.plainRefusal(c, o))
}

// deliverableStatus reports whether the status may be passed on. Some statuses
// promise that the request did not run; these are passed on only if the endpoint
// states so explicitly.
func deliverableStatus(reply driver.Reply) bool {
	switch reply.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// plainRefusal returns the refusal of a request without a deliverable answer. It
// also states whether the request ran.
func (f *Forwarder) plainRefusal(c *call, o outcome) refuser.Refusal {
	if wait, limited := f.limitWait(c); limited && c.runs == 0 {
		return endpointLimit(c.service, wait)
	}
	if c.runs == 0 {
		return refuser.New(refuser.NoEndpoint, "no endpoint of service %s accepted the request: %v", c.service, o.err).WithWait(retryDelay)
	}
	if left, limited := c.remaining(f.cfg.Now(), c.route.Timeout); limited && left < minAttemptTimeout/3 {
		return refuser.New(refuser.DeadlinePassed, "no answer in time: %v", o.err).WithRan(refuser.Maybe)
	}
	return refuser.New(refuser.EndpointFailed, "no usable answer, status %d: %v", o.reply.Status, o.err).WithRan(refuser.Maybe)
}
