package quarantiner

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

const (
	// maxNews bounds what waits to be told to a peer, and maxMessageParts the parts of one
	// crash that a peer tells.
	maxNews         = 2 * maxEvidence
	maxMessageParts = 16
	// maxTold bounds the age that a peer may tell.
	maxTold = 24 * time.Hour
)

// message is what one node tells another. Ages are as of when it is sent.
type message struct {
	Crashes []crash     `cbor:"1,keyasint,omitempty"`
	Sound   []sound     `cbor:"2,keyasint,omitempty"`
	Held    []heldUntil `cbor:"3,keyasint,omitempty"`
	// Requests has the request of each of Crashes, in their order. Nodes of earlier builds
	// neither send nor read it.
	Requests []crashedRequest `cbor:"4,keyasint,omitempty"`
	// Events has the number of events of each of Crashes, in their order, and Progress how far answers came. Nodes of
	// earlier builds neither send nor read them.
	Events   []int          `cbor:"5,keyasint,omitempty"`
	Progress []toldProgress `cbor:"6,keyasint,omitempty"`
	// Ended says for each of Crashes whether its request had been answered. Nodes of earlier builds neither send nor
	// read it.
	Ended []Ended `cbor:"7,keyasint,omitempty"`
}

// crash is a piece of evidence.
type crash struct {
	_         struct{} `cbor:",toarray"`
	Engine    string
	AgeMillis int64
	Answering bool
	Parts     []Part
}

// crashedRequest is the request of a piece of evidence.
type crashedRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Part
	// SentMillis is how long before the crash it was sent; negative if that is not known.
	SentMillis int64
}

// sound is a part with which an answer was written, or a fingerprint to which one was.
type sound struct {
	_         struct{} `cbor:",toarray"`
	Part      Part
	AgeMillis int64
}

// toldProgress is how far an answer with a part, or to a request with that fingerprint, came.
type toldProgress struct {
	_         struct{} `cbor:",toarray"`
	Part      Part
	AgeMillis int64
	Events    int
}

// heldUntil is a part in quarantine.
type heldUntil struct {
	_               struct{} `cbor:",toarray"`
	Part            Part
	RemainingMillis int64
	Times           int
}

// news is what is still to be told to a peer.
type news struct {
	crashes []evidence
	// sound and held are parts; what is told of them is as of when it is sent.
	sound []Part
	held  []Part
}

// add adds other news, unless there are too many already: the peer then learns the
// decision, if not the evidence, from the store or with the next link.
func (n *news) add(other news) {
	if len(n.crashes)+len(n.sound)+len(n.held) >= maxNews {
		return
	}
	n.crashes = append(n.crashes, other.crashes...)
	n.sound = append(n.sound, other.sound...)
	n.held = append(n.held, other.held...)
}

// newsOf returns evidence with what this node knows of its parts. The caller must hold mu.
func (q *Quarantiner) newsOf(e evidence) news {
	n := news{crashes: []evidence{e}}
	for _, p := range append(slices.Clip(e.parts), e.fingerprint) {
		if _, ok := q.sound[p]; ok || len(q.proofs[p]) > 0 {
			n.sound = append(n.sound, p)
		}
	}
	return n
}

// tell queues news for all peers but the one that they came from. The caller must hold
// mu.
func (q *Quarantiner) tell(n news, from string) {
	if len(n.crashes)+len(n.sound)+len(n.held) == 0 {
		return
	}
	for id, p := range q.peers {
		if id != from {
			p.add(n)
		}
	}
	if q.cfg.Links != nil {
		q.cfg.Links.ScheduleFlush()
	}
}

// linkUp queues all that this node knows for a new peer.
func (q *Quarantiner) linkUp(link linker.Link) {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := &news{held: slices.Collect(maps.Keys(q.holds))}
	for _, e := range q.evidence {
		all.add(q.newsOf(e))
	}
	q.peers[link.ID] = all
}

func (q *Quarantiner) linkDown(link linker.Link) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.peers, link.ID)
}

// flush returns the message for a peer, or nil if there is none.
func (q *Quarantiner) flush(link linker.Link) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peers[link.ID]
	if p == nil || len(p.crashes)+len(p.sound)+len(p.held) == 0 {
		return nil
	}
	body, err := encoder.CBOR(q.message(*p))
	*p = news{}
	if err != nil {
		q.cfg.Recorder.Error(recorder.ListBadRecord, zap.String("node", link.Address), zap.Error(err))
		return nil
	}
	return body
}

