package listener

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

const callersKey = "callers-key"

// testListener is a listener with fake dependencies that count the requests
// they get.
type testListener struct {
	cfg Config
	// ran counts the chats and calls that were run.
	ran int
	// ledgerRefusals counts the refusals that were completed by the ledger.
	ledgerRefusals int
}

// newTestListener returns a listener whose chats answer with two tokens.
func newTestListener() *testListener {
	e := &testListener{}
	org := describer.Organisation{Template: describer.Template{
		Name:  "desk",
		Model: describer.Model{Name: "small", Version: "1"},
		Routes: []describer.Route{
			{Service: "orders", Method: "POST", Path: "/", NonIdempotent: true},
			{Service: "orders", Method: "GET", Path: "/"},
		},
	}}
	limits := loader.Defaults().Limits
	limits.BodyBytes, limits.Tokens = 200, 8
	e.cfg = Config{
		Limits: limits,
		ByKeyHash: func(hash string) (describer.Organisation, bool) {
			return org, hash == describer.HashKey(callersKey)
		},
		Ready:     func() string { return "" },
		Addresses: func(string) []string { return []string{"10.0.0.2:80"} },
		Lookup:    func(string, string) (claimer.Outcome, bool) { return claimer.Outcome{}, false },
		Chat: func(_ context.Context, _ dispatcher.Chat, emit runner.Emit) error {
			e.ran++
			_ = emit(0, "a")
			return emit(1, "b")
		},
		Call: func(context.Context, dispatcher.Call) (dispatcher.Result, error) {
			e.ran++
			return dispatcher.Result{Answer: driver.Answer{Status: http.StatusCreated}}, nil
		},
		RefuseChat: func(_ context.Context, _ dispatcher.Chat, r refuser.Refusal) error { return r },
		RefuseCall: func(_ context.Context, _ dispatcher.Call, r refuser.Refusal) error {
			e.ledgerRefusals++
			return r.WithEarlier(refuser.Done).WithProof()
		},
		Gate:     NewGate(),
		Recorder: recorder.Nop(),
		Counters: counter.New(),
	}
	return e
}

// send sends one request to the handler. Headers are names and values in turn;
// | separates the values of one name.
func (e *testListener) send(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+callersKey)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Del(headers[i])
		for _, value := range strings.Split(headers[i+1], "|") {
			r.Header.Add(headers[i], value)
		}
	}
	w := httptest.NewRecorder()
	New(e.cfg).Handler().ServeHTTP(w, r)
	return w
}

// problem decodes a refusal and checks its status and content type.
func problem(t *testing.T, w *httptest.ResponseRecorder) refuser.Problem {
	t.Helper()
	var p refuser.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("got body %q, want a problem", w.Body)
	}
	if got := w.Header().Get("Content-Type"); got != refuser.ContentType || w.Code != p.Status {
		t.Errorf("got %s with status %d, want %s with %d", got, w.Code, refuser.ContentType, p.Status)
	}
	return p
}

const chatPath = "/v1/chat/completions"

const chatBody = `{"messages":[{"role":"user","content":"hello"}],"max_tokens":2}`

func TestClosedGateRefusesCallsThroughTheLedger(t *testing.T) {
	e := newTestListener()
	e.cfg.Gate.Close()
	p := problem(t, e.send("POST", "/v1/services/orders/", "{}", headerKey, "k"))
	if e.ran != 0 || e.ledgerRefusals != 1 {
		t.Errorf("got %d run and %d completed by the ledger, want 0 and 1", e.ran, e.ledgerRefusals)
	}
	if p.Code != int(refuser.Leaving) || p.Ran != "done" || p.Attempt != "never" || len(p.Addresses) != 1 {
		t.Errorf("got %+v, want leaving, ran done, attempt never, an address", p)
	}
}

func TestClosedGateRefusesChatsThatNeverRan(t *testing.T) {
	e := newTestListener()
	e.cfg.Gate.StartLeaving(time.Time{})
	if w := e.send("POST", chatPath, chatBody); w.Code != http.StatusOK {
		t.Errorf("got %d while leaving, want 200", w.Code)
	}
	e.cfg.Gate.Close()
	p := problem(t, e.send("POST", chatPath, chatBody))
	if p.Code != int(refuser.Leaving) || p.Ran != "never" || len(p.Addresses) != 1 || e.ran != 1 {
		t.Errorf("got %+v and %d run, want leaving, never, an address, 1 run", p, e.ran)
	}
}

func TestGateWaitsForCalls(t *testing.T) {
	e := newTestListener()
	entered, finish, answered := make(chan struct{}), make(chan struct{}), make(chan int)
	e.cfg.Call = func(context.Context, dispatcher.Call) (dispatcher.Result, error) {
		close(entered)
		<-finish
		return dispatcher.Result{Answer: driver.Answer{Status: http.StatusCreated}}, nil
	}
	go func() { answered <- e.send("POST", "/v1/services/orders/", "{}").Code }()
	<-entered
	e.cfg.Gate.Close()
	past, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	if got := e.cfg.Gate.Wait(past); got != 1 {
		t.Errorf("got %d requests in progress, want 1", got)
	}
	close(finish)
	if got := <-answered; got != http.StatusCreated {
		t.Errorf("got %d, want 201", got)
	}
	if got := e.cfg.Gate.Wait(t.Context()); got != 0 {
		t.Errorf("got %d requests in progress, want 0", got)
	}
}

