// Package verifier is a caller that checks every token of every answer against
// what the stand-in engines must generate.
package verifier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/standin/generator"
)

// Config says what to ask and what to expect.
type Config struct {
	// Nodes are host:port of nodes to try, in order.
	Nodes []string
	// Key is the organisation's API key.
	Key string
	// Model, Version and Layers are what the organisation's pipelines run.
	Model   string
	Version string
	Layers  int
	// Later is a second version whose answers are also correct; empty means none.
	// All tokens of one answer must be of the same version.
	Later string
	// Tokens is the length of each answer.
	Tokens int
	// Requests is the number of requests, which are sent concurrently.
	Requests int
	// Prompt is the prefix of every prompt; the request's number follows.
	Prompt string
	// Stream requests a streamed answer.
	Stream bool
	// MaxAttempts is the max number of attempts for one answer.
	MaxAttempts int
	// Timeout is the time limit sent with each request; 0 means none.
	Timeout time.Duration
	// HTTP sends the requests; nil means a new client.
	HTTP *http.Client
}

// Report is the result of a run.
type Report struct {
	// Whole is the number of complete answers with only correct tokens.
	Whole int
	// Resumed is how often a broken answer was resumed.
	Resumed int
	// Gap is the longest time between two tokens of one stream.
	Gap time.Duration
}

// Verifier sends requests and checks the answers.
type Verifier struct {
	cfg Config
}

// New returns a verifier.
func New(cfg Config) *Verifier {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{}
	}
	return &Verifier{cfg: cfg}
}

// Run sends every request and returns the first error.
func (v *Verifier) Run(ctx context.Context) (Report, error) {
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		report   Report
		firstErr error
	)
	for i := range v.cfg.Requests {
		wg.Go(func() {
			a, err := v.verifyRequest(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && firstErr == nil {
				firstErr = trace.Wrap(err, "request %d", i)
			}
			report = report.add(a, err)
		})
	}
	wg.Wait()
	return report, firstErr
}

// add adds one answer to the report.
func (r Report) add(a answer, err error) Report {
	if err == nil {
		r.Whole++
	}
	r.Resumed += a.resumed
	r.Gap = max(r.Gap, a.gap)
	return r
}

// verifyRequest sends the i-th request of a run and checks its answer.
func (v *Verifier) verifyRequest(ctx context.Context, i int) (answer, error) {
	var a answer
	err := v.askWithFailover(ctx, i, fmt.Sprintf("%s %d", v.cfg.Prompt, i), &a)
	return a, err
}

// askWithFailover requests an answer from the i-th node, continues at the next
// node when a connection breaks, and checks every token received. Its error joins
// the errors of all attempts, the last first, so that an unreachable node does
// not hide why another node rejected the request.
func (v *Verifier) askWithFailover(ctx context.Context, i int, prompt string, a *answer) error {
	var err error
	var failures []error
	for try := range v.cfg.MaxAttempts {
		node := v.cfg.Nodes[(i+try)%len(v.cfg.Nodes)]
		err = v.ask(ctx, node, prompt, a)
		if err == nil {
			break
		}
		failures = append(failures, trace.Wrap(err, "%s, with %d tokens", node, len(a.tokens)))
		if !retryable(err) {
			break
		}
		a.resumed++
	}
	version, mismatch := v.checkVersions(prompt, a.tokens, err == nil)
	if mismatch != nil {
		return mismatch
	}
	if err == nil && a.onMatch != nil {
		a.onMatch(version)
	}
	if err != nil {
		slices.Reverse(failures)
		return errors.Join(failures...)
	}
	return nil
}

// Question is a single request.
type Question struct {
	// Node is the index of the first node to ask.
	Node   int
	Prompt string
	// OnStart is called with the node and the request's id when an answer begins,
	// and OnToken for each token.
	OnStart func(node, id string)
	OnToken func()
	// OnMatch is called with the version of a correct answer; it may be nil.
	OnMatch func(version string)
}

// Ask sends one request and checks every token. Its error wraps a *Refused if a
// node rejected the request, and trace.IsCompareFailed reports a wrong token.
func (v *Verifier) Ask(ctx context.Context, q Question) error {
	return v.askWithFailover(ctx, q.Node, q.Prompt, &answer{onStart: q.OnStart, onToken: q.OnToken, onMatch: q.OnMatch})
}

// checkVersions returns the version that an answer, or the beginning of an
// incomplete one, matches.
func (v *Verifier) checkVersions(prompt string, got []string, whole bool) (string, error) {
	err := v.check(v.cfg.Version, prompt, got, whole)
	if err == nil || v.cfg.Later == "" {
		return v.cfg.Version, err
	}
	if later := v.check(v.cfg.Later, prompt, got, whole); later != nil {
		return "", trace.CompareFailed("neither %s (%v) nor %s (%v)", v.cfg.Version, err, v.cfg.Later, later)
	}
	return v.cfg.Later, nil
}

// check compares an answer, or the beginning of an incomplete one, with what the
// engines must generate.
func (v *Verifier) check(version, prompt string, got []string, whole bool) error {
	want := generator.Expect(v.cfg.Model, version, v.cfg.Layers, "user: "+prompt+"\n", v.cfg.Tokens)
	if !whole {
		want = want[:min(len(got), len(want))]
	}
	if len(got) != len(want) {
		return trace.CompareFailed("got %d tokens, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			return trace.CompareFailed("token %d: got %q, want %q", i, got[i], want[i])
		}
	}
	return nil
}
