package provider

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Errors of topics; compare with errors.Is.
var (
	// ErrCompacted says that records were dropped before they were read.
	ErrCompacted = trace.NotFound("the records asked for are no longer retained")
	// ErrMoved says that a conditional append came after another one.
	ErrMoved = trace.CompareFailed("the topic does not end at the offset given")
)

// Item is a keyed record.
type Item struct {
	Key string
	// Value is empty in a record that drops the key.
	Value  []byte
	Offset Offset
}

// Items is the answer to a read of a keyed topic.
type Items struct {
	Items []Item
	// End is the offset to go on from.
	End Offset
	// More is set if the topic holds records from End on.
	More bool
}

// Topics reads and appends keyed topics, of which the newest record of each
// key is retained.
type Topics struct {
	// Newest returns the newest record of each key; End is that of the first
	// page, so that following from End misses nothing.
	Newest func(ctx context.Context, topic string) (Items, error)
	// Follow returns the records from an offset on. It waits up to wait for
	// the first one. ErrCompacted leads back to Newest.
	Follow func(ctx context.Context, topic string, from Offset, wait time.Duration) (Items, error)
	// Append adds one record and returns its offset. After an error other than
	// ErrMoved the record may or may not be in the topic, now or later.
	Append func(ctx context.Context, topic, key string, value []byte) (Offset, error)
	// AppendAt is Append on condition that the topic ends at an offset.
	AppendAt func(ctx context.Context, topic, key string, value []byte, at Offset) (Offset, error)
}
