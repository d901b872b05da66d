// Package quarantiner finds requests under which endpoints crash, and parts of prompts that
// such requests have in common, and keeps them from reaching further endpoints. The nodes
// exchange which requests were in progress at endpoints that crashed, and to what answers
// were written, so that all of them reach the same decision; what is quarantined is also
// kept in the platform's store, for nodes that start later.
package quarantiner

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"banyanquay/internal/counter"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

const (
	// ProvenEvents is the number of events after which an answer shows that its prompt
	// does not crash the engine.
	ProvenEvents = 3
	// holdTime is how long a part is quarantined the first time. It doubles each time,
	// up to maxHoldTime; from the second time on, one crash suffices.
	holdTime    = 10 * time.Minute
	maxHoldTime = 4 * time.Hour
	// maxHolds bounds the parts in quarantine, and maxSound those that are known to be
	// sound.
	maxHolds = 256
	maxSound = 8192
	// maxAnswered bounds the fingerprints of each of the two generations of requests that
	// were answered.
	maxAnswered = 4096
	// waitingRate and waitingBurst limit the crashes per second that all nodes together tell
	// of requests whose answer had not begun: when many engines crash at once, there are
	// hundreds of these, and each reaches all nodes.
	waitingRate  = 36
	waitingBurst = 108
)

// Config configures a Quarantiner. Its functions are safe for concurrent use.
type Config struct {
	// Links is nil if there are no other nodes.
	Links *linker.Linker
	// Topics is the platform's store, and Topic holds one record for each part in
	// quarantine.
	Topics provider.Topics
	Topic  string
	// Nodes returns how many nodes there are.
	Nodes func() int
	// IsWriter reports whether this node is among those that write the record of a part.
	IsWriter func(key string) bool
	// OnHold is called after parts have been quarantined.
	OnHold   func()
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// hold is a part in quarantine.
type hold struct {
	until time.Time
	// times counts how often the part was quarantined.
	times int
	// decided is when this node reached the decision itself; zero if it learnt of it.
	decided time.Time
	// since is the time of the first evidence behind that decision, which may be revised
	// until that evidence is dropped. It is zero for a part that was in quarantine before:
	// one crash sufficed.
	since time.Time
	// stored is set once the store has the record.
	stored bool
}

// Quarantiner decides which parts are in quarantine. It is safe for concurrent use.
type Quarantiner struct {
	cfg Config

	mu       sync.Mutex
	evidence []evidence
	// sound holds when an answer was last written with a part, or to a request that is
	// suspected.
	sound map[Part]time.Time
	// answered holds when requests were answered, whether suspected or not.
	answered answers
	// proofs holds how far answers came beyond their first events, with parts and to suspected requests, and requests
	// that of answers to others.
	proofs   proofs
	requests recentProofs
	// named holds the parts and fingerprints that the evidence names, or named a moment ago. followsProgress is set while
	// some of it is late.
	named           map[Part]bool
	followsProgress atomic.Bool
	// holds keeps a part or fingerprint for a while after the end of its quarantine, for its
	// count.
	holds map[Part]hold
	// era is the era of the store in which the records were written.
	era uint64
	// held counts the times that a part was quarantined.
	held  int
	peers map[string]*news
	// waiting limits what is told of requests whose answer had not begun.
	waiting *rate.Limiter
}

// New returns a Quarantiner without any parts, and registers it with the links.
func New(cfg Config) *Quarantiner {
	q := &Quarantiner{
		cfg: cfg, sound: make(map[Part]time.Time), holds: make(map[Part]hold), peers: make(map[string]*news),
		proofs: make(proofs), named: make(map[Part]bool),
		waiting: rate.NewLimiter(waitingRate, waitingBurst),
	}
	if cfg.Links != nil {
		cfg.Links.Register(linker.Quarantine, linker.Topic{
			LinkUp: q.linkUp, LinkDown: q.linkDown, Flush: q.flush, Receive: q.receive,
		})
	}
	return q
}

// Parts returns the parts with the given IDs.
func Parts(ids []string) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, Part(xxhash.Sum64String(id)))
	}
	return parts
}

// key returns the part's name in records and logs.
func (p Part) key() string { return fmt.Sprintf("%016x", uint64(p)) }

// Held returns which part of a request, or that its fingerprint is in quarantine, and how
// much longer it is, and whether it is at all.
func (q *Quarantiner) Held(r Request) (key string, remaining time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.holds) == 0 {
		return "", 0, false
	}
	now := q.cfg.Now()
	for _, p := range append(slices.Clip(r.Parts), Part(r.Fingerprint)) {
		if h, found := q.holds[p]; found && now.Before(h.until) {
			return p.key(), h.until.Sub(now), true
		}
	}
	return "", 0, false
}

// Ended says whether a request had been answered when its endpoint crashed. Of a LongEnded one that was found out so late
// that others may have been there since.
type Ended int

// InProgress requests had not been answered.
const (
	InProgress Ended = iota
	JustEnded
	LongEnded
)