// TestGateWaitsForPendingRefusals checks that a closed gate also waits for a
// refusal that waits for the ledger, if it began while a call was in progress.
// One that begins after the last call has ended doesn't delay the stop.
func TestGateWaitsForPendingRefusals(t *testing.T) {
	e := newTestListener()
	entered, finish, refused := make(chan struct{}), make(chan struct{}), make(chan chan struct{})
	e.cfg.Call = func(context.Context, dispatcher.Call) (dispatcher.Result, error) {
		close(entered)
		<-finish
		return dispatcher.Result{Answer: driver.Answer{Status: http.StatusCreated}}, nil
	}
	e.cfg.RefuseCall = func(_ context.Context, _ dispatcher.Call, r refuser.Refusal) error {
		completed := make(chan struct{})
		refused <- completed
		<-completed
		return r
	}
	answered := make(chan int, 3)
	order := func() { answered <- e.send("POST", "/v1/services/orders/", "{}").Code }
	go order()
	<-entered
	e.cfg.Gate.Close()
	go order()
	first := <-refused
	close(finish)
	if got := <-answered; got != http.StatusCreated {
		t.Errorf("got %d, want 201", got)
	}
	past, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	if got := e.cfg.Gate.Wait(past); got != 1 {
		t.Errorf("got %d in progress, want the refusal", got)
	}
	go order()
	late := <-refused
	close(first)
	if got := <-answered; got != http.StatusServiceUnavailable {
		t.Errorf("got %d, want 503", got)
	}
	if got := e.cfg.Gate.Wait(t.Context()); got != 0 {
		t.Errorf("got %d in progress, want 0", got)
	}
	close(late)
	<-answered
}

// Guards against a node that takes requests in a planned stop as if it had time without end,
// and against one that refuses requests that end in time.
func TestGateKnowsWhatEndsInTime(t *testing.T) {
	const stop = 8 * time.Second
	tests := []struct {
		name string
		// passed is the time since the stop began; negative if it has not.
		passed time.Duration
		// limit is the request's own limit, and longest its route's; 0 means none.
		limit, longest time.Duration
		want           bool
	}{
		{"before the stop", -1, 0, 0, true},
		{"without a limit", 0, 0, 0, false},
		{"with time", 4900 * time.Millisecond, 3 * time.Second, 0, true},
		{"limit after the deadline", 4900 * time.Millisecond, 4 * time.Second, 0, false},
		{"route with time", 4900 * time.Millisecond, time.Minute, 3 * time.Second, true},
		{"route after the deadline", 4900 * time.Millisecond, time.Minute, 4 * time.Second, false},
		{"limit before the route's", 4900 * time.Millisecond, 3 * time.Second, 10 * time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewGate()
				if tt.passed >= 0 {
					g.StartLeaving(time.Now().Add(stop))
					time.Sleep(tt.passed)
				}
				ctx := t.Context()
				if tt.limit > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tt.limit)
					defer cancel()
				}
				if got := g.InTime(ctx, tt.longest); got != tt.want {
					t.Errorf("got %t, want %t", got, tt.want)
				}
			})
		})
	}
}

// Guards against requests that wait when the gate closes and go on waiting although they may
// outlast the stop, and against the end of waits that harm nobody, as with a long deadline.
func TestClosedGateEndsWaitsOfWhatMayOutlastTheStop(t *testing.T) {
	const limit = 2 * time.Minute
	for stop, ends := range map[time.Duration]bool{8 * time.Second: true, 10 * time.Minute: false} {
		t.Run(stop.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewGate()
				request, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				ctx, release := g.WhileInTime(request, 0)
				defer release()
				g.StartLeaving(time.Now().Add(stop))
				time.Sleep(5 * time.Second)
				if ctx.Err() != nil {
					t.Errorf("got %v before the gate closed, want nil", context.Cause(ctx))
				}
				g.Close()
				synctest.Wait()
				if got := ctx.Err() != nil; got != ends {
					t.Errorf("got ended %t, want %t", got, ends)
				}
			})
		})
	}
}

// Guards against requests that come to wait just as the gate has closed, and are admitted since
// their context has not ended yet.
func TestWaitsAtAClosedGateEndAtOnce(t *testing.T) {
	g := NewGate()
	g.StartLeaving(time.Now().Add(time.Second))
	g.Close()
	for _, longest := range []time.Duration{0, time.Millisecond} {
		ctx, release := g.WhileInTime(t.Context(), longest)
		if got, want := ctx.Err() != nil, longest == 0; got != want {
			t.Errorf("at most %v: got ended %t, want %t", longest, got, want)
		}
		release()
	}
	ctx, release := g.UntilClosed(t.Context())
	defer release()
	if ctx.Err() == nil {
		t.Error("until closed: got a context that goes on")
	}
}

// newRequest returns a request with one header.
func newRequest(t *testing.T, name, value string) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, chatPath, nil)
	r.Header.Set(name, value)
	return r
}
