package supervisor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"banyanquay/internal/describer"
	"banyanquay/internal/loader"
	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/booker"
	"banyanquay/internal/standin/generator"
)

func TestMetricsAreForOperators(t *testing.T) {
	f := newFleet(t, 1, describer.ChecksNothing)
	for key, want := range map[string]int{operatorKey: http.StatusOK, callerKey: http.StatusForbidden, "": http.StatusUnauthorized} {
		got := f.send(f.nodes[0], http.MethodGet, "/debug/vars", "", http.Header{"Authorization": {"Bearer " + key}})
		if got.status != want {
			t.Errorf("key %q: got %d, want %d", key, got.status, want)
		}
		if leaked := strings.Contains(got.body, "memstats"); leaked != (want == http.StatusOK) {
			t.Errorf("key %q: got metrics %t", key, leaked)
		}
	}
}

// TestPlannedStopKeepsRecordedAnswers stops a node while it serves a stream. An
// order that was executed is answered from its record until the gate closes, and
// then refused as done. The stream is served to its end.
func TestPlannedStopKeepsRecordedAnswers(t *testing.T) {
	f := newFleet(t, 1, describer.ChecksNothing)
	node := f.nodes[0]
	stream := f.openStream(node)
	stopped := make(chan error, 1)
	go func() { stopped <- f.apps[0].Stop(context.Background()) }()
	leaving := func() bool { return f.send(node, http.MethodGet, "/readyz", "", nil).status != http.StatusOK }
	f.await("the node to leave", leaving)
	f.await("the gate to close", func() bool {
		got := f.order(node, "warm-"+node, 0)
		if got.status == http.StatusOK {
			return false
		}
		if got.problem.Code != int(refuser.Leaving) || got.problem.Ran != "done" || got.problem.Attempt != "never" {
			t.Errorf("got %d %+v, want leaving, ran done, attempt never", got.status, got.problem)
		}
		return true
	})
	// The key has an issue time; for one without, the ledger would answer maybe.
	key := uuid.Must(uuid.NewV7()).String()
	if got := f.order(node, key, 1); got.problem.Code != int(refuser.Leaving) || got.problem.Ran != "never" {
		t.Errorf("got %d %+v, want leaving, ran never", got.status, got.problem)
	}
	rest, err := io.ReadAll(stream)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("got %v and an end %q, want the explicit end", err, rest[max(0, len(rest)-80):])
	}
	if err := <-stopped; err != nil {
		t.Errorf("stopping: got %v, want nil", err)
	}
	if got := f.executions(key); got != 0 {
		t.Errorf("got %d executions of the refused order, want 0", got)
	}
}

// Guards against an order that a node takes in a planned stop although it may outlast it,
// and against orders that are refused without need: that end in time, that other requests
// may repeat, or that no other node could take.
func TestStoppingNodeRefusesOrdersThatMayOutlastIt(t *testing.T) {
	stopping := func(s *loader.Settings) {
		s.Stop.AddressTTL.Duration, s.Stop.Deadline.Duration = 2*time.Second, 8*time.Second
		s.Flow.CallTimeout.Duration = 10 * time.Second
	}
	header := func() http.Header { return http.Header{"Authorization": {"Bearer " + callerKey}} }
	for _, nodes := range []int{1, 2} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newFleetWith(t, nodes, describer.ChecksNothing, stopping)
			node := f.nodes[0]
			stopped := make(chan error, 1)
			go func() { stopped <- f.apps[0].Stop(context.Background()) }()
			f.await("the node to leave", func() bool { return f.send(node, http.MethodGet, "/readyz", "", nil).status != http.StatusOK })
			key := uuid.Must(uuid.NewV7()).String()
			got := f.order(node, key, 1)
			if nodes == 1 && got.status != http.StatusOK {
				t.Errorf("got %d %+v for an order at the only node, want an answer", got.status, got.problem)
			}
			if nodes == 2 {
				if got.problem.Code != int(refuser.Leaving) || got.problem.Ran != "never" || !slices.Equal(got.problem.Addresses, f.nodes[1:]) {
					t.Errorf("got %d %+v, want leaving, ran never, the other node's address", got.status, got.problem)
				}
				if again := f.order(f.nodes[1], key, 2); again.status != http.StatusOK {
					t.Errorf("got %d %+v at the other node, want an answer", again.status, again.problem)
				}
			}
			short := header()
			short.Set("X-Timeout-Seconds", "1")
			if got := f.send(node, http.MethodPost, "/v1/services/orders/orders", `{"order":"short"}`, short); got.status != http.StatusOK {
				t.Errorf("got %d %+v for an order that ends in time, want an answer", got.status, got.problem)
			}
			if got := f.chat(node); got.status != http.StatusOK {
				t.Errorf("got %d %+v for a chat, want an answer", got.status, got.problem)
			}
			if err := <-stopped; err != nil {
				t.Errorf("stopping: got %v, want nil", err)
			}
			if got := f.executions(key); got != 1 {
				t.Errorf("got %d executions of the order, want 1", got)
			}
		})
	}
}

