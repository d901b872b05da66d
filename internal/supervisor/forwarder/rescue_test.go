package forwarder

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

// Streams stall by the hundred when engines end or turn slow, and each report has a
// cost. The first engine's report names the engine that a stream waits for, so that the
// others aren't asked; and paces that are known aren't requested again.
func TestReportsOfAStalledPath(t *testing.T) {
	cases := []struct {
		name string
		// stalled is the address that the first engine names, and slow the engine that
		// reports a pace.
		stalled, slow string
		// most is the number of reports of each engine but the first.
		most int
	}{
		{"the first engine names another", "a2:1", "", 0},
		{"an engine is slow", "", "a2", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, entries := engines(map[string][][2]int{"a": {{0, 20}, {20, 40}, {40, 60}, {60, 80}}})
				var mu sync.Mutex
				reports := make(map[string]int)
				w := newHarness(t, driver.Relay{
					Probe:      acceptConnections,
					ChangePath: func(context.Context, string, string, string, []driver.PathStage) error { return nil },
					Report: func(_ context.Context, _, endpoint string) (driver.Report, error) {
						mu.Lock()
						defer mu.Unlock()
						reports[endpoint]++
						r := driver.Report{Pace: 1}
						if endpoint == "a0" && c.stalled != "" {
							r.Stalled = map[string]string{"r": c.stalled}
						}
						if endpoint == c.slow {
							r.Pace = 5
						}
						return r, nil
					},
					Send: func(ctx context.Context, _ string, _ driver.Forward) (driver.Reply, error) {
						body := &pacedBody{ctx: ctx, pieces: []string{"id: 1\ndata: r 1\n\n", ": wait\n\n"}, delay: 100 * time.Millisecond, endless: true}
						return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: body}, nil
					},
				}, entries...)
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = w.f.Step().Run(ctx) }()
				callerCtx, leave := context.WithTimeout(ctx, time.Second)
				defer leave()
				w.send(callerCtx, "POST", pathLLM+"1", "r", "800,200")
				cancel()
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				if reports["a0"] == 0 {
					t.Error("the first engine was not asked")
				}
				for id, got := range reports {
					if id != "a0" && got > c.most {
						t.Errorf("%s: got %d reports, want at most %d", id, got, c.most)
					}
				}
			})
		})
	}
}
