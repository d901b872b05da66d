package sharer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet is a set of nodes with the slices that they hold. The slices expire by
// the nodes' clocks.
type fleet struct {
	now   time.Time
	homes []Home
	held  []Slice
}

// report sends a node's demand to a home. The answer arrives after delay, or
// never if lost.
func (f *fleet) report(home, node int, wanted float64, delay time.Duration, lost bool) {
	sent := f.now
	d := Demand{Node: fmt.Sprint(node), Wanted: wanted, Held: f.held[node].Live(f.now)}
	next, slice := f.homes[home].Grant(f.now.Add(delay), d)
	f.homes[home] = next
	if !lost {
		f.held[node] = Slice{Amount: slice.Amount, Expires: sent.Add(DefaultLifetime)}
	}
}

// used returns the sum of the amounts that all nodes may use now.
func (f *fleet) used() float64 {
	sum := 0.0
	for _, s := range f.held {
		sum += s.Live(f.now)
	}
	return sum
}

// TestSlicesNeverExceedShare draws demands, delays, lost replies and moves of the
// home: the sum of the live slices must never exceed the share.
func TestSlicesNeverExceedShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 6).Draw(t, "nodes")
		f := &fleet{now: epoch, held: make([]Slice, nodes)}
		f.homes = []Home{NewHome(Config{}, 1, f.now)}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			if rapid.IntRange(0, 19).Draw(t, "move") == 0 {
				f.homes = []Home{NewHome(Config{}, 1, f.now)}
			}
			delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			f.report(0, rapid.IntRange(0, nodes-1).Draw(t, "node"),
				rapid.Float64Range(0, 2).Draw(t, "wanted"), delay, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
			f.now = f.now.Add(delay)
			if got := f.used(); got > 1+1e-9 {
				t.Fatalf("got %v of the share in use, want at most 1", got)
			}
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// TestTwoHomesOverlapIsBounded has the nodes disagree about which node is the
// home: they may hold one share for each home, and must hold one share again two
// lifetimes after they agree.
func TestTwoHomesOverlapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		f := &fleet{now: epoch, held: make([]Slice, nodes)}
		f.homes = []Home{NewHome(Config{}, 1, f.now), NewHome(Config{}, 1, f.now)}
		for range 40 {
			f.report(rapid.IntRange(0, 1).Draw(t, "home"), rapid.IntRange(0, nodes-1).Draw(t, "node"), 2, 0, false)
			f.now = f.now.Add(500 * time.Millisecond)
			if got := f.used(); got > 2+1e-9 {
				t.Fatalf("got %v of the share in use with two homes, want at most 2", got)
			}
		}
		for range 2 * int(DefaultLifetime/time.Second) {
			for node := range nodes {
				f.report(0, node, 2, 0, false)
			}
			f.now = f.now.Add(time.Second)
		}
		if got := f.used(); math.Abs(got-1) > 1e-9 {
			t.Fatalf("got %v of the share in use two lifetimes after the views agree, want 1", got)
		}
	})
}

// TestUnusedShareIsBorrowedAndReturned has one node want the whole share, and then
// another one, too: the first borrows the unused share a lifetime after the home's
// start, and returns it within another one.
func TestUnusedShareIsBorrowedAndReturned(t *testing.T) {
	f := &fleet{now: epoch, held: make([]Slice, 2)}
	f.homes = []Home{NewHome(Config{}, 1, f.now)}
	run := func(seconds int, first, second float64) (got [2]float64) {
		for range 2 * seconds {
			f.now = f.now.Add(500 * time.Millisecond)
			f.report(0, 0, first, 0, false)
			f.report(0, 1, second, 0, false)
		}
		return [2]float64{f.held[0].Amount, f.held[1].Amount}
	}
	if got := run(7, 1, 0); got[0] != 1 {
		t.Errorf("got %v, want the whole share at the only node that wants it", got)
	}
	if got := run(4, 1, 0.3); math.Abs(got[0]-0.7) > 1e-9 || math.Abs(got[1]-0.3) > 1e-9 {
		t.Errorf("got %v four seconds later, want 0.7 and 0.3", got)
	}
	if got := run(4, 1, 1); math.Abs(got[0]-0.5) > 1e-9 || math.Abs(got[1]-0.5) > 1e-9 {
		t.Errorf("got %v, want halves", got)
	}
}

// TestMovedHomeKeepsSlices moves the home under a constant demand: nodes must
// keep what they hold while the new home warms up.
func TestMovedHomeKeepsSlices(t *testing.T) {
	f := &fleet{now: epoch, held: make([]Slice, 2)}
	f.homes = []Home{NewHome(Config{}, 1, f.now)}
	for second := range 20 {
		if second == 10 {
			f.homes = []Home{NewHome(Config{}, 1, f.now)}
		}
		f.report(0, 0, 0.6, 0, false)
		f.report(0, 1, 0.4, 0, false)
		if got := f.used(); second >= 8 && math.Abs(got-1) > 1e-9 {
			t.Errorf("got %v of the share in use in second %d, want 1", got, second)
		}
		f.now = f.now.Add(time.Second)
	}
}
