package auditor

import (
	"io"
	"strings"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

// Guards against excuses for what a stopping node read and closed without an answer,
// beyond requests whose last byte was sent early and at which an endpoint works until the last sixth of the grace.
func TestEndInAPlannedStop(t *testing.T) {
	const (
		grace   = 8 * time.Second
		node    = "node"
		another = "another node"
	)
	start := time.Now()
	// All times are in milliseconds after the SIGTERM; the last sixth begins at 6,667.
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const notPassedOn, lasts, silent = -1, -2, -3
	cases := []struct {
		name string
		// address is the node of the request. arrived is when its head reached the endpoint,
		// which can be before its last byte was written, ended when its connection was
		// closed, and worked when the endpoint's work on it ended.
		address                         string
		arrived, written, ended, worked int
		err                             error
		gone                            int
		lost                            bool
	}{
		{"sent early, at work to the end", node, 2900, 2900, 7400, lasts, io.EOF, 7400, false},
		{"sent early, at work until the close", node, 2900, 2900, 7400, 7400, io.EOF, 7400, false},
		{"sent early, in mid-stream at the end", node, -500, -500, 7400, 7400, io.ErrUnexpectedEOF, 7400, false},
		{"sent at 3 s", node, 3000, 3000, 7400, lasts, io.EOF, 7400, false},
		{"body sent until 2.9 s", node, 500, 2900, 7400, lasts, io.EOF, 7400, false},
		{"body sent until after 3 s", node, 2900, 4000, 7400, lasts, io.EOF, 7400, true},
		{"body sent from before the SIGTERM until after 3 s", node, -500, 3100, 7400, lasts, io.EOF, 7400, true},
		{"sent late, at work to the end", node, 3100, 3100, 7400, lasts, io.EOF, 7400, true},
		{"sent late, in mid-stream at the end", node, 3100, 3100, 7400, 7400, io.ErrUnexpectedEOF, 7400, true},
		{"sent at the end, closed at once", node, 7300, 7300, 7310, 7310, io.EOF, 7400, true},
		{"sent early, at work until just before the last sixth", node, 2900, 2900, 7400, 6666, io.EOF, 7400, true},
		{"sent early, at work in the last sixth", node, 2900, 2900, 7400, 6667, io.EOF, 7400, false},
		{"sent early, closed before the last sixth", node, 2900, 2900, 6600, lasts, io.EOF, 7400, true},
		{"sent early, in mid-stream before the last sixth", node, 1000, 1000, 5000, 5000, io.ErrUnexpectedEOF, 7400, true},
		{"sent early, answer held by a silence", node, 2900, 2900, 7400, silent, io.EOF, 7400, false},
		{"not passed on, closed late", node, 2900, 2900, 7400, notPassedOn, io.EOF, 7400, true},
		{"not passed on, crossed the close", node, 7250, 7250, 7400, notPassedOn, io.EOF, 7400, false},
		{"at another node", another, 2900, 2900, 7400, lasts, io.EOF, 7400, true},
		{"at the next process", node, 7500, 7500, 7800, lasts, io.EOF, 7400, true},
		{"sent early, killed at the end of the grace", node, 2900, 2900, 8000, 8000, io.EOF, 8000, false},
		{"sent late, killed at the end of the grace", node, 3100, 3100, 8000, 8000, io.EOF, 8000, true},
		{"process still there", node, 2900, 2900, 7400, lasts, io.EOF, 0, false},
		{"answered", node, 3100, 3100, 7400, 7300, nil, 7400, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := New(Config{Grace: grace, Arrivals: func(string) []imitator.Arrival {
				arrival := imitator.Arrival{Endpoint: "e", At: at(c.arrived), Addresses: []string{"e"}}
				switch c.worked {
				case notPassedOn:
					return nil
				case lasts:
				case silent:
					arrival.Ended = at(6300)
				default:
					arrival.Ended = at(c.worked)
				}
				return []imitator.Arrival{arrival}
			}})
			s := &stop{address: node, from: at(0)}
			if c.gone > 0 {
				s.gone = at(c.gone)
			}
			a.stops = append(a.stops, s)
			if c.worked == silent {
				a.silences = []*disturbance{{"e", at(6200), at(6500)}, {"e", at(6400), at(7500)}}
			} else {
				a.silences = []*disturbance{{"other endpoint", at(0), at(7500)}, {"e", at(6700), at(7500)}}
			}
			a.RecordExchange(Exchange{Kind: NonIdempotent, Exchange: imitator.Exchange{
				ID: "1", Address: c.address, Written: at(c.written), Ended: at(c.ended), Err: c.err,
			}})
			if got := strings.Join(a.Violations(), "; "); (got != "") != c.lost {
				t.Errorf("got %q, want a violation: %v", got, c.lost)
			}
		})
	}
}

// Guards against processes that are killed at the end of the grace period unnoticed, and
// against a second SIGTERM that prolongs it.
func TestProcessOutlastsTheGrace(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, paused := range []bool{false, true} {
			a := New(Config{Grace: 8 * time.Second})
			gone := a.Stop("node")
			second := a.Stop("node")
			if paused {
				a.Disturb("node")()
			}
			second(true)
			gone(killed)
			got := strings.Join(a.Violations(), "; ")
			if want := killed && !paused; strings.Contains(got, "node outlasted the grace period of 8s") != want || (got != "") != want {
				t.Errorf("killed %v, paused %v: got %q, want a violation: %v", killed, paused, got, want)
			}
		}
	}
}
