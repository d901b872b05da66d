package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/registrar"
)

// An answer without a length or chunks ends with its connection, and the kernel ends the connections of a process that is
// killed in order. An endpoint that accepts connections behind the answer vouches for its end. One that has stopped doesn't,
// whether or not it said that it leaves: it may have ended its answers and exited, or it was killed amid them.

const (
	// An endpoint is silent before the end of a whole answer for no longer than endSilenceFactor times the usual silence of
	// its service, or minEndSilence, of streams minStreamEndSilence, if that is longer. While none of the service's answers
	// is known it is silent for half of the usual time between two parts of the answer at most, at least minEndSilence and at
	// most maxEndSilence, which also holds for an answer in one part.
	endSilenceFactor    = 3
	minEndSilence       = pauseThreshold
	minStreamEndSilence = 5 * time.Millisecond
	maxEndSilence       = 100 * time.Millisecond
	// endSilenceDecay is the factor by which the usual silence of a service falls with each of its answers.
	endSilenceDecay = 0.9
	// maxServices bounds the services whose usual silence is kept.
	maxServices = 256
	// breakTTL is how long it is kept when an answer of an endpoint broke off.
	breakTTL = time.Second
)

var (
	errLeftCutOff   = trace.ConnectionProblem(nil, "the endpoint left and was killed amid its answer")
	errLeftUnproven = trace.ConnectionProblem(nil, "the endpoint left and has stopped, and nothing shows whether its answer is whole")
)

// endedByLeaving reports whether an attempt ended since its endpoint left, so that neither the endpoint nor the request is at
// fault.
func endedByLeaving(err error) bool {
	return errors.Is(err, errLeftCutOff) || errors.Is(err, errLeftUnproven)
}

// answerBody is the body of an endpoint's answer, and notes how it ends.
type answerBody struct {
	io.ReadCloser
	f       *Forwarder
	ctx     context.Context
	address string
	// unframed is set if only the end of the connection marks that of the body; the fields below are set only then.
	unframed bool
	// ended is when the end of the body was read, and silence how long the endpoint had certainly written nothing by then;
	// zero before the end.
	ended   time.Time
	silence time.Duration
	// begun is set once a part of the body was read. parts counts those after it, and waited is the time for which this
	// node waited for them.
	begun  bool
	parts  int
	waited time.Duration
}

// newAnswerBody returns the body of a reply to a request that was sent with a context.
func (f *Forwarder) newAnswerBody(ctx context.Context, reply driver.Reply, address string) *answerBody {
	return &answerBody{ReadCloser: reply.Body, f: f, ctx: ctx, address: address, unframed: reply.Unframed}
}

// Read reads from the body. What this process does between two reads is no silence of the endpoint.
func (b *answerBody) Read(buf []byte) (int, error) {
	var began time.Time
	if b.unframed {
		began = b.f.cfg.Now()
	}
	n, err := b.ReadCloser.Read(buf)
	if b.unframed {
		b.note(n, err, began)
	}
	if err != nil && !errors.Is(err, io.EOF) && b.ctx.Err() == nil {
		b.f.ends.noteBreak(b.address, b.f.cfg.Now())
	}
	return n, err
}

// note notes the result of a read that began at a time.
func (b *answerBody) note(n int, err error, began time.Time) {
	now := b.f.cfg.Now()
	if n > 0 && b.begun {
		b.parts++
		b.waited += now.Sub(began)
	}
	b.begun = b.begun || n > 0
	if errors.Is(err, io.EOF) {
		b.ended = now
		if n == 0 {
			b.silence = b.f.monitor.awakeUntil(began, now).Sub(began)
		}
	}
}

// ends holds what is known of the ends of answers. It is safe for concurrent use.
type ends struct {
	mu sync.Mutex
	// breaks holds, by address, when an answer last broke off, and silences, by service, the usual silence before the end
	// of an answer whose endpoint lived on.
	breaks   map[string]time.Time
	silences map[string]time.Duration
}

