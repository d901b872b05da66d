package forwarder

import (
	"maps"
	"slices"
	"sync"
	"time"

	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/quarantiner"
)

const (
	// endingProbeDelay is the time after which an endpoint is probed that answered a request under which others crashed.
	endingProbeDelay = 100*time.Millisecond + closingDelay
	// endingCheckInterval is the time between two checks whether a request is suspected that was answered.
	endingCheckInterval = 250 * time.Millisecond
	// endingTTL is how long a request that was answered is held against its endpoint's stop. Other requests to the
	// endpoint mostly find out within that time.
	endingTTL = 2 * time.Second
	// maxEndings bounds the answers of one endpoint that are kept.
	maxEndings = 64
)

// ending is a whole answer. The endpoint may have crashed just behind it.
type ending struct {
	request  quarantiner.Request
	endpoint registrar.Entry
	sent     time.Time
	at       time.Time
	// detoured is set if the request was sent by way of another node.
	detoured bool
	// stream is set if it is the answer to a generation, with that number of events; at least ProvenEvents count if it
	// resumed another answer. proven is set if it came further than those that a stopped endpoint ended.
	stream  bool
	events  int
	resumed bool
	proven  bool
}

// endings holds the whole answers, by address, of which it isn't known yet whether their endpoint lived on. It is safe for
// concurrent use.
type endings struct {
	mu        sync.Mutex
	undecided map[string][]*ending
}

// add adds an answer. The oldest one of the endpoint is dropped if there are too many.
func (e *endings) add(end *ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.undecided == nil {
		e.undecided = make(map[string][]*ending)
	}
	all := append(e.undecided[end.endpoint.Address], end)
	e.undecided[end.endpoint.Address] = all[max(0, len(all)-maxEndings):]
}

// take removes and returns the answers of an address that match.
func (e *endings) take(address string, match func(*ending) bool) []*ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	var taken, left []*ending
	for _, end := range e.undecided[address] {
		if match(end) {
			taken = append(taken, end)
		} else {
			left = append(left, end)
		}
	}
	if len(left) == 0 {
		delete(e.undecided, address)
	} else if len(taken) > 0 {
		e.undecided[address] = left
	}
	return taken
}

// has reports whether an answer is undecided.
func (e *endings) has(end *ending) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.undecided[end.endpoint.Address], end)
}

// all returns all answers.
func (e *endings) all() []*ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Concat(slices.Collect(maps.Values(e.undecided))...)
}

// pending reports whether it has answers of an address.
func (e *endings) pending(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.undecided[address]) > 0
}

// watchEnding keeps a whole answer until it is known whether its endpoint lived on. The endpoint is probed for that only if
// others crashed under an equal request or one with the same part, which may be found out meanwhile.
func (f *Forwarder) watchEnding(end *ending) {
	f.endings.add(end)
	f.checkEndingAfter(endingProbeDelay, end)
}

// checkEndingAfter checks after a while, and again until that is decided, what an answer shows.
func (f *Forwarder) checkEndingAfter(wait time.Duration, end *ending) {
	time.AfterFunc(wait, func() {
		f.cfg.Recorder.Guard("ending", func() {
			suspected := f.cfg.Quarantine.Suspected(end.request)
			if suspected {
				f.probeEnding(end)
			}
			switch {
			case !f.endings.has(end):
			case f.cfg.Now().Sub(end.at) < endingTTL:
				f.checkEndingAfter(endingCheckInterval, end)
			case f.takeEnding(end) && !suspected:
				f.recordSound(end)
			}
		})
	})
}

// takeEnding reports whether it is still undecided what an answer shows, and that is decided now.
func (f *Forwarder) takeEnding(end *ending) bool {
	return len(f.endings.take(end.endpoint.Address, func(o *ending) bool { return o == end })) > 0
}

