package reducer

import (
	"crypto/sha256"

	"banyanquay/internal/bounder"
)

// defaultAnswerBytes bounds the answers that a view keeps unless LimitAnswers sets another limit.
const defaultAnswerBytes = 16 << 20

// storedAnswer is the key and the size in bytes of an answer kept in memory.
type storedAnswer struct {
	key  Key
	size int
}

// answerCache accounts for the answers whose bodies a view keeps.
type answerCache struct {
	// limit bounds size; both are in bytes.
	limit int
	size  int
	// order lists the answers, oldest first.
	order []storedAnswer
}

// LimitAnswers bounds the memory of the answers that the view keeps to limit bytes. The bodies of
// the oldest ones beyond it are replaced by their digests.
func (v *View) LimitAnswers(limit int) { v.answers.limit = limit }

// storeAnswer accounts for a key's new answer and replaces the bodies of the
// oldest answers by their digests until the rest is within the limit.
func (v *View) storeAnswer(key Key, a *Answer) {
	size := len(a.Body) + int(bounder.HeaderSize(a.Header))
	v.answers.order = append(v.answers.order, storedAnswer{key: key, size: size})
	v.answers.size += size
	for v.answers.size > v.answers.limit {
		oldest := v.evictOldest()
		if s := v.keys[oldest.key]; s.Answer != nil {
			s.Answer = s.Answer.digestOnly()
			v.keys[oldest.key] = s
		}
	}
}

// evictOldest removes the oldest answer from the account and returns it.
func (v *View) evictOldest() storedAnswer {
	oldest := v.answers.order[0]
	v.answers.order = v.answers.order[1:]
	v.answers.size -= oldest.size
	return oldest
}

// dropExpiredAnswers removes the oldest answers from the account while the view
// has forgotten their keys.
func (v *View) dropExpiredAnswers() {
	for len(v.answers.order) > 0 {
		if _, known := v.keys[v.answers.order[0].key]; known {
			return
		}
		v.evictOldest()
	}
}

// digestOnly returns a copy with the body's digest instead of the body.
func (a *Answer) digestOnly() *Answer {
	if a.Digest != nil {
		return a
	}
	digest := sha256.Sum256(a.Body)
	return &Answer{Status: a.Status, Digest: digest[:]}
}

// Recorded returns the answer as it is recorded: with the digest instead of the
// body if the body is larger than limit bytes.
func (a Answer) Recorded(limit int) *Answer {
	if len(a.Body) > limit {
		return a.digestOnly()
	}
	return &a
}
