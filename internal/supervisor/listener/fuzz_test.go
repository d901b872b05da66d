package listener

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"banyanquay/internal/refuser"
)

// FuzzChatBody sends arbitrary bodies to the paths of models: each is run once
// or refused once, and a refused one has not been run.
func FuzzChatBody(f *testing.F) {
	for _, in := range badInputs {
		f.Add([]byte(in.body))
	}
	f.Add([]byte(chatBody))
	f.Add([]byte(streamBody))
	f.Add([]byte(`{"prompt":"\ud800","messages":null,"max_tokens":null,"received":[""]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{chatPath, "/v1/completions"} {
			e := newTestListener()
			w := e.send(http.MethodPost, path, string(body))
			// The fake chat emits from position 0, which a resumed stream
			// reports as a gap.
			if w.Code == http.StatusOK && e.ran == 1 {
				continue
			}
			if p := problem(t, w); e.ran != 0 && p.Code != int(refuser.StreamBroken) {
				t.Errorf("got %+v with %d run, want none", p, e.ran)
			}
		}
	})
}

// FuzzKeyHeaders sends arbitrary values in the headers of non-idempotent
// requests: an accepted key is within its limit, and it isn't marked as a first
// attempt, which only holds for keys that the node generates.
func FuzzKeyHeaders(f *testing.F) {
	f.Add("", "", "")
	f.Add("k", "1", "2026-01-02T03:04:05Z")
	f.Add("01912345-0000-7000-8000-000000000000", "4294967295", "")
	f.Add("k", "-1", "0000-00-00T00:00:00Z")
	f.Add("\xff", "+1", "9999-12-31T23:59:59.999999999+23:59")
	f.Fuzz(func(t *testing.T, key, attempt, issued string) {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, callPath, nil)
		r.Header[headerKey] = []string{key}
		r.Header.Set(headerAttempt, attempt)
		r.Header.Set(headerIssued, issued)
		got, err := idempotencyKey(request{Request: r}, nil)
		if err != nil {
			if code := asRefusal(err).Code; code != refuser.BadKey {
				t.Errorf("got %s, want %s", code, refuser.BadKey)
			}
			return
		}
		if got.Value != key || key == "" || len(key) > maxKeyBytes || got.First {
			t.Errorf("got %+v of key %q, want that key and not a first attempt", got, key)
		}
	})
}
