package supervisor

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
)

// reply is a response as a caller receives it.
type reply struct {
	status  int
	body    string
	problem refuser.Problem
}

// send sends one request. It returns status 0 if the connection fails.
func (f *fleet) send(node, method, path, body string, header http.Header) reply {
	req, err := http.NewRequest(method, "http://"+node+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if header != nil {
		req.Header = header
	}
	// Use a client without keep-alive, so that no connection is reused.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	r := reply{status: resp.StatusCode, body: string(data)}
	if resp.Header.Get("Content-Type") == refuser.ContentType {
		r.problem, err = encoder.FromJSON[refuser.Problem](data)
		if err != nil {
			f.t.Fatal(err)
		}
	}
	return r
}

// chat sends a chat request.
func (f *fleet) chat(node string) reply { return f.chatWithTokens(node, 2) }

// chatWithTokens sends a chat request with the given max_tokens.
func (f *fleet) chatWithTokens(node string, tokens int) reply {
	return f.send(node, http.MethodPost, "/v1/chat/completions",
		fmt.Sprintf(`{"messages":[{"role":"user","content":"stock?"}],"max_tokens":%d}`, tokens),
		http.Header{"Authorization": {"Bearer " + callerKey}})
}

// order places an order under an idempotency key. Attempt 0 sends no attempt number.
func (f *fleet) order(node, key string, attempt int) reply {
	header := http.Header{"Authorization": {"Bearer " + callerKey}, "Idempotency-Key": {key}}
	if attempt > 0 {
		header.Set("Idempotency-Attempt", fmt.Sprint(attempt))
	}
	return f.send(node, http.MethodPost, "/v1/services/orders/orders", `{"order":"`+key+`"}`, header)
}

// executions returns how often the service has executed an order, summed over all
// organisations.
func (f *fleet) executions(key string) int {
	n := 0
	for of, executions := range f.service.Counts().Executions {
		if of == key || strings.HasSuffix(of, "/"+key) {
			n += executions
		}
	}
	return n
}

// contentOf returns the message text of a complete answer.
func contentOf(t *testing.T, body string) string {
	t.Helper()
	type answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	a, err := encoder.FromJSON[answer]([]byte(body))
	if err != nil || len(a.Choices) != 1 {
		t.Fatalf("got %q, want an answer with one choice", body)
	}
	return a.Choices[0].Message.Content
}
