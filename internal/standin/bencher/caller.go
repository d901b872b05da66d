package bencher

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/standin/verifier"
)

// outcome is how one request ended.
type outcome struct {
	arrival
	// id and nodeAddress are those of the connection that answered last.
	id          string
	nodeAddress string
	// sent, ended, failed and tokens are times from the start of the run: ended
	// is that of the last token (sent, if none came), and failed the time at
	// which the request returned.
	sent, ended, failed time.Duration
	tokens              []time.Duration
	// err is nil if the answer was complete and correct.
	err error
	// version is the version of a correct answer.
	version string
}

// wrong reports whether a token was incorrect.
func (o outcome) wrong() bool {
	return o.err != nil && trace.IsCompareFailed(o.err)
}

// withinDeadline reports whether the whole answer arrived before the deadline.
func (o outcome) withinDeadline(deadline time.Duration) bool {
	return o.err == nil && o.ended-o.sent <= deadline
}

// failureCause returns the code and name of a refusal, or "broken" and false if
// no node refused the request.
func (o outcome) failureCause() (string, bool) {
	var r *verifier.Refused
	if errors.As(o.err, &r) {
		return strconv.Itoa(r.Problem.Code) + " " + r.Problem.Name, true
	}
	return "broken", false
}

// run is one open-loop run against the nodes of a policy.
type run struct {
	b           *Bencher
	nodes       []string
	tokens      int
	maxAttempts int
	// later is a second version whose answers are also correct; empty means none.
	later   string
	started time.Time

	mu sync.Mutex
	// inFlight are the unfinished requests by their index in arrivals.
	inFlight map[int]*outcome
	done     []outcome
}

// elapsed returns the time since the start of the run.
func (r *run) elapsed() time.Duration { return time.Since(r.started) }

// sendAll sends each request at its time and waits until all have ended. The
// hook, if any, runs concurrently.
func (r *run) sendAll(ctx context.Context, arrivals []arrival, hook func(ctx context.Context)) {
	r.started = time.Now()
	r.inFlight = make(map[int]*outcome)
	var wg sync.WaitGroup
	if hook != nil {
		wg.Go(func() { hook(ctx) })
	}
	for i, a := range arrivals {
		select {
		case <-time.After(a.at - r.elapsed()):
		case <-ctx.Done():
			wg.Wait()
			return
		}
		wg.Go(func() { r.ask(ctx, i, a) })
	}
	wg.Wait()
}

// ask sends one request and records its outcome.
func (r *run) ask(ctx context.Context, i int, a arrival) {
	o := &outcome{arrival: a, sent: r.elapsed(), tokens: make([]time.Duration, 0, r.tokens)}
	r.mu.Lock()
	r.inFlight[i] = o
	r.mu.Unlock()
	v := verifier.New(verifier.Config{
		Nodes:       r.nodes,
		Key:         r.b.cfg.Organisations[a.organisation].Key,
		Model:       r.b.cfg.Model,
		Version:     r.b.cfg.Version,
		Later:       r.later,
		Layers:      r.b.cfg.Layers,
		Tokens:      r.tokens,
		Stream:      true,
		MaxAttempts: r.maxAttempts,
		Timeout:     r.b.cfg.Deadline,
		HTTP:        r.b.http,
	})
	ended := time.Duration(0)
	err := v.Ask(ctx, verifier.Question{
		Node:   a.node,
		Prompt: a.prompt,
		OnStart: func(node, id string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			o.nodeAddress, o.id = node, id
		},
		OnToken: func() {
			ended = r.elapsed()
			r.mu.Lock()
			defer r.mu.Unlock()
			o.tokens = append(o.tokens, ended)
		},
		OnMatch: func(version string) { o.version = version },
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	o.err = err
	o.ended = max(ended, o.sent)
	o.failed = r.elapsed()
	r.done = append(r.done, *o)
	delete(r.inFlight, i)
}
