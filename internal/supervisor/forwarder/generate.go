package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
	"banyanquay/internal/supervisor/quarantiner"
)

const (
	// streamBuffer is the size of a stream's read buffer; an event has on the
	// order of a hundred bytes.
	streamBuffer = 4 << 10
	// maxInitialSends limits how often a generation is sent that has no event yet,
	// refused sends included. One that has events is sent until its time is up: its caller
	// can't be told anything else any more. From maxQuickSends sends on it waits for
	// refusedRetryDelay before each.
	maxInitialSends = 3
	maxQuickSends   = 6
	// failureBackoff is how long an endpoint is avoided after it failed a request.
	failureBackoff = 2 * time.Second
	// overloadBackoff is how long an engine is avoided that lacked capacity. Each
	// refusal in a row doubles it, up to maxOverloadDoublings times: the engine may
	// be leaving without this node's knowledge.
	overloadBackoff      = 150 * time.Millisecond
	maxOverloadDoublings = 4
	// maxFailureBytes limits the size of a failure reply that is kept for the caller.
	maxFailureBytes = 64 << 10
	// minRemaining is the minimum remaining time for another attempt of a generation.
	minRemaining = 50 * time.Millisecond
)

// Causes with which the context of an attempt is cancelled.
var (
	errSilent      = trace.ConnectionProblem(nil, "no event for %v", maxSilence)
	errCutOff      = trace.ConnectionProblem(nil, "this node lost its connection to the engine")
	errStalled     = trace.ConnectionProblem(nil, "no progress")
	errEnded       = trace.ConnectionProblem(nil, "the attempt ended")
	errDeadline    = trace.LimitExceeded("the deadline of the request has passed")
	errEndUnproven = trace.ConnectionProblem(nil, "the endpoint has stopped, and nothing shows that its answer is whole")
	errQuarantined = trace.AccessDenied("the request was quarantined")
)

// generate runs a generation along a path of engines, and continues it along other
// paths when one fails.
func (f *Forwarder) generate(c *call) {
	s := f.monitor.addSession(c)
	defer f.monitor.removeSession(s)
	var lastErr error
	end, r, admitted := f.admitForRoom(c)
	if !admitted {
		f.refuse(c, r)
		return
	}
	defer end()
	for {
		if r, held := f.quarantined(c); held {
			f.failGeneration(c, s, f.generationRefusal(c, r, lastErr))
			return
		}
		if c.answered && c.sends >= maxQuickSends {
			grouper.Sleep(c.r.Context(), refusedRetryDelay)
		}
		path, err := f.paidPath(c, s)
		if r, ended := f.interruption(c); ended {
			f.failGeneration(c, s, r)
			return
		}
		if err != nil {
			f.failGeneration(c, s, f.generationRefusal(c, err, lastErr))
			return
		}
		complete, err := f.attempt(c, s, path)
		if complete {
			f.recordFinished(c, s)
			return
		}
		lastErr = err
		if errors.Is(err, errLeftUnproven) {
			c.presumedEnd, c.presumedAt = c.lastEventID, f.cfg.Now()
		}
		if r, ended := f.interruption(c); ended {
			f.failGeneration(c, s, r)
			return
		}
		if !f.mayRetryGeneration(c, s, err) {
			f.failGeneration(c, s, f.generationRefusal(c, err, lastErr))
			return
		}
	}
}

// failGeneration answers a generation that can't continue: as complete if it may be whole, with the failure reply
// of an engine, if there is one and nothing has been written, else with a refusal.
func (f *Forwarder) failGeneration(c *call, s *session, r refuser.Refusal) {
	if c.presumedWhole() && r.Code != refuser.CallerLeft {
		f.recordFinished(c, s)
		return
	}
	if c.answered || c.failure == nil || r.Code == refuser.CallerLeft {
		f.refuse(c, r)
		return
	}
	f.copyHeader(c, c.failure.reply)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(c.failure.body)))
	c.w.WriteHeader(c.failure.reply.Status)
	c.answered, c.status, c.firstWrite = true, c.failure.reply.Status, f.cfg.Now()
	_, _ = c.w.Write(c.failure.body)
	f.recordFinished(c, s)
}