// noteBreak notes that an answer of an endpoint broke off.
func (e *ends) noteBreak(address string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.breaks == nil {
		e.breaks = make(map[string]time.Time)
	}
	maps.DeleteFunc(e.breaks, func(_ string, old time.Time) bool { return at.Sub(old) > breakTTL })
	e.breaks[address] = at
}

// brokeOff reports whether an answer of an endpoint broke off in the moment in which another one ended.
func (e *ends) brokeOff(address string, ended time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.breaks[address]
	return ok && ended.Sub(at).Abs() <= closingDelay
}

// learn takes the silence before the end of a whole answer.
func (e *ends) learn(service string, silence time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silences == nil || len(e.silences) > maxServices {
		e.silences = make(map[string]time.Duration)
	}
	e.silences[service] = max(silence, time.Duration(endSilenceDecay*float64(e.silences[service])))
}

// usualSilence returns the usual silence before the end of a service's whole answers, and whether it is known.
func (e *ends) usualSilence(service string) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	silence, known := e.silences[service]
	return silence, known
}

// endLimit returns how long an endpoint of a service may be silent before the end of a whole answer. least is the lower bound
// if the usual silence is known.
func (e *ends) endLimit(service string, least time.Duration, body *answerBody) time.Duration {
	if usual, known := e.usualSilence(service); known {
		return max(endSilenceFactor*usual, least)
	}
	if body.parts == 0 {
		return maxEndSilence
	}
	return min(max(body.waited/time.Duration(2*body.parts), minEndSilence), maxEndSilence)
}

// readEnd is the end of an answer that was read without an error.
type readEnd struct {
	endpoint registrar.Entry
	body     *answerBody
	// detoured is set if the request was sent by way of another node.
	detoured bool
	// least is the least time for which an endpoint may be silent before the end of a whole answer.
	least time.Duration
	// text is what the body itself shows.
	text textEnd
}

// checkRead returns an error if nothing shows that an answer is whole that was read to the end of its connection: errEndUnproven if
// its endpoint has stopped, and errLeftCutOff or errLeftUnproven if the endpoint may have stopped as planned. Only an
// answer with errLeftUnproven may be whole.
func (f *Forwarder) checkRead(reply driver.Reply, end readEnd) error {
	if !reply.Unframed {
		return nil
	}
	e, body := end.endpoint, end.body
	if end.text == textCut || body.silence > f.ends.endLimit(e.Service, end.least, body) {
		f.ends.noteBreak(e.Address, body.ended)
	}
	_, listed := f.cfg.Endpoints().Get(e.ID)
	stopped := f.prober.stoppedSince(f.cfg.Now(), e.Address) && (end.detoured || !f.cutOffFrom(e.Address))
	switch {
	case !stopped:
		f.ends.learn(e.Service, body.silence)
		return nil
	case listed && !f.leaves(e):
		f.cfg.Counters.Stages.Add("ends_crashed", 1)
		return errEndUnproven
	case end.text == textWhole:
		return nil
	case f.ends.brokeOff(e.Address, body.ended):
		f.cfg.Counters.Stages.Add("ends_cut_off", 1)
		return errLeftCutOff
	default:
		f.cfg.Counters.Stages.Add("ends_unproven", 1)
		return errLeftUnproven
	}
}

// textEnd is what the text of a body shows of its end.
type textEnd int

const (
	// textUnknown: nothing.
	textUnknown textEnd = iota
	// textWhole: the text is whole, as no part of it would be.
	textWhole
	// textCut: the text lacks its end.
	textCut
)

// jsonEnd returns what the text of a JSON body shows of its end. A part of an object, of an array or of a string is none.
func jsonEnd(mediaType string, body []byte) textEnd {
	text := bytes.TrimLeft(body, " \t\r\n")
	if mediaType != "application/json" || len(text) == 0 || !bytes.ContainsRune([]byte(`{["`), rune(text[0])) {
		return textUnknown
	}
	var value json.RawMessage
	switch err := json.NewDecoder(bytes.NewReader(text)).Decode(&value); {
	case errors.Is(err, io.ErrUnexpectedEOF):
		return textCut
	case err == nil && json.Valid(text): // and nothing follows the value
		return textWhole
	default:
		return textUnknown
	}
}
