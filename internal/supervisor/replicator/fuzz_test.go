package replicator

import (
	"bytes"
	"testing"

	"banyanquay/internal/encoder"
)

// FuzzReceive gives a table an arbitrary message twice. The second time must change
// nothing, an entry held before must never become older, and another table that gets
// all of its entries must have the same digests.
func FuzzReceive(f *testing.F) {
	held := Entry{Address: "a", Generation: 2, Incarnation: "i", Version: 3, Leaving: true}
	seeds := []Message{
		{Entries: []Entry{{Address: "a", Generation: 2, Incarnation: "i", Version: 3, Condition: Down}}},
		{Entries: []Entry{{Address: "a", Generation: 1}, {Address: "b", Generation: 1}}},
		{Updates: []Update{held.update()}, Root: 1, Buckets: []byte{1, 2, 3}},
		{WantEntries: []byte{0, 255}, WantUpdates: []byte{7}},
	}
	for _, seed := range seeds {
		f.Add(Encode(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		msg, err := encoder.FromCBOR[Message](data)
		if err != nil {
			return
		}
		table := NewTable()
		table.LinkUp("l", true)
		table.Put(held)
		table.Receive("l", msg)
		if again := table.Receive("l", msg); len(again.Changes) > 0 {
			t.Errorf("got changes %+v the second time, want none", again.Changes)
		}
		got, _ := table.Get("a")
		if want := Join(got, held); !Equal(got, want) {
			t.Errorf("got %+v, want nothing older than %+v", got, held)
		}
		copied := NewTable()
		table.Each(func(e Entry) { copied.Put(e) })
		if got, want := copied.digests(), table.digests(); !bytes.Equal(got, want) {
			t.Errorf("got digests %x of the copy, want %x", got, want)
		}
	})
}
