package auditor

import (
	"slices"
	"strings"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

func TestBroken(t *testing.T) {
	start := time.Unix(1000, 0)
	revokedAt := start.Add(10 * time.Second)
	const (
		revoke = 5 * time.Second
		leave  = 8 * time.Second
		// arrivedID is the ID of a request that arrived at an endpoint leaving since
		// start.
		arrivedID = "v"
	)
	cases := []struct {
		name string
		r    Request
		runs int
		want string
	}{
		{"a booking", Request{Kind: NonIdempotent, Status: 200, Sent: start}, 1, ""},
		{"a booking that ran twice", Request{Kind: NonIdempotent, Status: 200, Sent: start}, 2, "ran 2 times"},
		{"a lookup that ran twice", Request{Kind: Idempotent, Status: 200, Sent: start}, 2, ""},
		{"a true refusal", Request{Kind: NonIdempotent, Status: 503, Sent: start}, 0, ""},
		{"a false refusal", Request{Kind: NonIdempotent, Status: 503, Sent: start}, 1, "refused with 503 and ran"},
		{"a false refusal of a lookup", Request{Kind: Idempotent, Status: 429, Sent: start}, 1, "refused with 429 and ran"},
		{"a failure that may have run", Request{Kind: NonIdempotent, Status: 504, Sent: start}, 1, ""},
		{"a wrong answer", Request{Kind: Idempotent, Status: 200, Sent: start, Body: "x", Want: "y"}, 1, `got "x", want "y"`},
		{"a corrupt stream", Request{Kind: Stream, Sent: start, Corrupt: true, Err: "event 3 after 1"}, 0, "corrupt stream: event 3 after 1"},
		{"a key that was just revoked", Request{Kind: Idempotent, Status: 200, Key: "k", Sent: revokedAt.Add(revoke)}, 1, ""},
		{"a key that was revoked long ago", Request{Kind: Idempotent, Key: "k", Sent: revokedAt.Add(revoke + 1)}, 1, "after its key was revoked"},
		{"a stream with such a key", Request{Kind: Stream, Status: 200, Key: "k", Sent: revokedAt.Add(revoke + 1), FirstEvent: revokedAt.Add(revoke + 2)}, 0, "after its key was revoked"},
		{"a refusal of such a key", Request{Kind: Idempotent, Status: 401, Key: "k", Sent: revokedAt.Add(revoke + 1)}, 0, ""},
		{"a key that was restored", Request{Kind: Idempotent, Status: 200, Key: "k", Sent: revokedAt.Add(9 * time.Second)}, 1, ""},
		// The request waits at a paused node until its key is restored.
		{"a request that waited", Request{Kind: NonIdempotent, Status: 200, Key: "k", Sent: revokedAt.Add(7 * time.Second), FirstEvent: revokedAt.Add(8500 * time.Millisecond)}, 1, ""},
		{"a stream that waited", Request{Kind: Stream, Status: 200, Key: "k", Sent: revokedAt.Add(7 * time.Second), FirstEvent: revokedAt.Add(8500 * time.Millisecond)}, 0, ""},
		{"a stream that did not", Request{Kind: Stream, Status: 200, Key: "k", Sent: revokedAt.Add(7 * time.Second), FirstEvent: revokedAt.Add(7500 * time.Millisecond)}, 0, "after its key was revoked"},
		{"at an endpoint that just left", Request{ID: arrivedID, Kind: Idempotent, Status: 200, Sent: start.Add(leave)}, 1, ""},
		{"at an endpoint that left long ago", Request{ID: arrivedID, Kind: Idempotent, Status: 200, Sent: start.Add(leave + 1)}, 1, "after the endpoint announced that it leaves"},
		{"another key", Request{Kind: Idempotent, Status: 200, Key: "o", Sent: revokedAt.Add(revoke + 1)}, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Config{MaxRevokeDelay: revoke, Runs: func(string) []time.Time {
				at := c.r.FirstEvent
				if at.IsZero() {
					at = c.r.Sent
				}
				return slices.Repeat([]time.Time{at}, c.runs)
			}, MaxLeaveDelay: leave, Arrivals: func(string) []imitator.Arrival {
				if c.r.ID == arrivedID {
					return []imitator.Arrival{{Endpoint: "e", LeavingSince: start}}
				}
				return nil
			}})
			a.KeyRevoked("k", revokedAt)
			a.KeyRestored("k", revokedAt.Add(8*time.Second))
			a.Record(c.r)
			got := strings.Join(a.Violations(), "; ")
			if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q in it", got, c.want)
			}
		})
	}
}

func TestCountServed(t *testing.T) {
	a := New(Config{})
	now := time.Now()
	a.Record(Request{Key: "k", Sent: now.Add(-time.Minute), Status: 503})
	a.Record(Request{Key: "k", Sent: now, Status: 200})
	a.Record(Request{Key: "k", Sent: now, Status: 200, Corrupt: true})
	a.Record(Request{Key: "o", Sent: now, Status: 503})
	if served, all := a.CountSince("k", now); served != 1 || all != 2 {
		t.Errorf("got %d of %d served, want 1 of 2", served, all)
	}
	if served, all := a.Count(); served != 1 || all != 4 {
		t.Errorf("got %d of %d served, want 1 of 4", served, all)
	}
}
