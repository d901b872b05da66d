package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/follower"
)

const operatorsKey = "operators-key"

// memoryLog is an in-memory log that never fails.
type memoryLog struct{ records []provider.Record }

func (l *memoryLog) append(_ context.Context, _ string, data []byte) (provider.Position, error) {
	r := provider.Record{Offset: provider.Offset(len(l.records)), At: 1, Data: data}
	l.records = append(l.records, r)
	return provider.Position{Offset: r.Offset}, nil
}

// testAPI is an administration API with one follower.
type testAPI struct {
	t        *testing.T
	handler  http.Handler
	counters *counter.Set
	drained  string
	nodes    []NodeView
}

func newAPI(t *testing.T) *testAPI {
	l := &memoryLog{}
	calls := make(chan func())
	log := provider.Log{
		Append: func(ctx context.Context, stream string, data []byte) (pos provider.Position, err error) {
			done := make(chan struct{})
			calls <- func() { pos, err = l.append(ctx, stream, data); close(done) }
			<-done
			return pos, err
		},
		Read: func(ctx context.Context, _ string, from provider.Offset, wait time.Duration) (provider.Page, error) {
			for wait > 0 && int(from) >= len(l.records) {
				select {
				case <-ctx.Done():
					return provider.Page{}, ctx.Err()
				case call := <-calls:
					call()
				}
			}
			return provider.Page{Next: provider.Offset(len(l.records)), Records: l.records[from:]}, nil
		},
	}
	counters := counter.New()
	f := follower.New(follower.Config{
		Log: log, Recorder: recorder.Nop(), Counters: counters, Now: time.Now,
		NewID: func() string { return t.Name() + time.Now().String() },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Step().Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for !f.Ready() {
		time.Sleep(time.Millisecond)
	}
	a := &testAPI{t: t, counters: counters, nodes: []NodeView{{Address: "10.0.0.1:1", Applied: 7}}}
	router := mux.NewRouter()
	admin := New(Config{
		View: f.View, Publish: f.Publish, Restore: f.Restore, Counters: counters,
		Operators: []Operator{
			{Name: "broken", KeyHash: "not hexadecimal"},
			{Name: "ann", KeyHash: describer.HashKey(operatorsKey)},
		},
		Nodes:     func() []NodeView { return a.nodes },
		Endpoints: func() []driver.Endpoint { return nil },
		Drain: func(_ context.Context, address string) error {
			a.drained = address
			return nil
		},
		Bound: func() ThroughputBound { return ThroughputBound{} },
	})
	admin.Routes(router)
	router.Handle(Prefix+"/protected", admin.Protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("for " + operatorName(r.Context())))
	})))
	a.handler = router
	return a
}

// do sends a request; headers are names and values in turn.
func (a *testAPI) do(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, Prefix+path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorsKey)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w
}

// checkAnswer checks an answer's status and that its body contains a text.
func (a *testAPI) checkAnswer(w *httptest.ResponseRecorder, status int, part string) {
	a.t.Helper()
	if w.Code != status || !strings.Contains(w.Body.String(), part) {
		a.t.Errorf("got %d %s, want %d with %s", w.Code, w.Body, status, part)
	}
}

func templateJSON(name, share string) string {
	return `{"name": "` + name + `", "share": ` + share + `, "model": {"name": "m", "version": "1"},
		"key_hashes": ["` + describer.HashKey(name) + `"]}`
}

func TestOrganisationLifecycle(t *testing.T) {
	a := newAPI(t)
	const path = "/organisations/acme"
	a.checkAnswer(a.do("GET", path, ""), 404, "never published")
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.5")), 400, "If-Match")
	w := a.do("PUT", path, templateJSON("acme", "0.5"), "If-None-Match", "*")
	a.checkAnswer(w, 200, `"revision":1`)
	if got, want := w.Header().Get("ETag"), `"1"`; got != want {
		t.Errorf("got ETag %s, want %s", got, want)
	}
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.6"), "If-None-Match", "*"), 412, "revision 1")
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.6"), "If-Match", `"1"`, "Note", "more"), 200, `"revision":2`)
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.7"), "If-Match", `"1"`), 412, "is at revision 2")
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.7"), "If-Match", "2"), 400, "not a revision")
	a.checkAnswer(a.do("GET", path, ""), 200, `"share":0.6`)
	a.checkAnswer(a.do("GET", "/organisations", ""), 200, `"name":"acme","revision":2`)
	a.checkAnswer(a.do("DELETE", path, "", "If-Match", `"1"`), 412, "conflict")
	a.checkAnswer(a.do("DELETE", path, "", "If-Match", `"2"`), 200, `"revision":3`)
	a.checkAnswer(a.do("GET", path, ""), 404, "removed at revision 3")
	a.checkAnswer(a.do("DELETE", path, "", "If-Match", `"3"`), 404, "removed")
	a.checkAnswer(a.do("PUT", path, templateJSON("acme", "0.5"), "If-None-Match", "*"), 200, `"revision":4`)
	a.checkAnswer(a.do("GET", path+"/history", ""), 200, `"operator":"ann","note":"more"`)
}

