package replicator

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets that digests divide a table into.
const bucketCount = 256

// Change is the transition of one entry; Old is zero for a new one.
type Change struct {
	Old Entry
	New Entry
}

// Urgent reports whether the change must be sent without waiting for a batch: the
// subject began to leave, or the condition of a known entry changed.
func (c Change) Urgent() bool {
	known := c.Old.Address != ""
	return (known && c.New.Condition != c.Old.Condition) || (c.New.Leaving && !c.Old.Leaving)
}

// Worse reports whether the subject must no longer be used as before.
func (c Change) Worse() bool {
	return c.New.Condition > c.Old.Condition || (c.New.Leaving && !c.Old.Leaving)
}

// Result describes the effects of a received message.
type Result struct {
	Changes []Change
	Gauges  []Gauge
	// Reply is set if the sender expects a reply.
	Reply bool
	// Urgent is set if a change must be sent without waiting for a batch.
	Urgent bool
}

// Table is one node's copy of the entries. It is not safe for concurrent use.
type Table struct {
	entries map[string]Entry
	// ids maps IDs to addresses. An ID that two addresses share maps to "": its
	// gauges are ignored, and for its updates the full entries are requested.
	ids    map[uint32]string
	gauges map[uint32]Gauge
	// buckets holds the XOR of the hashes of each bucket's entries.
	buckets [bucketCount]uint32
	// outboxes holds the outbox of each link.
	outboxes map[string]*outbox
	// requested maps a bucket to the link over which its full entries were
	// requested, so that they are not requested over others, too.
	requested map[byte]string
	// deferred maps a requested bucket to the other links over which an update came that
	// needs a full entry, too. They are asked for updates again once the request has ended:
	// the peer that was asked may know less.
	deferred map[byte][]string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries:   make(map[string]Entry),
		ids:       make(map[uint32]string),
		gauges:    make(map[uint32]Gauge),
		outboxes:  make(map[string]*outbox),
		requested: make(map[byte]string),
		deferred:  make(map[byte][]string),
	}
}

// Get returns the entry of an address.
func (t *Table) Get(address string) (Entry, bool) {
	e, ok := t.entries[address]
	return e, ok
}

// Gauge returns the last gauge of an address.
func (t *Table) Gauge(address string) Gauge {
	return t.gauges[ID(address)]
}

// Address returns the address of an ID, or "".
func (t *Table) Address(id uint32) string {
	return t.ids[id]
}

// Each calls visit with every entry, in no order.
func (t *Table) Each(visit func(Entry)) {
	for _, e := range t.entries {
		visit(e)
	}
}

// Len is the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Put joins an entry into the table and queues the change for all links.
func (t *Table) Put(e Entry) (Change, bool) {
	return t.join(e, "")
}

// PutGauge stores a gauge if it is newer, and queues it for all links.
func (t *Table) PutGauge(g Gauge) bool {
	return t.mergeGauge(g, "")
}

// Forget deletes an entry without sending that to other nodes.
func (t *Table) Forget(address string) {
	e, ok := t.entries[address]
	if !ok {
		return
	}
	t.buckets[bucketOf(ID(address))] ^= e.hash()
	delete(t.entries, address)
	id := ID(address)
	if t.ids[id] == address {
		delete(t.ids, id)
		delete(t.gauges, id)
	}
}

// join merges an entry that was received over the link from, or set locally if that
// is empty, and queues the change for the links that need it.
func (t *Table) join(e Entry, from string) (Change, bool) {
	old, known := t.entries[e.Address]
	if !known && e.Condition == Gone {
		return Change{}, false
	}
	joined := e
	if known {
		joined = Join(old, e)
	}
	t.reconcileSender(joined, e, from)
	if known && Equal(old, joined) {
		return Change{}, false
	}
	t.store(old, joined)
	full := !known || old.checksum() != joined.checksum()
	for link, box := range t.outboxes {
		if link != from || !Equal(joined, e) {
			box.entries.add(joined.Address, full)
		}
	}
	return Change{Old: old, New: joined}, true
}

// reconcileSender compares the entry that a peer sent with the joined one: an equal
// entry need not be sent to it, and an older one is answered with the joined one.
func (t *Table) reconcileSender(joined, sent Entry, from string) {
	box := t.outboxes[from]
	if box == nil {
		return
	}
	if Equal(joined, sent) {
		box.entries.remove(sent.Address)
		return
	}
	box.entries.add(sent.Address, joined.checksum() != sent.checksum())
}

// store replaces an entry.
func (t *Table) store(old, e Entry) {
	t.buckets[bucketOf(ID(e.Address))] ^= old.hash() ^ e.hash()
	t.entries[e.Address] = e
	id := ID(e.Address)
	if other, taken := t.ids[id]; taken && other != e.Address {
		t.ids[id] = ""
		return
	}
	t.ids[id] = e.Address
}

// mergeGauge stores a newer gauge and queues it for all links except from.
func (t *Table) mergeGauge(g Gauge, from string) bool {
	if t.ids[g.ID] == "" {
		return false
	}
	old, known := t.gauges[g.ID]
	if known && !g.newer(old) {
		if box := t.outboxes[from]; box != nil && !old.newer(g) {
			box.gauges.remove(g.ID)
		}
		return false
	}
	t.gauges[g.ID] = g
	for link, box := range t.outboxes {
		if link != from {
			box.gauges.add(g.ID, false)
		}
	}
	return true
}

// bucketOf is the bucket of an ID.
func bucketOf(id uint32) byte {
	return byte(id >> 24)
}

// root is the digest of the whole table; it is never 0.
func (t *Table) root() uint64 {
	return xxhash.Sum64(t.digests()) | 1
}

// digests returns the digests of the buckets.
func (t *Table) digests() []byte {
	data := make([]byte, 0, 4*bucketCount)
	for _, sum := range t.buckets {
		data = binary.LittleEndian.AppendUint32(data, sum)
	}
	return data
}
