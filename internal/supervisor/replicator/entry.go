// Package replicator replicates versioned entries between nodes: it sends deltas over
// the links, and compares digests to find what a link has missed. It holds no clock,
// socket or goroutine.
package replicator

import (
	"bytes"
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/encoder"
)

//go:generate stringer -type=Condition -linecomment -output=entry_string.go

// Condition is the state of an entry's subject as its observers judge it.
type Condition uint8

// Conditions; at equal versions the higher one wins.
const (
	Up      Condition = iota // up
	Suspect                  // suspect
	Down                     // down
	Gone                     // gone
)

// Entry is the replicated state of one address. It is an immutable value.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Address is host:port and the entry's key.
	Address string
	// Generation orders the incarnations of an address.
	Generation uint64
	// Incarnation names the process; the greater one wins a generation.
	Incarnation string
	// Version orders the states of an incarnation.
	Version uint64
	// Condition wins over lower ones at its version.
	Condition Condition
	// Leaving never reverts within an incarnation.
	Leaving bool
	// Body is the subject's description, opaque here.
	Body []byte
}

// Join returns the least upper bound of two entries of one address: the smallest
// entry that is not older than either. It is commutative, associative and
// idempotent.
func Join(a, b Entry) Entry {
	order := cmp.Or(cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Incarnation, b.Incarnation))
	switch {
	case order > 0:
		return a
	case order < 0:
		return b
	}
	newer := a
	if compareState(a, b) < 0 {
		newer = b
	}
	newer.Leaving = a.Leaving || b.Leaving
	return newer
}

// compareState orders two states of one incarnation.
func compareState(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Condition, b.Condition),
		bytes.Compare(a.Body, b.Body),
	)
}

// Equal reports whether two entries have the same content.
func Equal(a, b Entry) bool {
	return a.Address == b.Address && a.Generation == b.Generation &&
		a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && compareState(a, b) == 0
}

// ID returns the hash that stands for an address in updates and gauges.
func ID(address string) uint32 {
	return uint32(xxhash.Sum64String(address))
}

// checksum covers the parts of an entry that an update leaves out.
func (e Entry) checksum() uint32 {
	h := xxhash.New()
	_, _ = h.WriteString(e.Incarnation)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.Body)
	return uint32(h.Sum64())
}

// hash covers the whole entry for digests. An entry that is gone counts as absent,
// so that nodes may delete it at different times.
func (e Entry) hash() uint32 {
	if e.Address == "" || e.Condition == Gone {
		return 0
	}
	var state [18]byte
	binary.LittleEndian.PutUint64(state[:], e.Generation)
	binary.LittleEndian.PutUint64(state[8:], e.Version)
	state[16] = byte(e.Condition)
	if e.Leaving {
		state[17] = 1
	}
	h := xxhash.New()
	_, _ = h.WriteString(e.Address)
	_, _ = h.Write(state[:])
	_, _ = h.WriteString(e.Incarnation)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(e.Body)
	return uint32(h.Sum64())
}

// size estimates the encoded size in bytes.
func (e Entry) size() int {
	return len(e.Address) + len(e.Incarnation) + len(e.Body) + 12
}

// Update is the delta of an entry whose incarnation and body have not changed.
type Update struct {
	_          struct{} `cbor:",toarray"`
	ID         uint32
	Generation uint64
	Version    uint64
	Condition  Condition
	Leaving    bool
	// Checksum covers the incarnation and body to which the update applies.
	Checksum uint32
}

// update returns the entry's delta.
func (e Entry) update() Update {
	return Update{
		ID: ID(e.Address), Generation: e.Generation, Version: e.Version,
		Condition: e.Condition, Leaving: e.Leaving, Checksum: e.checksum(),
	}
}

// withUpdate returns a copy of the entry with the update applied.
func (e Entry) withUpdate(u Update) Entry {
	e.Generation, e.Version = u.Generation, u.Version
	e.Condition, e.Leaving = u.Condition, u.Leaving
	return e
}

// Gauge is a measurement of an address that changes often. It may be lost, and
// digests leave it out.
type Gauge struct {
	_          struct{} `cbor:",toarray"`
	ID         uint32
	Generation uint64
	// Sequence orders the gauges of a generation.
	Sequence uint64
	// Applied is the configuration offset that a node has applied.
	Applied uint64
	// Load is the load of a node or endpoint.
	Load int64
}

// newer reports whether g replaces old.
func (g Gauge) newer(old Gauge) bool {
	return cmp.Or(cmp.Compare(g.Generation, old.Generation), cmp.Compare(g.Sequence, old.Sequence)) > 0
}

// Estimated sizes of encoded deltas in bytes.
const (
	updateSize = 21
	gaugeSize  = 22
)

// Message carries changes to a table, and digests of it, from one node to another.
type Message struct {
	Entries []Entry  `cbor:"1,keyasint,omitempty"`
	Updates []Update `cbor:"2,keyasint,omitempty"`
	Gauges  []Gauge  `cbor:"3,keyasint,omitempty"`
	// Root is the digest of the whole table, 0 if not sent.
	Root uint64 `cbor:"4,keyasint,omitempty"`
	// Buckets are the digests of the buckets, 4 bytes each.
	Buckets []byte `cbor:"5,keyasint,omitempty"`
	// WantEntries are the buckets whose full entries the receiver should send.
	WantEntries []byte `cbor:"6,keyasint,omitempty"`
	// WantUpdates are the buckets whose updates the receiver should send.
	WantUpdates []byte `cbor:"7,keyasint,omitempty"`
}

// Empty reports whether the message has no content.
func (m Message) Empty() bool {
	return len(m.Entries)+len(m.Updates)+len(m.Gauges)+len(m.Buckets)+len(m.WantEntries)+len(m.WantUpdates) == 0 && m.Root == 0
}

// Encode returns the message in CBOR, nil if it is empty.
func Encode(msg Message) []byte {
	if msg.Empty() {
		return nil
	}
	data, err := encoder.CBOR(msg)
	if err != nil {
		panic(err) // these types always encode
	}
	return data
}
