package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// answeringWeight is the weight of a crash for a request whose answer had begun
	// without an event, and waitingWeight that for any other request that had fewer than
	// ProvenEvents. Of the requests at an engine, few are in the former state at any
	// moment.
	answeringWeight = 6
	waitingWeight   = 3
	// repeatWeight replaces waitingWeight for a fingerprint, and for what was in the middle of its answer: three such
	// crashes suffice, as a request that was at an engine by chance is rarely at two more.
	repeatWeight = 4
	// justEndedWeight is the weight of a crash for a request that had been answered just before, and longEndedWeight that
	// for one that had been a while before: three crashes suffice, most of them of the former kind.
	justEndedWeight = 5
	longEndedWeight = 2
	// threshold is the weight from which a part counts as fatal: two engines that crashed
	// while they began to answer. A part with which answers were written before the
	// crashes takes provenThreshold.
	threshold       = 2 * answeringWeight
	provenThreshold = 3 * answeringWeight
	// sameMoment is the time within which engines count as having crashed together, for
	// a cause of their own, unless the request was sent to the second one after the first
	// had crashed. sentSlack is the tolerance of that: ages that nodes tell each other are
	// inexact by the time on the way.
	sameMoment = 100 * time.Millisecond
	sentSlack  = 25 * time.Millisecond
	// evidenceTTL is how long a crash counts.
	evidenceTTL = time.Minute
	// duplicateAge is the time within which a crash of an engine under the same request
	// is the same crash, told by another node. Endpoints take longer to start again.
	duplicateAge = 2 * time.Second
	// maxEvidence bounds the crashes that are kept.
	maxEvidence = 512
)

// Part identifies what requests have in common: the hash of the ID of a part of their
// prompts, or their fingerprint.
type Part uint64

// evidence is one request that was in progress at an engine when that crashed. It is an
// immutable value.
type evidence struct {
	engine string
	at     time.Time
	// sent is when the request was sent to the engine; zero if that is not known.
	sent time.Time
	// answering is set if the answer had begun without an event.
	answering bool
	// parts are the request's parts that other requests may have, too, in their order.
	parts []Part
	// fingerprint is 0 if it is not known.
	fingerprint Part
	// events is the number of events that the engine had answered with, at least ProvenEvents if the request resumed
	// an answer.
	events int
	ended  Ended
	// The following fields of late evidence are set by weigh. open are the parts that may be the cause. answered is set
	// if an answer to an equal request came further, and cleared if it did so since.
	open     []Part
	answered bool
	cleared  bool
}

// weight returns the weight of the evidence against each of its candidates.
func (e evidence) weight() int {
	switch {
	case e.ended == JustEnded:
		return justEndedWeight
	case e.ended == LongEnded:
		return longEndedWeight
	case e.answering:
		return answeringWeight
	case e.late():
		return repeatWeight
	}
	return waitingWeight
}

// requestWeight returns the weight of the evidence against the request itself.
func (e evidence) requestWeight() int {
	if e.ended != InProgress {
		return e.weight()
	}
	return max(e.weight(), repeatWeight)
}

// worked returns how long the request had been at the engine.
func (e evidence) worked() time.Duration {
	if e.sent.IsZero() {
		return evidenceTTL
	}
	return e.at.Sub(e.sent)
}

// same reports whether two pieces of evidence are of one crash and equal requests, both in the middle of their answers or
// neither: answers refute one and not the other.
func (e evidence) same(other evidence) bool {
	return e.sameCrash(other) && e.late() == other.late() && e.fingerprint == other.fingerprint && slices.Equal(e.parts, other.parts)
}

// sameCrash reports whether two pieces of evidence are of one crash.
func (e evidence) sameCrash(other evidence) bool {
	return e.engine == other.engine && e.at.Sub(other.at).Abs() < duplicateAge
}

// names reports whether the request has a part or is the one with that fingerprint.
func (e evidence) names(p Part) bool {
	return (p != 0 && e.fingerprint == p) || slices.Contains(e.parts, p)
}

// suspectsRequest reports whether the request itself may have caused the crash: it is known,
// and no answer to an equal one was written since.
func (e evidence) suspectsRequest(sound map[Part]time.Time) bool {
	if e.late() {
		return e.fingerprint != 0 && !e.cleared
	}
	return e.fingerprint != 0 && !sound[e.fingerprint].After(e.at)
}

// candidates returns the parts of the prompt that may have caused the crash. Those with
// which an answer was written after it are no candidates, and those with which one was
// written before only if no other part is. Of late evidence, weigh has taken out those that are none.
func (e evidence) candidates(sound map[Part]time.Time) (parts []Part, proven bool) {
	if e.late() {
		return e.open, false
	}
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

// suspects reports whether a part, or the request with that fingerprint, may have caused
// the crash.
func (e evidence) suspects(p Part, sound map[Part]time.Time) bool {
	if e.fingerprint == p {
		return e.suspectsRequest(sound)
	}
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
	// engines holds the last crash of each engine.
	engines map[string]time.Time
	proven  bool
	// position is the part's highest position in a prompt. Parts of a higher one are
	// shared by fewer requests; a fingerprint has the highest one, and the lowest if others
	// share it.
	position int
	// moments counts the crashes that were counted, and requests the requests at those engines. worked is how long
	// these had been there, all together, and late is set if some were in the middle of their answers.
	moments  int
	requests int
	worked   time.Duration
	late     bool
}

// compare orders suspicions by what speaks for them.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(cmp.Compare(s.points, other.points), s.compareReach(other))
}

