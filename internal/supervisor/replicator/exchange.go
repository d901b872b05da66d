package replicator

import (
	"encoding/binary"
	"maps"
	"slices"
)

// LinkUp adds an outbox for a link. sendDigest is set at one of the link's ends,
// which starts by sending its digest.
func (t *Table) LinkUp(link string, sendDigest bool) {
	t.outboxes[link] = &outbox{root: sendDigest}
}

// LinkDown removes a link's outbox.
func (t *Table) LinkDown(link string) {
	delete(t.outboxes, link)
	t.clearRequests(link)
}

// clearRequests drops the requests for buckets that were sent over a link, so that
// other links may be asked for them, and asks those whose updates had to wait. It reports
// whether there were any.
func (t *Table) clearRequests(link string) (asked bool) {
	for bucket, requested := range t.requested {
		if requested != link {
			continue
		}
		delete(t.requested, bucket)
		for _, other := range t.deferred[bucket] {
			if box := t.outboxes[other]; box != nil {
				box.wantUpdates = append(box.wantUpdates, bucket)
				asked = true
			}
		}
		delete(t.deferred, bucket)
	}
	return asked
}

// QueueDigest queues the digest for the link that pick selects, to find entries that
// were missed. It also drops all requests for buckets, so that they may be sent
// again.
func (t *Table) QueueDigest(pick func(n int) int) {
	if len(t.outboxes) == 0 {
		return
	}
	links := slices.Sorted(maps.Keys(t.outboxes))
	t.outboxes[links[pick(len(links))]].root = true
	clear(t.requested)
	clear(t.deferred)
}

// Flush removes and returns what is queued for a link. Deltas wait unless allow
// grants their size in bytes; an entry that is leaving does not wait. Gauges wait
// unless allowGauge grants theirs.
func (t *Table) Flush(link string, allow, allowGauge func(bytes int) bool) Message {
	box := t.outboxes[link]
	if box == nil {
		return Message{}
	}
	var msg Message
	t.flushDigests(box, &msg)
	box.entries.drain(func(address string, full bool) bool {
		return t.flushEntry(address, full, allow, &msg)
	})
	exhausted := false
	box.gauges.drain(func(id uint32, _ bool) bool {
		g, ok := t.gauges[id]
		if !ok {
			return true
		}
		exhausted = exhausted || !allowGauge(gaugeSize)
		if exhausted {
			return false
		}
		msg.Gauges = append(msg.Gauges, g)
		return true
	})
	return msg
}

// flushDigests adds the queued digests and requests to msg.
func (t *Table) flushDigests(box *outbox, msg *Message) {
	if box.root {
		msg.Root = t.root()
	}
	if box.buckets {
		msg.Buckets = t.digests()
	}
	msg.WantEntries, msg.WantUpdates = box.wantEntries, box.wantUpdates
	box.root, box.buckets, box.wantEntries, box.wantUpdates = false, false, nil, nil
}

// flushEntry adds one entry or its update to msg. It returns false if the entry has
// to wait.
func (t *Table) flushEntry(address string, full bool, allow func(int) bool, msg *Message) bool {
	e, ok := t.entries[address]
	if !ok {
		return true
	}
	size := updateSize
	if full {
		size = e.size()
	}
	if !allow(size) && !e.Leaving {
		return false
	}
	if full {
		msg.Entries = append(msg.Entries, e)
	} else {
		msg.Updates = append(msg.Updates, e.update())
	}
	return true
}

// Receive merges a message that was received over a link.
func (t *Table) Receive(link string, msg Message) Result {
	var r Result
	for _, e := range msg.Entries {
		t.receiveEntry(link, e, &r)
	}
	if len(msg.Entries) > 0 && t.clearRequests(link) {
		r.Reply = true
	}
	for _, u := range msg.Updates {
		t.receiveUpdate(link, u, &r)
	}
	for _, g := range msg.Gauges {
		if t.mergeGauge(g, link) {
			r.Gauges = append(r.Gauges, g)
		}
	}
	if box := t.outboxes[link]; box != nil {
		t.receiveDigests(box, msg, &r)
	}
	return r
}

func (t *Table) receiveEntry(link string, e Entry, r *Result) {
	if e.Address == "" {
		return
	}
	change, changed := t.join(e, link)
	if !changed {
		return
	}
	r.Changes = append(r.Changes, change)
	r.Urgent = r.Urgent || change.Urgent()
}

// receiveUpdate merges an update, or requests the full entry if the update applies
// to an incarnation or body that this table lacks.
func (t *Table) receiveUpdate(link string, u Update, r *Result) {
	e, known := t.entries[t.ids[u.ID]]
	if known && e.checksum() == u.Checksum {
		t.receiveEntry(link, e.withUpdate(u), r)
		return
	}
	if known && u.Generation < e.Generation {
		return
	}
	if t.outboxes[link] != nil {
		t.requestBucket(link, bucketOf(u.ID))
		r.Reply = true
	}
}

// requestBucket requests a bucket over a link unless it has been requested already.
func (t *Table) requestBucket(link string, bucket byte) {
	if other, asked := t.requested[bucket]; asked {
		if other != link && !slices.Contains(t.deferred[bucket], link) {
			t.deferred[bucket] = append(t.deferred[bucket], link)
		}
		return
	}
	t.requested[bucket] = link
	box := t.outboxes[link]
	box.wantEntries = append(box.wantEntries, bucket)
}

// receiveDigests compares digests and queues the reply.
func (t *Table) receiveDigests(box *outbox, msg Message, r *Result) {
	if msg.Root != 0 && msg.Root != t.root() {
		box.buckets = true
		r.Reply = true
	}
	if len(msg.Buckets) == 4*bucketCount {
		for bucket, sum := range t.buckets {
			if binary.LittleEndian.Uint32(msg.Buckets[4*bucket:]) != sum {
				box.wantUpdates = append(box.wantUpdates, byte(bucket))
				r.Reply = true
			}
		}
	}
	t.queueBuckets(box, box.wantUpdates, false)
	t.queueBuckets(box, msg.WantUpdates, false)
	t.queueBuckets(box, msg.WantEntries, true)
	r.Reply = r.Reply || len(msg.WantUpdates)+len(msg.WantEntries) > 0
}

// queueBuckets queues the entries of some buckets: as updates, or in full and with
// their gauges.
func (t *Table) queueBuckets(box *outbox, buckets []byte, full bool) {
	if len(buckets) == 0 {
		return
	}
	var chosen [bucketCount]bool
	for _, bucket := range buckets {
		chosen[bucket] = true
	}
	for address, e := range t.entries {
		id := ID(address)
		if !chosen[bucketOf(id)] || e.Condition == Gone {
			continue
		}
		box.entries.add(address, full)
		if _, ok := t.gauges[id]; ok && full {
			box.gauges.add(id, false)
		}
	}
}
