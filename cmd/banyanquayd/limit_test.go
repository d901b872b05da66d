package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

const (
	// limitWindow is the span in which requests count against a limit. An endpoint may get
	// limitFactor times what its limit allows in it, and limitSlack requests, from
	// stableWindow after it first named the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostIn returns the highest number of times within a span of window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against an endpoint that names how many requests a second it takes and gets as
// many as before, since each node counted its answers alone or not at all.
func TestNamedLimitIsKept(t *testing.T) {
	f := startFleet(t)
	cases := []struct {
		name      string
		method    string
		path      string
		limited   []string
		perSecond float64
		interval  time.Duration
		// served is the least share of requests that must be answered: what the endpoints
		// without a limit can take, at least.
		served float64
	}{
		{"two of three endpoints of a plain service", http.MethodGet, "/look/1", f.site.PlainAddresses()[:2], 3, 30 * time.Millisecond, 0.95},
		{"all endpoints of a plain service", http.MethodGet, "/look/1", f.site.PlainAddresses(), 3, 50 * time.Millisecond, 0.25},
		{
			"all engines", http.MethodPost, "/stream/1",
			append(append(f.site.EngineAddresses("a"), f.site.EngineAddresses("b")...), f.site.EngineAddresses("c")...), 2, 60 * time.Millisecond, 0.2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.site.Limit(c.perSecond, c.limited...)
			defer f.site.Limit(0, c.limited...)
			began := time.Now()
			var wg sync.WaitGroup
			var sent, served atomic.Int64
			for n := 0; time.Since(began) < stableWindow+2*limitWindow; n++ {
				wg.Go(func() {
					code, _, err := f.visitor(n%3, imitator.Key).Call(t.Context(), c.method, c.path, fmt.Sprint(c.name, n))
					sent.Add(1)
					if err == nil && code == http.StatusOK {
						served.Add(1)
					} else if code != http.StatusServiceUnavailable {
						t.Errorf("request %d: got %d, %v, want 200, or 503 if no endpoint takes it", n, code, err)
					}
				})
				time.Sleep(c.interval)
			}
			wg.Wait()
			allowed := int(limitFactor*c.perSecond*limitWindow.Seconds()) + limitSlack
			for _, address := range c.limited {
				var counted []time.Time
				for _, at := range f.site.LimitedArrivals(address) {
					if at.Sub(began) > stableWindow {
						counted = append(counted, at)
					}
				}
				if got := mostIn(counted, limitWindow); got > allowed {
					t.Errorf("requests that %s got in %v: %d, want at most %d", address, limitWindow, got, allowed)
				}
			}
			if got := float64(served.Load()) / float64(sent.Load()); got < c.served {
				t.Errorf("share of requests that were answered: got %.2f, want at least %.2f", got, c.served)
			}
		})
	}
}