// probeEnding decides what an answer shows by a probe of its endpoint, unless that shows nothing. If it is refused,
// endpointRefused has decided it.
func (f *Forwarder) probeEnding(end *ending) {
	result := f.prober.resultSince(end.at.Add(endingProbeDelay-closingDelay), end.endpoint.Address)
	if result == probeAccepted && f.takeEnding(end) {
		f.recordSound(end)
	}
}

// endpointLived records that an endpoint answered a request that was sent after others had been answered.
func (f *Forwarder) endpointLived(address string, sent time.Time) {
	for _, end := range f.endings.take(address, func(o *ending) bool { return o.at.Before(sent) }) {
		f.recordSound(end)
	}
}

// endpointRefused takes that an endpoint refuses connections: it may have crashed under what it answered last.
func (f *Forwarder) endpointRefused(address string) {
	now := f.cfg.Now()
	for _, end := range f.endings.take(address, func(*ending) bool { return true }) {
		// An endpoint that leaves without a word is listed no longer some time before it stops.
		e, listed := f.cfg.Endpoints().Get(end.endpoint.ID)
		if now.Sub(end.at) > endingTTL || !listed || !e.SameStart(end.endpoint) || f.explainsStop(end) {
			continue
		}
		ended := quarantiner.LongEnded
		if now.Sub(end.at) < 2*endingProbeDelay {
			ended = quarantiner.JustEnded
		}
		time.AfterFunc(2*endingProbeDelay, func() {
			f.cfg.Recorder.Guard("ending", func() { f.recordEndedBy(end, ended) })
		})
	}
}

// recordEndedBy records a crash behind an answer, after what other answers show: those to equal requests, or to prompts
// with the same part, whose endpoints lived on. What else explains the stop may be known by now.
func (f *Forwarder) recordEndedBy(end *ending, ended quarantiner.Ended) {
	if f.explainsStop(end) {
		return
	}
	var probes sync.WaitGroup
	for _, other := range f.endings.all() {
		if other.shares(end) && f.cfg.Now().Sub(other.at) >= endingProbeDelay {
			probes.Go(func() { f.probeEnding(other) })
		}
	}
	probes.Wait()
	f.cfg.Quarantine.RecordCrash(quarantiner.Crash{
		Endpoint: end.endpoint.ID, Request: end.request, Sent: end.sent, At: end.at, Ended: ended, Events: end.countedEvents(),
	})
}

// shares reports whether another answer was to an equal request, or to a prompt with a part of this one's.
func (e *ending) shares(other *ending) bool {
	return e.request.Fingerprint == other.request.Fingerprint ||
		slices.ContainsFunc(e.request.Parts, func(p quarantiner.Part) bool { return slices.Contains(other.request.Parts, p) })
}

// explainsStop reports whether the endpoint of an answer is known to refuse connections for another cause than a crash: it
// leaves, or this node is cut off from it.
func (f *Forwarder) explainsStop(end *ending) bool {
	return f.leaves(end.endpoint) || !end.detoured && f.cutOffFrom(end.endpoint.Address)
}

// countedEvents returns the number of events that counts for a crash.
func (e *ending) countedEvents() int {
	if e.resumed {
		return max(e.events, quarantiner.ProvenEvents)
	}
	return e.events
}

// recordSound records that an answer was written, whose endpoint lived on.
func (f *Forwarder) recordSound(end *ending) {
	if !end.stream || end.events < quarantiner.ProvenEvents { // else it was recorded when it came that far
		f.cfg.Quarantine.RecordSoundAt(end.request, end.at)
	}
	if end.stream && end.proven {
		f.cfg.Quarantine.RecordProgressAt(end.request, quarantiner.WholeAnswer, end.at)
	}
}

// probeIfPending probes an endpoint that took no connection, if it matters whether it has stopped.
func (f *Forwarder) probeIfPending(address string) {
	if f.endings.pending(address) {
		f.start("probe", func() { f.prober.stopped(address) })
	}
}