// presumedWhole reports whether the stream may be whole as far as the caller has it, since its endpoint left and stopped
// behind the last event. Another endpoint is asked whether more follows, if the stream can be sent again.
func (c *call) presumedWhole() bool {
	return c.answered && c.presumedEnd != "" && c.presumedEnd == c.lastEventID
}

// begun reports whether the caller has events of the answer: of this request or, if
// it resumes a stream, of an earlier one.
func (c *call) begun() bool { return c.answered || c.LastEventID != "" }

// budgetRetryDelay returns the Retry-After of a request for which the retry budget
// is spent. Budgets are renewed twice a second; the random part keeps callers from
// retrying together.
func budgetRetryDelay() time.Duration {
	return 300*time.Millisecond + rand.N(500*time.Millisecond)
}

// mayRetryGeneration reports whether another attempt may follow a failed one.
func (f *Forwarder) mayRetryGeneration(c *call, s *session, err error) bool {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if limited && left < minRemaining || c.presumedWhole() && f.cfg.Now().Sub(c.presumedAt) > resumedTimeout {
		return false
	}
	if !c.answered && c.sends >= maxInitialSends {
		return false
	}
	var unsent *driver.Unsent
	var refused *driver.Refused
	if errors.As(err, &unsent) || errors.As(err, &refused) {
		return true
	}
	return c.route.Resumable && s.snapshot().runs < c.route.Attempts
}

// generationRefusal returns the refusal of a generation that can't continue.
func (f *Forwarder) generationRefusal(c *call, err, lastErr error) refuser.Refusal {
	detail := err.Error()
	if lastErr != nil {
		detail += "; last attempt: " + lastErr.Error()
	}
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	var r refuser.Refusal
	switch {
	case c.answered:
		return refuser.New(refuser.StreamBroken, "%s", detail).WithRan(refuser.Maybe)
	case limited && left < minRemaining:
		r = refuser.New(refuser.DeadlinePassed, "%s", detail)
	case errors.As(err, &r):
		r.Detail = detail
	default:
		r = refuser.New(refuser.EndpointFailed, "%s", detail)
	}
	if c.runs > 0 {
		return r.WithRan(refuser.Maybe)
	}
	if r.Wait == 0 {
		r = r.WithWait(retryDelay)
	}
	return r
}

// attempt sends the generation along a path and relays its events. It returns
// whether the stream came to its end.
func (f *Forwarder) attempt(c *call, s *session, path []pathfinder.Stage) (complete bool, err error) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(errEnded)
	if left, limited := c.remaining(f.cfg.Now(), c.route.Timeout); limited {
		limit, stop := context.WithTimeoutCause(ctx, left, errDeadline)
		defer stop()
		ctx = limit
	}
	s.start(path, cancel)
	defer s.stop()
	began := f.cfg.Now()
	c.sends++
	fw := f.forward(c, path[0].ID)
	fw.Path, fw.Version, fw.OnDetour = toDriverStages(path), s.version, s.recordDetour
	first, listed := f.cfg.Endpoints().Get(path[0].ID)
	if !listed {
		first = registrar.Entry{ID: path[0].ID, Address: path[0].Address, Service: c.service}
	}
	reply, err := f.cfg.Relay.Send(ctx, path[0].Address, fw)
	var unsent *driver.Unsent
	c.arrived = c.arrived || !errors.As(err, &unsent)
	if err != nil {
		if unsent == nil && ctx.Err() == nil {
			f.ends.noteBreak(first.Address, f.cfg.Now())
		}
		f.attemptBroken(ctx, c, s, brokenAttempt{err: err, began: began})
		return false, err
	}
	defer reply.Body.Close()
	f.learnLimits(path[0].ID, first.Born, reply, began)
	if reply.NotRun {
		return false, f.attemptRefused(c, s, reply, began)
	}
	if reply.Status != http.StatusOK || !reply.Signed {
		return false, f.attemptFailed(c, s, failedAttempt{ctx: ctx, endpoint: first, reply: reply, began: began})
	}
	f.assessor.Accepted(ids(path))
	f.endpointLived(path[0].Address, began)
	if err = f.relayStream(ctx, c, s, begunStream{endpoint: first, reply: reply}); err == nil {
		c.runs++
		f.assessor.Succeeded(path[0].ID, f.cfg.Now().Sub(began))
		state := s.snapshot()
		f.watchEnding(&ending{
			request: c.content, endpoint: first, sent: began, at: f.cfg.Now(), detoured: state.detoured,
			stream: true, events: state.attemptEvents, resumed: c.LastEventID != "" || state.events > state.attemptEvents,
			proven: state.attemptEvents >= c.provenFrom, // else it may have all that was asked for from engines that crashed
		})
		return true, nil
	}
	f.attemptBroken(ctx, c, s, brokenAttempt{err: err, began: began, answering: true})
	return false, err
}

