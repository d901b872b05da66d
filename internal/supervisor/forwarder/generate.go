package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/forwarder/pather"
)

const (
	// streamBuffer is the read buffer of a stream; an event has some hundred
	// bytes.
	streamBuffer = 4 << 10
	// maxAttempts bounds how often one generation is sent, refusals included, and
	// maxBegins how often one that has no event yet is.
	maxAttempts = 6
	maxBegins   = 3
	// doubtTime is how long an endpoint is avoided after it failed work.
	doubtTime = 2 * time.Second
	// fullTime is how long an engine that had no room is avoided. Each refusal in a
	// row doubles it, fullDoublings times at most: the engine may leave without this
	// node's knowledge.
	fullTime      = 150 * time.Millisecond
	fullDoublings = 4
	// budgetPatience is how long a stream in progress waits for a repeat: callers
	// leave after a silence of two seconds. budgetPoll is how often it asks.
	budgetPatience = 1300 * time.Millisecond
	budgetPoll     = 50 * time.Millisecond
	// leastLeft is the time below which a generation isn't begun any more.
	leastLeft = 50 * time.Millisecond
)

// Causes of the end of an attempt.
var (
	errStalled = trace.ConnectionProblem(nil, "no progress")
	errEnded   = trace.ConnectionProblem(nil, "the attempt ended")
	errLate    = trace.LimitExceeded("the request's time is over")
)

// generate runs a generation along a path of engines, and on along others when
// one breaks.
func (f *Forwarder) generate(c *call) {
	s := f.monitor.begin(c)
	defer f.monitor.end(s)
	var last error
	for {
		if c.sends > 0 && !f.repeat(c) {
			f.giveUp(c, s, f.broken(c, refuser.New(refuser.RetryBudgetSpent, "no repeat left").WithWait(spentWait()), last))
			return
		}
		path, err := f.path(c, s.version)
		if err != nil {
			f.giveUp(c, s, f.broken(c, err, last))
			return
		}
		whole, err := f.attempt(c, s, path)
		if whole {
			f.finished(c, s)
			return
		}
		last = err
		if c.r.Context().Err() != nil {
			f.refuse(c, c.left())
			return
		}
		if !f.resumes(c, s, err) {
			f.giveUp(c, s, f.broken(c, err, last))
			return
		}
	}
}

// giveUp answers a generation that can't go on: with the failure that an engine gave
// it, if there is one and nothing has been written, else with a refusal.
func (f *Forwarder) giveUp(c *call, s *session, r refuser.Refusal) {
	if c.answered || c.failure == nil {
		f.refuse(c, r)
		return
	}
	c.copyHeader(c.failure.reply)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(c.failure.body)))
	c.w.WriteHeader(c.failure.reply.Status)
	c.answered, c.status, c.first = true, c.failure.reply.Status, f.cfg.Now()
	_, _ = c.w.Write(c.failure.body)
	f.finished(c, s)
}

// repeat takes a repeat out of the budget. A stream in progress waits for one as
// long as its caller does.
func (f *Forwarder) repeat(c *call) bool {
	until := f.cfg.Now().Add(budgetPatience)
	for {
		if f.cfg.Budget.TakeRetry(c.service) {
			return true
		}
		if !c.answered || f.cfg.Now().After(until) || !grouper.Sleep(c.r.Context(), budgetPoll) {
			f.cfg.Counters.Retries.Add("budget_spent", 1)
			return false
		}
	}
}

// spentWait is when a caller may come back whose request found no repeat left.
// Budgets are renewed twice a second; the spread keeps callers apart.
func spentWait() time.Duration {
	return 300*time.Millisecond + rand.N(500*time.Millisecond)
}

// resumes tells whether another attempt may follow a failed one.
func (f *Forwarder) resumes(c *call, s *session, err error) bool {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if limited && left < leastLeft {
		return false
	}
	if c.sends >= maxAttempts || (!c.answered && c.sends >= maxBegins) {
		return false
	}
	var unsent *driver.Unsent
	var refused *driver.Refused
	if errors.As(err, &unsent) || errors.As(err, &refused) {
		return true
	}
	return c.route.Resumable && s.look().runs < c.route.Attempts
}

// broken returns the refusal of a generation that can't go on.
func (f *Forwarder) broken(c *call, err, last error) refuser.Refusal {
	detail := err.Error()
	if last != nil {
		detail += "; before that: " + last.Error()
	}
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	var r refuser.Refusal
	switch {
	case c.answered:
		return refuser.New(refuser.StreamBroken, "%s", detail).WithRan(refuser.Maybe)
	case limited && left < leastLeft:
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
		r = r.WithWait(comeBack)
	}
	return r
}

// attempt sends the generation along a path and passes its events on. It tells
// whether the stream came to its end.
func (f *Forwarder) attempt(c *call, s *session, path []pather.Part) (whole bool, err error) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(errEnded)
	if left, limited := c.remaining(f.cfg.Now(), c.route.Timeout); limited {
		limit, stop := context.WithTimeoutCause(ctx, left, errLate)
		defer stop()
		ctx = limit
	}
	s.start(path, cancel)
	defer s.stop()
	began := f.cfg.Now()
	c.sends++
	fw := f.forward(c, path[0].ID)
	fw.Path, fw.Version = wire(path), s.version
	reply, err := f.cfg.Relay.Send(ctx, path[0].Address, fw)
	if err != nil {
		f.lost(ctx, c, s, err, began)
		return false, err
	}
	defer reply.Body.Close()
	if reply.NotRun {
		return false, f.refusedBy(c, s, reply, began)
	}
	if reply.Status != http.StatusOK || !reply.Signed {
		return false, f.failedBy(c, s, reply, began)
	}
	f.assessor.Accepted(ids(path))
	err = f.relay(ctx, c, s, reply)
	if err == nil {
		c.runs++
		f.assessor.Succeeded(path[0].ID, f.cfg.Now().Sub(began))
		return true, nil
	}
	f.lost(ctx, c, s, err, began)
	return false, err
}