// Crash is a request that was in progress at an endpoint, or had been answered there, when that crashed.
type Crash struct {
	Endpoint string
	Request  Request
	// Sent is when the request was sent to the endpoint, and At when it had been answered before the endpoint crashed;
	// zero if it was still in progress.
	Sent time.Time
	At   time.Time
	// Answering is set if the answer had begun without an event. Of plain services, whose
	// answers begin when they are complete, all requests in progress count as such.
	Answering bool
	// Ended says whether it had been answered before the endpoint crashed.
	Ended Ended
	// Events is the number of events that the endpoint had answered with; at least ProvenEvents if the request resumed
	// an answer.
	Events int
}

// RecordCrash records a crash.
func (q *Quarantiner) RecordCrash(c Crash) {
	q.update(func() bool {
		at := c.At
		if at.IsZero() {
			at = q.cfg.Now()
		}
		e := evidence{
			engine: c.Endpoint, at: at, sent: c.Sent, answering: c.Answering,
			parts: c.Request.Parts, fingerprint: Part(c.Request.Fingerprint), events: c.Events, ended: c.Ended,
		}
		if e.late() && !q.repeats(e) && !q.worthTelling(e) {
			return false // most requests at an endpoint are in the middle of their answers
		}
		added := q.add(e)
		if added && (e.answering || e.late() || q.worthTelling(e)) {
			q.tell(q.newsOf(e), "")
		}
		return added
	})
}

// repeats reports whether an equal request, or one with a part that answers haven't proven, was at another endpoint that
// crashed. The caller must hold mu.
func (q *Quarantiner) repeats(e evidence) bool {
	parts := e.weigh(q.proofs).open
	return slices.ContainsFunc(q.evidence, func(old evidence) bool {
		return old.engine != e.engine && (old.fingerprint == e.fingerprint ||
			slices.ContainsFunc(parts, func(p Part) bool { return slices.Contains(old.parts, p) }))
	})
}

// worthTelling reports whether other nodes are told of a request whose answer had not
// begun: only if its fingerprint is known, or it has a part that this node doesn't know to be
// sound, and at a limited rate. The caller must hold mu.
func (q *Quarantiner) worthTelling(e evidence) bool {
	if _, proven := e.weigh(q.proofs).candidates(q.sound); proven && e.fingerprint == 0 {
		return false
	}
	nodes := max(q.cfg.Nodes(), 1)
	q.waiting.SetLimitAt(e.at, rate.Limit(float64(waitingRate)/float64(nodes)))
	q.waiting.SetBurstAt(e.at, max(waitingBurst/nodes, 1))
	return q.waiting.AllowN(e.at, 1)
}

// Suspected reports whether a request was at an endpoint that crashed, whatever was answered since, or has a part that may
// have been the cause of a crash.
func (q *Quarantiner) Suspected(r Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.named[Part(r.Fingerprint)] || slices.ContainsFunc(r.Parts, func(p Part) bool {
		return q.named[p] && (q.suspected(p) || q.suspectedLate(p, WholeAnswer))
	})
}

// RecordSound records that an answer to a request was written.
func (q *Quarantiner) RecordSound(r Request) { q.RecordSoundAt(r, q.cfg.Now()) }

// RecordSoundAt is RecordSound of an answer that was written before.
func (q *Quarantiner) RecordSoundAt(r Request, at time.Time) {
	q.update(func() (refuted bool) {
		now := q.cfg.Now()
		record := func(p Part, always bool) {
			suspected := q.suspected(p)
			if !suspected && !always || !at.After(q.sound[p]) {
				return
			}
			q.sound[p] = at
			if suspected {
				q.tell(news{sound: []Part{p}}, "")
				refuted = true
			}
		}
		for _, p := range r.Parts {
			record(p, true)
		}
		record(Part(r.Fingerprint), false)
		q.answered.note(Part(r.Fingerprint), at)
		q.pruneSound(now)
		return refuted
	})
}

// update changes what is known, and applies the decision that follows if the change
// matters for it.
func (q *Quarantiner) update(change func() (matters bool)) {
	if q.apply(change) && q.cfg.OnHold != nil {
		q.cfg.OnHold()
	}
}

// apply is update without the call of OnHold. It reports whether a part was quarantined.
func (q *Quarantiner) apply(change func() (matters bool)) (added bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.held
	if change() {
		q.settle()
	}
	return q.held > before
}

// suspected reports whether there is evidence against a part or fingerprint that its last
// answer doesn't refute. The caller must hold mu.
func (q *Quarantiner) suspected(p Part) bool {
	at, known := q.sound[p]
	return q.named[p] && slices.ContainsFunc(q.evidence, func(e evidence) bool {
		return !e.late() && e.names(p) && (!known || at.Before(e.at))
	})
}