// begunStream is an engine's stream whose head has been read.
type begunStream struct {
	endpoint registrar.Entry
	reply    driver.Reply
}

// relayStream relays a stream to its end, and checks that it is whole.
func (f *Forwarder) relayStream(ctx context.Context, c *call, s *session, stream begunStream) error {
	if err := c.checkHead(s, stream.reply); err != nil {
		return err
	}
	body := f.newAnswerBody(ctx, stream.reply, stream.endpoint.Address)
	reply := stream.reply
	reply.Body = body
	err := f.relayEvents(ctx, c, s, reply)
	if errors.Is(err, errTruncated) {
		f.ends.noteBreak(stream.endpoint.Address, f.cfg.Now())
	}
	state := s.snapshot()
	if err != nil || c.atMaximum(state.events) {
		return err
	}
	return f.checkRead(reply, readEnd{endpoint: stream.endpoint, body: body, detoured: state.detoured, least: minStreamEndSilence})
}

// brokenAttempt is an attempt that ended without a complete answer.
type brokenAttempt struct {
	err   error
	began time.Time
	// answering is set if the head of the answer had arrived.
	answering bool
}

// countRun counts an attempt that was sent as one that ran. It doesn't count
// against the route's limit if its first engine has stopped.
func (f *Forwarder) countRun(c *call, s *session, stopped bool) {
	c.runs++
	if !stopped {
		s.addRun()
	}
}

// recordFinished records a stream that came to its end.
func (f *Forwarder) recordFinished(c *call, s *session) {
	state := s.snapshot()
	f.recordTokens(c, state.events)
	f.cfg.Latency.Pauses.Record(state.longestPause)
	f.recordAnswer(c, c.status, state.first().ID,
		zap.Int("events", state.events), zap.Int("moves", state.moves),
		zap.Duration("pause", state.longestPause), zap.Duration("interval", state.interval))
}

// attemptBroken handles an attempt that ended without a complete answer.
func (f *Forwarder) attemptBroken(ctx context.Context, c *call, s *session, broken brokenAttempt) {
	cause := context.Cause(ctx)
	if c.r.Context().Err() != nil {
		c.countInterrupted(broken.err)
		return
	}
	first := s.snapshot().first()
	var unsent *driver.Unsent
	stopped, cutOff := false, false
	if broken.answering {
		c.ended = broken.mayBeWhole(cause)
	}
	if errors.As(broken.err, &unsent) {
		c.refusedBy = append(c.refusedBy, first.ID)
		f.probeIfPending(first.Address)
	} else {
		stopped = f.stoppedWithin(broken, first.Address)
		// Asked after the probe, which finds out whether this node is cut off.
		cutOff = errors.Is(cause, errCutOff) || (!s.snapshot().detoured && f.cutOffFrom(first.Address))
		stopped = stopped && !cutOff
		f.countRun(c, s, stopped)
	}
	if stopped && !endedByLeaving(broken.err) {
		c.provenFrom = max(c.provenFrom, s.snapshot().attemptEvents+quarantiner.ProvenEvents)
		f.recordCrash(c, s.snapshot(), broken)
	}
	if broken.blameless() {
		c.tried[first.ID] = true // and not suspect: the stream may have been complete, or had no memory here
	} else if !cutOff && !errors.Is(cause, errStalled) && !errors.Is(cause, errDeadline) && !errors.Is(cause, errQuarantined) {
		// A stall has been attributed to the endpoint at fault already.
		f.markSuspect(first.ID, first.Address, failureBackoff, "failed")
		f.assessor.Failed(first.ID)
		c.tried[first.ID] = true
	}
	state := s.snapshot()
	f.cfg.Recorder.Info(recorder.AttemptFailed,
		zap.String("request", c.ID), zap.Strings("path", addresses(state.path)), zap.Int("send", c.sends),
		zap.Int("events", state.events), zap.Duration("took", f.cfg.Now().Sub(broken.began)),
		zap.Bool("answering", broken.answering), zap.Bool("stopped", stopped), zap.Bool("cut_off", cutOff), zap.Strings("prompt", c.SharedParts),
		zap.Stringer("fingerprint", c.content.Fingerprint),
		zap.NamedError("cause", cause), zap.Error(broken.err))
}

