package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/refuser"
)

const second = time.Second

// node is a running claimer.
type node struct {
	*Claimer
	stop func()
}

// start runs a claimer with the default test configuration until the test ends or
// stop is called.
func start(t *testing.T, l *fakeLog, name string) node {
	t.Helper()
	return run(t, nodeConfig(l, name))
}

// nodeConfig returns a node's configuration.
func nodeConfig(l *fakeLog, name string) Config {
	var n atomic.Int64
	return Config{
		Log: l.log(), Node: name, Incarnation: "1", Partitions: 1, Wait: 2 * second,
		NewNonce: func() string {
			return fmt.Sprintf("%s-%d", name, n.Add(1))
		},
	}
}

// run runs a claimer until the test ends or stop is called.
func run(t testing.TB, cfg Config) node {
	t.Helper()
	c := New(cfg)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := c.Step().Run(ctx); err != nil {
			t.Errorf("got error %v from the step", err)
		}
	}()
	stop := func() {
		cancel()
		<-ended
	}
	t.Cleanup(stop)
	return node{Claimer: c, stop: stop}
}

// epoch is the start time of a synctest bubble and the issue time of test keys.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// attempt returns an attempt of a key that was issued at the epoch.
func attempt(key string, number uint64) Attempt {
	return Attempt{Organisation: "o", Key: key, Number: number, Issued: epoch, Fingerprint: 7, Checks: "none"}
}

// refusal returns the refusal within err.
func refusal(t testing.TB, err error) refuser.Refusal {
	t.Helper()
	var r refuser.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	return r
}

// begin begins an attempt and requires a ticket.
func begin(t testing.TB, c node, a Attempt) *Ticket {
	t.Helper()
	ticket, answer, err := c.Begin(t.Context(), a)
	if err != nil || answer != nil {
		t.Fatalf("got answer %v and error %v, want a ticket", answer, err)
	}
	return ticket
}

func TestRetryAtAnotherNodeGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		ticket := begin(t, a, attempt("k", 1))
		if err := ticket.Done(t.Context(), Answer{Status: 201, Body: []byte("booked")}); err != nil {
			t.Fatal(err)
		}
		_, answer, err := b.Begin(t.Context(), attempt("k", 2))
		if err != nil || answer == nil || string(answer.Body) != "booked" || answer.Status != 201 {
			t.Errorf("got answer %+v and error %v, want the recorded answer", answer, err)
		}
	})
}

func TestOnlyOneOfManyConcurrentAttemptsGetsATicket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.delay = 5 * time.Millisecond
		nodes := []node{start(t, l, "a"), start(t, l, "b"), start(t, l, "c")}
		synctest.Wait()
		var wg sync.WaitGroup
		var mu sync.Mutex
		tickets := 0
		for i := range 12 {
			wg.Go(func() {
				ticket, _, err := nodes[i%3].Begin(t.Context(), attempt("k", uint64(i+1)))
				mu.Lock()
				defer mu.Unlock()
				if ticket != nil {
					tickets++
					return
				}
				if r := refusal(t, err); r.Code != refuser.InProgress || r.Ran != refuser.Maybe || r.Attempt != refuser.Never {
					t.Errorf("got %+v, want a refusal because another attempt is in progress", r)
				}
			})
		}
		wg.Wait()
		if got, want := tickets, 1; got != want {
			t.Errorf("got %d tickets, want %d", got, want)
		}
	})
}

func TestConcurrentClaimsShareRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.delay = 20 * time.Millisecond
		a := start(t, l, "a")
		synctest.Wait()
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() { begin(t, a, attempt(fmt.Sprint("k", i), 1)) })
		}
		wg.Wait()
		if got, want := len(l.streams["ledger.0"]), 3; got > want {
			t.Errorf("got %d records for 64 claims, want at most %d", got, want)
		}
	})
}

func TestReleaseFreesTheKeyAndBarsTheAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		first := attempt("k", 1)
		r := begin(t, a, first).Release(t.Context(), refuser.New(refuser.NoEndpoint, "none"))
		if got, want := r.Ran, refuser.Never; got != want {
			t.Errorf("got ran %v, want %v", got, want)
		}
		_, _, err := b.Begin(t.Context(), first)
		if got, want := refusal(t, err).Code, refuser.Superseded; got != want {
			t.Errorf("got code %v for the refused attempt, want %v", got, want)
		}
		begin(t, b, attempt("k", 2))
	})
}

func TestLostReplyIsFoundInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		l.update(func() { l.lostReplies = 1 })
		begin(t, a, attempt("k", 1))
		if got, want := len(l.streams["ledger.0"]), 2; got != want {
			t.Errorf("got %d records, want %d: the batch and its copy", got, want)
		}
	})
}

func TestDelayedClaimIsNotGrantedAndItsReleaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		l.update(func() { l.delayed = true })
		_, _, err := a.Begin(t.Context(), attempt("k", 1))
		if r := refusal(t, err); r.Code != refuser.LedgerUnavailable || r.Ran != refuser.Maybe || r.Wait == 0 {
			t.Errorf("got %+v, want ledger down, maybe and a wait", r)
		}
		time.Sleep(5 * second)
		l.applyDelayed()
		time.Sleep(5 * second)
		begin(t, b, attempt("k", 2))
	})
}

func TestStoppedNodeAppendsItsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		ticket := begin(t, a, attempt("k", 1))
		l.update(func() { l.down = true })
		ticket.Unknown(t.Context())
		time.Sleep(20 * second)
		l.update(func() { l.down = false })
		a.stop()
		time.Sleep(5 * second)
		_, _, err := b.Begin(t.Context(), attempt("k", 2))
		if got, want := refusal(t, err).Code, refuser.OutcomeUnknown; got != want {
			t.Errorf("got code %v, want %v as the stopped node recorded", got, want)
		}
	})
}

func TestLargeAnswersAreSpreadOverRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.delay = 20 * time.Millisecond
		a := start(t, l, "a")
		synctest.Wait()
		var tickets []*Ticket
		for i := range 32 {
			tickets = append(tickets, begin(t, a, attempt(fmt.Sprint("k", i), 1)))
		}
		var wg sync.WaitGroup
		for _, ticket := range tickets {
			wg.Go(func() {
				if err := ticket.Done(t.Context(), Answer{Body: make([]byte, maxAnswerBody)}); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		for _, rec := range l.streams["ledger.0"] {
			if got, want := len(rec.Data), maxBatchBytes+2*maxAnswerBody; got > want {
				t.Errorf("got a record of %d bytes, want at most %d", got, want)
			}
		}
	})
}
