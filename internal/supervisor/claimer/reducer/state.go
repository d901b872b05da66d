package reducer

import (
	"maps"
	"slices"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// Phase is the progress of a key's request.
type Phase int

// Phases.
const (
	// Free means that no claim is live.
	Free Phase = iota // free
	// Held means that the holder may dispatch or has dispatched.
	Held // held
	// Lost means that the request was dispatched and its outcome is unknown.
	Lost // lost
	// Finished means that the answer is recorded.
	Finished // finished
)

// Verdict is the decision on a nonce, which follows from the order of the log's
// records. It never changes.
type Verdict int

// Verdicts.
const (
	// Undecided means that no entry with the nonce has been read.
	Undecided Verdict = iota // undecided
	// Granted means that the claim became the live claim.
	Granted // granted
	// Beaten means that another claim was live or the key finished before.
	Beaten // beaten
	// Killed means that the claim's release precedes it in the log.
	Killed // killed
	// Barred means that this or a later attempt was refused earlier in the log.
	Barred // barred
	// Mismatched means that the key was first used with another request or issue
	// time.
	Mismatched // mismatched
	// Premature means that the key's issue time is in the future.
	Premature // premature
	// Uncovered means that the view may lack earlier records of the key.
	Uncovered // uncovered
	// Voided means that the key was free when the void was read.
	Voided // voided
)

// Holder identifies a granted claim and its process.
type Holder struct {
	Nonce       string
	Node        string
	Incarnation string
	Checks      string
	// Fence grows with each granted claim of the key.
	Fence uint64
	// At is the log's time of the claim in Unix milliseconds.
	At int64
}

// State is the state of one key according to the log. It is an immutable value.
type State struct {
	// Issued is the issue time in the key's first entry, in Unix milliseconds.
	Issued int64
	// Fingerprint is the request fingerprint of the granted claims; valid if Claimed.
	Fingerprint uint64
	Claimed     bool
	Phase       Phase
	// Holder is the newest granted claim; empty if Free.
	Holder Holder
	// Past holds the nonces of claims that were taken over. Any of them may have
	// been dispatched.
	Past []string
	// Bar is the highest attempt number that can never be granted again; 0 bars
	// none. Any other value also bars claims without a number.
	Bar uint64
	// Answer is set once Finished and never changes, except that a view may
	// replace its body by the digest.
	Answer *Answer
	// At is the log's time of the newest entry in Unix milliseconds, and Offset
	// the offset of its record.
	At     int64
	Offset provider.Offset
	// verdicts holds the verdict on each nonce that has been decided.
	verdicts map[string]Verdict
}

// Verdict returns the verdict on a nonce.
func (s State) Verdict(nonce string) Verdict {
	return s.verdicts[nonce]
}

// NeverRan reports whether it is certain that no attempt of the key up to a
// number was or will be executed. Without a number (0) it is certain only if
// every attempt is barred.
func (s State) NeverRan(number uint64) bool {
	if number == 0 {
		number = AllAttempts
	}
	return s.Phase == Free && s.Bar >= number
}

// withVerdict returns a copy with the verdict on a nonce.
func (s State) withVerdict(nonce string, v Verdict) State {
	s.verdicts = maps.Clone(s.verdicts)
	if s.verdicts == nil {
		s.verdicts = make(map[string]Verdict)
	}
	s.verdicts[nonce] = v
	return s
}

// rules are the parts of the fold that a test can disable.
type rules struct {
	// singleHolder grants a claim that takes over no other only if the key is
	// free.
	singleHolder bool
	// decideOnce decides each nonce only once.
	decideOnce bool
	// earlyRelease keeps a claim from being granted after its own release.
	earlyRelease bool
	// barRefused drops claims of refused attempts.
	barRefused bool
	// rejectFuture ignores entries appended more than MaxSkew before their key's
	// issue time.
	rejectFuture bool
	// requireCoverage grants a claim only if the view knows every record that
	// can count for its key.
	requireCoverage bool
	// holdAfterTakeover keeps a release from freeing a key whose earlier claim
	// was taken over.
	holdAfterTakeover bool
	// takeoverNeedsKey allows a takeover only if the service checks keys: a fence
	// does not undo the earlier holder's execution.
	takeoverNeedsKey bool
}

// allRules enables every rule, as in the daemon.
var allRules = rules{
	singleHolder:      true,
	decideOnce:        true,
	earlyRelease:      true,
	barRefused:        true,
	rejectFuture:      true,
	requireCoverage:   true,
	holdAfterTakeover: true,
	takeoverNeedsKey:  true,
}

// allowsTakeover reports whether a live claim may be taken over, given how the
// service refuses a second execution.
func (r rules) allowsTakeover(checks string) bool {
	return checks == describer.ChecksKey || (!r.takeoverNeedsKey && checks == describer.ChecksFence)
}

// fold applies one entry to a key's state and returns the new state.
func (r rules) fold(s State, e Entry, at Position) State {
	if r.rejectFuture && e.Issued > 0 && at.At < e.Issued-MaxSkew.Milliseconds() {
		return s
	}
	if s.known() && s.Issued != e.Issued && e.Kind != Claim {
		return s
	}
	if !s.known() {
		s.Issued = e.Issued
	}
	s.At, s.Offset = at.At, at.Offset
	switch e.Kind {
	case Claim:
		return r.foldClaim(s, e, at)
	case Release:
		return r.foldRelease(s, e)
	case Done:
		return foldDone(s, e)
	case Unknown:
		return foldUnknown(s, e)
	case Void:
		return foldVoid(s, e)
	}
	return s
}

// foldClaim decides a claim when its nonce is first read.
func (r rules) foldClaim(s State, e Entry, at Position) State {
	if r.decideOnce && s.verdicts[e.Nonce] != Undecided {
		return s
	}
	v := r.decideClaim(s, e)
	s = s.withVerdict(e.Nonce, v)
	if v != Granted {
		return s
	}
	if s.Phase != Free {
		s.Past = append(slices.Clone(s.Past), s.Holder.Nonce)
	}
	s.Phase = Held
	s.Claimed = true
	s.Fingerprint = e.Fingerprint
	s.Holder = Holder{
		Nonce:       e.Nonce,
		Node:        e.Node,
		Incarnation: e.Incarnation,
		Checks:      e.Checks,
		Fence:       uint64(at.Offset) + 1,
		At:          at.At,
	}
	return s
}

// decideClaim returns the verdict on a claim whose nonce is new.
func (r rules) decideClaim(s State, e Entry) Verdict {
	if s.Issued != e.Issued || (s.Claimed && s.Fingerprint != e.Fingerprint) {
		return Mismatched
	}
	if r.barRefused && s.isBarred(e.Number) {
		return Barred
	}
	if e.Over == "" && (s.Phase == Free || !r.singleHolder) {
		return Granted
	}
	unfinished := s.Phase == Held || s.Phase == Lost
	if unfinished && e.Over == s.Holder.Nonce && r.allowsTakeover(s.Holder.Checks) {
		return Granted
	}
	return Beaten
}

// foldRelease ends a claim that was never dispatched, or prevents its grant if
// the claim is read later.
func (r rules) foldRelease(s State, e Entry) State {
	if s.verdicts[e.Nonce] == Undecided && r.earlyRelease {
		s = s.withVerdict(e.Nonce, Killed)
	}
	if s.Phase == Held && s.Holder.Nonce == e.Nonce {
		s.Phase = Lost
		if len(s.Past) == 0 || !r.holdAfterTakeover {
			s.Phase = Free
			s.Holder = Holder{}
		}
	}
	if s.Phase == Free {
		s.Bar = max(s.Bar, e.Number)
	}
	return s
}

// foldVoid bars attempts if the key is free.
func foldVoid(s State, e Entry) State {
	if s.Phase != Free {
		return s.withVerdict(e.Nonce, Beaten)
	}
	s.Bar = max(s.Bar, e.Number)
	return s.withVerdict(e.Nonce, Voided)
}

// foldDone records the first answer of any claim that may have been dispatched.
func foldDone(s State, e Entry) State {
	if s.Phase == Free || s.Phase == Finished || !s.hasHeld(e.Nonce) {
		return s
	}
	s.Phase = Finished
	s.Answer = e.Answer
	return s
}

// foldUnknown records that the outcome of the live claim is unknown.
func foldUnknown(s State, e Entry) State {
	if s.Phase == Held && s.Holder.Nonce == e.Nonce {
		s.Phase = Lost
	}
	return s
}

// hasHeld reports whether a nonce is or was the holder's.
func (s State) hasHeld(nonce string) bool {
	return s.Holder.Nonce == nonce || slices.Contains(s.Past, nonce)
}
