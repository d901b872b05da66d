package quarantiner

import (
	"maps"
	"math"
	"slices"
	"time"
)

// WholeAnswer is the number of events of an answer that came to its end.
const WholeAnswer = math.MaxInt32

// maxPartEvents is the number of events from which a crash is no evidence against the parts of a prompt: what comes so
// late in an answer depends on what was generated.
const maxPartEvents = 64

// progress is how far an answer came, and when.
type progress struct {
	at     time.Time
	events int
}

// covers reports whether this says at least as much as other.
func (p progress) covers(other progress) bool {
	return p.events >= other.events && !p.at.Before(other.at)
}

// proofs holds how far answers with parts, and to suspected requests, came. Of each it has what no other one covers.
type proofs map[Part][]progress

// note notes how far an answer came, and reports whether that was not known.
func (p proofs) note(part Part, new progress) bool {
	known := p[part]
	kept := known[:0] // in place: this is done for every few events of each stream
	for _, old := range known {
		if old.covers(new) {
			return false // none of those before it was dropped, as none covers another
		}
		if !new.covers(old) {
			kept = append(kept, old)
		}
	}
	p[part] = append(kept, new)
	return true
}

// last returns when an answer last came that far; zero if none did.
func (p proofs) last(part Part, events int) time.Time {
	var last time.Time
	for _, known := range p[part] {
		if known.events >= events && known.at.After(last) {
			last = known.at
		}
	}
	return last
}

// prune drops the parts of which nothing was noted for the longest time if there are too many.
func (p proofs) prune() {
	if len(p) <= maxSound {
		return
	}
	var times []time.Time
	for part := range p {
		times = append(times, p.last(part, 0))
	}
	slices.SortFunc(times, time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(p, func(part Part, _ []progress) bool { return p.last(part, 0).Before(middle) })
}

// recentProofs holds how far answers to requests came, by fingerprint. Nearly every request has another one: what is older
// than the last maxAnswered is dropped, in two generations.
type recentProofs struct {
	recent proofs
	older  proofs
}

// note notes how far an answer came.
func (r *recentProofs) note(fingerprint Part, p progress) {
	if r.recent == nil || len(r.recent) >= maxAnswered {
		r.recent, r.older = make(proofs), r.recent
	}
	r.recent.note(fingerprint, p)
}

// of returns how far answers to a request came.
func (r *recentProofs) of(fingerprint Part) []progress {
	return append(slices.Clip(r.older[fingerprint]), r.recent[fingerprint]...)
}

// late reports whether the endpoint crashed under an answer that had begun, so that it isn't enough to refute the
// evidence that other answers begin.
func (e evidence) late() bool { return e.events >= ProvenEvents }

// refutedBy returns the number of events of an answer that refutes late evidence: it came clearly further.
func (e evidence) refutedBy() int { return e.events + ProvenEvents }

// weigh returns late evidence with what answers refute of it: a part with which any came further is no candidate, and
// neither is the request if one to an equal request did since. Of all requests at an endpoint most are in the middle of their
// answers, so that a part with which answers were written is no candidate, also if that was before.
func (e evidence) weigh(p proofs) evidence {
	if !e.late() {
		return e
	}
	e.open = slices.DeleteFunc(slices.Clone(e.parts), func(part Part) bool { return !e.opens(part, p) })
	last := p.last(e.fingerprint, e.refutedBy())
	e.answered, e.cleared = !last.IsZero(), last.After(e.at)
	return e
}

// weighed returns the evidence without what answers refute of the late one. The caller must hold mu.
func (q *Quarantiner) weighed() []evidence {
	all := make([]evidence, 0, len(q.evidence))
	for _, e := range q.evidence {
		all = append(all, e.weigh(q.proofs))
	}
	return all
}

// RecordProgress records that an answer to a request came to a number of events, or, with WholeAnswer, to its end.
func (q *Quarantiner) RecordProgress(r Request, events int) {
	q.RecordProgressAt(r, events, q.cfg.Now())
}

// RecordProgressAt is RecordProgress of an answer that came so far before.
func (q *Quarantiner) RecordProgressAt(r Request, events int, at time.Time) {
	q.update(func() (refuted bool) {
		p := progress{at: at, events: events}
		note := func(part Part, suspected bool) {
			if q.proofs.note(part, p) && suspected {
				q.tell(news{sound: []Part{part}}, "")
				refuted = true
			}
		}
		for _, part := range r.Parts {
			known := !q.proofs.last(part, events).IsZero() // refutes as much of what speaks against a part
			note(part, !known && q.suspectedLate(part, events))
		}
		if fingerprint := Part(r.Fingerprint); q.suspectedLate(fingerprint, events) {
			note(fingerprint, true)
		} else {
			q.requests.note(fingerprint, p)
		}
		q.proofs.prune()
		return refuted
	})
}

// FollowsProgress reports whether endpoints crashed under answers in progress, so that RecordProgress matters before the
// end of an answer.
func (q *Quarantiner) FollowsProgress() bool { return q.followsProgress.Load() }

// name notes what evidence names. The caller must hold mu.
func (q *Quarantiner) name(all ...evidence) {
	for _, e := range all {
		if e.fingerprint != 0 {
			q.named[e.fingerprint] = true
		}
		for _, p := range e.parts {
			q.named[p] = true
		}
		if e.late() {
			q.followsProgress.Store(true)
		}
	}
}

// suspectedLate reports whether there is late evidence against a part or fingerprint that an answer with so many
// events refutes. The caller must hold mu.
func (q *Quarantiner) suspectedLate(p Part, events int) bool {
	return q.named[p] && slices.ContainsFunc(q.evidence, func(e evidence) bool {
		return e.late() && e.refutedBy() <= events && e.suspectsLate(p, q.proofs)
	})
}

// suspectsLate is suspects of late evidence, weighed, without a copy of it.
func (e evidence) suspectsLate(p Part, proofs proofs) bool {
	if e.fingerprint == p {
		return p != 0 && !proofs.last(p, e.refutedBy()).After(e.at)
	}
	return e.opens(p, proofs) && slices.Contains(e.parts, p)
}

// opens reports whether a part of late evidence may be the cause.
func (e evidence) opens(p Part, proofs proofs) bool {
	return e.events < maxPartEvents && proofs.last(p, e.refutedBy()).IsZero()
}

// mergeProofs notes how far answers came at another node, and returns the parts for which that refutes evidence. The
// caller must hold mu.
func (q *Quarantiner) mergeProofs(told []toldProgress, now time.Time) (fresh []Part) {
	for _, t := range told {
		if !plausible(t.AgeMillis) || t.Events < 0 || t.Events > WholeAnswer {
			continue
		}
		suspected := q.suspectedLate(t.Part, t.Events)
		if q.proofs.note(t.Part, progress{at: now.Add(-millis(t.AgeMillis)), events: t.Events}) && suspected {
			fresh = append(fresh, t.Part)
		}
	}
	q.proofs.prune()
	return fresh
}