func TestBadTemplatesGetEveryFault(t *testing.T) {
	a := newAPI(t)
	const path = "/organisations/acme"
	tests := []struct {
		kind, body string
		status     int
		faults     int
	}{
		{"application/json", templateJSON("acme", "2"), 422, 1},
		{"application/json", templateJSON("bolt", "0.5"), 422, 1},
		{"application/json", `{"name": "acme", "colour": 1}`, 422, 4},
		{"application/toml", "name = \"acme\"\nsize = 1\nshare = 3\n", 422, 4},
		{"text/plain", "x", 400, 0},
		{"application/json", strings.Repeat(" ", maxTemplateBytes+1), 413, 0},
	}
	for _, tt := range tests {
		w := a.do("PUT", path, tt.body, "Content-Type", tt.kind, "If-None-Match", "*")
		var p refuser.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		if w.Code != tt.status || len(p.Faults) != tt.faults || p.Ran != "never" {
			t.Errorf("%s: got %d with %q, want %d with %d faults", tt.kind, w.Code, p.Faults, tt.status, tt.faults)
		}
	}
	if got, want := a.counters.Refusals.Get("bad_template").String(), "4"; got != want {
		t.Errorf("got %s refusals counted, want %s", got, want)
	}
}

func TestOnlyOperatorsAreAuthenticated(t *testing.T) {
	a := newAPI(t)
	a.do("PUT", "/organisations/acme", templateJSON("acme", "0.5"), "If-None-Match", "*")
	tests := map[string]int{
		"":                       401,
		"Bearer ":                401,
		"Basic " + operatorsKey:  401,
		"Bearer wrong":           403,
		"Bearer acme":            403, // a caller's key.
		"Bearer not hexadecimal": 403,
		"Bearer " + describer.HashKey(operatorsKey): 403,
		"Bearer " + operatorsKey:                    200,
	}
	for value, want := range tests {
		for _, path := range []string{"/organisations", "/organisations/acme/history", "/nodes", "/endpoints", "/offsets", "/bound"} {
			if got := a.do("GET", path, "", "Authorization", value).Code; got != want {
				t.Errorf("%q on %s: got %d, want %d", value, path, got, want)
			}
		}
	}
}

func TestFleetAnswers(t *testing.T) {
	a := newAPI(t)
	a.nodes = append(a.nodes, NodeView{Address: "10.0.0.2:1", Down: true})
	a.checkAnswer(a.do("GET", "/offsets", ""), 200, `{"nodes":[{"address":"10.0.0.1:1","applied":7,"caught_up":false}]}`)
	a.checkAnswer(a.do("GET", "/nodes", ""), 200, `"address":"10.0.0.1:1"`)
	a.checkAnswer(a.do("POST", "/nodes/10.0.0.1:1/drain", ""), 200, "{}")
	if got, want := a.drained, "10.0.0.1:1"; got != want {
		t.Errorf("got %q drained, want %q", got, want)
	}
}

func TestRestoreIsRefusedWhileAnotherNodeIsAhead(t *testing.T) {
	a := newAPI(t)
	a.checkAnswer(a.do("POST", "/restore", ""), 412, "10.0.0.1:1 has applied offset 7")
	a.nodes = nil
	a.checkAnswer(a.do("POST", "/restore", ""), 400, "nothing to restore")
}

func TestProtectedHandlersTakeOperatorsOnly(t *testing.T) {
	a := newAPI(t)
	a.checkAnswer(a.do("GET", "/protected", ""), 200, "for ann")
	a.checkAnswer(a.do("GET", "/protected", "", "Authorization", "Bearer callers-key"), 403, "wrong_credential")
	a.checkAnswer(a.do("GET", "/protected", "", "Authorization", ""), 401, "no_credential")
}