// add adds evidence unless it is known, and reports whether it was added. The caller
// must hold mu.
func (q *Quarantiner) add(e evidence) bool {
	now := q.cfg.Now()
	q.dropExpired(now)
	for i, old := range q.evidence {
		if old.same(e) {
			if e.answering && !old.answering || old.ended > e.ended {
				q.evidence[i] = e
				return true
			}
			return false
		}
	}
	if now.Sub(e.at) > evidenceTTL {
		return false
	}
	if e.late() && len(q.evidence) >= maxEvidence/2 {
		return false
	}
	if len(q.evidence) >= maxEvidence {
		// What is dropped here must not be added again when another node relays it, or the
		// nodes would relay it forever.
		least := slices.IndexFunc(q.evidence, func(old evidence) bool { return !old.answering })
		if !e.answering || least < 0 {
			return false
		}
		q.evidence = slices.Delete(q.evidence, least, least+1)
	}
	q.evidence = append(q.evidence, e)
	q.name(e)
	if at, ok := q.answered.at(e.fingerprint); ok && at.After(q.sound[e.fingerprint]) {
		q.sound[e.fingerprint] = at
	}
	for _, p := range q.requests.of(e.fingerprint) {
		q.proofs.note(e.fingerprint, p)
	}
	return true
}

// dropExpired drops evidence that is too old. The caller must hold mu.
func (q *Quarantiner) dropExpired(now time.Time) {
	before := len(q.evidence)
	q.evidence = slices.DeleteFunc(q.evidence, func(old evidence) bool { return now.Sub(old.at) > evidenceTTL })
	if len(q.evidence) < before {
		clear(q.named)
		q.followsProgress.Store(false)
		q.name(q.evidence...)
	}
}

// settle applies the decision on the evidence: it quarantines parts, and releases those
// against which the same evidence no longer suffices, as other parts explain it or answers
// were written with them. The caller must hold mu.
func (q *Quarantiner) settle() {
	now := q.cfg.Now()
	weighed := q.weighed()
	fatal, undecided := findFatal(weighed, q.sound)
	for p := range fatal {
		q.renew(p, q.firstNamed(p))
	}
	for p, h := range q.holds {
		if slices.ContainsFunc(weighed, func(e evidence) bool {
			return (e.answering || e.late()) && e.ended == InProgress && !e.at.Before(h.until) && e.suspects(p, q.sound)
		}) {
			q.renew(p, time.Time{})
		}
	}
	for p, h := range q.holds {
		if !h.decided.IsZero() && now.Before(h.until) && !fatal[p] && !undecided && now.Sub(h.since) < evidenceTTL {
			q.release(p)
		}
	}
}

// renew quarantines a part by this node's own decision, unless it is in quarantine. The
// caller must hold mu.
func (q *Quarantiner) renew(p Part, since time.Time) {
	now, h := q.cfg.Now(), q.holds[p]
	if now.Before(h.until) {
		return
	}
	q.hold(p, hold{until: now.Add(min(holdTime<<min(h.times, 10), maxHoldTime)), times: h.times + 1, decided: now, since: since})
}

// firstNamed returns the time of the first evidence that names a part. The caller must
// hold mu.
func (q *Quarantiner) firstNamed(p Part) time.Time {
	first := q.cfg.Now()
	for _, e := range q.evidence {
		if e.names(p) && e.at.Before(first) {
			first = e.at
		}
	}
	return first
}

// hold quarantines a part. The caller must hold mu.
func (q *Quarantiner) hold(p Part, h hold) {
	if _, known := q.holds[p]; !known && len(q.holds) >= maxHolds {
		now := q.cfg.Now()
		maps.DeleteFunc(q.holds, func(_ Part, old hold) bool { return !now.Before(old.until) })
	}
	if _, known := q.holds[p]; !known && len(q.holds) >= maxHolds {
		q.cfg.Counters.Stages.Add("quarantine_full", 1)
		q.cfg.Recorder.Warn(recorder.PartHeld, zap.String("part", p.key()), zap.Bool("full", true))
		return
	}
	q.holds[p] = h
	q.held++
	engines := make(map[string]bool)
	for _, e := range q.evidence {
		if e.names(p) {
			engines[e.engine] = true
		}
	}
	q.cfg.Counters.Stages.Add("parts_held", 1)
	q.cfg.Recorder.Warn(recorder.PartHeld,
		zap.String("part", p.key()), zap.Strings("engines", slices.Sorted(maps.Keys(engines))), zap.Int("times", h.times),
		zap.Duration("for", h.until.Sub(q.cfg.Now())), zap.Bool("decided", !h.decided.IsZero()))
}

// release ends the quarantine of a part that turned out not to be the cause. The caller
// must hold mu.
func (q *Quarantiner) release(p Part) {
	delete(q.holds, p)
	q.cfg.Counters.Stages.Add("parts_released", 1)
	q.cfg.Recorder.Info(recorder.PartReleased, zap.String("part", p.key()))
}

// pruneSound drops the older half of the parts that are known to be sound if there are
// too many. The caller must hold mu.
func (q *Quarantiner) pruneSound(now time.Time) {
	if len(q.sound) <= maxSound {
		return
	}
	times := slices.SortedFunc(maps.Values(q.sound), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(q.sound, func(_ Part, at time.Time) bool { return !at.After(middle) && at.Before(now) })
}
