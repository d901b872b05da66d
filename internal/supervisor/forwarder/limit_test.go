package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/registrar"
)

// limitedRelay answers each request, and names a limit for some endpoints.
func limitedRelay(limits map[string]float64, sent map[string]int, body string) driver.Relay {
	return driver.Relay{
		Probe: acceptConnections,
		Send: func(_ context.Context, address string, _ driver.Forward) (driver.Reply, error) {
			sent[address]++
			limit, ok := limits[address]
			return driver.Reply{
				Status: 200, Signed: true, Header: http.Header{}, Limit: limit, HasLimit: ok,
				Body: io.NopCloser(strings.NewReader(body)),
			}, nil
		},
	}
}

// Requests go where they are taken; if no endpoint takes them soon, they are refused at
// once with the time after which one does.
func TestRequestsKeepToNamedLimits(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		entries []registrar.Entry
		limits  map[string]float64
		body    string
		refused bool
	}{
		{"one of two plain endpoints", pathGet + "1", plainEntries(), map[string]float64{"d1:1": 1}, "ok", false},
		{"both plain endpoints", pathPut + "1", plainEntries(), map[string]float64{"d1:1": 1, "d2:1": 1}, "ok", true},
		{"one of two engines", pathLLM + "1", wholeEngines(), map[string]float64{"a0:1": 1}, "id: 1\ndata: x\n\n", false},
		{"both engines", pathLLM + "1", wholeEngines(), map[string]float64{"a0:1": 1, "b0:1": 1}, "id: 1\ndata: x\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := make(map[string]int)
				w := newHarness(t, limitedRelay(c.limits, sent, c.body), c.entries...)
				refused := 0
				const requests, interval = 40, 100 * time.Millisecond
				for n := range requests {
					began := time.Now()
					a := w.send(t.Context(), "POST", c.path, fmt.Sprint("r", n), "800,200")
					if a.Code == http.StatusOK {
						time.Sleep(interval)
						continue
					}
					refused++
					wait, _ := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
					if a.Code != http.StatusServiceUnavailable || wait <= 0 || wait > 2 {
						t.Errorf("refusal: got %d, Retry-After %v s, want 503 with at most 2 s: %s", a.Code, wait, a.Body)
					}
					if took := time.Since(began); took > maxLimitWait {
						t.Errorf("a request was refused after %v, want at most %v", took, maxLimitWait)
					}
					time.Sleep(interval)
				}
				for address, limit := range c.limits {
					// The first request is sent before the limit is known, and one may be saved up.
					if got, want := sent[address], int(limit*(requests*interval).Seconds())+2; got > want {
						t.Errorf("requests that %s got: %d, want at most %d", address, got, want)
					}
				}
				if got, want := refused > 0, c.refused; got != want {
					t.Errorf("refused: got %d of %d, want some: %v", refused, requests, want)
				}
			})
		})
	}
}

// wholeEngines returns two engines that hold all layers, in two data centres.
func wholeEngines() []registrar.Entry {
	_, entries := engines(map[string][][2]int{"a": {{0, 80}}, "b": {{0, 80}}})
	return entries
}

// A stream whose caller has events waits for an engine that takes it again, rather than
// break.
func TestBegunStreamWaitsForALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := make(map[string]int)
		w := newHarness(t, limitedRelay(map[string]float64{"a0:1": 1, "b0:1": 1}, sent, "id: 7\ndata: x\n\n"), wholeEngines()...)
		for n := range 6 {
			w.send(t.Context(), "POST", pathLLM+"1", fmt.Sprint("r", n), "800,200")
		}
		r := httptest.NewRequestWithContext(t.Context(), "POST", "http://"+host+pathLLM+"1", strings.NewReader("800,200"))
		r.Header.Set("ID", "resumed")
		r.Header.Set("Key", secret)
		r.Header.Set("After", "6")
		began := time.Now()
		if a := w.serve(r); a.Code != http.StatusOK {
			t.Errorf("a resumed stream: got %d after %v, want 200: %s", a.Code, time.Since(began), a.Body)
		}
		if took := time.Since(began); took < maxLimitWait {
			t.Errorf("took %v: the stream didn't have to wait", took)
		}
	})
}