// compareReach orders suspicions by how few requests are refused if they are right, and then, for requests in the middle of
// their answers, by how soon the engines crashed.
func (s *suspicion) compareReach(other *suspicion) int {
	sooner := 0
	if s.late || other.late {
		sooner = cmp.Compare(other.worked/time.Duration(other.requests), s.worked/time.Duration(s.requests))
	}
	return cmp.Or(cmp.Compare(s.position, other.position), sooner)
}

// rivals reports whether another suspicion, of what fewer requests have, may turn out to be the better one. The request that
// caused a crash may be told after others that were at the engine, and of several requests with a fatal part each is
// told of some of its crashes only: another request rivals if the last crash counted here is all that it needs, and a
// part if it explains half of the crashes.
func (s *suspicion) rivals(other *suspicion) bool {
	needed := (s.moments + 1) / 2
	if other.position == math.MaxInt {
		needed = s.moments - 1
	}
	return s.late && other != s && other.moments >= needed && other.compareReach(s) > 0
}

// add counts a crash. Engines that crash at the same moment count as one, and so do
// reports of one engine within duplicateAge.
func (s *suspicion) add(e evidence, weight int) {
	crashed, known := s.engines[e.engine]
	together := e.at.Sub(s.lastCounted) < sameMoment && !e.sent.After(s.lastCounted.Add(-sentSlack))
	switch {
	case known && e.at.Sub(crashed) < duplicateAge, together:
		if weight > s.lastWeight {
			s.points += weight - s.lastWeight
			s.lastWeight = weight
		}
	default:
		s.points += weight
		s.moments++
		s.lastCounted, s.lastWeight = e.at, weight
	}
	s.engines[e.engine] = e.at
	s.requests++
	s.worked += e.worked()
	s.late = s.late || e.late()
}

// fatal reports whether the suspicion suffices.
func (s *suspicion) fatal() bool {
	if s.proven {
		return s.points >= provenThreshold
	}
	return s.points >= threshold
}

// findFatal returns the fewest parts and fingerprints that explain the crashes, given when
// an answer was last written with each. A crash that one of them explains doesn't count
// against the others of its request, and not against other requests that were in the middle of their answers.
// undecided is set if a part has a rival, so that the next crash may change what is found.
func findFatal(all []evidence, sound map[Part]time.Time) (found map[Part]bool, undecided bool) {
	remaining := slices.Clone(all)
	slices.SortStableFunc(remaining, func(a, b evidence) int { return a.at.Compare(b.at) })
	found = make(map[Part]bool)
	for {
		p, rival := mostSuspect(remaining, sound)
		if p == 0 || rival {
			return found, rival
		}
		found[p] = true
		explained := slices.DeleteFunc(slices.Clone(remaining), func(e evidence) bool { return !e.names(p) })
		remaining = slices.DeleteFunc(remaining, func(e evidence) bool {
			return e.names(p) || e.late() && slices.ContainsFunc(explained, e.sameCrash)
		})
	}
}

// mostSuspect returns the part with enough against it that explains most of the crashes, 0 if there is none, and whether
// it has a rival.
func mostSuspect(ordered []evidence, sound map[Part]time.Time) (best Part, rival bool) {
	suspicions := make(map[Part]*suspicion)
	suspect := func(e evidence, p Part, weight, position int, proven bool) {
		s := suspicions[p]
		if s == nil {
			s = &suspicion{engines: make(map[string]time.Time), proven: proven}
			suspicions[p] = s
		}
		s.add(e, weight)
		s.position = max(s.position, position)
	}
	for _, e := range ordered {
		parts, proven := e.candidates(sound)
		for _, p := range parts {
			suspect(e, p, e.weight(), slices.Index(e.parts, p), proven)
		}
		if e.suspectsRequest(sound) {
			// Other requests may have the fingerprint, too, if one was answered before.
			_, proven := sound[e.fingerprint]
			if e.late() {
				proven = e.answered
			}
			position := math.MaxInt
			if proven {
				position = -1
			}
			suspect(e, e.fingerprint, e.requestWeight(), position, proven)
		}
	}
	for p, s := range suspicions {
		if s.fatal() && (best == 0 || cmp.Or(s.compare(suspicions[best]), cmp.Compare(p, best)) > 0) {
			best = p
		}
	}
	for _, s := range suspicions {
		rival = rival || best != 0 && suspicions[best].rivals(s)
	}
	return best, rival
}
