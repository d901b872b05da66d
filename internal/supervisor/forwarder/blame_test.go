package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
)

// Guards against an endpoint that answers without an end and never counts as faulty, since the
// memory of the node is used up before the limit of one answer: it would get as many requests as a
// sound one, and use up the retries of the service.
func TestEndlessEndpointIsAvoided(t *testing.T) {
	const requests = 100
	for _, megabytes := range []int64{136, 184, 284, 536} {
		t.Run(fmt.Sprintf("%d MB", megabytes), func(t *testing.T) {
			bad := 0
			relay := driver.Relay{
				Probe: func(context.Context, string) error { return nil },
				Send: func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
					if address != "d1:1" {
						return signedReply(200, "ok")(f)
					}
					bad++
					return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: &pacedBody{ctx: ctx, pieces: []string{"0123456789abcdef"}, endless: true}}, nil
				},
			}
			w := newHarness(t, relay, plainEntries()...)
			w.retrySlack = 10
			w.f.cfg.Memory = bounder.NewBudget(megabytes<<20, nil)
			served := 0
			for n := range requests {
				if a := w.send(t.Context(), "GET", pathGet+"1", fmt.Sprint("r", n), ""); a.Code == http.StatusOK {
					served++
				}
				time.Sleep(time.Millisecond)
			}
			if served < requests*9/10 || bad > requests/4 {
				t.Errorf("got %d of %d served and %d sent to the endless endpoint, want at least %d and at most %d", served, requests, bad, requests*9/10, requests/4)
			}
		})
	}
}
