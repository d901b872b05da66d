package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// answeringWeight is the weight of a crash for a request whose answer had begun
	// without an event, and waitingWeight that for any other request that had fewer than
	// ProvenEvents. Of the requests at an engine, few are in the former state at any
	// moment.
	answeringWeight = 2
	waitingWeight   = 1
	// threshold is the weight from which a part counts as fatal: two engines that crashed
	// while they began to answer. A part with which answers were written before the
	// crashes takes provenThreshold.
	threshold       = 2 * answeringWeight
	provenThreshold = 3 * answeringWeight
	// sameMoment is the time within which engines count as having crashed together, for
	// a cause of their own.
	sameMoment = 100 * time.Millisecond
	// evidenceTTL is how long a crash counts.
	evidenceTTL = time.Minute
	// duplicateAge is the time within which a crash of an engine with the same parts
	// is the same crash, told by another node.
	duplicateAge = 2 * time.Second
	// maxEvidence bounds the crashes that are kept.
	maxEvidence = 512
)

// Part identifies a part of a prompt: the hash of its ID.
type Part uint64

// evidence is one request that was in progress at an engine when that crashed. It is an
// immutable value.
type evidence struct {
	engine string
	at     time.Time
	// answering is set if the answer had begun without an event.
	answering bool
	// parts are the request's parts that other requests may have, too, in their order.
	parts []Part
}

// weight returns the weight of the evidence against each of its candidates.
func (e evidence) weight() int {
	if e.answering {
		return answeringWeight
	}
	return waitingWeight
}

// same reports whether two pieces of evidence are of one crash and equal requests.
func (e evidence) same(other evidence) bool {
	return e.engine == other.engine && e.at.Sub(other.at).Abs() < duplicateAge && slices.Equal(e.parts, other.parts)
}

// candidates returns the parts that may have caused the crash. Those with which an
// answer was written after it are no candidates, and those with which one was written
// before only if no other part is.
func (e evidence) candidates(sound map[Part]time.Time) (parts []Part, proven bool) {
	var fresh, known []Part
	for _, p := range e.parts {
		at, ok := sound[p]
		switch {
		case !ok:
			fresh = append(fresh, p)
		case at.Before(e.at):
			known = append(known, p)
		}
	}
	if len(fresh) > 0 {
		return fresh, false
	}
	return known, len(known) > 0
}

// hasCandidate reports whether a part is among the candidates.
func (e evidence) hasCandidate(p Part, sound map[Part]time.Time) bool {
	parts, _ := e.candidates(sound)
	return slices.Contains(parts, p)
}

// suspicion is what speaks against one part.
type suspicion struct {
	points int
	// lastCounted is the time of the last crash that was counted, and lastWeight its
	// weight.
	lastCounted time.Time
	lastWeight  int
	engines     map[string]bool
	proven      bool
	// position is the part's highest position in a prompt. Parts of a higher one are
	// shared by fewer requests.
	position int
}

// add counts a crash. Engines that crash at the same moment count as one.
func (s *suspicion) add(e evidence) {
	weight := e.weight()
	switch {
	case s.engines[e.engine], e.at.Sub(s.lastCounted) < sameMoment:
		if weight > s.lastWeight {
			s.points += weight - s.lastWeight
			s.lastWeight = weight
		}
	default:
		s.points += weight
		s.lastCounted, s.lastWeight = e.at, weight
	}
	s.engines[e.engine] = true
}

// fatal reports whether the suspicion suffices.
func (s *suspicion) fatal() bool {
	if s.proven {
		return s.points >= provenThreshold
	}
	return s.points >= threshold
}

// fatalParts returns the fewest parts that explain the crashes, given when an answer was
// last written with each part. A crash that one part explains doesn't count against the
// other parts of its request.
func fatalParts(all []evidence, sound map[Part]time.Time) map[Part]bool {
	remaining := slices.Clone(all)
	slices.SortStableFunc(remaining, func(a, b evidence) int { return a.at.Compare(b.at) })
	found := make(map[Part]bool)
	for {
		p, ok := mostSuspect(remaining, sound)
		if !ok {
			return found
		}
		found[p] = true
		remaining = slices.DeleteFunc(remaining, func(e evidence) bool { return slices.Contains(e.parts, p) })
	}
}

// mostSuspect returns the part that explains most of the crashes, and whether there is
// one with enough against it.
func mostSuspect(ordered []evidence, sound map[Part]time.Time) (Part, bool) {
	suspicions := make(map[Part]*suspicion)
	for _, e := range ordered {
		parts, proven := e.candidates(sound)
		for _, p := range parts {
			s := suspicions[p]
			if s == nil {
				s = &suspicion{engines: make(map[string]bool), proven: proven}
				suspicions[p] = s
			}
			s.add(e)
			s.position = max(s.position, slices.Index(e.parts, p))
		}
	}
	maps.DeleteFunc(suspicions, func(_ Part, s *suspicion) bool { return !s.fatal() })
	if len(suspicions) == 0 {
		return 0, false
	}
	return slices.MaxFunc(slices.Collect(maps.Keys(suspicions)), func(a, b Part) int {
		x, y := suspicions[a], suspicions[b]
		return cmp.Or(cmp.Compare(x.points, y.points), cmp.Compare(x.position, y.position), cmp.Compare(a, b))
	}), true
}
