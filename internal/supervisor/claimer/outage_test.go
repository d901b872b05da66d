package claimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

func TestOutageBeforeTheAppendRefusesAtOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		if err := begin(t, a, attempt("finished", 1)).Done(t.Context(), Answer{Status: 200}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		l.update(func() { l.down = true })
		time.Sleep(10 * second)
		if _, answer, err := a.Begin(t.Context(), attempt("finished", 2)); answer == nil {
			t.Errorf("got error %v for a finished key, want its answer during the outage, too", err)
		}
		began, tried := time.Now(), l.attempts
		_, _, err := a.Begin(t.Context(), attempt("k", 1))
		if r := refusal(t, err); r.Code != refuser.LedgerUnavailable || r.Attempt != refuser.Never || r.Wait < 5*second {
			t.Errorf("got %+v, want ledger down and a wait of at least half the outage", r)
		}
		generated := a.Prepare(Attempt{Organisation: "o"})
		if _, _, err = a.Begin(t.Context(), generated); refusal(t, err).Ran != refuser.Never {
			t.Errorf("got %v, want never for a generated key", err)
		}
		if time.Since(began) > 0 || l.attempts > tried {
			t.Errorf("got a refusal after %v and %d appends, want at once", time.Since(began), l.attempts-tried)
		}
		l.update(func() { l.down = false })
		time.Sleep(2*maxRetryInterval + 10*time.Millisecond)
		begin(t, a, attempt("k", 2))
	})
}

func TestOutageAfterTheClaimRecordsTheAnswerLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		ticket := begin(t, a, attempt("k", 1))
		l.update(func() { l.down = true })
		ended := make(chan error)
		go func() { ended <- ticket.Done(t.Context(), Answer{Status: 200, Body: []byte("x")}) }()
		time.Sleep(60 * second)
		l.update(func() { l.down = false })
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * second)
		_, answer, err := b.Begin(t.Context(), attempt("k", 2))
		if err != nil || answer == nil {
			t.Errorf("got answer %v and error %v, want the recorded answer", answer, err)
		}
	})
}

func TestLostRepliesDoNotLeaveTheLogMarkedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		l.update(func() { l.lostReplies = 2 })
		begin(t, a, attempt("k", 1))
		time.Sleep(second)
		begin(t, a, attempt("other", 1))
	})
}

func TestRefusalWaitsForItsVoidAndBarsADelayedAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a, b := start(t, l, "a"), start(t, l, "b")
		synctest.Wait()
		late := attempt("k", 1)
		r := a.Refuse(t.Context(), attempt("k", 2), refuser.New(refuser.NodeOverload, "full"))
		if got, want := r.Ran, refuser.Never; got != want {
			t.Errorf("got ran %v, want %v", got, want)
		}
		_, _, err := b.Begin(t.Context(), late)
		if r := refusal(t, err); r.Code != refuser.Superseded || r.Ran != refuser.Never {
			t.Errorf("got %+v for the delayed attempt, want superseded and never", r)
		}
		unnumbered := b.Refuse(t.Context(), attempt("u", 0), refuser.New(refuser.NodeOverload, "full"))
		if unnumbered.Ran != refuser.Maybe || unnumbered.Attempt != refuser.Never {
			t.Errorf("got %+v for an attempt without number, want maybe", unnumbered)
		}
	})
}

func TestSettleBarsAKeyPermanently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		r := a.Settle(t.Context(), attempt("k", 0), refuser.New(refuser.CallerLeft, "gave up"))
		if got, want := r.Ran, refuser.Never; got != want {
			t.Errorf("got ran %v, want %v", got, want)
		}
		for _, number := range []uint64{0, 9} {
			_, _, err := a.Begin(t.Context(), attempt("k", number))
			if r := refusal(t, err); r.Code != refuser.Superseded || r.Ran != refuser.Never {
				t.Errorf("got %+v for attempt %d, want superseded and never", r, number)
			}
		}
		r = a.Refuse(t.Context(), attempt("bad", 0), refuser.New(refuser.BadJSON, "no retry helps"))
		if got, want := r.Ran, refuser.Never; got != want {
			t.Errorf("got ran %v of a request that no retry can make valid, want %v", got, want)
		}
	})
}

func TestTakeoverOnlyWhereTheServiceChecksKeys(t *testing.T) {
	for checks, want := range map[string]bool{"none": false, "fence": false, "key": true} {
		synctest.Test(t, func(t *testing.T) {
			l := newFakeLog()
			a, b := start(t, l, "a"), start(t, l, "b")
			synctest.Wait()
			first, second := attempt("k", 1), attempt("k", 2)
			first.Checks, second.Checks = checks, checks
			ticket := begin(t, a, first)
			ticket.Unknown(t.Context())
			synctest.Wait()
			over, _, err := b.Begin(t.Context(), second)
			if got := over != nil; got != want {
				t.Fatalf("got a ticket: %v, want %v with checks %s (%v)", got, want, checks, err)
			}
			if over != nil && over.Fence() <= ticket.Fence() {
				t.Errorf("got fence %d after %d, want a higher one", over.Fence(), ticket.Fence())
			}
		})
	}
}

func TestRestartedNodeDoesNotWaitForItsEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		begin(t, a, attempt("k", 1))
		a.stop()
		again := start(t, l, "a")
		again.partitions[0].cfg.Incarnation = "2"
		synctest.Wait()
		began := time.Now()
		_, _, err := again.Begin(t.Context(), attempt("k", 2))
		if got, want := refusal(t, err).Code, refuser.OutcomeUnknown; got != want || time.Since(began) > 0 {
			t.Errorf("got code %v after %v, want %v at once", got, time.Since(began), want)
		}
		if out, known := again.Lookup("o", "k"); !known || out.Phase != reducer.Held || out.Holder != "a" {
			t.Errorf("got %+v, want the key held by a", out)
		}
	})
}

func TestKeyFromTheFutureIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		early := attempt("k", 1)
		early.Issued = epoch.Add(time.Minute)
		_, _, err := a.Begin(t.Context(), early)
		if got, want := refusal(t, err).Code, refuser.KeyFromFuture; got != want {
			t.Errorf("got code %v, want %v", got, want)
		}
		if got := l.attempts; got != 0 {
			t.Errorf("got %d appends, want none", got)
		}
	})
}

func TestGeneratedKeyIsAcceptedAfterAnIdlePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		for range 3 {
			first := a.Prepare(Attempt{Organisation: "o"})
			if err := begin(t, a, first).Done(t.Context(), Answer{Status: 200}); err != nil {
				t.Fatal(err)
			}
			again := a.Prepare(Attempt{Organisation: "o", Key: first.Key, Number: 2})
			if _, answer, err := a.Begin(t.Context(), again); answer == nil {
				t.Errorf("got error %v for a retry with the generated key, want its answer", err)
			}
			time.Sleep(time.Hour)
			l.update(func() { l.first = len(l.streams["ledger.0"]) - 1 })
			joiner := start(t, l, "joiner")
			synctest.Wait()
			begin(t, joiner, joiner.Prepare(Attempt{Organisation: "o"}))
			time.Sleep(time.Hour)
		}
	})
}

func TestJoinerAfterRetentionGrantsNothingThatAPausedNodeMayHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		held := begin(t, a, attempt("k", 1))
		time.Sleep(time.Minute)
		begin(t, a, a.Prepare(Attempt{Organisation: "o"}))
		l.update(func() { l.first = 2 })
		joiner := start(t, l, "b")
		synctest.Wait()
		_, _, err := joiner.Begin(t.Context(), attempt("k", 2))
		if r := refusal(t, err); r.Code != refuser.KeyExpired || r.Ran != refuser.Maybe {
			t.Errorf("got %+v at the joiner, want key expired, maybe", r)
		}
		if r := joiner.Refuse(t.Context(), attempt("k", 3), refuser.New(refuser.Leaving, "")); r.Ran != refuser.Maybe {
			t.Errorf("got %+v at the joiner, want maybe", r)
		}
		time.Sleep(time.Minute)
		fresh := attempt("fresh", 1)
		fresh.Issued = time.Now()
		begin(t, joiner, fresh)
		if err := held.Done(t.Context(), Answer{Status: 200}); err != nil {
			t.Fatal(err)
		}
		_, answer, err := a.Begin(t.Context(), attempt("k", 4))
		if answer == nil {
			t.Errorf("got error %v at the node that has read all records, want the answer", err)
		}
	})
}

func TestDelayedAttemptOfAnExpiredKeyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, newFakeLog(), "a")
		synctest.Wait()
		begin(t, a, attempt("k", 2))
		time.Sleep(time.Hour)
		_, _, err := a.Begin(t.Context(), attempt("k", 1))
		if r := refusal(t, err); r.Ran != refuser.Maybe {
			t.Errorf("got %+v, want maybe", r)
		}
		begin(t, a, a.Prepare(Attempt{Organisation: "o"}))
		_, _, err = a.Begin(t.Context(), attempt("k", 1))
		if r := refusal(t, err); r.Code != refuser.KeyExpired || r.Ran != refuser.Maybe || r.Attempt != refuser.Never {
			t.Errorf("got %+v, want key expired, maybe", r)
		}
	})
}

// Guards against outcomes that are lost since a request ended just after its node's ledger
// had been told to stop: the key stayed held.
func TestOutcomesAreRecordedWhileTheNodeStops(t *testing.T) {
	answer := Answer{Status: 200, Body: []byte("x")}
	tests := []struct {
		name string
		end  func(t *testing.T, ticket *Ticket)
		want reducer.Phase
	}{
		{"done", func(t *testing.T, ticket *Ticket) {
			ctx, cancel := context.WithTimeout(t.Context(), second)
			defer cancel()
			_ = ticket.Done(ctx, answer)
		}, reducer.Finished},
		{"unknown", func(t *testing.T, ticket *Ticket) { ticket.Unknown(t.Context()) }, reducer.Lost},
		{"released", func(t *testing.T, ticket *Ticket) {
			_ = ticket.Release(t.Context(), refuser.New(refuser.Leaving, "stop"))
		}, reducer.Free},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				a, b := start(t, l, "a"), start(t, l, "b")
				synctest.Wait()
				ticket := begin(t, a, attempt("k", 1))
				began := time.Now()
				stopped := make(chan time.Duration, 1)
				go func() {
					a.stop()
					stopped <- time.Since(began)
				}()
				time.Sleep(flushTimeout / 4)
				tt.end(t, ticket)
				if took := <-stopped; took >= flushTimeout {
					t.Errorf("got a stop of %s, want its end with the last outcome", took)
				}
				time.Sleep(second)
				if got, _ := b.Lookup("o", "k"); got.Phase != tt.want {
					t.Errorf("got phase %s at another node, want %s", got.Phase, tt.want)
				}
			})
		})
	}
}

// Guards against a node that stops later than its claims' outcomes are waited for.
func TestStopWaitsForOutcomesForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := start(t, l, "a")
		synctest.Wait()
		begin(t, a, attempt("k", 1))
		began := time.Now()
		a.stop()
		if took := time.Since(began); took > flushTimeout {
			t.Errorf("got a stop of %s, want at most %s", took, flushTimeout)
		}
	})
}
