package generator

import (
	"container/heap"
	"context"
	"sync"
)

// queue limits the steps that run at once. The others wait, ordered by priority and
// then by arrival.
type queue struct {
	mu      sync.Mutex
	slots   int
	running int
	arrived int
	waiting waiters
}

// waiter is a step that waits for a slot.
type waiter struct {
	priority int
	arrival  int
	// index is the waiter's index in the heap, or -1 once it has been granted a slot.
	index int
	// granted is closed when the waiter gets a slot.
	granted chan struct{}
}

// length returns the number of steps that run or wait.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running + len(q.waiting)
}

// acquire waits for a slot, and returns false if the context ended first.
func (q *queue) acquire(ctx context.Context, priority int) bool {
	w := q.enter(priority)
	if w == nil {
		return true
	}
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		q.abandon(w)
		return false
	}
}

// enter takes a free slot and returns nil, or adds a waiter and returns it.
func (q *queue) enter(priority int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.slots {
		q.running++
		return nil
	}
	q.arrived++
	w := &waiter{priority: priority, arrival: q.arrived, granted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	return w
}

// abandon removes a waiter, or releases the slot that it was granted meanwhile.
func (q *queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		q.handOver()
		return
	}
	heap.Remove(&q.waiting, w.index)
}

// release frees a slot.
func (q *queue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.handOver()
}

// handOver gives a released slot to the first waiter, if there is one. The
// caller holds q.mu.
func (q *queue) handOver() {
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	w := heap.Pop(&q.waiting).(*waiter)
	close(w.granted)
}

// waiters is a heap ordered by priority, highest first, and then by arrival.
type waiters []*waiter

func (ws waiters) Len() int { return len(ws) }

func (ws waiters) Less(i, j int) bool {
	if ws[i].priority != ws[j].priority {
		return ws[i].priority > ws[j].priority
	}
	return ws[i].arrival < ws[j].arrival
}

func (ws waiters) Swap(i, j int) {
	ws[i], ws[j] = ws[j], ws[i]
	ws[i].index, ws[j].index = i, j
}

// Push adds a waiter at the end.
func (ws *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*ws)
	*ws = append(*ws, w)
}

// Pop removes the last waiter.
func (ws *waiters) Pop() any {
	last := len(*ws) - 1
	w := (*ws)[last]
	*ws = (*ws)[:last]
	w.index = -1
	return w
}
