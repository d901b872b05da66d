package elector

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

// store is an in-memory store with one topic.
type store struct {
	mu    sync.Mutex
	items []provider.Item
	// lose drops the answers to appends, which still take effect.
	lose bool
	// era counts how often the store came back from an older copy.
	era uint64
}

// restore brings the store back from a copy with the first n records.
func (s *store) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items = s.items[:n:n]
}

func (s *store) Topics() provider.Topics {
	return provider.Topics{
		Newest: func(context.Context, string) (provider.Items, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			items := provider.Items{End: provider.EraOffset(s.era, uint64(len(s.items)))}
			if n := len(s.items); n > 0 {
				newest := s.items[n-1]
				newest.Offset = provider.EraOffset(s.era, uint64(n-1))
				items.Items = []provider.Item{newest}
			}
			return items, nil
		},
		AppendAt: func(_ context.Context, _, key string, value []byte, at provider.Offset) (provider.Offset, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if at != provider.EraOffset(s.era, uint64(len(s.items))) {
				return 0, provider.ErrOffsetConflict
			}
			s.items = append(s.items, provider.Item{Key: key, Value: value, Offset: at})
			if s.lose {
				return 0, trace.ConnectionProblem(nil, "the answer was lost")
			}
			return at, nil
		},
		Era: func() uint64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.era
		},
	}
}

// fleet is a set of electors, and which of them are alive.
type fleet struct {
	mu    sync.Mutex
	alive map[string]bool
	all   []*Elector
}

func newFleet(t *testing.T, s *store, n int) *fleet {
	f := &fleet{alive: map[string]bool{}}
	for i := range n {
		name := fmt.Sprint("n", i)
		f.set(name, true)
		e := New(Config{
			Topics:     s.Topics(),
			ReadRemote: func(context.Context) ([]byte, error) { return nil, trace.ConnectionProblem(nil, "nobody answers") },
			Address:    name, Incarnation: "1", Now: time.Now, Recorder: recorder.Nop(),
			Alive: func(address, _ string) bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.alive[address]
			},
			Replaced:    func(string, string) bool { return false },
			IsCandidate: func() bool { return true }, Starting: func() bool { return false }, IsSeed: func() bool { return true },
			IsSuccessor: func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				for j := range n {
					if first := fmt.Sprint("n", j); f.alive[first] {
						return first == name
					}
				}
				return false
			},
		})
		f.all = append(f.all, e)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go func() { _ = e.Step().Run(ctx) }()
	}
	return f
}

// leaders lists the nodes that believe that they lead.
func (f *fleet) leaders() []int {
	var all []int
	for i, e := range f.all {
		if e.Leads() {
			all = append(all, i)
		}
	}
	return all
}

func (f *fleet) set(name string, alive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[name] = alive
}

func TestOneLeadsFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		f := newFleet(t, s, 7)
		time.Sleep(10 * time.Second)
		if got := f.leaders(); len(got) != 1 {
			t.Errorf("leaders: got %v, want one", got)
		}
		if got, want := len(s.items), 1; got != want {
			t.Errorf("records: got %d, want %d: nobody takes a lead that is held", got, want)
		}
	})
}

func TestAnotherFollowsWithAHigherNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		f := newFleet(t, s, 3)
		time.Sleep(5 * time.Second)
		old := f.leaders()[0]
		before, _ := f.all[old].Confirm(t.Context())
		f.set(fmt.Sprint("n", old), false)
		time.Sleep(absenceTimeout + 2*time.Second)
		fence, leads := uint64(0), 0
		for i, e := range f.all {
			if n, ok := e.Confirm(t.Context()); ok {
				fence, leads = n, leads+1
				if i == old {
					t.Errorf("the node that ended still leads")
				}
			}
		}
		if leads != 1 || fence <= before {
			t.Errorf("got %d leaders with fencing number %d, want one with a number over %d", leads, fence, before)
		}
	})
}

// The store comes back from a copy that lacks the newest record, or all, or in which an
// earlier holder that still runs is the newest; twice in a row, too. One node leads then,
// with a higher number than any before.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	for _, kept := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d of 2 records", kept), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				f := newFleet(t, s, 3)
				time.Sleep(5 * time.Second)
				first := f.leaders()[0]
				f.set(fmt.Sprint("n", first), false)
				time.Sleep(absenceTimeout + 2*time.Second)
				f.set(fmt.Sprint("n", first), true) // was only cut off
				time.Sleep(2 * time.Second)
				highest, _ := f.all[f.leaders()[0]].Confirm(t.Context())
				for range 2 {
					s.restore(kept)
					time.Sleep(5 * time.Second)
					fence, leads := uint64(0), 0
					for _, e := range f.all {
						if n, ok := e.Confirm(t.Context()); ok && e.Leads() {
							fence, leads = n, leads+1
						}
					}
					if leads != 1 || fence <= highest {
						t.Errorf("got %d leaders with fencing number %d, want one with a number over %d", leads, fence, highest)
					}
					highest = fence
				}
			})
		})
	}
}

