package responder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"banyanquay/internal/counter"
	"banyanquay/internal/refuser"
)

// payload is the input and output of the handler under test.
type payload struct {
	Name string `json:"name"`
}

func TestJSON(t *testing.T) {
	counters := counter.New()
	h := JSON(New(counters), 32, func(_ context.Context, _ *http.Request, in payload) (payload, error) {
		switch in.Name {
		case "refuse":
			return in, refuser.New(refuser.OverShare, "")
		case "fail":
			return in, errors.New("no luck")
		}
		return in, nil
	})
	tests := []struct {
		body   string
		status int
		part   string
	}{
		{`{"name": "a"}`, 200, `{"name":"a"}`},
		{`{"name": "a", "x": 1}`, 400, `"bad_json"`},
		{`{"name": "a"} {}`, 400, `"bad_json"`},
		{`{"name": "` + strings.Repeat("a", 32) + `"}`, 413, `"body_too_large"`},
		{`{"name": "refuse"}`, 429, `"over_share"`},
		{`{"name": "fail"}`, 500, `"ran":"maybe"`},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.body)))
		if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.part) {
			t.Errorf("%s: got %d %s, want %d with %s", tt.body, w.Code, w.Body, tt.status, tt.part)
		}
	}
	for name, want := range map[string]string{"bad_json": "2", "body_too_large": "1", "over_share": "1", "internal_error": "1"} {
		if got := counters.Refusals.Get(name); got == nil || got.String() != want {
			t.Errorf("got %v refusals %s, want %s", got, name, want)
		}
	}
}
