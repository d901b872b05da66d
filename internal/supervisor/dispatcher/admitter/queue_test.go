package admitter

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/refuser"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation drives a queue in fake time: a granted request runs for the token
// time multiplied by its tokens.
type simulation struct {
	queue   *queue
	now     time.Time
	running []*item
	// served sums the tokens granted to each organisation.
	served map[string]float64
}

func newSimulation(capacity int) *simulation {
	cfg := Config{Capacity: capacity, MaxWait: time.Hour, TokenTime: 10 * time.Millisecond}
	return &simulation{queue: newQueue(cfg.withDefaults()), now: epoch, served: make(map[string]float64)}
}

// grant starts every request that may run.
func (w *simulation) grant() {
	for it := w.queue.next(w.now); it != nil; it = w.queue.next(w.now) {
		w.running = append(w.running, it)
		w.served[it.Organisation] += it.cost()
	}
}

// finishNext finishes the running request that ends first.
func (w *simulation) finishNext() {
	at := 0
	for i, it := range w.running {
		if w.endTime(it).Before(w.endTime(w.running[at])) {
			at = i
		}
	}
	it := w.running[at]
	w.running = slices.Delete(w.running, at, at+1)
	w.now = w.endTime(it)
	w.queue.finish(w.now, it, it.Tokens)
	w.grant()
}

// endTime returns when a running request ends.
func (w *simulation) endTime(it *item) time.Time {
	return it.started.Add(time.Duration(it.Tokens) * w.queue.cfg.TokenTime)
}

// TestFairShareOfBackloggedOrganisations draws weights and sizes, keeps every
// organisation backlogged and checks the bound of start-time fair queueing: the
// work granted per unit of weight differs between two organisations by at most
// the largest request of each.
func TestFairShareOfBackloggedOrganisations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 8).Draw(t, "capacity"))
		orgs := rapid.IntRange(2, 5).Draw(t, "orgs")
		weights := rapid.SliceOfN(rapid.Float64Range(0.05, 1), orgs, orgs).Draw(t, "weights")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 200), orgs, orgs).Draw(t, "sizes")
		flood := rapid.IntRange(0, orgs-1).Draw(t, "flood")
		offer := func(org int) {
			_, err := w.queue.offer(w.now, Request{
				Organisation: fmt.Sprint(org), Weight: weights[org], Tokens: sizes[org],
			})
			if err != nil {
				t.Fatalf("got refusal %v, want none within MaxWait", err)
			}
		}
		for org := range orgs {
			for range 60 {
				offer(org)
			}
		}
		for range 300 {
			offer(flood)
		}
		w.grant()
		for backlogged(w.queue, orgs) {
			checkFair(t, w, weights, sizes)
			w.finishNext()
		}
	})
}

func backlogged(q *queue, orgs int) bool {
	if len(q.flows) < orgs {
		return false
	}
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			return false
		}
	}
	return true
}

func checkFair(t *rapid.T, w *simulation, weights []float64, sizes []int) {
	for a := range weights {
		for b := range weights {
			got := math.Abs(w.served[fmt.Sprint(a)]/weights[a] - w.served[fmt.Sprint(b)]/weights[b])
			want := float64(sizes[a])/weights[a] + float64(sizes[b])/weights[b]
			if got > want*(1+1e-9) {
				t.Fatalf("got unfairness %v between %d and %d, want at most %v", got, a, b, want)
			}
		}
	}
}

// TestSmallOrganisationWaitsForOneSlot has a small organisation send a request
// while a large one floods the node: it must not be refused, and must be granted
// the next slot.
func TestSmallOrganisationWaitsForOneSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(2, 16).Draw(t, "capacity")
		w := newSimulation(capacity)
		w.queue.cfg.MaxWait = 5 * time.Second
		small := rapid.Float64Range(0.001, 1).Draw(t, "small")
		tokens := rapid.IntRange(1, 20000).Draw(t, "tokens")
		refused := 0
		for range 50 * capacity {
			_, err := w.queue.offer(w.now, Request{Organisation: "large", Weight: 0.5, Tokens: tokens})
			if err != nil {
				refused++
			}
			w.grant()
		}
		for range rapid.IntRange(0, max(len(w.queue.flows["large"].waiting)-1, 0)).Draw(t, "ends") {
			w.finishNext()
		}
		it, err := w.queue.offer(w.now, Request{Organisation: "small", Weight: small, Tokens: 10})
		if err != nil {
			t.Fatalf("got refusal %v of an organisation under its share (%d of the other), want none", err, refused)
		}
		w.finishNext()
		if it.started.IsZero() {
			t.Fatalf("got the small organisation still waiting after one slot was freed, want it granted")
		}
	})
}

