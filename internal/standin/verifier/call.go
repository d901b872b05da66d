package verifier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

// Request is an arbitrary HTTP request to a node.
type Request struct {
	Node   string
	Key    string
	Method string
	Path   string
	Body   string
	// IdempotencyKey and Attempt are sent as the headers Idempotency-Key and
	// Idempotency-Attempt; empty means no header.
	IdempotencyKey string
	Attempt        string
}

// Call sends a request and returns the status and the body in one line.
func Call(ctx context.Context, r Request) (string, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Node+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return "", trace.Wrap(err)
	}
	headers := map[string]string{
		"Content-Type":        "application/json",
		"Authorization":       "Bearer " + r.Key,
		"Idempotency-Key":     r.IdempotencyKey,
		"Idempotency-Attempt": r.Attempt,
	}
	for name, value := range headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", trace.Wrap(err, "calling %s", r.Node)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return "", trace.Wrap(err, "reading the answer of %s", r.Node)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(body))), nil
}
