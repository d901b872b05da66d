package verifier

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
)

// maxAnswerBytes limits the bytes read of one answer.
const maxAnswerBytes = 16 << 20

// answer is what was received for one request.
type answer struct {
	tokens []string
	// fingerprint is the system_fingerprint of the tokens.
	fingerprint string
	resumed     int
	gap         time.Duration
	// onStart is called with the node and the request's id when an answer begins,
	// and onToken for each token; either may be nil.
	onStart func(node, id string)
	onToken func()
	// onMatch is called with the version of a correct answer; it may be nil.
	onMatch func(version string)
}

// chatBody is the request body of a chat completion.
type chatBody struct {
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Received  []string      `json:"received,omitempty"`
	// Fingerprint is the system_fingerprint of the tokens in Received.
	Fingerprint string `json:"system_fingerprint,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is an answer or one chunk of a streamed answer.
type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Sequence    *int   `json:"sequence"`
	Fingerprint string `json:"system_fingerprint"`
}

// brokenError is a failure after which the answer may be continued at another
// node.
type brokenError struct {
	err error
}

func (b *brokenError) Error() string { return "broken: " + b.err.Error() }
func (b *brokenError) Unwrap() error { return b.err }

// Refused is the error of a request that a node rejected or of a stream that it
// ended with a problem.
type Refused struct {
	Problem refuser.Problem
}

// Error returns the problem's code, name and detail.
func (r *Refused) Error() string {
	return fmt.Sprintf("%d %s: %s", r.Problem.Code, r.Problem.Name, r.Problem.Detail)
}

// retryable reports whether another node may be tried.
func retryable(err error) bool {
	var b *brokenError
	return errors.As(err, &b)
}

// ask sends one request to a node and appends the tokens it receives to a.
func (v *Verifier) ask(ctx context.Context, node, prompt string, a *answer) error {
	body, err := encoder.JSON(chatBody{
		Messages:    []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens:   v.cfg.Tokens,
		Stream:      v.cfg.Stream,
		Received:    a.tokens,
		Fingerprint: a.fingerprint,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+v.cfg.Key)
	if v.cfg.Timeout > 0 {
		req.Header.Set("X-Timeout-Seconds", strconv.FormatFloat(v.cfg.Timeout.Seconds(), 'f', 3, 64))
	}
	resp, err := v.cfg.HTTP.Do(req)
	if err != nil {
		return &brokenError{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, a)
	}
	if a.onStart != nil {
		a.onStart(node, resp.Header.Get("X-Request-Id"))
	}
	if v.cfg.Stream {
		return readStream(resp.Body, a)
	}
	return readNonStreaming(resp.Body, a)
}

// responseError converts an error response. A problem that may be retried becomes
// a brokenError, and so does an outdated answer, whose tokens are discarded so
// that the next attempt starts over.
func responseError(resp *http.Response, a *answer) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &brokenError{err: err}
	}
	p, err := encoder.FromJSON[refuser.Problem](data)
	if err != nil {
		return trace.Wrap(err, "status %s", resp.Status)
	}
	err = &Refused{Problem: p}
	if p.Code == int(refuser.AnswerOutdated) {
		a.tokens, a.fingerprint = nil, ""
		return &brokenError{err: err}
	}
	if p.Retry {
		return &brokenError{err: err}
	}
	return err
}

// readNonStreaming reads an answer that is not streamed.
func readNonStreaming(r io.Reader, a *answer) error {
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes))
	if err != nil {
		return &brokenError{err: err}
	}
	got, err := encoder.FromJSON[chatAnswer](data)
	if err != nil || len(got.Choices) != 1 {
		return trace.BadParameter("malformed answer: %v", err)
	}
	a.tokens = strings.SplitAfter(strings.TrimSuffix(got.Choices[0].Message.Content, " "), " ")
	a.tokens[len(a.tokens)-1] += " "
	return nil
}

// readStream reads events up to the [DONE] event.
func readStream(r io.Reader, a *answer) error {
	scanner := bufio.NewScanner(r)
	last := time.Now()
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		failed = failed || line == "event: error"
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			return streamError(data)
		}
		if data == "[DONE]" {
			return nil
		}
		if err := addToken(data, a); err != nil {
			return err
		}
		a.gap = max(a.gap, time.Since(last))
		last = time.Now()
	}
	return &brokenError{err: trace.Errorf("stream ended without [DONE]: %v", scanner.Err())}
}

// streamError converts the problem that ends a stream to an error.
func streamError(data string) error {
	p, err := encoder.FromJSON[refuser.Problem]([]byte(data))
	if err != nil {
		return &brokenError{err: trace.Errorf("stream failed: %s", data)}
	}
	return &brokenError{err: &Refused{Problem: p}}
}

// addToken appends the token of one event, which must have the next sequence
// number and the fingerprint of the tokens before it.
func addToken(data string, a *answer) error {
	var chunk chatAnswer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return trace.BadParameter("malformed event: %v", err)
	}
	if chunk.Sequence == nil {
		return nil
	}
	if *chunk.Sequence != len(a.tokens) {
		return trace.CompareFailed("got sequence %d, want %d", *chunk.Sequence, len(a.tokens))
	}
	if len(a.tokens) > 0 && chunk.Fingerprint != a.fingerprint {
		return trace.CompareFailed("got a token with fingerprint %q after one with %q", chunk.Fingerprint, a.fingerprint)
	}
	a.fingerprint = chunk.Fingerprint
	a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
	if a.onToken != nil {
		a.onToken()
	}
	return nil
}
