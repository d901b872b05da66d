package listener

import (
	"net/http"
	"strings"
	"testing"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer"
)

const callPath = "/v1/services/orders/"

// badInput is a request that must be refused without running anything.
type badInput struct {
	name, method, path, body string
	// headers are names and values in turn; | separates the values of one name.
	headers []string
	want    refuser.Code
	// ran is what the refusal says of all attempts under the key; never by
	// default.
	ran refuser.Ran
}

var badInputs = []badInput{
	{name: "malformed JSON", body: `{"messages":`, want: refuser.BadJSON},
	{name: "no body", body: ``, want: refuser.BadJSON},
	{name: "wrong type", body: `{"messages":"hello"}`, want: refuser.BadJSON},
	{name: "fraction of a token", body: `{"max_tokens":1.5}`, want: refuser.BadJSON},
	{name: "data after the value", body: chatBody + `{}`, want: refuser.BadJSON},
	{name: "empty prompt", body: `{"messages":[{"role":"user","content":" "}]}`, want: refuser.BadRequest},
	{name: "no messages", body: `{"messages":[]}`, want: refuser.BadRequest},
	{name: "empty completion", path: "/v1/completions", body: `{"prompt":""}`, want: refuser.BadRequest},
	{name: "no tokens", path: "/v1/completions", body: `{"prompt":"a","max_tokens":0}`, want: refuser.BadRequest},
	{name: "negative tokens", path: "/v1/completions", body: `{"prompt":"a","max_tokens":-1}`, want: refuser.BadRequest},
	{name: "too many tokens", path: "/v1/completions", body: `{"prompt":"a","max_tokens":9}`, want: refuser.BadRequest},
	{name: "huge tokens", path: "/v1/completions", body: `{"prompt":"a","max_tokens":1e99}`, want: refuser.BadJSON},
	{name: "all received", path: "/v1/completions", body: `{"prompt":"a","max_tokens":1,"received":["x"]}`, want: refuser.BadRequest},
	{name: "unknown model", path: "/v1/completions", body: `{"prompt":"a","model":"other"}`, want: refuser.NoSuchModel},
	{name: "oversize body", body: strings.Repeat(" ", 201), want: refuser.BodyTooLarge},
	{name: "oversize call", path: callPath, body: strings.Repeat("x", 201), want: refuser.BodyTooLarge},
	{name: "unknown service", path: "/v1/services/cheques/", want: refuser.NoSuchService},
	{name: "unknown route", method: "PUT", path: callPath, want: refuser.NoSuchService},
	{name: "unknown path", path: "/v1/elsewhere", want: refuser.NoSuchPath},
	{name: "wrong method", method: "GET", want: refuser.MethodNotAllowed},
	{name: "no credential", body: chatBody, headers: []string{"Authorization", ""}, want: refuser.NoCredential},
	{name: "other scheme", body: chatBody, headers: []string{"Authorization", "Basic x"}, want: refuser.NoCredential},
	{name: "empty credential", body: chatBody, headers: []string{"Authorization", "Bearer "}, want: refuser.NoCredential},
	{name: "wrong credential", body: chatBody, headers: []string{"Authorization", "Bearer x"}, want: refuser.WrongCredential},
	{name: "time is no number", body: chatBody, headers: []string{headerTimeoutSeconds, "soon"}, want: refuser.BadRequest},
	{name: "time is not positive", body: chatBody, headers: []string{headerTimeoutSeconds, "0"}, want: refuser.BadRequest},
	{name: "time is NaN", body: chatBody, headers: []string{headerTimeoutSeconds, "NaN"}, want: refuser.BadRequest},
	{name: "time of a call", path: callPath, headers: []string{headerTimeoutSeconds, "-1"}, want: refuser.BadRequest},
	{name: "long key", path: callPath, headers: []string{headerKey, strings.Repeat("k", 256)}, want: refuser.BadKey},
	{name: "empty key", path: callPath, headers: []string{headerKey, ""}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "two keys", path: callPath, headers: []string{headerKey, "a|b"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "attempt without key", path: callPath, headers: []string{headerAttempt, "2"}, want: refuser.BadKey},
	{name: "issue time without key", path: callPath, headers: []string{headerIssued, "2026-01-02T03:04:05Z"}, want: refuser.BadKey},
	{name: "attempt 0", path: callPath, headers: []string{headerKey, "k", headerAttempt, "0"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "attempt is no number", path: callPath, headers: []string{headerKey, "k", headerAttempt, "x"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "attempt beyond 32 bits", path: callPath, headers: []string{headerKey, "k", headerAttempt, "4294967296"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "bad issue time", path: callPath, headers: []string{headerKey, "k", headerIssued, "yesterday"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "keyed malformed JSON", body: `{`, headers: []string{headerKey, "k"}, want: refuser.BadJSON, ran: refuser.Maybe},
	{name: "long key, malformed JSON", body: `{`, headers: []string{headerKey, strings.Repeat("k", 256)}, want: refuser.BadJSON},
	{name: "long key, wrong path", path: "/v1/elsewhere", headers: []string{headerKey, strings.Repeat("k", 256)}, want: refuser.NoSuchPath},
	{name: "keyed wrong path", path: "/v1/elsewhere", headers: []string{headerKey, "k"}, want: refuser.NoSuchPath, ran: refuser.Maybe},
	{name: "longest key, wrong path", path: "/v1/elsewhere", headers: []string{headerKey, strings.Repeat("k", 255)}, want: refuser.NoSuchPath, ran: refuser.Maybe},
	{name: "two long keys", path: callPath, headers: []string{headerKey, strings.Repeat("k", 256) + "|a"}, want: refuser.BadKey, ran: refuser.Maybe},
	{name: "unknown key", method: "GET", path: "/v1/keys/k", want: refuser.NoSuchRequest, ran: refuser.Maybe},
}

func TestBadInputIsRefusedOnceAndRunsNothing(t *testing.T) {
	for _, tc := range badInputs {
		t.Run(tc.name, func(t *testing.T) {
			if tc.method == "" {
				tc.method = http.MethodPost
			}
			if tc.path == "" {
				tc.path = chatPath
			}
			e := newTestListener()
			p := problem(t, e.send(tc.method, tc.path, tc.body, tc.headers...))
			if p.Code != int(tc.want) || p.Ran != tc.ran.String() || p.Attempt != "never" {
				t.Errorf("got %s (ran %s, attempt %s), want %s (ran %s, attempt never)", p.Name, p.Ran, p.Attempt, tc.want, tc.ran)
			}
			if e.ran != 0 || e.ledgerRefusals != 0 {
				t.Errorf("got %d run and %d completed by the ledger, want none", e.ran, e.ledgerRefusals)
			}
			if got := e.cfg.Counters.Refusals.Get(tc.want.String()); got == nil || got.String() != "1" {
				t.Errorf("got %v refusals counted, want 1", got)
			}
		})
	}
}

func TestUnknownFieldsAreAccepted(t *testing.T) {
	e := newTestListener()
	w := e.send("POST", chatPath, `{"messages":[{"role":"user","content":"a","name":"n"}],"temperature":0.5,"user":"u"}`)
	if w.Code != http.StatusOK || e.ran != 1 {
		t.Errorf("got %d with %d run, want 200 with 1", w.Code, e.ran)
	}
}

func TestLongTimeoutIsCapped(t *testing.T) {
	for _, seconds := range []string{"1e300", "Inf", "100000"} {
		e := newTestListener()
		r := request{Request: newRequest(t, headerTimeoutSeconds, seconds)}
		ctx, cancel, err := New(e.cfg).withTimeout(r)
		if err != nil {
			t.Fatal(err)
		}
		defer cancel()
		if err := ctx.Err(); err != nil {
			t.Errorf("%s seconds: got %v, want time left", seconds, err)
		}
	}
}

func TestKeyIsLookedUpDecoded(t *testing.T) {
	e := newTestListener()
	var got string
	e.cfg.Lookup = func(_, key string) (claimer.Outcome, bool) {
		got = key
		return claimer.Outcome{}, true
	}
	e.send("GET", "/v1/keys/a%2Fb%20c", "")
	if want := "a/b c"; got != want {
		t.Errorf("got key %q, want %q", got, want)
	}
}
