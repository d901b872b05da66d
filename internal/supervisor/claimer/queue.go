package claimer

import (
	"sync"

	"banyanquay/internal/supervisor/claimer/reducer"
)

// item is an entry to be appended to the log.
type item struct {
	entry reducer.Entry
	// done is closed once the status is final.
	done chan struct{}
	// status is valid once done is closed.
	status appendStatus
	// position is the entry's position; valid if status is appended.
	position reducer.Position
}

// appendStatus is the result of appending an item.
type appendStatus int

// Append statuses.
const (
	// pending items are still to be appended.
	pending appendStatus = iota
	// appended items are in the log.
	appended
	// unsent items were never sent to the log.
	unsent
	// uncertain items may be in the log now, or appear in it later.
	uncertain
)

// mustAppend reports whether appending the item is retried until it succeeds.
func (i *item) mustAppend() bool {
	return i.entry.Kind != reducer.Claim
}

// size returns the length of the item's answer body in bytes.
func (i *item) size() int {
	if i.entry.Answer == nil {
		return 0
	}
	return len(i.entry.Answer.Body)
}

// currentStatus returns the item's status so far.
func (i *item) currentStatus() appendStatus {
	select {
	case <-i.done:
		return i.status
	default:
		return pending
	}
}

// finish sets the item's final status.
func (i *item) finish(status appendStatus) {
	i.status = status
	close(i.done)
}

// queue holds the items that are not in a batch yet.
type queue struct {
	mu    sync.Mutex
	items []*item
	// ready holds a token while there may be items.
	ready chan struct{}
}

func newQueue() queue {
	return queue{ready: make(chan struct{}, 1)}
}

// put adds an entry to the end of the queue.
func (q *queue) put(e reducer.Entry) *item {
	it := &item{entry: e, done: make(chan struct{})}
	q.mu.Lock()
	q.items = append(q.items, it)
	q.mu.Unlock()
	q.notify()
	return it
}

// requeue puts items back at the front of the queue.
func (q *queue) requeue(items []*item) {
	q.mu.Lock()
	q.items = append(items, q.items...)
	q.mu.Unlock()
	q.notify()
}

// maxBatchBytes is the total size of the answers in a record at which it is full.
// The last answer may exceed it.
const maxBatchBytes = 256 << 10

// take removes up to limit items from the front, fewer if their answers are
// large.
func (q *queue) take(limit int) []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < min(limit, len(q.items)) && size < maxBatchBytes {
		size += q.items[n].size()
		n++
	}
	items := q.items[:n:n]
	q.items = q.items[n:]
	if len(q.items) > 0 {
		q.notify()
	}
	return items
}

// hasItems reports whether the queue has items.
func (q *queue) hasItems() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items) > 0
}

// takeClaims removes and returns every claim.
func (q *queue) takeClaims() []*item {
	q.mu.Lock()
	defer q.mu.Unlock()
	var claims, rest []*item
	for _, it := range q.items {
		if it.mustAppend() {
			rest = append(rest, it)
		} else {
			claims = append(claims, it)
		}
	}
	q.items = rest
	return claims
}

// notify ensures that ready holds a token.
func (q *queue) notify() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