// TestWorkConserving draws arrivals and completions and checks that no slot is
// free while a request waits: the others borrow what one organisation does not use.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 4).Draw(t, "capacity"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if len(w.running) > 0 && rapid.Bool().Draw(t, "end") {
				w.finishNext()
			} else {
				org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
				tokens := rapid.IntRange(1, 50).Draw(t, "tokens")
				_, _ = w.queue.offer(w.now, Request{Organisation: org, Weight: 0.1, Tokens: tokens})
				w.grant()
			}
			waiting := 0
			for _, f := range w.queue.flows {
				waiting += len(f.waiting)
			}
			if got := len(w.running); waiting > 0 && got != w.queue.cfg.Capacity {
				t.Fatalf("got %d running while %d wait, want %d", got, waiting, w.queue.cfg.Capacity)
			}
			if len(w.running) == 0 && len(w.queue.flows) != 0 {
				t.Fatalf("got %d flows on an idle node, want none", len(w.queue.flows))
			}
		}
	})
}

// TestAdmittedMeetsDeadline floods the node with one organisation's requests with
// deadlines: every request not refused at once must meet its deadline.
func TestAdmittedMeetsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 4).Draw(t, "capacity"))
		tokens := rapid.IntRange(1, 50).Draw(t, "tokens")
		budget := time.Duration(rapid.IntRange(0, 3000).Draw(t, "budget")) * time.Millisecond
		var admitted []*item
		refused := 0
		for range 300 {
			it, err := w.queue.offer(w.now, Request{
				Organisation: "a", Weight: 1, Tokens: tokens, Deadline: w.now.Add(budget),
			})
			if err != nil {
				refused++
				continue
			}
			admitted = append(admitted, it)
			w.grant()
		}
		if refused == 0 {
			t.Skip()
		}
		for len(w.running) > 0 {
			w.finishNext()
		}
		for _, it := range admitted {
			if late := w.endTime(it).Sub(it.Deadline); late > 0 {
				t.Fatalf("got an admitted request %v late, want it in time or refused at once", late)
			}
		}
		maxAdmitted := int(budget/(time.Duration(tokens)*w.queue.cfg.TokenTime)) * w.queue.cfg.Capacity
		if got := len(admitted); got < maxAdmitted-w.queue.cfg.Capacity {
			t.Fatalf("got %d admitted, want at least %d: the deadline allows more", got, maxAdmitted-w.queue.cfg.Capacity)
		}
	})
}

// TestPriorityInsideOrganisation queues requests of low priority first: those of
// high priority overtake them, and are not refused because of work that they do
// not wait for.
func TestPriorityInsideOrganisation(t *testing.T) {
	w := newSimulation(1)
	w.queue.cfg.MaxWait = 5 * time.Second
	offer := func(priority int) (*item, error) {
		it, err := w.queue.offer(w.now, Request{Organisation: "a", Weight: 1, Tokens: 100, Priority: priority})
		w.grant()
		return it, err
	}
	var refused error
	for range 1000 {
		if _, err := offer(1); err != nil {
			refused = err
		}
	}
	if got := codeOf(t, refused); got != refuser.QueueTooLong {
		t.Fatalf("got code %v for a flood, want %v", got, refuser.QueueTooLong)
	}
	var high []*item
	for range 2 {
		it, err := offer(5)
		if err != nil {
			t.Fatalf("got %v, want the higher priority admitted", err)
		}
		high = append(high, it)
	}
	for i, it := range high {
		w.finishNext()
		if it.started.IsZero() {
			t.Errorf("got the high priority's request %d waiting, want it granted", i)
		}
	}
}

// TestBorrowedBeyondOwnSlots has a small and then a large organisation use an
// idle node: only slots beyond an organisation's own are borrowed.
func TestBorrowedBeyondOwnSlots(t *testing.T) {
	w := newSimulation(4)
	start := func(org string, weight float64) bool {
		it, err := w.queue.offer(w.now, Request{Organisation: org, Weight: weight, Tokens: 10})
		if err != nil {
			t.Fatalf("got %v, want admission", err)
		}
		w.grant()
		for it.started.IsZero() {
			w.finishNext()
		}
		return it.borrowed
	}
	got := []bool{start("small", 0.01), start("small", 0.01), start("large", 1), start("large", 1)}
	want := []bool{false, false, false, false}
	got = append(got, start("small", 0.01))
	want = append(want, true)
	if !slices.Equal(got, want) {
		t.Errorf("got borrowed %v, want %v", got, want)
	}
}
