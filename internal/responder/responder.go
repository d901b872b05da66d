// Package responder adapts typed functions to HTTP handlers and writes refusals.
package responder

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
)

// retryAfter is the wait suggested to operators for whose request there is no memory.
const retryAfter = time.Second

// jsonType is the media type of responses.
const jsonType = "application/json"

// Responder creates handlers and counts the refusals that they send.
type Responder struct {
	counters *counter.Set
	budget   bounder.Budget
}

// New returns a responder that counts refusals in counters and has a budget of its own for bodies.
func New(counters *counter.Set) *Responder {
	return &Responder{counters: counters, budget: bounder.Budget{}.OrDefault()}
}

// WithBudget returns a responder that reads bodies from a budget's control, unless it is empty.
func (p *Responder) WithBudget(b bounder.Budget) *Responder {
	return &Responder{counters: p.counters, budget: b.OrDefault()}
}

// Refuse sends an error as the response. An error that isn't a refuser.Refusal is sent
// as an internal error that may have run.
func (p *Responder) Refuse(w http.ResponseWriter, err error) {
	var refusal refuser.Refusal
	if !errors.As(err, &refusal) {
		refusal = refuser.New(refuser.InternalError, "%v", err).WithRan(refuser.Maybe)
	}
	p.counters.Refusals.Add(refusal.Code.String(), 1)
	refusal.Write(w)
}

// Empty is the input or output of handlers without a request or response body.
type Empty struct{}

// Answer is a handler's output with the status and the ETag of the response.
type Answer[Out any] struct {
	Body Out
	// Status is the HTTP status; 0 means 200.
	Status int
	// ETag is the value of the ETag header, which is omitted if empty.
	ETag string
}

// JSON returns a handler that strictly decodes a JSON body of at most limit bytes,
// calls fn and encodes its result. If In is Empty, the body is not read.
func JSON[In, Out any](
	p *Responder, limit int64, fn func(ctx context.Context, r *http.Request, in In) (Out, error),
) http.Handler {
	return Handle(p, decode[In](p, limit), func(ctx context.Context, r *http.Request, in In) (Answer[Out], error) {
		out, err := fn(ctx, r, in)
		return Answer[Out]{Body: out}, err
	})
}

// Handle returns a handler that decodes a request, calls fn and encodes its answer.
func Handle[In, Out any](
	p *Responder,
	decode func(r *http.Request) (In, error),
	fn func(ctx context.Context, r *http.Request, in In) (Answer[Out], error),
) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in, err := decode(r)
		if err != nil {
			p.Refuse(w, err)
			return
		}
		answer, err := fn(r.Context(), r, in)
		if err != nil {
			p.Refuse(w, err)
			return
		}
		send(p, w, answer)
	})
}

// send encodes an answer and writes the response.
func send[Out any](p *Responder, w http.ResponseWriter, answer Answer[Out]) {
	body, err := encoder.JSON(answer.Body)
	if err != nil {
		p.Refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	if answer.ETag != "" {
		w.Header().Set("ETag", answer.ETag)
	}
	if answer.Status != 0 {
		w.WriteHeader(answer.Status)
	}
	_, _ = w.Write(append(body, '\n'))
}

// NoBody is the decoder for requests without a body.
func NoBody(*http.Request) (Empty, error) {
	return Empty{}, nil
}

// decode returns a strict decoder for JSON bodies of at most limit bytes.
func decode[In any](p *Responder, limit int64) func(r *http.Request) (In, error) {
	return func(r *http.Request) (In, error) {
		var in In
		if _, empty := any(in).(Empty); empty {
			return in, nil
		}
		data, err := p.Body(r, limit)
		if err != nil {
			return in, err
		}
		in, err = encoder.FromStrictJSON[In](data)
		if err != nil {
			return in, refuser.New(refuser.BadJSON, "%v", err)
		}
		return in, nil
	}
}

// Body reads a request body of at most limit bytes. Its memory is in use until the request ends.
func (p *Responder) Body(r *http.Request, limit int64) ([]byte, error) {
	data, held, err := p.budget.Control.ReadAll(http.MaxBytesReader(nil, r.Body, limit), limit)
	context.AfterFunc(r.Context(), held.Release)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, bounder.ErrExhausted):
		return nil, refuser.New(refuser.NodeOverload, "reading the body: %v", err).WithWait(retryAfter)
	case errors.As(err, &large):
		return nil, refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuser.New(refuser.DeadlinePassed, "the body took too long")
	case err != nil:
		return nil, refuser.New(refuser.BadRequest, "reading the body: %v", err)
	}
	return data, nil
}
