package auditor

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

// Guards against requests that end without an answer unnoticed, and against excuses by
// disturbances at another time or place.
func TestEndWithoutAnswer(t *testing.T) {
	const (
		node    = "node"
		first   = "first endpoint"
		later   = "another engine of the path"
		another = "another endpoint"
	)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	arrival := []imitator.Arrival{{Endpoint: "e", At: at(10), Addresses: []string{first, later}}}
	sent := imitator.Exchange{ID: "1", Address: node, Written: at(0), Ended: at(1000), Err: io.ErrUnexpectedEOF}
	with := func(change func(*imitator.Exchange)) imitator.Exchange {
		e := sent
		change(&e)
		return e
	}
	cases := []struct {
		name         string
		e            imitator.Exchange
		arrivals     []imitator.Arrival
		disturbances []*disturbance
		lost         bool
	}{
		{"closed without an answer", sent, arrival, nil, true},
		{"closed late, passed on to no endpoint", sent, nil, nil, true},
		{"closed at once after it was passed on", with(func(e *imitator.Exchange) { e.Ended = at(20) }), arrival, nil, true},
		{"crossed the close", with(func(e *imitator.Exchange) { e.Ended = at(200) }), nil, nil, false},
		{"closed just after the slack", with(func(e *imitator.Exchange) { e.Ended = at(201) }), nil, nil, true},
		{"closed before it reached an endpoint at another connection", with(func(e *imitator.Exchange) { e.Ended = at(5) }), arrival, nil, false},
		{"answered", with(func(e *imitator.Exchange) { e.Err = nil }), arrival, nil, false},
		{"not written", with(func(e *imitator.Exchange) { e.Written = time.Time{} }), arrival, nil, false},
		{"given up by its caller", with(func(e *imitator.Exchange) { e.Err = fmt.Errorf("reading: %w", context.DeadlineExceeded) }), arrival, nil, false},
		{"node killed", sent, arrival, []*disturbance{{node, at(1000), at(3000)}}, false},
		{"node killed later", sent, arrival, []*disturbance{{node, at(1001), at(3000)}}, true},
		{"node restarted before", sent, arrival, []*disturbance{{node, at(-900), at(-1)}}, true},
		{"node still paused", sent, arrival, []*disturbance{{node, at(500), time.Time{}}}, false},
		{"endpoint reset", sent, arrival, []*disturbance{{first, at(900), at(950)}}, false},
		{"endpoint reset before it arrived", sent, arrival, []*disturbance{{first, at(0), at(9)}}, true},
		{"engine of the path restarted", sent, arrival, []*disturbance{{later, at(900), at(900)}}, false},
		{"another endpoint reset", sent, arrival, []*disturbance{{another, at(0), at(2000)}}, true},
		{"another node killed", sent, arrival, []*disturbance{{another, at(0), at(2000)}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Config{Arrivals: func(string) []imitator.Arrival { return c.arrivals }})
			a.disturbances = c.disturbances
			a.RecordExchange(Exchange{Kind: Stream, Exchange: c.e})
			got := strings.Join(a.Violations(), "; ")
			if (got != "") != c.lost || c.lost && !strings.Contains(got, "lost: node closed the connection") {
				t.Errorf("got %q, want a violation: %v", got, c.lost)
			}
			if got := a.Outcomes()["closed and lost"]; (got > 0) != c.lost {
				t.Errorf("outcomes: got %d lost, want a violation: %v", got, c.lost)
			}
		})
	}
}

// Guards against excuses by endpoints that answer without an end: only a stream's answer that
// has begun may be broken off, and only one of such an endpoint.
func TestEndBesideUnsoundAnswer(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	arrivals := []imitator.Arrival{{Endpoint: "e", At: at(10), Addresses: []string{"first", "later"}}}
	cases := []struct {
		name    string
		kind    Kind
		began   bool
		endless disturbance
		lost    bool
	}{
		{"a stream that had begun", Stream, true, disturbance{"first", at(500), at(600)}, false},
		{"while it lasts", Stream, true, disturbance{"first", at(500), time.Time{}}, false},
		{"a stream that had not begun", Stream, false, disturbance{"first", at(500), at(600)}, true},
		{"a lookup that had begun", Idempotent, true, disturbance{"first", at(500), at(600)}, true},
		{"a booking", NonIdempotent, false, disturbance{"first", at(500), at(600)}, true},
		{"before the request arrived", Stream, true, disturbance{"first", at(0), at(9)}, true},
		{"after the end", Stream, true, disturbance{"first", at(1001), time.Time{}}, true},
		{"at another endpoint", Stream, true, disturbance{"another", at(0), time.Time{}}, true},
		{"at an engine to which the node has no connection", Stream, true, disturbance{"later", at(0), time.Time{}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Config{Arrivals: func(string) []imitator.Arrival { return arrivals }, Runs: func(string) []time.Time { return nil }})
			a.unsound = []*disturbance{&c.endless}
			a.RecordExchange(Exchange{Kind: c.kind, Exchange: imitator.Exchange{
				ID: "1", Address: "node", Written: at(0), Ended: at(1000), Began: c.began, Err: io.ErrUnexpectedEOF,
			}})
			if got := strings.Join(a.Violations(), "; "); (got != "") != c.lost {
				t.Errorf("got %q, want a violation: %v", got, c.lost)
			}
		})
	}
}

// Guards against a disturbance that excuses what happens after its end.
func TestDisturbanceEnds(t *testing.T) {
	a := New(Config{})
	end := a.Disturb("node")
	if now := time.Now(); !a.disturbed("node", now, now) {
		t.Errorf("a disturbance that lasts excuses nothing")
	}
	end()
	if later := time.Now().Add(time.Second); a.disturbed("node", later, later) {
		t.Errorf("a disturbance that is over excuses what comes later")
	}
}
