package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

// script is what an endpoint does with a request.
type script func(f driver.Forward) (driver.Reply, error)

// own is an answer that the service made.
func own(status int, body string) script {
	return func(driver.Forward) (driver.Reply, error) {
		return driver.Reply{
			Status: status, Signed: true, Header: http.Header{"Signature": {"s"}}, Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

func unsigned(status int, notRun bool) script {
	return func(driver.Forward) (driver.Reply, error) {
		return driver.Reply{Status: status, NotRun: notRun, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
	}
}

func broken(driver.Forward) (driver.Reply, error) { return driver.Reply{}, errors.New("reset") }

func unreachable(driver.Forward) (driver.Reply, error) {
	return driver.Reply{}, &driver.Unsent{Err: errors.New("refused")}
}

func torn(driver.Forward) (driver.Reply, error) {
	return driver.Reply{
		Status: 200, Signed: true, Header: http.Header{},
		Body: io.NopCloser(io.MultiReader(strings.NewReader("half"), failing{})),
	}, nil
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// relayOf runs the scripts in the order of the sends.
func relayOf(sent *[]driver.Forward, scripts ...script) driver.Relay {
	return driver.Relay{
		Send: func(_ context.Context, _ string, f driver.Forward) (driver.Reply, error) {
			*sent = append(*sent, f)
			return scripts[min(len(*sent), len(scripts))-1](f)
		},
		Knock: func(context.Context, string) error { return nil },
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
		{"an answer is passed on", "GET", pathGet, []script{own(200, "ok")}, 200, 1, true},
		{"the service's own failure is passed on", "POST", pathPut, []script{own(500, "no")}, 500, 1, true},
		{"an idempotent request is sent again after a failure", "GET", pathGet, []script{own(500, "no"), own(200, "ok")}, 200, 2, true},
		{"but to no more endpoints than its route allows", "GET", pathGet, []script{own(500, "no"), own(500, "no"), own(200, "ok")}, 500, 2, true},
		{"an answer that is ready is passed on though the next endpoint refuses", "GET", pathGet, []script{own(500, "no"), unsigned(503, true)}, 500, 2, true},
		{"a non-idempotent request is sent once, however it ends", "POST", pathPut, []script{broken, own(200, "ok")}, 502, 1, false},
		{"also if its answer is torn", "POST", pathPut, []script{torn, own(200, "ok")}, 502, 1, false},
		{"a torn answer of an idempotent request is not shown", "GET", pathGet, []script{torn, own(200, "ok")}, 200, 2, true},
		{"what was not sent goes to another endpoint", "POST", pathPut, []script{unreachable, own(200, "ok")}, 200, 2, true},
		{"so does what the endpoint says it did not run", "POST", pathPut, []script{unsigned(503, true), own(200, "ok")}, 200, 2, true},
		{"a refusal that all endpoints made is a promise", "POST", pathPut, []script{unsigned(503, true)}, 503, 2, false},
		{"one that may have run is none", "POST", pathPut, []script{unsigned(503, false)}, 502, 1, false},
		{"nor is a 429 without the endpoint's word", "POST", pathPut, []script{own(429, "later")}, 502, 1, false},
		{"a success that the service did not sign is not shown", "POST", pathPut, []script{unsigned(200, false)}, 502, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent []driver.Forward
				w := newWorld(t, relayOf(&sent, c.scripts...), desk()...)
				a := w.ask(t.Context(), c.method, c.path+"1?q=2", "r1", "")
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

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent []driver.Forward
		w := newWorld(t, relayOf(&sent, unsigned(503, true)), desk()...)
		began := time.Now()
		a := w.ask(t.Context(), "POST", pathPut+"1", "r1", "")
		if got := a.Header().Get("Retry-After"); got == "" {
			t.Errorf("no Retry-After in a refusal of what did not run")
		}
		if got, want := time.Since(began), 10*time.Millisecond; got > want {
			t.Errorf("refused after %v, want at once", got)
		}
	})
}

// A try whose endpoint is silent must leave time for another one.
func TestSilentEndpointLeavesTimeForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sends := 0
		w := newWorld(t, driver.Relay{Send: func(ctx context.Context, _ string, f driver.Forward) (driver.Reply, error) {
			if sends++; sends == 1 {
				<-ctx.Done()
				return driver.Reply{}, ctx.Err()
			}
			return own(200, "ok")(f)
		}}, desk()...)
		began := time.Now()
		a := w.ask(t.Context(), "GET", pathGet+"1", "r1", "")
		if got, want := a.Code, 200; got != want {
			t.Fatalf("status: got %d, want %d", got, want)
		}
		if got, want := time.Since(began), 300*time.Millisecond; got > want {
			t.Errorf("answered after %v, want within the route's target of %v", got, want)
		}
	})
}

func TestTimeoutAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, driver.Relay{Send: func(ctx context.Context, _ string, _ driver.Forward) (driver.Reply, error) {
			<-ctx.Done()
			return driver.Reply{}, ctx.Err()
		}}, desk()...)
		began := time.Now()
		a := w.ask(t.Context(), "POST", pathPut+"1", "r1", "")
		if got, want := a.Code, http.StatusGatewayTimeout; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
		if got, want := time.Since(began), 2*time.Second+100*time.Millisecond; got > want {
			t.Errorf("answered after %v, want by the route's timeout", got)
		}
	})
}
