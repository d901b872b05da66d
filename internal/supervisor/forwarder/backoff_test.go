package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/registrar"
)

// Guards against requests that go on reaching an endpoint that has turned one away for a
// stated time: it was avoided only as long as another one could be used.
func TestRequestedBackoffIsKept(t *testing.T) {
	const pause, grace, allowed = 3 * time.Second, 500 * time.Millisecond, 2
	cases := []struct {
		name    string
		path    string
		entries []registrar.Entry
		resting []string
		body    string
		served  bool
	}{
		{"one of two plain endpoints", pathGet + "1", plainEntries(), []string{"d1:1"}, "ok", true},
		{"both plain endpoints", pathPut + "1", plainEntries(), []string{"d1:1", "d2:1"}, "ok", false},
		{"one of two engines", pathLLM + "1", wholeEngines(), []string{"a0:1"}, "id: 1\ndata: x\n\n", true},
		{"both engines", pathLLM + "1", wholeEngines(), []string{"a0:1", "b0:1"}, "id: 1\ndata: x\n\n", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				turnedAway := make(map[string]time.Time)
				late := make(map[string]int)
				afterwards := 0
				w := newHarness(t, driver.Relay{
					Probe: acceptConnections,
					Send: func(_ context.Context, address string, _ driver.Forward) (driver.Reply, error) {
						reply := driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(c.body))}
						since, known := turnedAway[address]
						switch {
						case !strings.Contains(strings.Join(c.resting, " "), address):
						case known && time.Since(since) > pause:
							afterwards++
						default:
							if !known {
								turnedAway[address] = time.Now()
							} else if time.Since(since) > grace {
								late[address]++
							}
							reply.Status, reply.NotRun, reply.Signed = http.StatusServiceUnavailable, true, false
							reply.Backoff = pause - time.Since(turnedAway[address])
						}
						return reply, nil
					},
				}, c.entries...)
				for n := 0; n < 45; n++ {
					a := w.send(t.Context(), "POST", c.path, fmt.Sprint("r", n), "800,200")
					if c.served && a.Code != http.StatusOK {
						t.Errorf("request %d: got %d, want 200 from the other endpoint: %s", n, a.Code, a.Body)
					}
					if !c.served && n > 15 && n < 25 && (a.Code != http.StatusServiceUnavailable || a.Header().Get("Retry-After") == "") {
						t.Errorf("request %d: got %d, want 503 with Retry-After: %s", n, a.Code, a.Body)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for address, got := range late {
					if got > allowed {
						t.Errorf("requests that %s got meanwhile: %d, want at most %d", address, got, allowed)
					}
				}
				if len(turnedAway) != len(c.resting) {
					t.Errorf("endpoints that turned requests away: got %v, want %v", turnedAway, c.resting)
				}
				if !c.served && afterwards == 0 {
					t.Error("no request came afterwards")
				}
			})
		})
	}
}
