package reducer

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// drawRange is large, so that rapid's preference for small numbers has little
// effect on a draw modulo a small n.
const drawRange = 1<<20 - 1

// Limits of a simulation. With few keys, calls of the same key interleave more
// often.
const (
	maxKeys  = 2
	maxCalls = 8
)

// testHorizon is short, so that views forget keys within a test.
const testHorizon = time.Minute

// stage is the progress of a call.
type stage int

const (
	sent stage = iota
	planning
	claiming
	holding
	dispatched
	refusing
	ended
)

// call is one attempt from its sending to its answer.
type call struct {
	Attempt
	stage stage
	// view belongs to the node that handles the call; nil before it arrives.
	view  *View
	nonce string
	// expires is the time after which a key without an issue time must not be
	// claimed.
	expires int64
	// ran is set once the service has executed the call.
	ran bool
}

// simulation is one partition with its nodes, callers and services.
type simulation struct {
	t     *rapid.T
	rules rules
	// compareStates makes check compare each node's view with the reference.
	compareStates bool
	now           int64
	log           []provider.Record
	// first is the oldest offset retained, firstAt the time of the record before
	// it.
	first   int
	firstAt int64
	// inFlight are appends that may still take effect.
	inFlight [][]Entry
	views    []*View
	// reference is a view that reads each record as it is appended; its horizon is
	// long enough to keep all.
	reference *View
	calls     []*call
	// firstAttempts holds the first attempt of each key.
	firstAttempts []*call
	// refusedUpTo is the highest attempt number of a key that was refused with
	// never.
	refusedUpTo map[Key]uint64
	// fences is the highest fence of a key that the service has received.
	fences map[Key]uint64
	// replies holds the first answer of a key that was returned to a caller.
	replies map[Key]*Answer
	// abandoned are nonces that must not hold a key any more.
	abandoned map[string]bool
	n         int
}

func newSimulation(t *rapid.T, r rules, strict bool) *simulation {
	w := &simulation{
		t: t, rules: r, compareStates: strict, now: 1_000_000,
		refusedUpTo: make(map[Key]uint64),
		fences:      make(map[Key]uint64),
		replies:     make(map[Key]*Answer),
		abandoned:   make(map[string]bool),
	}
	w.reference = w.newView(time.Hour)
	for range 3 {
		w.views = append(w.views, w.newView(testHorizon))
	}
	return w
}

func (w *simulation) newView(horizon time.Duration) *View {
	v := NewView(horizon)
	v.rules = w.rules
	return v
}

func (w *simulation) draw(n int, label string) int {
	return rapid.IntRange(0, drawRange).Draw(w.t, label) % n
}

// actions returns the actions that rapid chooses from. An action with several
// names is chosen more often.
func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send":    w.action(w.send),
		"advance": w.action(w.advance),
		"move":    w.action(w.advance),
		"go on":   w.action(w.advance),
		"settle":  w.action(w.advance),
		"read":    w.action(func() { w.read(w.views[w.draw(3, "view")]) }),
		"follow":  w.action(func() { w.read(w.views[w.draw(3, "view")]) }),
		"surface": w.action(w.applyDelayed),
		"tick":    w.action(func() { w.now += []int64{1, 5_000, 20_000}[w.draw(3, "time")] }),
		"retain":  w.action(w.retain),
		"restart": w.action(w.restart),
		"":        w.action(w.check),
	}
}

func (w *simulation) action(f func()) func(*rapid.T) {
	return func(t *rapid.T) {
		w.t = t
		f()
	}
}

