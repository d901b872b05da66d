package admitter

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/refuser"
)

// codeOf returns the code of a refusal.
func codeOf(t *testing.T, err error) refuser.Code {
	t.Helper()
	var refusal refuser.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got error %v, want a refusal", err)
	}
	return refusal.Code
}

// TestAdmitReleasesEverySlot has callers leave, time out and finish at the same
// time; no slot may be lost.
func TestAdmitReleasesEverySlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: 2, MaxWait: 3 * time.Second})
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				timeout := time.Duration(i%7+1) * 500 * time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				release, err := a.Admit(ctx, Request{Organisation: "a", Weight: 1, Tokens: 20})
				if err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
				release(20)
				release(20)
			})
		}
		callers.Wait()
		if got := len(a.queue.running); got != 0 || len(a.ready) != 0 || len(a.queue.flows) != 0 {
			t.Errorf("got %d running, %d waiting, %d flows, want none", got, len(a.ready), len(a.queue.flows))
		}
	})
}

// TestAdmitRefuses holds the only slot and checks the code of each refusal.
func TestAdmitRefuses(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		within  time.Duration
		timeout time.Duration
		want    refuser.Code
		after   time.Duration
	}{
		{"a deadline that an idle node misses", 1000, time.Second, time.Hour, refuser.DeadlineTooClose, 0},
		{"a deadline that passes in the queue", 10, time.Second, time.Hour, refuser.DeadlineTooClose, 750 * time.Millisecond},
		{"a queue that does not move", 10, time.Hour, time.Hour, refuser.QueueTooLong, 4 * time.Second},
		{"a caller that leaves", 10, time.Hour, time.Second, refuser.CallerLeft, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Capacity: 1, MaxWait: 4 * time.Second})
				release, err := a.Admit(t.Context(), Request{Organisation: "a", Weight: 1, Tokens: 10})
				if err != nil {
					t.Fatalf("got %v on an idle node, want admission", err)
				}
				defer release(10)
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				start := time.Now()
				_, err = a.Admit(ctx, Request{
					Organisation: "b", Weight: 1, Tokens: tt.tokens, Deadline: start.Add(tt.within),
				})
				if got := codeOf(t, err); got != tt.want {
					t.Errorf("got code %v, want %v", got, tt.want)
				}
				if got := time.Since(start); got != tt.after {
					t.Errorf("got the refusal after %v, want %v", got, tt.after)
				}
			})
		})
	}
}

// TestLeaveAfterGrant has a caller leave just after its request was granted: the
// slot must be free again.
func TestLeaveAfterGrant(t *testing.T) {
	a := New(Config{Capacity: 1})
	it, _, err := a.enqueue(Request{Organisation: "a", Weight: 1, Tokens: 10})
	if err != nil {
		t.Fatalf("got %v, want admission", err)
	}
	err = a.cancel(it, refuser.New(refuser.CallerLeft, "left"))
	if got := codeOf(t, err); got != refuser.CallerLeft || len(a.queue.running) != 0 {
		t.Errorf("got code %v and %d running, want %v and none", got, len(a.queue.running), refuser.CallerLeft)
	}
}

func TestResizeKeepsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Capacity: 1})
		req := Request{Organisation: "o", Weight: 1, Tokens: 1}
		for range 3 {
			go func() {
				grant, err := a.Acquire(t.Context(), req)
				if err != nil {
					t.Errorf("got %v, want a grant", err)
					return
				}
				time.Sleep(time.Second)
				grant.Release(1)
			}()
		}
		synctest.Wait()
		for _, step := range []struct{ capacity, want int }{{1, 1}, {2, 2}, {1, 2}, {3, 3}} {
			a.Resize(step.capacity)
			synctest.Wait()
			if got := a.Running(); got != step.want {
				t.Errorf("capacity %d: got %d running, want %d", step.capacity, got, step.want)
			}
		}
		// Let the requests finish.
		time.Sleep(time.Minute)
	})
}
