package forwarder

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/supervisor/listener"
)

func TestAdmission(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		key    string
		change func(w *harness)
		status int
	}{
		{"a valid request", pathGet, secret, nil, 200},
		{"an unknown key", pathGet, "other", nil, 401},
		{"no key", pathGet, "", nil, 401},
		{"no route", "/none/", secret, nil, 404},
		{"no configuration yet", pathGet, secret, func(w *harness) { w.view.Configuration = nil }, 503},
		{"a confirmation that is too old", pathGet, secret, func(w *harness) { w.view.Confirmed = time.Now().Add(-4900 * time.Millisecond) }, 503},
		{"a confirmation that is just recent enough", pathGet, secret, func(w *harness) { w.view.Confirmed = time.Now().Add(-4700 * time.Millisecond) }, 200},
		{"an unknown key under an old confirmation", pathGet, "other", func(w *harness) { w.view.Confirmed = time.Now().Add(-time.Minute) }, 503},
		{"an anonymous route under an old confirmation", pathGet, "", func(w *harness) {
			w.view = View{Configuration: mapper.New(mapper.Draft{
				Version: 2, KeyRequired: true, Services: []mapper.Service{{Name: "desk"}},
				Routes: []mapper.Route{{
					Host: host, Prefix: pathGet, Anonymous: true, Attempts: 1,
					Offers: []mapper.WeightedService{{Service: "desk", Weight: 1}},
				}},
			})}
		}, 200},
		{"a body over the limit", pathGet, secret, func(w *harness) {
			w.view.Configuration = mapper.New(mapper.Draft{Version: 2, Limits: mapper.Limits{BodyBytes: 3}, Routes: routes()})
		}, 413},
		{"a header over the limit", pathGet, secret, func(w *harness) {
			w.view.Configuration = mapper.New(mapper.Draft{Version: 2, Limits: mapper.Limits{HeaderBytes: 20}, Routes: routes()})
		}, 431},
		{"a node whose gate is closed", pathGet, secret, func(w *harness) { w.f.cfg.Gate.Close() }, 503},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent []driver.Forward
				w := newHarness(t, scriptedRelay(&sent, signedReply(200, "ok")), plainEntries()...)
				if c.change != nil {
					c.change(w)
				}
				r := httptest.NewRequestWithContext(t.Context(), "POST", "http://"+host+c.path+"1", strings.NewReader("body"))
				r.Header.Set("Key", c.key)
				a := w.serve(r)
				if got, want := a.Code, c.status; got != want {
					t.Errorf("status: got %d, want %d, %s", got, want, a.Body)
				}
				if c.status != 200 && len(sent) > 0 {
					t.Errorf("a refused request was forwarded")
				}
				if a.Code == 503 && a.Header().Get("Connection") != "close" {
					t.Errorf("the caller is kept at a node that can't serve it")
				}
			})
		})
	}
}

// A node may be suspended after it has read the configuration and before it checks
// its age. The key may have been revoked meanwhile.
func TestSuspendedNodeRefusesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []driver.Forward
		w := newHarness(t, scriptedRelay(&sent, signedReply(200, "ok")), plainEntries()...)
		view := w.view
		w.f.cfg.View = func() View {
			time.Sleep(5 * time.Second)
			return view
		}
		if got, want := w.send(t.Context(), "GET", pathGet+"1", "r1", "").Code, 503; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		if len(sent) > 0 {
			t.Errorf("the request was forwarded")
		}
	})
}

// A leaving node still answers the requests that it gets, and asks callers to close
// their connections.
func TestLeavingNodeServesAndClosesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []driver.Forward
		w := newHarness(t, scriptedRelay(&sent, signedReply(200, "ok")), plainEntries()...)
		w.f.cfg.Gate = listener.NewGate()
		w.f.cfg.Gate.StartLeaving(time.Time{})
		a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		if got, want := a.Header().Get("Connection"), "close"; got != want {
			t.Errorf("Connection: got %q, want %q", got, want)
		}
	})
}

// Guards against kept connections on which callers send their next requests to a node that
// stops: the answers to requests that came before the stop left them open.
func TestAnswersDuringAStopCloseConnections(t *testing.T) {
	cases := []struct {
		name, path string
		script     script
		status     int
	}{
		{"a plain answer", pathGet, signedReply(200, "ok"), 200},
		{"a stream", pathLLM, signedReply(200, "id: 1\ndata: x\n\n"), 200},
		{"an endpoint's failure", pathPut, signedReply(500, "failed"), 500},
		{"an engine's failure", pathLLM, signedReply(500, "failed"), 500},
		{"a refusal", pathPut, brokenConnection, 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newHarness(t, driver.Relay{Probe: acceptConnections, Send: func(_ context.Context, _ string, f driver.Forward) (driver.Reply, error) {
					time.Sleep(100 * time.Millisecond)
					return c.script(f)
				}}, append(plainEntries(), wholeEngines()...)...)
				time.AfterFunc(50*time.Millisecond, func() { w.f.cfg.Gate.StartLeaving(time.Time{}) })
				a := w.send(t.Context(), "POST", c.path+"1", "r", "800,200")
				if got, want := a.Header().Get("Connection"), "close"; a.Code != c.status || got != want {
					t.Errorf("got %d with Connection %q, want %d with %q", a.Code, got, c.status, want)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// All nodes restart at once, and their callers return before any has read the store. A
// refusal would send them to other nodes that aren't ready, either, until their retries
// are used up: they wait for the fraction of a second that it takes.
func TestRequestsWaitForANodeThatStarts(t *testing.T) {
	cases := []struct {
		name string
		// age is the time since the node's start.
		age           time.Duration
		configuration time.Duration
		table         time.Duration
		status        int
		took          time.Duration
	}{
		{"both read before", 0, 0, 0, 200, 0},
		{"the configuration read after 150 ms", 0, 150 * time.Millisecond, 0, 200, 150 * time.Millisecond},
		{"the endpoints read after 250 ms", 0, 100 * time.Millisecond, 250 * time.Millisecond, 200, 250 * time.Millisecond},
		{"nothing read", 0, time.Hour, time.Hour, 503, readyTimeout},
		{"no endpoints read", 0, 0, time.Hour, 503, readyTimeout},
		{"nothing read for longer than other nodes take", readyPeriod, time.Hour, time.Hour, 503, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent []driver.Forward
				w := newHarness(t, scriptedRelay(&sent, signedReply(200, "ok")), plainEntries()...)
				began, configuration := time.Now(), w.view.Configuration
				w.f.started = began.Add(-c.age)
				w.f.cfg.View = func() View {
					if time.Since(began) < c.configuration {
						return View{}
					}
					return View{Configuration: configuration, Confirmed: time.Now()}
				}
				w.f.cfg.Ready = func() bool {
					return time.Since(began) >= c.configuration && time.Since(began) >= c.table
				}
				a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
				if got, want := a.Code, c.status; got != want {
					t.Errorf("status: got %d, want %d, %s", got, want, a.Body)
				}
				if got, want := time.Since(began), c.took+2*readyPollInterval; got < c.took || got > want {
					t.Errorf("took: got %v, want %v to %v", got, c.took, want)
				}
				if c.status == 503 && a.Header().Get("Retry-After") == "" {
					t.Error("got no Retry-After")
				}
			})
		})
	}
}
