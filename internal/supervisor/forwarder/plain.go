package forwarder

import (
	"bytes"
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
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
)

const (
	// answerBytes bounds an answer, which is held back until it is known to be
	// whole: some fifteen at once fit a node's memory.
	answerBytes = 16 << 20
	// shareOfTarget is the part of a route's target that one try of a
	// repeatable request may take while others are left.
	shareOfTarget = 0.8
	// leastTry bounds that from below.
	leastTry = 150 * time.Millisecond
	// comeBack is when a caller refused for want of an endpoint may come back.
	comeBack = 300 * time.Millisecond
)

// outcome is how one try ended.
type outcome struct {
	reply driver.Reply
	// body is the whole answer.
	body []byte
	// err is set if there is no whole answer.
	err error
	// never tells that the endpoint did not and will not run the request.
	never bool
}

// good tells whether the answer is the endpoint's own and a success.
func (o outcome) good() bool {
	return o.err == nil && o.reply.Status < http.StatusInternalServerError && !o.never && o.valid()
}

// valid tells whether the answer may be shown: a success without a signature
// is not the service's.
func (o outcome) valid() bool {
	return o.err == nil && (o.reply.Signed || o.reply.Status >= http.StatusMultipleChoices)
}

// deliverable tells whether the answer may be passed on.
func (o outcome) deliverable() bool {
	return o.valid() && !o.never && showable(o.reply)
}

// plain runs a request at an endpoint of a plain service, and at others while
// it may be repeated.
func (f *Forwarder) plain(c *call) {
	// Of several answers the last that may be passed on is.
	var last, kept outcome
	var at, keptAt registrar.Entry
	for {
		e, ok := f.choose(c)
		if !ok {
			break
		}
		if c.sends > 0 && !f.cfg.Budget.TakeRetry(c.service) {
			f.cfg.Counters.Retries.Add("budget_spent", 1)
			break
		}
		at = e
		last = f.try(c, e)
		if last.deliverable() {
			kept, keptAt = last, at
		}
		if last.good() || !f.again(c, last) {
			break
		}
	}
	if c.sends > 0 && !last.deliverable() && kept.reply.Status != 0 {
		last, at = kept, keptAt
	}
	f.finish(c, last, at)
}

// again tells whether the request may be sent to another endpoint after an
// outcome that was not good.
func (f *Forwarder) again(c *call, o outcome) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if limited && left < leastTry/3 {
		return false
	}
	if o.never {
		return c.sends < maxSends
	}
	return c.route.Repeatable() && c.runs < c.route.Attempts
}

// maxSends bounds how many endpoints may refuse one request.
const maxSends = 4

// choose returns the endpoint to try next.
func (f *Forwarder) choose(c *call) (registrar.Entry, bool) {
	var best registrar.Entry
	lowest := -1.0
	// Endpoints may have left since the request came.
	members, _ := f.members(c.service)
	if members == nil {
		return best, false
	}
	for _, e := range members.entries {
		if c.tried[e.ID] {
			continue
		}
		cost := f.cost(e)
		if lowest < 0 || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, lowest >= 0
}

// Weights of the choice between endpoints of a plain service, in units of the
// time of a request at an idle one.
const (
	doubtCost   = 50.0
	failureCost = 10.0
	farCost     = 0.5
	tieCost     = 0.05
)

// cost is the expected time at an endpoint in units of an idle one's.
func (f *Forwarder) cost(e registrar.Entry) float64 {
	rec := f.assessor.Record(e.ID)
	slots := float64(max(e.Slots, 1))
	share := slots / float64(max(f.cfg.Nodes(), 1))
	cost := 1 + float64(rec.Requests)/max(share, 1) + failureCost*rec.FailureRate + tieCost*rand.Float64()
	if e.Centre != f.cfg.Centre {
		cost += farCost
	}
	if f.assessor.Doubtful(e.ID) {
		cost += doubtCost
	}
	return cost
}

// try sends the request to one endpoint and waits for the whole answer.
func (f *Forwarder) try(c *call, e registrar.Entry) outcome {
	began := f.cfg.Now()
	c.tried[e.ID] = true
	c.sends++
	end := f.assessor.Begin([]string{e.ID}, 0)
	defer end()
	ctx, cancel := context.WithTimeout(c.r.Context(), f.patience(c))
	defer cancel()
	o := f.exchange(ctx, c, e)
	took := f.cfg.Now().Sub(began)
	if !o.never {
		c.runs++
	}
	switch {
	case o.good():
		f.assessor.Succeeded(e.ID, took)
	case c.r.Context().Err() == nil:
		f.assessor.Failed(e.ID)
	}
	if !o.good() {
		f.cfg.Recorder.Info(recorder.TryFailed,
			zap.String("request", c.ID), zap.String("endpoint", e.ID), zap.String("address", e.Address),
			zap.Int("status", o.reply.Status), zap.Bool("never", o.never), zap.Int("send", c.sends),
			zap.Duration("took", took), zap.Error(o.err))
	}
	return o
}

// patience is how long one try may take.
func (f *Forwarder) patience(c *call) time.Duration {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if !limited {
		left = time.Hour
	}
	if c.route.Repeatable() && c.runs+1 < c.route.Attempts && c.route.Target > 0 {
		part := max(time.Duration(shareOfTarget*float64(c.route.Target)), leastTry)
		left = min(left, part)
	}
	return max(left, time.Millisecond)
}

// exchange sends the request and reads the whole answer.
func (f *Forwarder) exchange(ctx context.Context, c *call, e registrar.Entry) outcome {
	reply, err := f.cfg.Relay.Send(ctx, e.Address, f.forward(c, e.ID))
	if err != nil {
		var unsent *driver.Unsent
		return outcome{err: err, never: errors.As(err, &unsent)}
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, answerBytes+1))
	if err == nil && len(body) > answerBytes {
		err = trace.LimitExceeded("an answer is over %d bytes", answerBytes)
	}
	return outcome{reply: reply, body: body, err: err, never: reply.NotRun}
}

// finish answers the caller.
func (f *Forwarder) finish(c *call, o outcome, at registrar.Entry) {
	if c.r.Context().Err() != nil {
		f.refuse(c, c.left())
		return
	}
	if c.sends > 0 && o.deliverable() {
		c.copyHeader(o.reply)
		c.w.Header().Set("Content-Length", strconv.Itoa(len(o.body)))
		c.w.WriteHeader(o.reply.Status)
		c.answered = true
		c.first = f.cfg.Now()
		if c.Method != http.MethodHead {
			_, _ = io.Copy(c.w, bytes.NewReader(o.body))
		}
		f.done(c, o.reply.Status, at.ID)
		return
	}
	f.refuse(c, f.verdict(c, o))
}

// showable tells whether the status may be passed on: some promise that the
// request did not run, which only its endpoint's own word allows.
func showable(reply driver.Reply) bool {
	switch reply.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// verdict says why there is no answer to show, and whether the request ran.
func (f *Forwarder) verdict(c *call, o outcome) refuser.Refusal {
	if c.runs == 0 {
		return refuser.New(refuser.NoEndpoint, "no endpoint of %s took the request: %v", c.service, o.err).WithWait(comeBack)
	}
	if left, limited := c.remaining(f.cfg.Now(), c.route.Timeout); limited && left < leastTry/3 {
		return refuser.New(refuser.DeadlinePassed, "no answer in time: %v", o.err).WithRan(refuser.Maybe)
	}
	return refuser.New(refuser.EndpointFailed, "status %d: %v", o.reply.Status, o.err).WithRan(refuser.Maybe)
}
