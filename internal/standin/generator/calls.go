package generator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/server"
)

// StepCall is a step call that arrived, whether or not the step was run.
type StepCall struct {
	Request string `json:"request"`
	// At is when the call arrived, before any switch delays it.
	At time.Time `json:"at"`
}

// recordCalls records each call of a step before any switch acts on it.
func (g *Generator) recordCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/step" {
			at := time.Now()
			body, err := server.Body(w, r)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			g.addCall(body, at)
		}
		next.ServeHTTP(w, r)
	})
}

// addCall appends one call, and drops the oldest half once maxTraces are kept.
func (g *Generator) addCall(body []byte, at time.Time) {
	var step driver.Step
	if json.Unmarshal(body, &step) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.stepCalls) >= maxTraces {
		g.stepCalls = g.stepCalls[maxTraces/2:]
	}
	g.stepCalls = append(g.stepCalls, StepCall{Request: step.Request, At: at})
}

// StepCalls returns the newest step calls in the order of their arrival.
func (g *Generator) StepCalls() []StepCall {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.stepCalls)
}

func (g *Generator) serveStepCalls(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, g.StepCalls())
}
