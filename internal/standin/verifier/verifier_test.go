package verifier

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/gravitational/trace"

	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/standin/server"
)

func TestAnAnswerIsOfOneVersion(t *testing.T) {
	v := New(Config{Model: "m", Version: "1", Later: "2", Layers: 2, Tokens: 4})
	expect := func(version string) []string {
		return generator.Expect("m", version, 2, "user: p\n", 4)
	}
	for _, version := range []string{"1", "2"} {
		if got, err := v.checkVersions("p", expect(version), true); got != version || err != nil {
			t.Errorf("got version %q and %v, want %q", got, err, version)
		}
		if _, err := v.checkVersions("p", expect(version)[:2], false); err != nil {
			t.Errorf("the beginning of an answer of %s: %v", version, err)
		}
	}
	mixed := slices.Concat(expect("1")[:2], expect("2")[2:])
	if _, err := v.checkVersions("p", mixed, true); !trace.IsCompareFailed(err) {
		t.Errorf("an answer that begins with 1 and ends with 2: got %v, want a failed comparison", err)
	}
}

// The first node is unreachable, the second rejects the request, and the third
// attempt goes to the first again: the error must still contain the rejection.
func TestUnreachableNodeDoesNotHideARefusal(t *testing.T) {
	problem := refuser.Problem{Code: 3003, Name: "deadline_too_close", Retry: true}
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		server.Answer(w, http.StatusServiceUnavailable, problem)
	}))
	defer full.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	v := New(Config{Nodes: []string{address(gone), address(full)}, MaxAttempts: 3})
	err := v.Ask(t.Context(), Question{Prompt: "p"})
	var refused *Refused
	if !errors.As(err, &refused) || refused.Problem.Code != problem.Code {
		t.Errorf("got %v, want a refusal with code %d", err, problem.Code)
	}
}
