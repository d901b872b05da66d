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
	taken := start.Add(10 * time.Second)
	const (
		revoke = 5 * time.Second
		leave  = 8 * time.Second
		// visitor is the ID of a request that came to an endpoint that left at the start.
		visitor = "v"
	)
	cases := []struct {
		name string
		r    Request
		runs int
		want string
	}{
		{"a booking", Request{Kind: Book, Status: 200, Sent: start}, 1, ""},
		{"a booking that ran twice", Request{Kind: Book, Status: 200, Sent: start}, 2, "ran 2 times"},
		{"a lookup that ran twice", Request{Kind: Look, Status: 200, Sent: start}, 2, ""},
		{"a true refusal", Request{Kind: Book, Status: 503, Sent: start}, 0, ""},
		{"a false refusal", Request{Kind: Book, Status: 503, Sent: start}, 1, "refused with 503 and ran"},
		{"a false refusal of a lookup", Request{Kind: Look, Status: 429, Sent: start}, 1, "refused with 429 and ran"},
		{"a failure that may have run", Request{Kind: Book, Status: 504, Sent: start}, 1, ""},
		{"another's answer", Request{Kind: Look, Status: 200, Sent: start, Body: "x", Want: "y"}, 1, `got "x", want "y"`},
		{"a torn stream", Request{Kind: Stream, Sent: start, Torn: true, Err: "event 3 after 1"}, 0, "torn: event 3 after 1"},
		{"a key just taken away", Request{Kind: Look, Status: 200, Key: "k", Sent: taken.Add(revoke)}, 1, ""},
		{"a key taken away long ago", Request{Kind: Look, Key: "k", Sent: taken.Add(revoke + 1)}, 1, "after its key was taken away"},
		{"a stream of one", Request{Kind: Stream, Status: 200, Key: "k", Sent: taken.Add(revoke + 1), Began: taken.Add(revoke + 2)}, 0, "after its key was taken away"},
		{"a refusal of one", Request{Kind: Look, Status: 401, Key: "k", Sent: taken.Add(revoke + 1)}, 0, ""},
		{"a key given back", Request{Kind: Look, Status: 200, Key: "k", Sent: taken.Add(9 * time.Second)}, 1, ""},
		// The pattern: the request waits at a paused node until its key is back.
		{"a request that waited", Request{Kind: Book, Status: 200, Key: "k", Sent: taken.Add(7 * time.Second), Began: taken.Add(8500 * time.Millisecond)}, 1, ""},
		{"a stream that waited", Request{Kind: Stream, Status: 200, Key: "k", Sent: taken.Add(7 * time.Second), Began: taken.Add(8500 * time.Millisecond)}, 0, ""},
		{"a stream that did not", Request{Kind: Stream, Status: 200, Key: "k", Sent: taken.Add(7 * time.Second), Began: taken.Add(7500 * time.Millisecond)}, 0, "after its key was taken away"},
		{"at an endpoint that just left", Request{ID: visitor, Kind: Look, Status: 200, Sent: start.Add(leave)}, 1, ""},
		{"at an endpoint that left long ago", Request{ID: visitor, Kind: Look, Status: 200, Sent: start.Add(leave + 1)}, 1, "after that said that it leaves"},
		{"another key", Request{Kind: Look, Status: 200, Key: "o", Sent: taken.Add(revoke + 1)}, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Config{Revoke: revoke, Runs: func(string) []time.Time {
				at := c.r.Began
				if at.IsZero() {
					at = c.r.Sent
				}
				return slices.Repeat([]time.Time{at}, c.runs)
			}, Leave: leave, Visits: func(string) []imitator.Visit {
				if c.r.ID == visitor {
					return []imitator.Visit{{Endpoint: "e", Left: start}}
				}
				return nil
			}})
			a.Taken("k", taken)
			a.Given("k", taken.Add(8*time.Second))
			a.Saw(c.r)
			got := strings.Join(a.Broken(), "; ")
			if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q in it", got, c.want)
			}
		})
	}
}

func TestShare(t *testing.T) {
	a := New(Config{})
	now := time.Now()
	a.Saw(Request{Key: "k", Sent: now.Add(-time.Minute), Status: 503})
	a.Saw(Request{Key: "k", Sent: now, Status: 200})
	a.Saw(Request{Key: "k", Sent: now, Status: 200, Torn: true})
	a.Saw(Request{Key: "o", Sent: now, Status: 503})
	if served, all := a.Share("k", now); served != 1 || all != 2 {
		t.Errorf("got %d of %d served, want 1 of 2", served, all)
	}
	if served, all := a.Count(); served != 1 || all != 4 {
		t.Errorf("got %d of %d served, want 1 of 4", served, all)
	}
}
