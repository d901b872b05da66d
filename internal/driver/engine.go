package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// defaultTimeout bounds a call for which no timeout is configured.
const defaultTimeout = time.Minute

// EngineConfig configures the client of model engines.
type EngineConfig struct {
	// Timeout bounds every call but steps, which end with their request; 0 means a minute.
	Timeout time.Duration
	// Budget is the memory for what engines send; an empty one means one of its own.
	Budget bounder.Budget
}

// engine implements the functions of an Engine.
type engine struct {
	cfg   EngineConfig
	pool  *pool
	kinds kinds
}

// NewEngine returns a client of model engines.
func NewEngine(cfg EngineConfig) Engine {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	cfg.Budget = cfg.Budget.OrDefault()
	e := &engine{cfg: cfg, pool: newPool(cfg.Budget), kinds: newKinds(cfg.Budget)}
	return Engine{
		Status:   e.status,
		Step:     e.step,
		Cancel:   e.cancel,
		Export:   e.export,
		Import:   e.importCache,
		Prefixes: e.prefixes,
		Order:    e.order,
		Drop:     e.pool.drop,
	}
}

func (e *engine) status(ctx context.Context, address string) (Status, error) {
	return exchange[struct{}, Status](ctx, e, e.kinds.status, address, http.MethodGet, "/status", nil)
}

func (e *engine) step(ctx context.Context, address string, step Step) (StepResult, error) {
	return send[Step, StepResult](ctx, e, e.kinds.step, address, http.MethodPost, "/step", &step)
}

func (e *engine) cancel(ctx context.Context, address string, cancel Cancel) error {
	_, err := exchange[Cancel, struct{}](ctx, e, e.kinds.receipt, address, http.MethodPost, "/cancel", &cancel)
	return err
}

func (e *engine) export(ctx context.Context, address string, request string) (Cache, error) {
	path := "/kv/" + url.PathEscape(request)
	return exchange[struct{}, Cache](ctx, e, e.kinds.cache, address, http.MethodGet, path, nil)
}

func (e *engine) importCache(ctx context.Context, address string, cache Cache) error {
	held, err := e.cfg.Budget.Calls.Reserve(importFactor * int64(len(cache.Data)))
	defer held.Release()
	if err != nil {
		return trace.Wrap(err, "importing a cache to %s", address)
	}
	_, err = exchange[Cache, struct{}](ctx, e, e.kinds.receipt, address, http.MethodPut, "/kv", &cache)
	return err
}

func (e *engine) prefixes(ctx context.Context, address string, from uint64) (Prefixes, error) {
	path := "/prefixes?from=" + strconv.FormatUint(from, 10)
	return exchange[struct{}, Prefixes](ctx, e, e.kinds.prefixes, address, http.MethodGet, path, nil)
}

func (e *engine) order(ctx context.Context, address string, order Order) error {
	_, err := exchange[Order, struct{}](ctx, e, e.kinds.receipt, address, http.MethodPost, "/orders", &order)
	return err
}

// exchange sends a JSON request as send does, within the configured timeout.
func exchange[I, O any](ctx context.Context, e *engine, k kind, address, method, path string, in *I) (O, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timeout)
	defer cancel()
	return send[I, O](ctx, e, k, address, method, path, in)
}

// send sends a JSON request over the address's connection pool and decodes the
// response, which is of kind k. A nil in sends no body.
func send[I, O any](ctx context.Context, e *engine, k kind, address, method, path string, in *I) (O, error) {
	var out O
	req, err := newJSONRequest(ctx, method, "http://"+address+path, in)
	if err != nil {
		return out, trace.Wrap(err, "building %s %s for %s", method, path, address)
	}
	resp, err := e.pool.client(address).Do(req)
	if err != nil {
		return out, trace.ConnectionProblem(err, "calling %s %s at %s", method, path, address)
	}
	defer resp.Body.Close()
	body, held, err := k.read(resp.Body)
	defer held.Release()
	if err != nil {
		return out, trace.ConnectionProblem(err, "reading the answer to %s %s from %s", method, path, address)
	}
	if resp.StatusCode != http.StatusOK {
		return out, responseError(resp.StatusCode, body, address)
	}
	out, err = decode[O](k, body, held)
	switch {
	case errors.Is(err, bounder.ErrExhausted):
		return out, trace.ConnectionProblem(err, "decoding the answer to %s %s from %s", method, path, address)
	case err != nil:
		return out, trace.BadParameter("decoding the answer to %s %s from %s: %v", method, path, address, err)
	}
	return out, nil
}

// newJSONRequest returns a request whose body can't be rewound, so that net/http
// never replays it on its own.
func newJSONRequest[I any](ctx context.Context, method, target string, in *I) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, target, http.NoBody)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, nonRewindableReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// nonRewindableReader hides the reader's concrete type, from which net/http would
// otherwise derive a GetBody function that rewinds the body.
func nonRewindableReader(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// responseError converts a response with a status other than 200 into an error. It
// is *Refused if the endpoint itself declares that it did not run the request.
func responseError(status int, body []byte, address string) error {
	refused := &Refused{}
	if isRefusal(status) && json.Unmarshal(body, refused) == nil && refused.Reason != "" {
		return refused
	}
	return trace.ConnectionProblem(nil, "%s answered status %d", address, status)
}

// isRefusal reports whether an endpoint may use the status to refuse a request.
func isRefusal(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusGone, http.StatusNotFound,
		http.StatusForbidden, http.StatusTooManyRequests:
		return true
	default:
		return false
	}
}
