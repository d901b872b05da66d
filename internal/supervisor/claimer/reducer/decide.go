package reducer

import (
	"banyanquay/internal/refuser"
)

// Attempt is one arrival of a request at a node.
type Attempt struct {
	Key Key
	// Issued is the key's issue time in Unix milliseconds, 0 if it has none.
	Issued int64
	// Number counts the key's attempts from 1, 0 if the caller does not.
	Number uint64
	// First is set if no other attempt of the key exists or will exist before
	// this one has been answered.
	First bool
	// Fingerprint identifies the request's content; it is the same in all attempts
	// of a key.
	Fingerprint uint64
	// Checks is one of describer's Checks constants.
	Checks string
}

// Move is the next action of a node for an attempt.
type Move int

// Actions of a node.
const (
	// Ask appends a claim.
	Ask Move = iota + 1 // ask
	// TakeOver appends a claim that replaces the holder's.
	TakeOver // take over
	// Await waits until the holder's claim ends.
	Await // await
	// Reply returns the recorded answer.
	Reply // reply
	// Refuse refuses the attempt with a code.
	Refuse // refuse
)

// Plan is a move with the data that it needs.
type Plan struct {
	Move Move
	// Code is set if Move is Refuse.
	Code refuser.Code
	// State is the key's state at the time of the plan.
	State State
}

// Plan decides what to do for an attempt that has no claim yet.
func (v *View) Plan(a Attempt) Plan {
	s := v.State(a.Key)
	p := Plan{Move: Refuse, State: s}
	switch {
	case !v.caughtUp:
		p.Code = refuser.LedgerCatchUp
	case !a.First && !v.Covers(a.Issued, v.newest):
		p.Code = refuser.KeyExpired
	case s.known() && s.Issued != a.Issued, s.Claimed && s.Fingerprint != a.Fingerprint:
		p.Code = refuser.KeyReused
	case s.Phase == Finished && s.Answer.Digest != nil:
		p.Code = refuser.AnswerTooLarge
	case s.Phase == Finished:
		p.Move = Reply
	case s.Phase == Free && s.isBarred(a.Number):
		p.Code = refuser.Superseded
	default:
		p.Move, p.Code = v.planUnfinished(s, a)
	}
	return p
}

// planUnfinished decides what to do for an attempt of a key that is not finished.
func (v *View) planUnfinished(s State, a Attempt) (Move, refuser.Code) {
	switch {
	case s.Phase == Free:
		return Ask, 0
	case s.Phase == Held:
		return Await, 0
	case v.canTakeOver(s, a):
		return TakeOver, 0
	}
	return Refuse, refuser.OutcomeUnknown
}

// canTakeOver reports whether an attempt may take the claim over from the holder.
func (v *View) canTakeOver(s State, a Attempt) bool {
	return v.rules.allowsTakeover(a.Checks) && v.rules.allowsTakeover(s.Holder.Checks)
}

// PlanAfterWait decides what to do for an attempt whose holder did not end its
// claim in time, or, if ended is set, whose holder's process has ended.
func (v *View) PlanAfterWait(p Plan, a Attempt, ended bool) Plan {
	if v.canTakeOver(p.State, a) {
		p.Move = TakeOver
		return p
	}
	p.Move = Refuse
	p.Code = refuser.InProgress
	if ended {
		p.Code = refuser.OutcomeUnknown
	}
	return p
}

// ClaimVerdict returns the verdict on a claim and, if it is Granted, the fence
// under which the node may dispatch. A claim is Granted only if the view has
// read every record that can affect its key.
func (v *View) ClaimVerdict(a Attempt, nonce string) (Verdict, uint64) {
	s := v.State(a.Key)
	verdict, at := s.Verdict(nonce), s.At
	if s.Holder.Nonce == nonce {
		at = s.Holder.At
	}
	switch {
	case verdict == Undecided:
		return verdict, 0
	case !a.First && !v.Covers(a.Issued, at):
		return Uncovered, 0
	case verdict != Granted:
		return verdict, 0
	case s.Holder.Nonce != nonce || s.Phase != Held:
		return Beaten, 0
	}
	return Granted, s.Holder.Fence
}

// IssuedInFuture reports whether entries appended at a log time are ignored
// because the key's issue time is more than MaxSkew later.
func IssuedInFuture(a Attempt, at int64) bool {
	return at < a.Issued-MaxSkew.Milliseconds()
}

// IgnoredVerdict returns the verdict on a claim that has none although the view
// has read past the position at which it was appended.
func IgnoredVerdict(a Attempt, at Position) Verdict {
	if IssuedInFuture(a, at.At) {
		return Premature
	}
	return Uncovered
}

// RanUpTo says whether any of the key's attempts up to this one ran. This one
// must not have been dispatched and must never be.
func (v *View) RanUpTo(a Attempt) refuser.Ran {
	s := v.State(a.Key)
	switch {
	case a.First:
		return refuser.Never
	case s.Phase == Finished:
		return refuser.Done
	case v.caughtUp && v.coversAll(a.Issued) && s.NeverRan(a.Number):
		return refuser.Never
	}
	return refuser.Maybe
}

// known reports whether any entry of the key has been read.
func (s State) known() bool {
	return len(s.verdicts) > 0
}

// isBarred reports whether a claim with an attempt number would be dropped.
func (s State) isBarred(number uint64) bool {
	return s.Bar > 0 && number <= s.Bar
}
