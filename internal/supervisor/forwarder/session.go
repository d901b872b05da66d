package forwarder

import (
	"context"
	"sync"
	"time"

	"banyanquay/internal/supervisor/forwarder/pathfinder"
	"banyanquay/internal/supervisor/quarantiner"
)

// session is one generation in progress.
type session struct {
	f *Forwarder
	c *call
	// version is the version of the weights that the answer began with. Only the request's
	// goroutine writes it, with mu held.
	version string

	mu sync.Mutex
	// failed holds the IDs of the engines that the attempts after this one don't try.
	failed map[string]bool
	// path is empty before the first attempt.
	path   []pathfinder.Stage
	cancel context.CancelCauseFunc
	// attempt counts the attempts.
	attempt int
	// release stops counting the load of the path as in progress.
	release func()
	// endWait stops counting the prompt as waiting for its first event; nil if it doesn't.
	endWait func()
	// lastProgress is when the attempt began or its last event arrived.
	lastProgress time.Time
	// events counts the events of all attempts, and attemptEvents those of the current
	// one.
	events        int
	attemptEvents int
	// interval is the smoothed time between two events.
	interval time.Duration
	// longestPause is the longest pause between two events so far.
	longestPause time.Duration
	// recovering is set while the monitor recovers or evacuates the stream, and
	// nextCheck is when it may be recovered again.
	recovering bool
	nextCheck  time.Time
	// pathSuspected is set while an engine of the path counts as unreachable, which
	// shortens the stall timeout. The next event clears it.
	pathSuspected bool
	// evacuationDue is set until the next event, after which the stream is moved off a
	// leaving engine. evacuations counts how often it was set.
	evacuationDue bool
	evacuations   int
	// checks counts the checks since the last event, and attemptChecks those of the
	// attempt.
	checks        int
	attemptChecks int
	// lastBeforeMove is when the last event before a path change arrived; zero if
	// events have arrived since.
	lastBeforeMove time.Time
	moves          int
	// runs counts the attempts that an engine started and that count against the
	// route's limit.
	runs int
	// paidAt is when a retry was taken from the budget for the next attempt; zero if none was.
	paidAt time.Time
	// detoured is set once the attempt's first engine is called by way of another node.
	detoured bool
	// proveAt is the number of events of the attempt at which it is recorded next how far the answer came.
	proveAt int
}

// It is recorded how far an answer came at firstProof events of an attempt, then each proofInterval until finestProof, and
// each time that their number has doubled after that.
const (
	firstProof    = 2 * quarantiner.ProvenEvents
	proofInterval = 4
	finestProof   = 70
)

// provesCoarsely reports whether it is also recorded at a number of events while no endpoint has crashed under an answer in
// progress: what is known of a part then may be needed soon after.
func provesCoarsely(events int) bool {
	n := (events - firstProof) / proofInterval
	return n&(n-1) == 0 || events > finestProof
}

// intervalWeight is the weight of a new interval in the smoothed one.
const intervalWeight = 0.1

// start starts an attempt along a path.
func (s *session) start(path []pathfinder.Stage, cancel context.CancelCauseFunc) {
	s.f.recordPrefill(s.c.service, path, s.c.PromptTokens, s.snapshot().events)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.f.cfg.Now()
	if s.events > 0 && s.lastBeforeMove.IsZero() {
		s.lastBeforeMove = s.lastProgress
	}
	s.cancel, s.attemptEvents, s.lastProgress, s.nextCheck, s.checks, s.attemptChecks, s.pathSuspected = cancel, 0, now, now, 0, 0, false
	s.detoured, s.proveAt = false, firstProof
	s.failed = s.c.failed()
	s.attempt++
	s.setPath(path)
}

// setVersion sets the version of the weights that the answer began with.
func (s *session) setVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// recordDetour records that the attempt's first engine is called by way of another node.
func (s *session) recordDetour() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detoured = true
}

// setPath counts the load of a path as in progress, instead of that of the previous
// one. The caller holds the lock.
func (s *session) setPath(path []pathfinder.Stage) {
	if s.release != nil {
		s.release()
	}
	s.path = path
	s.release = s.f.beginPath(path, s.c.neededTokens)
	s.stopWaiting()
	if s.events == 0 {
		s.endWait = s.f.pacer.Begin(ids(path), s.c.paced())
	}
}

// stopWaiting stops counting the prompt as waiting. The caller holds the lock.
func (s *session) stopWaiting() {
	if s.endWait != nil {
		s.endWait()
		s.endWait = nil
	}
}

