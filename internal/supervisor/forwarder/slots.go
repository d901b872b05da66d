package forwarder

import "banyanquay/internal/supervisor/forwarder/pathfinder"

// An engine serves a limited number of requests as the first of their paths, and lets
// further ones wait, however much memory it has. The requests that each node has at a first
// engine are counted and reported like tokens in progress, under an ID of their own.
const (
	slotsSuffix = "/slots"
	// tokensPerSlot is the unit in which nodes report loads, so that requests are not
	// rounded.
	tokensPerSlot = 64
	// slotHeadroom is the share of an engine's slots that new paths use. Loads of other
	// nodes are up to a second old, and an engine that many paths begin at gets a third of
	// its slots in new requests in that time.
	slotHeadroom = 0.8
)

// slotsID returns the ID under which the requests at a first engine are counted.
func slotsID(id string) string { return id + slotsSuffix }

// beginPath counts a request as in progress along a path until the returned function is
// called.
func (f *Forwarder) beginPath(path []pathfinder.Stage, tokens int) (end func()) {
	endTokens := f.assessor.Begin(ids(path), tokens)
	endSlot := f.assessor.Begin([]string{slotsID(path[0].ID)}, tokensPerSlot)
	return func() {
		endTokens()
		endSlot()
	}
}

// usedSlots returns how many requests of all nodes have an engine as the first of their
// path.
func (f *Forwarder) usedSlots(id string) int {
	id = slotsID(id)
	return f.usedTokens(id, f.assessor.Record(id).Tokens) / tokensPerSlot
}

// slotsInUse is like usedSlots with the forecast of tokensInUse.
func (f *Forwarder) slotsInUse(id string) int {
	id = slotsID(id)
	return f.tokensInUse(id, f.assessor.Record(id).Tokens) / tokensPerSlot
}

// slotLoad returns how much of the slots that new paths use at an engine would be in use
// with one more request, if a new path that uses the engine begins there; 0 if it doesn't.
func (f *Forwarder) slotLoad(criteria pathCriteria, h holder) float64 {
	slots := criteria.members.service.Engine.Slots
	if criteria.head != nil || h.entry.First > 0 || slots <= 0 {
		return 0
	}
	return float64(f.usedSlots(h.entry.ID)+1) / (slotHeadroom * float64(slots))
}