// message returns news in the form in which they are sent. The caller must hold mu.
func (q *Quarantiner) message(n news) message {
	now := q.cfg.Now()
	var m message
	for _, e := range n.crashes {
		m.Crashes = append(m.Crashes, crash{
			Engine: e.engine, AgeMillis: now.Sub(e.at).Milliseconds(), Answering: e.answering, Parts: e.parts,
		})
		sent := int64(-1)
		if !e.sent.IsZero() {
			sent = e.at.Sub(e.sent).Milliseconds()
		}
		m.Events = append(m.Events, e.events)
		m.Ended = append(m.Ended, e.ended)
		m.Requests = append(m.Requests, crashedRequest{Fingerprint: e.fingerprint, SentMillis: sent})
	}
	for _, p := range n.sound {
		if at, ok := q.sound[p]; ok {
			m.Sound = append(m.Sound, sound{Part: p, AgeMillis: now.Sub(at).Milliseconds()})
		}
		for _, known := range q.proofs[p] {
			m.Progress = append(m.Progress, toldProgress{Part: p, AgeMillis: now.Sub(known.at).Milliseconds(), Events: known.events})
		}
	}
	for _, p := range n.held {
		if h, ok := q.holds[p]; ok && now.Before(h.until) {
			m.Held = append(m.Held, heldUntil{Part: p, RemainingMillis: h.until.Sub(now).Milliseconds(), Times: h.times})
		}
	}
	return m
}

// receive handles a message from a peer, and relays what is new: in a large fleet a node
// has links with few others.
func (q *Quarantiner) receive(link linker.Link, body []byte) {
	m, err := encoder.FromCBOR[message](body)
	if err != nil {
		q.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", link.Address), zap.Error(err))
		return
	}
	q.update(func() bool {
		fresh := q.merge(m, link.ID)
		q.tell(fresh, link.ID)
		return len(fresh.crashes)+len(fresh.sound) > 0
	})
}

// merge merges a peer's message and returns what was new in it. What this node knows to
// be sound of a crash's parts is told to all, the peer included. The caller must hold mu.
func (q *Quarantiner) merge(m message, peer string) news {
	now := q.cfg.Now()
	var fresh news
	told := make(map[Part]time.Time)
	for _, s := range m.Sound {
		if !plausible(s.AgeMillis) {
			continue
		}
		told[s.Part] = now.Add(-millis(s.AgeMillis))
		if q.mergeSound(s.Part, told[s.Part], now) {
			fresh.sound = append(fresh.sound, s.Part)
		}
	}
	fresh.sound = append(fresh.sound, q.mergeProofs(m.Progress, now)...)
	for i := range m.Crashes {
		e, ok := m.evidence(i, now)
		if !ok || !q.add(e) {
			continue
		}
		n := q.newsOf(e)
		fresh.add(n)
		for _, p := range n.sound {
			if back := q.peers[peer]; back != nil && (q.sound[p].After(told[p]) || e.late() && !q.proofs.last(p, e.refutedBy()).IsZero()) {
				back.add(news{sound: []Part{p}})
			}
		}
	}
	for _, h := range m.Held {
		if plausible(h.RemainingMillis) && q.mergeHold(h.Part, hold{until: now.Add(millis(h.RemainingMillis)), times: h.Times}) {
			fresh.held = append(fresh.held, h.Part)
		}
	}
	return fresh
}

// evidence returns the evidence of one of the crashes, and whether it is valid.
func (m message) evidence(i int, now time.Time) (evidence, bool) {
	c := m.Crashes[i]
	e := evidence{engine: c.Engine, at: now.Add(-millis(c.AgeMillis)), answering: c.Answering, parts: c.Parts}
	if i < len(m.Requests) {
		e.fingerprint = m.Requests[i].Fingerprint
		if sent := m.Requests[i].SentMillis; plausible(sent) {
			e.sent = e.at.Add(-millis(sent))
		}
	}
	if i < len(m.Events) {
		e.events = max(m.Events[i], 0)
	}
	if i < len(m.Ended) {
		e.ended = m.Ended[i]
	}
	named := len(e.parts) > 0 || e.fingerprint != 0
	return e, named && len(e.parts) <= maxMessageParts && plausible(c.AgeMillis)
}

// mergeSound records that an answer was written with a part elsewhere, and reports
// whether that refutes evidence. The caller must hold mu.
func (q *Quarantiner) mergeSound(p Part, at, now time.Time) bool {
	if old, known := q.sound[p]; known && !at.After(old) {
		return false
	}
	suspected := q.suspected(p)
	q.sound[p] = at
	q.pruneSound(now)
	return suspected
}

// mergeHold quarantines a part that another node has quarantined, and reports whether
// it was not in quarantine here. An answer that was written with it since this node's
// last evidence speaks against it. The caller must hold mu.
func (q *Quarantiner) mergeHold(p Part, h hold) bool {
	now := q.cfg.Now()
	if limit := now.Add(maxHoldTime); h.until.After(limit) {
		h.until = limit
	}
	if !now.Before(h.until) {
		return false
	}
	if old, ok := q.holds[p]; ok && now.Before(old.until) {
		if h.stored && !old.stored {
			old.stored = true
			q.holds[p] = old
		}
		return false
	}
	if at, ok := q.sound[p]; ok && now.Sub(at) < evidenceTTL && !q.suspected(p) {
		return false
	}
	q.hold(p, h)
	return true
}

// plausible reports whether a time that another process told is neither negative nor
// absurdly long.
func plausible(ms int64) bool { return ms >= 0 && ms <= maxTold.Milliseconds() }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