// stop ends the attempt and the count of its path's load.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release != nil {
		s.release()
	}
	s.release, s.cancel = nil, nil
	s.stopWaiting()
}

// addRun counts an attempt that an engine started.
func (s *session) addRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

// paidTTL is how long a retry that payRetry has taken is used. It is far below the window in which
// retries are counted.
const paidTTL = time.Second

// payRetry takes a retry from the budget for the attempt that follows that of state, unless one is
// taken already. It reports whether there is one, and the attempt still the current one.
func (s *session) payRetry(state snapshot) bool {
	current := func() bool { return s.cancel != nil && s.attempt == state.attempt }
	s.mu.Lock()
	going, paid := current(), s.hasPaid()
	s.mu.Unlock()
	if !going || paid {
		return going
	}
	// The budget asks other parts of the node, so that the session isn't locked meanwhile.
	if !s.f.cfg.Budget.TakeRetry(s.c.service, state.events > 0) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paidAt = s.f.cfg.Now()
	return current()
}

// hasPaid reports whether payRetry has just taken a retry. The caller holds s.mu.
func (s *session) hasPaid() bool {
	return !s.paidAt.IsZero() && s.f.cfg.Now().Sub(s.paidAt) < paidTTL
}

// mayRetry reports whether takeRetry would succeed now.
func (s *session) mayRetry() bool {
	s.mu.Lock()
	paid := s.hasPaid()
	s.mu.Unlock()
	return paid || s.f.cfg.Budget.CanRetry(s.c.service, s.c.begun())
}

// takeRetry takes a retry for the next attempt, unless payRetry has just done so. It reports
// whether there is one.
func (s *session) takeRetry() bool {
	s.mu.Lock()
	paid := s.hasPaid()
	s.paidAt = time.Time{}
	s.mu.Unlock()
	return paid || s.f.cfg.Budget.TakeRetry(s.c.service, s.c.begun())
}

// recordEvent records the arrival of an event. It returns the number of events of the attempt, and whether it is to be
// recorded how far the answer came.
func (s *session) recordEvent(now time.Time) (attempt int, proves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopWaiting()
	if s.events > 0 {
		pause := now.Sub(s.lastProgress)
		if !s.lastBeforeMove.IsZero() {
			pause = now.Sub(s.lastBeforeMove)
			s.f.cfg.Latency.Recoveries.Record(pause)
			s.lastBeforeMove = time.Time{}
		}
		s.longestPause = max(s.longestPause, pause)
		if s.attemptEvents > 0 {
			if s.interval == 0 {
				s.interval = pause
			}
			s.interval += time.Duration(intervalWeight * float64(pause-s.interval))
		}
	}
	s.lastProgress = now
	s.events++
	s.attemptEvents++
	s.checks, s.nextCheck, s.pathSuspected = 0, now, false
	if s.evacuationDue && !s.recovering {
		s.evacuationDue, s.recovering = false, true
		s.f.start("evacuation", func() { s.f.monitor.evacuate(s) })
	}
	if s.attemptEvents >= s.proveAt {
		s.proveAt, proves = s.attemptEvents+proofInterval, true
		if s.attemptEvents >= finestProof {
			s.proveAt = 2 * s.attemptEvents
		}
	}
	return s.attemptEvents, proves
}

// snapshot is a session's state at one moment. It is an immutable value.
type snapshot struct {
	path         []pathfinder.Stage
	cancel       context.CancelCauseFunc
	attempt      int
	lastProgress time.Time
	// attemptEvents counts the events of the current attempt.
	attemptEvents int
	events        int
	interval      time.Duration
	longestPause  time.Duration
	moves         int
	attemptChecks int
	runs          int
	detoured      bool
	version       string
	// failed holds the IDs of the engines that the next attempt doesn't try.
	failed map[string]bool
}

// snapshot returns the session's state.
func (s *session) snapshot() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{
		path: s.path, cancel: s.cancel, attempt: s.attempt, lastProgress: s.lastProgress, attemptEvents: s.attemptEvents, events: s.events,
		interval: s.interval, longestPause: s.longestPause, moves: s.moves, attemptChecks: s.attemptChecks, runs: s.runs,
		detoured: s.detoured, version: s.version, failed: s.failed,
	}
}

// first returns the first engine of the path.
func (s snapshot) first() pathfinder.Stage {
	if len(s.path) == 0 {
		return pathfinder.Stage{}
	}
	return s.path[0]
}
