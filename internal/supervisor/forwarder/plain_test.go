package forwarder

import (
	"context"
	"errors"
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

// script is an endpoint's behaviour for one request.
type script func(f driver.Forward) (driver.Reply, error)

// signedReply returns a reply that the service itself made.
func signedReply(status int, body string) script {
	return func(driver.Forward) (driver.Reply, error) {
		return driver.Reply{
			Status: status, Signed: true, Header: http.Header{"Signature": {"s"}}, Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func unsignedReply(status int, notRun bool) script {
	return func(driver.Forward) (driver.Reply, error) {
		return driver.Reply{Status: status, NotRun: notRun, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
}

// echoedReply returns an unsigned reply that repeats the request's ID.
func echoedReply(status int) script {
	return func(driver.Forward) (driver.Reply, error) {
		return driver.Reply{Status: status, Echoed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
}

func brokenConnection(driver.Forward) (driver.Reply, error) {
	return driver.Reply{}, errors.New("reset")
}

func unreachable(driver.Forward) (driver.Reply, error) {
	return driver.Reply{}, &driver.Unsent{Err: errors.New("refused")}
}

func truncatedReply(driver.Forward) (driver.Reply, error) {
	return driver.Reply{
		Status: 200, Signed: true, Header: http.Header{},
		Body: io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{})),
	}, nil
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// scriptedRelay runs the scripts in the order of the sends.
func scriptedRelay(sent *[]driver.Forward, scripts ...script) driver.Relay {
	return driver.Relay{
		Send: func(_ context.Context, _ string, f driver.Forward) (driver.Reply, error) {
			*sent = append(*sent, f)
			return scripts[min(len(*sent), len(scripts))-1](f)
		},
		Probe: func(context.Context, string) error { return nil },
	}
}

func TestPlainService(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		path    string
		scripts []script
		status  int
		sends   int
		signed  bool
	}{
		{"an answer is passed on", "GET", pathGet, []script{signedReply(200, "ok")}, 200, 1, true},
		{"the service's own failure is passed on", "POST", pathPut, []script{signedReply(500, "no")}, 500, 1, true},
		{"an idempotent request is sent again after a failure", "GET", pathGet, []script{signedReply(500, "no"), signedReply(200, "ok")}, 200, 2, true},
		{"but to no more endpoints than its route allows", "GET", pathGet, []script{signedReply(500, "no"), signedReply(500, "no"), signedReply(200, "ok")}, 500, 2, true},
		{"an answer that is ready is passed on though the next endpoint refuses", "GET", pathGet, []script{signedReply(500, "no"), unsignedReply(503, true)}, 500, 2, true},
		{"a non-idempotent request is sent once, however it ends", "POST", pathPut, []script{brokenConnection, signedReply(200, "ok")}, 502, 1, false},
		{"also if its answer is truncated", "POST", pathPut, []script{truncatedReply, signedReply(200, "ok")}, 502, 1, false},
		{"a truncated answer of an idempotent request is not passed on", "GET", pathGet, []script{truncatedReply, signedReply(200, "ok")}, 200, 2, true},
		{"what was not sent goes to another endpoint", "POST", pathPut, []script{unreachable, signedReply(200, "ok")}, 200, 2, true},
		{"so does what the endpoint says it did not run", "POST", pathPut, []script{unsignedReply(503, true), signedReply(200, "ok")}, 200, 2, true},
		{"a refusal by all endpoints promises that the request did not run", "POST", pathPut, []script{unsignedReply(503, true)}, 503, 2, false},
		{"a refusal of a request that may have run does not", "POST", pathPut, []script{unsignedReply(503, false)}, 502, 1, false},
		{"nor does a 429 without the endpoint's statement", "POST", pathPut, []script{signedReply(429, "later")}, 502, 1, false},
		{"a success that the service did not sign is not passed on", "POST", pathPut, []script{unsignedReply(200, false)}, 502, 1, false},
		{"not even if it repeats the request's ID", "POST", pathPut, []script{echoedReply(200)}, 502, 1, false},
		{"the service's unsigned failure is passed on", "POST", pathPut, []script{echoedReply(404)}, 404, 1, false},
		{"that of another program at the address is not", "POST", pathPut, []script{unsignedReply(404, false), signedReply(200, "ok")}, 502, 1, false},
		{"nor is its redirect", "POST", pathPut, []script{unsignedReply(302, false), signedReply(200, "ok")}, 502, 1, false},
		{"an idempotent request goes on to an endpoint", "GET", pathGet, []script{unsignedReply(404, false), signedReply(200, "ok")}, 200, 2, true},
		{"and ends with an endpoint's failure if it has one", "GET", pathGet, []script{unsignedReply(404, false), echoedReply(500)}, 500, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent []driver.Forward
				w := newHarness(t, scriptedRelay(&sent, c.scripts...), plainEntries()...)
				a := w.send(t.Context(), c.method, c.path+"1?q=2", "r1", "")
				if got, want := a.Code, c.status; got != want {
					t.Errorf("status: got %d, want %d, %s", got, want, a.Body)
				}
				if got, want := len(sent), c.sends; got != want {
					t.Errorf("sends: got %d, want %d", got, want)
				}
				if got, want := a.Header().Get("Signature") != "", c.signed; got != want {
					t.Errorf("the service's signature: got %v, want %v", got, want)
				}
				for _, f := range sent {
					if f.Organisation != "org" || f.Target != c.path+"1?q=2" || f.Endpoint == "" || f.Remaining <= 0 {
						t.Errorf("sent %+v", f)
					}
				}
			})
		})
	}
}

// Guards against a program that is no endpoint and keeps getting requests, since its failures
// below 500 counted as successes.
func TestForeignAnswersCountAgainstTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := map[string]int{}
		w := newHarness(t, driver.Relay{
			Probe: func(context.Context, string) error { return nil },
			Send: func(_ context.Context, address string, f driver.Forward) (driver.Reply, error) {
				sent[address]++
				if address == "d1:1" {
					return unsignedReply(404, false)(f)
				}
				return signedReply(200, "ok")(f)
			},
		}, plainEntries()...)
		for n := range 40 {
			a := w.send(t.Context(), "POST", pathPut+"1", fmt.Sprint("r", n), "")
			if a.Code != 200 && a.Code != 502 {
				t.Errorf("request %d: got status %d, want 200 or 502", n, a.Code)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if got, want := sent["d1:1"], 5; got > want {
			t.Errorf("requests to the other program: got %d of 40, want at most %d", got, want)
		}
	})
}

// Guards against requests that are refused for want of a retry though no endpoint has got
// them yet.
func TestUnsentRequestsDrawNoRetries(t *testing.T) {
	cases := []struct {
		name  string
		path  string
		first script
		want  int
	}{
		{"a plain service, not sent", pathPut, unreachable, http.StatusOK},
		{"a plain service, refused by the endpoint", pathPut, unsignedReply(503, true), http.StatusServiceUnavailable},
		{"a stream, not sent", pathLLM, unreachable, http.StatusOK},
		{"a stream, refused by the engine", pathLLM, unsignedReply(503, true), http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent []driver.Forward
				entries := plainEntries()
				for _, id := range []string{"e1", "e2"} {
					entries = append(entries, registrar.Entry{
						ID: id, Service: "llm", Address: id + ":1", Centre: "a", Accelerator: "l4", Model: "m", Version: "1", First: 0, Last: 80, Slots: 192,
					})
				}
				w := newHarness(t, scriptedRelay(&sent, c.first, signedReply(200, "id: 1\ndata: x\n\n")), entries...)
				w.retrySlack = 0
				a := w.send(t.Context(), "POST", c.path+"1", "r1", "800,200")
				if got, want := a.Code, c.want; got != want {
					t.Errorf("status without a retry left: got %d, want %d, %s", got, want, a.Body)
				}
			})
		})
	}
}

func TestRefusalsHaveRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []driver.Forward
		w := newHarness(t, scriptedRelay(&sent, unsignedReply(503, true)), plainEntries()...)
		began := time.Now()
		a := w.send(t.Context(), "POST", pathPut+"1", "r1", "")
		if got := a.Header().Get("Retry-After"); got == "" {
			t.Errorf("no Retry-After in a refusal of what did not run")
		}
		if got, want := time.Since(began), 10*time.Millisecond; got > want {
			t.Errorf("refused after %v, want at once", got)
		}
	})
}

// An attempt at an endpoint that doesn't respond must leave time for another one.
func TestSilentEndpointLeavesTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		w := newHarness(t, driver.Relay{Send: func(ctx context.Context, _ string, f driver.Forward) (driver.Reply, error) {
			if sends++; sends == 1 {
				<-ctx.Done()
				return driver.Reply{}, ctx.Err()
			}
			return signedReply(200, "ok")(f)
		}}, plainEntries()...)
		began := time.Now()
		a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Fatalf("status: got %d, want %d", got, want)
		}
		if got, want := time.Since(began), 300*time.Millisecond; got > want {
			t.Errorf("answered after %v, want within the route's target of %v", got, want)
		}
	})
}

// Guards against lookups that fail because their attempt is ended for another one that the
// budget doesn't allow: both endpoints are silent for a second, and their callers wait for two.
func TestLookupsOutlastSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := time.Now().Add(time.Second)
		w := newHarness(t, driver.Relay{Send: func(ctx context.Context, _ string, f driver.Forward) (driver.Reply, error) {
			select {
			case <-time.After(time.Until(end)):
				return signedReply(200, "ok")(f)
			case <-ctx.Done():
				return driver.Reply{}, ctx.Err()
			}
		}}, plainEntries()...)
		w.retrySlack = 0
		a := w.send(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Errorf("status after %v: got %d, want %d, %s", time.Since(end.Add(-time.Second)), got, want, a.Body)
		}
	})
}

func TestTimeoutAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, driver.Relay{Send: func(ctx context.Context, _ string, _ driver.Forward) (driver.Reply, error) {
			<-ctx.Done()
			return driver.Reply{}, ctx.Err()
		}}, plainEntries()...)
		began := time.Now()
		a := w.send(t.Context(), "POST", pathPut+"1", "r1", "")
		if got, want := a.Code, http.StatusGatewayTimeout; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		if got, want := time.Since(began), 2*time.Second+100*time.Millisecond; got > want {
			t.Errorf("answered after %v, want by the route's timeout", got)
		}
	})
}
