package provider

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Errors of topics, for use with errors.Is.
var (
	// ErrCompacted is returned if the requested records are no longer retained.
	ErrCompacted = trace.NotFound("the requested records are no longer retained")
	// ErrRestored is returned if the store came back from an older copy since the offset
	// was read: records that were read before may be gone.
	ErrRestored = trace.NotFound("the store came back from an older copy")
	// ErrOffsetConflict is returned if another append preceded a conditional one.
	ErrOffsetConflict = trace.CompareFailed("the topic does not end at the given offset")
)

// eraShift is the position of the era in an offset. Below it is the number of a record in
// its topic, which begins anew from an older one in each era.
const eraShift = 40

// EraOffset returns the offset of the n-th record of an era of the store. Offsets of a later
// era are higher than all of an earlier one.
func EraOffset(era, n uint64) Offset { return Offset(era<<eraShift + n) }

// Era returns the era of an offset: how often the store had come back from an older copy.
func (o Offset) Era() uint64 { return uint64(o) >> eraShift }

// Number returns the number of the record within its era.
func (o Offset) Number() uint64 { return uint64(o) & (1<<eraShift - 1) }

// Item is a keyed record.
type Item struct {
	Key string
	// Value is empty in a record that deletes the key.
	Value  []byte
	Offset Offset
}

// Items is the result of a read of a keyed topic.
type Items struct {
	Items []Item
	// End is the offset from which to continue reading.
	End Offset
	// More is set if the topic has more records from End on.
	More bool
}

// Topics reads and appends to keyed topics, which retain the newest record of
// each key.
type Topics struct {
	// Newest returns the newest record of each key. It may read several pages; End is
	// the End of the first page, so that following from End misses no record.
	Newest func(ctx context.Context, topic string) (Items, error)
	// Follow returns the records from an offset on and waits up to wait for the first
	// one. After ErrCompacted or ErrRestored, continue with Newest.
	Follow func(ctx context.Context, topic string, from Offset, wait time.Duration) (Items, error)
	// Append adds one record and returns its offset. After an error other than
	// ErrOffsetConflict, the record may be in the topic, or may still appear in it
	// later.
	Append func(ctx context.Context, topic, key string, value []byte) (Offset, error)
	// AppendAt appends a record only if the topic ends at the given offset; otherwise
	// it returns ErrOffsetConflict.
	AppendAt func(ctx context.Context, topic, key string, value []byte, at Offset) (Offset, error)
	// Era returns the store's era as far as it is known, and ObserveEra takes what another
	// node knows of it. Both may be nil for a store without eras.
	Era        func() uint64
	ObserveEra func(era uint64)
}

// CurrentEra returns the store's era as far as it is known.
func (t *Topics) CurrentEra() uint64 {
	if t.Era == nil {
		return 0
	}
	return t.Era()
}