// count counts an attempt that was sent as one that ran. One whose first engine
// has ended doesn't count against the route's limit.
func (f *Forwarder) count(c *call, s *session, first string) {
	c.runs++
	if !f.prober.ended(first) {
		s.ran()
	}
}

// finished takes in a stream that came to its end.
func (f *Forwarder) finished(c *call, s *session) {
	state := s.look()
	f.cfg.Latency.Pauses.Record(state.longest)
	f.done(c, c.status, state.first().ID,
		zap.Int("events", state.events), zap.Int("moves", state.moves),
		zap.Duration("pause", state.longest), zap.Duration("interval", state.interval))
}

// lost takes in that an attempt ended without a whole answer.
func (f *Forwarder) lost(ctx context.Context, c *call, s *session, err error, began time.Time) {
	cause := context.Cause(ctx)
	if c.r.Context().Err() != nil {
		return
	}
	first := s.look().first()
	var unsent *driver.Unsent
	if !errors.As(err, &unsent) {
		f.count(c, s, first.Address)
	}
	if !errors.Is(cause, errStalled) && !errors.Is(cause, errLate) {
		// A stall has been put down to the endpoint at fault already.
		f.doubt(first.ID, first.Address, doubtTime, "failed")
		f.assessor.Failed(first.ID)
		c.tried[first.ID] = true
	}
	state := s.look()
	f.cfg.Recorder.Info(recorder.TryFailed,
		zap.String("request", c.ID), zap.Strings("path", addresses(state.path)), zap.Int("send", c.sends),
		zap.Int("events", state.events), zap.Duration("took", f.cfg.Now().Sub(began)),
		zap.NamedError("cause", cause), zap.Error(err))
}

// refusedBy takes in a refusal by an engine of the path.
func (f *Forwarder) refusedBy(c *call, s *session, reply driver.Reply, began time.Time) error {
	state := s.look()
	id := state.first().ID
	for _, p := range state.path {
		if p.Address == reply.Fault {
			id = p.ID
		}
	}
	wait := fullTime << min(f.assessor.Rejected(id)-1, fullDoublings)
	if reply.Status == http.StatusMisdirectedRequest || f.cfg.Now().Sub(began) > time.Second {
		wait = doubtTime
	}
	f.doubt(id, reply.Fault, wait, "refused")
	c.tried[id] = true
	f.cfg.Recorder.Info(recorder.TryFailed,
		zap.String("request", c.ID), zap.Strings("path", addresses(state.path)), zap.Int("send", c.sends),
		zap.Int("status", reply.Status), zap.String("fault", reply.Fault), zap.Bool("never", true),
		zap.Duration("took", f.cfg.Now().Sub(began)))
	return &driver.Refused{Reason: strconv.Itoa(reply.Status), Detail: reply.Fault}
}

// failedBy takes in an answer that is not a stream: the engine ran the request and
// failed it. The answer is kept for the caller, should no other engine do better.
func (f *Forwarder) failedBy(c *call, s *session, reply driver.Reply, began time.Time) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerBytes))
	first := s.look().first()
	f.assessor.Failed(first.ID)
	f.count(c, s, first.Address)
	f.doubt(first.ID, first.Address, doubtTime, "failed")
	c.tried[first.ID] = true
	if err == nil && showable(reply) && reply.Status >= http.StatusMultipleChoices {
		c.failure = &failure{reply: reply, body: body}
	}
	f.cfg.Recorder.Info(recorder.TryFailed,
		zap.String("request", c.ID), zap.String("endpoint", first.ID), zap.String("address", first.Address),
		zap.Int("status", reply.Status), zap.Bool("never", false), zap.Int("send", c.sends),
		zap.Duration("took", f.cfg.Now().Sub(began)), zap.Error(err))
	return trace.ConnectionProblem(err, "answered %d", reply.Status)
}

// relay passes the events of a stream on as they come, whole ones only.
func (f *Forwarder) relay(ctx context.Context, c *call, s *session, reply driver.Reply) error {
	r := bufio.NewReaderSize(reply.Body, streamBuffer)
	out := http.NewResponseController(c.w)
	var buf []byte
	for {
		e, err := nextEvent(r, buf)
		if errors.Is(err, io.EOF) {
			if !c.answered {
				c.begin(f, s, reply)
			}
			return nil
		}
		if err != nil {
			return trace.ConnectionProblem(err, "reading the stream")
		}
		buf = e.data
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if !c.answered {
			c.begin(f, s, reply)
		}
		if _, err := c.w.Write(e.data); err != nil {
			return trace.ConnectionProblem(err, "writing to the caller")
		}
		if err := out.Flush(); err != nil {
			return trace.ConnectionProblem(err, "writing to the caller")
		}
		if e.id != "" {
			c.after = e.id
		}
		s.progress(f.cfg.Now())
	}
}

// begin writes the head of a stream's answer.
func (c *call) begin(f *Forwarder, s *session, reply driver.Reply) {
	c.copyHeader(reply)
	c.w.WriteHeader(reply.Status)
	c.answered, c.status, c.first = true, reply.Status, f.cfg.Now()
	s.version = reply.Version
}