// mayBeWhole reports whether an answer in progress may have been whole when its attempt ended for a cause.
func (b brokenAttempt) mayBeWhole(cause error) bool {
	return errors.Is(cause, errStalled) || errors.Is(cause, errCutOff) || errors.Is(cause, errSilent) || errors.Is(b.err, errEndUnproven) || endedByLeaving(b.err)
}

// blameless reports whether the first engine of the path isn't at fault for the end of an attempt,
// although it isn't tried again.
func (b brokenAttempt) blameless() bool {
	return errors.Is(b.err, errNotContinued) || errors.Is(b.err, bounder.ErrExhausted) || endedByLeaving(b.err)
}

// stoppedWithin reports whether an attempt broke off since its engine has stopped.
func (f *Forwarder) stoppedWithin(broken brokenAttempt, address string) bool {
	return !errors.Is(broken.err, bounder.ErrExhausted) && f.brokenByStop(address)
}

// attemptRefused handles a refusal by an engine of the path.
func (f *Forwarder) attemptRefused(c *call, s *session, reply driver.Reply, began time.Time) error {
	state := s.snapshot()
	id := state.first().ID
	for _, p := range state.path {
		if p.Address == reply.Fault {
			id = p.ID
		}
	}
	f.handleRefused(c, id, reply, f.cfg.Now().Sub(began))
	c.tried[id] = true
	c.refusedBy = append(c.refusedBy, id)
	f.cfg.Recorder.Info(recorder.AttemptFailed,
		zap.String("request", c.ID), zap.Strings("path", addresses(state.path)), zap.Int("send", c.sends),
		zap.Int("status", reply.Status), zap.String("fault", reply.Fault), zap.Bool("never", true),
		zap.Duration("took", f.cfg.Now().Sub(began)))
	return &driver.Refused{Reason: strconv.Itoa(reply.Status), Detail: reply.Fault}
}

// failedAttempt is an attempt whose reply is not a stream. Its first engine got the request with a context.
type failedAttempt struct {
	ctx      context.Context
	endpoint registrar.Entry
	reply    driver.Reply
	began    time.Time
}

// attemptFailed handles a reply that is not a stream: the engine ran the request
// and failed. The reply is kept for the caller in case no other engine does better.
func (f *Forwarder) attemptFailed(c *call, s *session, failed failedAttempt) error {
	first, reply := failed.endpoint, failed.reply
	answer := f.newAnswerBody(failed.ctx, reply, first.Address)
	body, held, err := f.cfg.Memory.Calls.ReadAll(answer, maxFailureBytes)
	c.reservations = append(c.reservations, held)
	if err == nil {
		text := jsonEnd(mediaType(reply.Header.Get("Content-Type")), body)
		err = f.checkRead(reply, readEnd{endpoint: first, body: answer, detoured: s.snapshot().detoured, least: minEndSilence, text: text})
	}
	if errors.Is(err, errLeftUnproven) {
		err = nil // no better failure reply follows from this engine
	}
	f.assessor.Failed(first.ID)
	f.countRun(c, s, f.prober.stopped(first.Address))
	f.markSuspect(first.ID, first.Address, failureBackoff, "failed")
	c.tried[first.ID] = true
	if err == nil && reply.Authentic() && deliverableStatus(reply) && reply.Status >= http.StatusMultipleChoices {
		c.failure = &failure{reply: reply, body: body}
	}
	f.cfg.Recorder.Info(recorder.AttemptFailed,
		zap.String("request", c.ID), zap.String("endpoint", first.ID), zap.String("address", first.Address),
		zap.Int("status", reply.Status), zap.Bool("never", false), zap.Int("send", c.sends),
		zap.Duration("took", f.cfg.Now().Sub(failed.began)), zap.Error(err))
	return trace.ConnectionProblem(err, "the engine answered with status %d", reply.Status)
}