// A holder that is missing for less than absenceTimeout keeps the lead.
func TestShortAbsenceChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		f := newFleet(t, s, 3)
		time.Sleep(5 * time.Second)
		old := fmt.Sprint("n", f.leaders()[0])
		f.set(old, false)
		time.Sleep(absenceTimeout / 2)
		f.set(old, true)
		time.Sleep(5 * time.Second)
		if got, want := len(s.items), 1; got != want {
			t.Errorf("records: got %d, want %d", got, want)
		}
	})
}

// The answer to the append that takes the lead is lost. The node must read
// the current leader from the store.
func TestLostAnswerOfATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{lose: true}
		f := newFleet(t, s, 1)
		time.Sleep(5 * time.Second)
		if got, want := len(f.leaders()), 1; got != want {
			t.Errorf("leaders: got %d, want %d", got, want)
		}
		if got, want := len(s.items), 1; got != want {
			t.Errorf("records: got %d, want %d", got, want)
		}
	})
}

// The holder can't reach the store, and the other nodes can. The holder keeps
// leading as long as another node reads the store for it, and learns from that node
// when it no longer leads.
func TestHolderThatIsCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		f := newFleet(t, s, 3)
		time.Sleep(5 * time.Second)
		old := f.leaders()[0]
		holder, other := f.all[old], f.all[(old+1)%3]
		holder.cfg.Topics.Newest = func(context.Context, string) (provider.Items, error) {
			return provider.Items{}, trace.ConnectionProblem(nil, "cut off")
		}
		holder.cfg.ReadRemote = func(context.Context) ([]byte, error) { return other.HandleQuery(nil) }
		if _, ok := holder.Confirm(t.Context()); !ok {
			t.Errorf("the holder doesn't lead while another node reads the store for it")
		}
		if err := other.takeLead(t.Context(), other.current()); err != nil {
			t.Fatal(err)
		}
		if _, ok := holder.Confirm(t.Context()); ok {
			t.Errorf("the holder leads though another node has taken the lead")
		}
	})
}

func TestFencedHolderAsksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		f := newFleet(t, s, 1)
		time.Sleep(time.Second)
		f.all[0].Fenced()
		if f.all[0].Leads() {
			t.Errorf("still leads after an endpoint has seen a higher fencing number")
		}
		time.Sleep(2 * time.Second)
		if !f.all[0].Leads() {
			t.Errorf("doesn't lead though the store still names it")
		}
	})
}

// All 50 nodes restart at the same moment, the holder among them. Only the seeds and
// the candidates read who leads, and one takes over soon: the holder's process has
// ended for certain, since another one runs at its address.
func TestFleetRestartsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, starting = 50, 1200 * time.Millisecond
		data, err := encoder.CBOR(record{Address: "n5", Incarnation: "before"})
		if err != nil {
			t.Fatal(err)
		}
		s := &store{items: []provider.Item{{Key: key, Value: data}}}
		topics, reads := s.Topics(), atomic.Int64{}
		newest := topics.Newest
		topics.Newest = func(ctx context.Context, topic string) (provider.Items, error) {
			reads.Add(1)
			return newest(ctx, topic)
		}
		began := time.Now()
		f := &fleet{}
		for i := range nodes {
			e := New(Config{
				Topics: topics, Address: fmt.Sprint("n", i), Incarnation: "after", Now: time.Now, Recorder: recorder.Nop(),
				Alive:       func(_, incarnation string) bool { return incarnation == "after" },
				Replaced:    func(_, incarnation string) bool { return incarnation != "after" },
				IsSuccessor: func() bool { return i == 0 }, IsCandidate: func() bool { return i < 3 },
				Starting: func() bool { return time.Since(began) < starting }, IsSeed: func() bool { return i%20 == 0 },
			})
			f.all = append(f.all, e)
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(cancel)
			go func() { _ = e.Step().Run(ctx) }()
		}
		time.Sleep(starting + endedTimeout)
		if got, want := fmt.Sprint(f.leaders()), "[0]"; got != want {
			t.Errorf("leaders after %v: got %v, want %v", time.Since(began), got, want)
		}
		time.Sleep(10 * time.Second)
		if got, want := reads.Load(), int64(8); got > want {
			t.Errorf("reads: got %d, want at most %d", got, want)
		}
	})
}
