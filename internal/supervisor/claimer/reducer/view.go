package reducer

import (
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// View is a node's state of one partition. It is not safe for concurrent use.
type View struct {
	rules rules
	// horizon is how long keys without an issue time remain valid.
	horizon time.Duration
	keys    map[Key]State
	answers answerCache
	// next is the offset of the first record that has not been applied.
	next provider.Offset
	// since is a log time: the view knows every record after it. It is 0 if the
	// view knows all records, and it only grows.
	since int64
	// newest is the log time of the newest record applied.
	newest int64
	// lastSweep is the value of newest at the last sweep.
	lastSweep int64
	// caughtUp is set once the view has reached the end of the stream.
	caughtUp bool
}

// NewView returns an empty view with a horizon.
func NewView(horizon time.Duration) *View {
	return &View{
		rules:   allRules,
		horizon: horizon,
		keys:    make(map[Key]State),
		answers: answerCache{limit: defaultAnswerBytes},
	}
}

// Result reports faults found while applying a page.
type Result struct {
	// Gap is set if the log dropped records before the view read them.
	Gap bool
	// Undecodable counts records that could not be decoded.
	Undecodable int
}

// Apply folds a page. It skips records that it has already applied.
func (v *View) Apply(page provider.Page) Result {
	var res Result
	if page.First > v.next {
		res.Gap = v.next > 0
		v.next = page.First
		v.since = max(v.since, page.FirstAt)
	}
	for _, rec := range page.Records {
		if rec.Offset != v.next {
			continue
		}
		if !v.apply(rec) {
			res.Undecodable++
		}
	}
	v.caughtUp = v.caughtUp || v.next >= page.Next
	v.sweep()
	return res
}

// apply folds one record and reports whether it could be decoded.
func (v *View) apply(rec provider.Record) bool {
	v.next = rec.Offset + 1
	v.newest = max(v.newest, rec.At)
	batch, err := encoder.FromCBOR[Batch](rec.Data)
	if err != nil {
		return false
	}
	at := Position{Offset: rec.Offset, At: rec.At}
	for _, e := range batch.Entries {
		v.fold(e, at)
	}
	return true
}

// fold applies one entry to its key's state.
func (v *View) fold(e Entry, at Position) {
	before := v.keys[e.Key]
	after := v.rules.fold(before, e, at)
	if after.At == 0 {
		return
	}
	v.keys[e.Key] = after
	if before.Answer == nil && after.Answer != nil {
		v.storeAnswer(e.Key, after.Answer)
	}
}

// KeyTTL returns how long the view remembers a key after its newest entry.
func (v *View) KeyTTL() time.Duration {
	return v.horizon + MaxSkew
}

// StartAt makes an empty view skip the records before an offset; firstAt is the
// log time of the newest skipped record. It does not change a view that has
// applied records.
func (v *View) StartAt(first provider.Offset, firstAt int64) {
	if v.next > 0 {
		return
	}
	v.next = first
	v.since = firstAt
}

// sweep forgets keys whose newest entry is older than the TTL, and raises since
// to match. It runs only after an eighth of the TTL has passed in log time.
func (v *View) sweep() {
	ttl := v.KeyTTL().Milliseconds()
	if v.newest-v.lastSweep < ttl/8 || v.newest <= ttl {
		return
	}
	v.lastSweep = v.newest
	cutoff := v.newest - ttl
	for key, s := range v.keys {
		if s.At <= cutoff {
			delete(v.keys, key)
		}
	}
	v.since = max(v.since, cutoff)
	v.dropExpiredAnswers()
}

// State returns the state of a key.
func (v *View) State(key Key) State {
	return v.keys[key]
}

// Next returns the offset of the first record that has not been applied.
func (v *View) Next() provider.Offset {
	return v.next
}

// Newest returns the log time of the newest record applied.
func (v *View) Newest() int64 {
	return v.newest
}

// CaughtUp reports whether the view has ever reached the end of the stream.
func (v *View) CaughtUp() bool {
	return v.caughtUp
}

// coversAll reports whether the view has read every record that may have affected
// a key. A delayed attempt of a key without an issue time may be
// older than any horizon.
func (v *View) coversAll(issued int64) bool {
	return v.Covers(issued, v.newest) && (issued > 0 || v.since == 0)
}

// Covers reports whether the view has read every record that can affect a claim
// of a key at a log time. A key without an issue time must be younger than the
// horizon.
func (v *View) Covers(issued, at int64) bool {
	if v.since == 0 || !v.rules.requireCoverage {
		return true
	}
	if issued == 0 {
		return v.since < at-v.horizon.Milliseconds()
	}
	return v.since < issued-MaxSkew.Milliseconds()
}
