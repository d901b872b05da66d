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

// Guards against requests to an endpoint that has said in an answer that it leaves, while
// its record in the store doesn't say so yet. Another start of it is used again.
func TestEndpointsThatSayTheyLeaveGetNoMore(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		entries []registrar.Entry
		leaving string
		body    string
	}{
		{"a plain endpoint", pathGet + "1", plainEntries(), "d1", "ok"},
		{"an engine", pathLLM + "1", wholeEngines(), "a0", "id: 1\ndata: x\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				said, late := false, 0
				w := newHarness(t, driver.Relay{
					Probe: acceptConnections,
					Send: func(_ context.Context, address string, _ driver.Forward) (driver.Reply, error) {
						reply := driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(c.body))}
						if address == c.leaving+":1" {
							if said {
								late++
							}
							said, reply.Leaving = true, true
						}
						return reply, nil
					},
				}, c.entries...)
				for n := range 30 {
					if a := w.send(t.Context(), "POST", c.path, fmt.Sprint("r", n), "800,200"); a.Code != http.StatusOK {
						t.Errorf("request %d: got %d, want 200", n, a.Code)
					}
					time.Sleep(50 * time.Millisecond)
				}
				if !said || late > 0 {
					t.Errorf("requests after the answer that said so: got %d (said: %v), want none", late, said)
				}
				for _, e := range c.entries {
					if e.ID == c.leaving {
						e.Born++
						w.mu.Lock()
						w.table = w.table.With(time.Now(), time.Now(), []registrar.Change{{ID: e.ID, Entry: &e}})
						w.mu.Unlock()
					}
				}
				for n := range 60 {
					w.send(t.Context(), "POST", c.path, fmt.Sprint("s", n), "800,200")
				}
				if late == 0 {
					t.Error("another start of the endpoint gets no requests")
				}
			})
		})
	}
}
