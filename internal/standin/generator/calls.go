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

// Ask is a step call that arrived, whether or not the step was run.
type Ask struct {
	Request string `json:"request"`
	// At is when the call arrived, before any switch delays it.
	At time.Time `json:"at"`
}

// recordAsk records each call of a step before any switch acts on it.
func (g *Generator) recordAsk(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/step" {
			at := time.Now()
			body, err := server.Body(w, r)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			g.addAsk(body, at)
		}
		next.ServeHTTP(w, r)
	})
}

// addAsk appends one call, and drops the oldest half once maxTraces are kept.
func (g *Generator) addAsk(body []byte, at time.Time) {
	var step driver.Step
	if json.Unmarshal(body, &step) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.asks) >= maxTraces {
		g.asks = g.asks[maxTraces/2:]
	}
	g.asks = append(g.asks, Ask{Request: step.Request, At: at})
}

// Asks returns the newest step calls in the order of their arrival.
func (g *Generator) Asks() []Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.asks)
}

func (g *Generator) serveAsks(w http.ResponseWriter, _ *http.Request) {
	server.Answer(w, http.StatusOK, g.Asks())
}