// Guards against an order and a stream that the end of a planned stop cuts: the order without
// an answer and with a key that stays held, so that its retry waits for it, and the stream
// without a reason.
func TestEndOfStopAnswersAndRecords(t *testing.T) {
	const deadline = time.Second
	f := newFleetWith(t, 2, describer.ChecksNothing, func(s *loader.Settings) {
		s.Stop.Deadline.Duration = deadline
		s.Flow.CallTimeout.Duration = 30 * time.Second
	})
	f.service.Control().Update(func(s booker.Switches) booker.Switches {
		s.DelayMillis = 10_000
		return s
	})
	for _, g := range f.engines {
		g.Control().Update(func(s generator.Switches) generator.Switches {
			s.SlowFactor = 300
			return s
		})
	}
	key := uuid.Must(uuid.NewV7()).String()
	ordered := make(chan reply, 1)
	go func() { ordered <- f.order(f.nodes[0], key, 1) }()
	stream := f.openStream(f.nodes[0])
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- f.apps[0].Stop(context.Background()) }()
	got := <-ordered
	if got.problem.Code != int(refuser.OutcomeUnknown) || got.problem.Ran != "maybe" || len(got.problem.Addresses) != 1 {
		t.Errorf("got %d %+v after %s, want outcome_unknown, ran maybe, an address", got.status, got.problem, time.Since(began))
	}
	rest, err := io.ReadAll(stream)
	if last := string(rest[max(0, len(rest)-600):]); err != nil || !strings.Contains(last, "event: error\ndata: ") || !strings.Contains(last, "leaving") {
		t.Errorf("got %v and an end %q, want an error event", err, last)
	}
	if took := time.Since(began); took > deadline+time.Second {
		t.Errorf("answered %s after the signal, want at most a second after the deadline", took)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stopping: got %v, want nil", err)
	}
	again := time.Now()
	if got := f.order(f.nodes[1], key, 2); got.problem.Code != int(refuser.OutcomeUnknown) || time.Since(again) > time.Second {
		t.Errorf("got %d %+v after %s for the retry, want outcome_unknown at once", got.status, got.problem, time.Since(again))
	}
}

// openStream starts a long streamed answer and returns the rest of it after its
// first line.
func (f *fleet) openStream(node string) io.Reader {
	f.t.Helper()
	body := `{"messages":[{"role":"user","content":"all"}],"max_tokens":600,"stream":true}`
	req, err := http.NewRequest(http.MethodPost, "http://"+node+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	r := bufio.NewReader(resp.Body)
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "data: ") {
		f.t.Fatalf("got %q, %v, want a first token", line, err)
	}
	return r
}

// TestReadyNodeServes sends requests to a node as soon as it reports that it is
// ready.
func TestReadyNodeServes(t *testing.T) {
	f := newFleet(t, 1, describer.ChecksNothing)
	for range 3 {
		if err := f.apps[0].Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.apps[0] = f.start(0)
		if got := f.chat(f.nodes[0]); got.status != http.StatusOK {
			t.Errorf("got %d %+v, want an answer", got.status, got.problem)
		}
		if got := f.order(f.nodes[0], uuid.NewString(), 0); got.status != http.StatusOK {
			t.Errorf("got %d %+v, want an answer", got.status, got.problem)
		}
	}
}
