package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// refuse answers a request with a refusal of this node. If the head of an answer
// has been written or the caller has left, it closes the connection instead, so
// that a truncated answer doesn't look complete.
func (f *Forwarder) refuse(c *call, r refuser.Refusal) {
	f.recordRefusal(c, r)
	if c.answered {
		c.resetOldCaller()
		panic(http.ErrAbortHandler)
	}
	if r.Code == refuser.CallerLeft {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(r.Problem())
	if err != nil {
		f.cfg.Recorder.Error(recorder.RefusalNotEncoded, zap.Error(err))
	}
	header := c.w.Header()
	f.closeIfLeaving(header)
	header.Set("Content-Type", refuser.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.Wait > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.Wait.Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(httpStatus(r))
	_, _ = c.w.Write(body)
}

// answerPanic answers a request whose handling has panicked. net/http would close the
// connection without an answer. It is to be deferred.
func (f *Forwarder) answerPanic(c *call) {
	p := recover()
	if p == nil {
		return
	}
	if err, ok := p.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(p)
	}
	f.cfg.Recorder.Panicked("request", p, zap.String("request", c.ID))
	if !c.answered {
		clear(c.w.Header()) // may have those of an endpoint's reply
	}
	f.refuse(c, refuser.New(refuser.InternalError, "%v", p).WithRan(refuser.Maybe))
}

// resetOldCaller resets the connection of a caller that speaks HTTP/1.0. It has no chunks, so
// that an answer without a length that is cut off would look complete if its connection were
// closed.
func (c *call) resetOldCaller() {
	if c.r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return // not a connection of HTTP/1
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// asRefusal converts an error to a refusal.
func asRefusal(err error) refuser.Refusal {
	var r refuser.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refuser.New(refuser.InternalError, "%v", err).WithRan(refuser.Maybe)
}

// callerLeft returns the refusal of a request whose caller has disconnected. It
// shows only in the log and the counters.
func (c *call) callerLeft() refuser.Refusal {
	r := refuser.New(refuser.CallerLeft, "the caller closed its connection")
	if c.sends > 0 {
		return r.WithRan(refuser.Maybe)
	}
	return r
}

// httpStatus returns the HTTP status of a refusal. A status that promises that the
// request did not run is replaced by 502 unless that is certain.
func httpStatus(r refuser.Refusal) int {
	code := refuser.Lookup(r.Code).Status
	if r.Ran == refuser.Never {
		return code
	}
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return http.StatusBadGateway
	}
	return code
}

// closeIfLeaving asks the caller to close its connection while this node is leaving.
func (f *Forwarder) closeIfLeaving(header http.Header) {
	if f.cfg.Gate.Leaving() {
		header.Set("Connection", "close")
	}
}

// copyHeader copies the headers of an endpoint's reply to the caller's response.
func (f *Forwarder) copyHeader(c *call, reply driver.Reply) {
	header := c.w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	// Keeps the server from guessing a content type that the endpoint didn't state.
	if _, ok := reply.Header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	f.closeIfLeaving(header)
}

// recordRefusal counts and logs a refusal.
func (f *Forwarder) recordRefusal(c *call, r refuser.Refusal) {
	f.cfg.Counters.Refusals.Add(r.Code.String(), 1)
	fields := c.heldFields()
	if c.room.decided {
		fields = append(fields, zap.Float64("room", c.room.load), zap.Int("class", c.room.class))
	}
	if !c.lastWrite.IsZero() {
		fields = append(fields, zap.Duration("silence", f.cfg.Now().Sub(c.lastWrite)))
	}
	f.cfg.Recorder.Info(recorder.RequestRefused, append(fields,
		zap.Bool("chunked", c.r.ContentLength < 0),
		zap.String("request", c.ID),
		zap.String("route", c.route.Name),
		zap.String("service", c.service),
		zap.String("organisation", c.organisation.Name),
		zap.Int64("configuration", c.version),
		zap.Duration("confirmed", c.confirmed),
		zap.Int("code", int(r.Code)),
		zap.String("name", r.Code.String()),
		zap.Stringer("ran", r.Ran),
		zap.Int("sends", c.sends),
		zap.Int("runs", c.runs),
		zap.Bool("midway", c.answered),
		zap.Duration("took", f.cfg.Now().Sub(c.Arrived)),
		zap.Duration("wait", r.Wait),
		zap.String("detail", r.Detail))...)
}

// recordAnswer counts and logs an answer that was delivered completely.
func (f *Forwarder) recordAnswer(c *call, code int, endpoint string, fields ...zap.Field) {
	now := f.cfg.Now()
	f.cfg.Counters.Requests.Add("answered", 1)
	f.cfg.Latency.Answers.Record(now.Sub(c.Arrived))
	if !c.firstWrite.IsZero() {
		f.cfg.Latency.FirstEvents.Record(c.firstWrite.Sub(c.Arrived))
		f.recordFirstEvent(c)
	}
	f.cfg.Recorder.Info(recorder.RequestEnded, append(append(fields, c.heldFields()...),
		zap.String("request", c.ID),
		zap.String("route", c.route.Name),
		zap.String("service", c.service),
		zap.String("organisation", c.organisation.Name),
		zap.Int64("configuration", c.version),
		zap.Duration("confirmed", c.confirmed),
		zap.Int("status", code),
		zap.String("endpoint", endpoint),
		zap.Int("sends", c.sends),
		zap.Int("runs", c.runs),
		zap.Duration("first", c.firstWrite.Sub(c.Arrived)),
		zap.Duration("took", now.Sub(c.Arrived)))...)
}

// longPrompt is the number of prompt tokens from which on a prompt counts as long.
const longPrompt = 1024

// recordFirstEvent records a generation's time to the first event by the size of its prompt.
func (f *Forwarder) recordFirstEvent(c *call) {
	if !c.members.layered() {
		return
	}
	h := f.cfg.Latency.FirstEventsShort
	if c.PromptTokens >= longPrompt {
		h = f.cfg.Latency.FirstEventsLong
	}
	h.Record(c.firstWrite.Sub(c.Arrived))
}
