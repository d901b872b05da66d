package reducer

import (
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// State is the state according to the stream. It is an immutable value.
type State struct {
	// Known is set once an accepted record has been read.
	Known  bool
	Holder Holder
	// Lease is the offset of the record that took the lease. It never decreases.
	Lease provider.Offset
	// Offset is the offset of the newest accepted record. It never decreases.
	Offset provider.Offset
	Loads  []Load
}

// Fence returns the fencing number of an order that follows from this state. A later
// state has a higher one, whichever node wrote it. It is never 0.
func (s State) Fence() uint64 {
	return uint64(s.Offset) + 1
}

// rules are the rules of the fold that a test can turn off.
type rules struct {
	// checkExpected accepts a record only at the offset that its writer expected.
	checkExpected bool
}

// View is what one node has read of the stream. It is an immutable value.
type View struct {
	rules rules
	next  provider.Offset
	state State
	// atEnd is set while the newest read reached the end of the stream.
	atEnd bool
}

// NewView returns a view that has read nothing.
func NewView() View {
	return View{rules: rules{checkExpected: true}}
}

// Next returns the offset of the first record that was not applied.
func (v View) Next() provider.Offset { return v.next }

// State returns the state according to the records.
func (v View) State() State { return v.state }

// AtEnd reports whether the newest read reached the end of the stream.
func (v View) AtEnd() bool { return v.atEnd }

// StateLost reports whether there were records, but none that gives the state:
// retention has dropped them all.
func (v View) StateLost() bool { return !v.state.Known && v.next > 0 }

// WithPage returns the view after a page, and how many records it skipped because
// they can't be decoded or have another offset than expected.
func (v View) WithPage(page provider.Page) (View, int) {
	if page.First > v.next {
		v.next, v.state = page.First, State{}
	}
	skipped := 0
	for _, rec := range page.Records {
		if rec.Offset != v.next {
			continue
		}
		v.next++
		r, err := encoder.FromCBOR[Record](rec.Data)
		if err != nil || (v.rules.checkExpected && r.Expected != rec.Offset) {
			skipped++
			continue
		}
		v.state = State{Known: true, Holder: r.Holder, Lease: r.Lease, Offset: rec.Offset, Loads: r.Loads}
	}
	v.atEnd = v.next >= page.Next
	return v, skipped
}

//go:generate stringer -type=Move -linecomment -output=enum_string.go

// Move is a node's next action on the lease.
type Move int

// Moves.
const (
	// Stay means that another node holds the lease, or may hold it.
	Stay Move = iota // stay
	// Take means that the node tries to take the lease.
	Take // take
	// Hold means that the node holds the lease.
	Hold // hold
	// Renew means that it holds the lease and renews it.
	Renew // renew
)

// Divisors of the lease duration: a holder renews the lease after a renewDivisor-th
// of it without an accepted record, and a candidate tries to take the lease after
// all of it and a takeoverDivisor-th.
const (
	renewDivisor    = 3
	takeoverDivisor = 2
)

// Move decides a node's next action. idle is for how long, by the node's own clock,
// it has been able to read the stream and found no accepted record. A long idle time,
// or a report that the holder's process has ended, only lets a candidate try to take
// the lease: the fold decides who holds it.
func (v View) Move(self Holder, candidate, gone bool, idle, lease time.Duration) Move {
	s := v.state
	switch {
	case !v.atEnd:
		return Stay
	case s.Known && s.Holder == self && idle >= lease/renewDivisor:
		return Renew
	case s.Known && s.Holder == self:
		return Hold
	case !candidate:
		return Stay
	case !s.Known, s.Holder.Node == self.Node, gone, idle >= lease+lease/takeoverDivisor:
		return Take
	}
	return Stay
}

// Record returns the record by which a holder that has read the view continues with
// these loads.
func (v View) Record(self Holder, loads []Load) Record {
	lease := v.next
	if v.state.Known && v.state.Holder == self {
		lease = v.state.Lease
	}
	return Record{Expected: v.next, Holder: self, Lease: lease, Loads: loads}
}
