package reducer

import (
	"time"

	"banyanquay/internal/provider"
)

// Extract is a view's knowledge of one key, for a node that doesn't follow the
// stream. It is an immutable value.
type Extract struct {
	Key Key `cbor:"1,keyasint"`
	// State is the key's state without its verdicts, which are in Verdicts.
	State    State              `cbor:"2,keyasint"`
	Verdicts map[string]Verdict `cbor:"3,keyasint,omitempty"`
	// Next, Since and Newest are the view's fields of these names.
	Next   provider.Offset `cbor:"4,keyasint"`
	Since  int64           `cbor:"5,keyasint,omitempty"`
	Newest int64           `cbor:"6,keyasint,omitempty"`
}

// Extract returns the view's knowledge of a key. The view must be caught up.
func (v *View) Extract(key Key) Extract {
	s := v.State(key)
	return Extract{Key: key, State: s, Verdicts: s.verdicts, Next: v.next, Since: v.since, Newest: v.newest}
}

// View returns a view that decides on the extract's key as the original view
// did. It knows no other key.
func (e Extract) View(horizon time.Duration) *View {
	v := NewView(horizon)
	v.next, v.since, v.newest, v.caughtUp = e.Next, e.Since, e.Newest, true
	s := e.State
	s.verdicts = e.Verdicts
	if s.known() {
		v.keys[e.Key] = s
	}
	return v
}