// send sends the first attempt of a new key or a retry of a key.
func (w *simulation) send() {
	if len(w.calls) == maxCalls {
		return
	}
	if len(w.firstAttempts) == maxKeys || (len(w.firstAttempts) > 0 && w.draw(4, "new key") > 0) {
		first := w.firstAttempts[w.draw(len(w.firstAttempts), "key")]
		if first.First {
			return
		}
		retry := &call{Attempt: first.Attempt}
		retry.Number += uint64(len(w.calls))
		if w.draw(4, "unnumbered") == 0 {
			retry.Number = 0
		}
		w.calls = append(w.calls, retry)
		return
	}
	c := &call{Attempt: Attempt{
		Key:    Key{Organisation: "o", Name: fmt.Sprint("k", len(w.firstAttempts))},
		Number: 1,
		Checks: []string{describer.ChecksNothing, describer.ChecksKey, describer.ChecksFence}[w.draw(3, "checks")],
	}}
	if w.draw(4, "opaque") > 0 {
		c.Issued = w.now + []int64{-50_000, 0, 20_000, 45_000}[w.draw(4, "issued")]
	}
	c.expires = w.now + testHorizon.Milliseconds()
	c.First = w.draw(6, "minted") == 0
	w.firstAttempts = append(w.firstAttempts, c)
	w.calls = append(w.calls, c)
}

// append sends entries to the log. They may take effect now, later, both times or
// never.
func (w *simulation) append(entries ...Entry) {
	effect := w.draw(4, "fate")
	if effect&1 == 0 {
		w.appendRecord(entries)
	}
	if effect&2 != 0 {
		w.inFlight = append(w.inFlight, entries)
	}
}

// appendRecord appends a record that takes effect.
func (w *simulation) appendRecord(entries []Entry) {
	entries = slices.DeleteFunc(slices.Clone(entries), w.claimedAfterExpiry)
	data, err := encoder.CBOR(Batch{Entries: entries})
	if err != nil {
		w.t.Fatal(err)
	}
	w.log = append(w.log, provider.Record{Offset: provider.Offset(len(w.log)), At: w.now, Data: data})
	for _, e := range entries {
		if e.Kind == Release && w.now >= e.Issued-MaxSkew.Milliseconds() {
			w.abandoned[e.Nonce] = true
		}
	}
	next := provider.Offset(len(w.log))
	w.reference.Apply(provider.Page{Next: next, Records: w.log[next-1:]})
}

// claimedAfterExpiry reports whether an entry claims a key without an issue time
// after the key has expired, which callers must not do.
func (w *simulation) claimedAfterExpiry(e Entry) bool {
	return e.Issued == 0 && e.Kind == Claim && slices.ContainsFunc(w.firstAttempts, func(c *call) bool {
		return c.Key == e.Key && c.expires < w.now
	})
}

// applyDelayed lets one or two delayed appends take effect, in one record.
func (w *simulation) applyDelayed() {
	var entries []Entry
	for range 1 + w.draw(2, "merge") {
		if len(w.inFlight) == 0 {
			break
		}
		i := w.draw(len(w.inFlight), "flying")
		entries = append(entries, w.inFlight[i]...)
		if w.draw(2, "keep") == 0 {
			w.inFlight = slices.Delete(w.inFlight, i, i+1)
		}
	}
	if len(entries) > 0 {
		w.appendRecord(entries)
	}
}

// retain drops the oldest records, as the log's retention does.
func (w *simulation) retain() {
	drop := min(w.draw(4, "drop"), len(w.log)-w.first)
	if drop > 0 {
		w.first += drop
		w.firstAt = w.log[w.first-1].At
	}
}

// read lets a node read a page of at most eight records.
func (w *simulation) read(v *View) {
	from := max(int(v.Next()), w.first)
	to := min(from+1+w.draw(8, "page"), len(w.log))
	v.Apply(provider.Page{
		First: provider.Offset(w.first), FirstAt: w.firstAt,
		Next: provider.Offset(len(w.log)), Records: w.log[from:to],
	})
}

// restart replaces a node by one with an empty view. The node's calls end without
// an answer.
func (w *simulation) restart() {
	i := w.draw(3, "restarted")
	for _, c := range w.calls {
		if c.view == w.views[i] && c.stage != sent {
			c.stage = ended
		}
	}
	w.views[i] = w.newView(testHorizon)
}
