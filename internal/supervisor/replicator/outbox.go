package replicator

import "slices"

// queue is a set that keeps the order in which its members were added.
type queue[K comparable] struct {
	// order holds each member of set once, and possibly former members.
	order []K
	set   map[K]bool
}

// add appends k unless it is a member. flag is stored with it, and stays set once
// set.
func (q *queue[K]) add(k K, flag bool) {
	if q.set == nil {
		q.set = make(map[K]bool)
	}
	old, member := q.set[k]
	q.set[k] = old || flag
	if !member {
		q.order = append(q.order, k)
	}
}

// remove removes k.
func (q *queue[K]) remove(k K) {
	if _, member := q.set[k]; !member {
		return
	}
	delete(q.set, k)
	if i := slices.Index(q.order, k); i >= 0 {
		q.order = slices.Delete(q.order, i, i+1)
	}
}

// drain calls take for each member in order and removes those for which it returns
// true.
func (q *queue[K]) drain(take func(k K, flag bool) bool) {
	if len(q.order) == 0 {
		return
	}
	kept := q.order[:0]
	for _, k := range q.order {
		if take(k, q.set[k]) {
			delete(q.set, k)
		} else {
			kept = append(kept, k)
		}
	}
	q.order = kept
}

// outbox holds what is still to be sent over one link.
type outbox struct {
	// entries are addresses; the flag marks those whose full entry is needed.
	entries queue[string]
	gauges  queue[uint32]
	// root and buckets are set if these digests are to be sent. wantEntries and
	// wantUpdates are the buckets to request.
	root        bool
	buckets     bool
	wantEntries []byte
	wantUpdates []byte
}
