package generator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/server"
)

// Handler serves the engine over HTTP.
func (g *Generator) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Handle("/control", g.control).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/trace", g.serveTrace).Methods(http.MethodGet)
	r.HandleFunc("/totals", g.serveTotals).Methods(http.MethodGet)
	r.HandleFunc("/asks", g.serveStepCalls).Methods(http.MethodGet)
	calls := r.NewRoute().Subrouter()
	calls.Use(g.recordCalls, g.applySwitches)
	calls.HandleFunc("/status", g.serveStatus).Methods(http.MethodGet)
	calls.HandleFunc("/prefixes", g.servePrefixes).Methods(http.MethodGet)
	calls.HandleFunc("/kv/{request}", g.serveExport).Methods(http.MethodGet)
	calls.HandleFunc("/step", serve(g.failSteps(g.Step))).Methods(http.MethodPost)
	calls.HandleFunc("/cancel", serve(g.cancel)).Methods(http.MethodPost)
	calls.HandleFunc("/kv", serve(g.importCache)).Methods(http.MethodPut)
	calls.HandleFunc("/orders", serve(g.order)).Methods(http.MethodPost)
	return r
}

// applySwitches freezes or delays calls according to the switches.
func (g *Generator) applySwitches(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sw := g.control.Get()
		if sw.Freeze {
			server.Hang(r)
		}
		// The delay ignores the caller's cancellation: a call that is on a slow link
		// arrives even if its caller has gone away.
		server.Pause(context.WithoutCancel(r.Context()), time.Duration(sw.DelayMillis)*time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// errFailed is the error of a step that FailSteps makes fail.
var errFailed = errors.New("step failed because fail_steps is set")

// failSteps wraps a step function so that the next FailSteps calls of it fail.
func (g *Generator) failSteps(step stepFunc) stepFunc {
	return func(ctx context.Context, in driver.Step) (driver.StepResult, error) {
		failed := false
		g.control.Update(func(sw Switches) Switches {
			failed = sw.FailSteps > 0
			sw.FailSteps = max(0, sw.FailSteps-1)
			return sw
		})
		if failed {
			return driver.StepResult{}, errFailed
		}
		return step(ctx, in)
	}
}

// stepFunc runs a step.
type stepFunc func(ctx context.Context, step driver.Step) (driver.StepResult, error)

// empty is the answer of a call that returns nothing.
type empty struct{}

func (g *Generator) cancel(_ context.Context, cancel driver.Cancel) (empty, error) {
	g.Cancel(cancel)
	return empty{}, nil
}

func (g *Generator) importCache(_ context.Context, cache driver.Cache) (empty, error) {
	return empty{}, g.Import(cache)
}

func (g *Generator) order(_ context.Context, order driver.Order) (empty, error) {
	return empty{}, g.Order(order)
}

func (g *Generator) serveStatus(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, g.Status())
}

func (g *Generator) serveTrace(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, g.Traces())
}

func (g *Generator) serveTotals(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, g.Totals())
}

func (g *Generator) servePrefixes(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	server.Answer(w, http.StatusOK, g.Prefixes(from))
}

func (g *Generator) serveExport(w http.ResponseWriter, r *http.Request) {
	cache, err := g.Export(server.Var(r, "request"))
	reply(w, cache, err)
}

// serve returns a handler that decodes a call, runs it and writes its result or
// error.
func serve[I, O any](run func(ctx context.Context, in I) (O, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, err := server.Decode[I](w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := run(r.Context(), in)
		reply(w, out, err)
	}
}

// reply writes a result, a refusal or an error. A call that its caller cancelled gets
// no answer.
func reply[O any](w http.ResponseWriter, out O, err error) {
	var refused *driver.Refused
	switch {
	case err == nil:
		server.Answer(w, http.StatusOK, out)
	case errors.As(err, &refused):
		server.Answer(w, status(refused.Reason), refused)
	case errors.Is(err, context.Canceled):
		server.Abort()
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// status returns the HTTP status for the reason of a refusal.
func status(reason string) int {
	switch reason {
	case driver.ReasonLeaving:
		return http.StatusGone
	case driver.ReasonNotHeld:
		return http.StatusNotFound
	case driver.ReasonOverload:
		return http.StatusTooManyRequests
	case driver.ReasonFence:
		return http.StatusForbidden
	default:
		return http.StatusConflict
	}
}
