package forwarder

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"banyanquay/internal/grouper"
)

const (
	// monitorInterval is the time between two checks of the streams in progress.
	monitorInterval = 10 * time.Millisecond
	// pauseThreshold is the minimum time between two checks after which this process
	// counts as having been paused, so that events from engines are late, too.
	// pauseGrace is how long it then processes the events that arrived during the
	// pause before it checks for stalls again.
	pauseThreshold = 20 * time.Millisecond
	pauseGrace     = 30 * time.Millisecond
	// A stream is checked after a silence of stallFactor times its usual interval
	// between events, but no sooner than after minStallTimeout and no later than after
	// maxStallTimeout. Before its first event, it is checked after firstEventTimeout.
	stallFactor       = 1.7
	minStallTimeout   = 60 * time.Millisecond
	maxStallTimeout   = 130 * time.Millisecond
	firstEventTimeout = 130 * time.Millisecond
	// These values replace the above for a stream whose path has an engine that was
	// found unreachable for another stream: one late event is enough.
	suspectStallFactor       = 1.1
	minSuspectStallTimeout   = 25 * time.Millisecond
	suspectFirstEventTimeout = 60 * time.Millisecond
	// reportThreshold is the silence after which the engines of the path are asked
	// what they wait for, if all of them accept connections.
	reportThreshold = 150 * time.Millisecond
	// reportAfterChecks is the number of checks after which the engines are asked
	// however short the silence: a path that is always late has a slow engine.
	reportAfterChecks = 3
	// moveThreshold is the silence after which a stream is moved even if no engine is
	// known to be at fault.
	moveThreshold = 900 * time.Millisecond
	// slowFirstThreshold and slowNextThreshold are the silences after which a stream
	// on a path with a slow engine is restarted, before and after its first event.
	// Callers disconnect after two seconds.
	slowFirstThreshold = 250 * time.Millisecond
	slowNextThreshold  = 700 * time.Millisecond
	// recentEventAge is the maximum age of a stream's event for which the engines of
	// its path are not probed for another stream. It is short since the event left the
	// engine some time before it arrived.
	recentEventAge = 30 * time.Millisecond
	// checkDelay is the time between two checks of one stream. It doubles with each
	// check that finds nothing, up to maxCheckDelay.
	checkDelay    = 40 * time.Millisecond
	maxCheckDelay = 500 * time.Millisecond
	// unreachableBackoff is how long an engine is avoided that accepted no connection.
	unreachableBackoff = 3 * time.Second
	// stalledBackoff is how long an engine is avoided that others wait for.
	stalledBackoff = 2 * time.Second
	// probeRate and reportRate limit the paths per second that all nodes together
	// probe, and those of whose engines they request reports. burstSeconds is how many
	// seconds of its share a node may use at once, as when an engine with many streams
	// stops.
	probeRate    = 400
	reportRate   = 30
	burstSeconds = 2
	// maxSilence is the silence after which an attempt ends whatever the cause is, also
	// if its request can't be sent again. Bytes that are no event don't end a silence.
	maxSilence = 30 * time.Second
	// changePathTimeout is the timeout of an order to change a path.
	changePathTimeout = 150 * time.Millisecond
)

// monitor watches the streams in progress and moves those that stall.
type monitor struct {
	f *Forwarder

	reports *reporter
	// probeLimiter and reportLimiter limit the rates of probes and of report requests.
	probeLimiter  *rate.Limiter
	reportLimiter *rate.Limiter

	mu sync.Mutex
	// lastTick is when the streams were last checked, lastPause when a check last came late, and pauseBegan
	// when the one before that was.
	lastTick   time.Time
	lastPause  time.Time
	pauseBegan time.Time
	// lastSurvey is when all engines were last asked for their pace.
	lastSurvey time.Time
	sessions   map[*session]bool
	// lastEvacuation is when a stream was last marked to move off a leaving engine.
	lastEvacuation time.Time
	// unreachable is when engines were last found unreachable, by address.
	unreachable map[string]time.Time
}

func newMonitor(f *Forwarder) *monitor {
	return &monitor{
		f: f, reports: newReporter(f.cfg.Relay.Report, f.cfg.Now),
		sessions: make(map[*session]bool), unreachable: make(map[string]time.Time),
		probeLimiter: rate.NewLimiter(rate.Inf, 1), reportLimiter: rate.NewLimiter(rate.Inf, 1),
	}
}

// addSession adds a session for a call.
func (m *monitor) addSession(c *call) *session {
	s := &session{f: m.f, c: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s] = true
	return s
}

// removeSession stops and removes a session.
func (m *monitor) removeSession(s *session) {
	s.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
}

// Step returns the step that watches the streams until its context ends.
func (f *Forwarder) Step() grouper.Step {
	return grouper.Step{Name: "monitor", Run: func(ctx context.Context) error {
		tick := time.NewTicker(monitorInterval)
		defer tick.Stop()
		refresh := time.NewTicker(slowReportInterval)
		defer refresh.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				f.cfg.Recorder.Guard("monitor", func() { f.monitor.checkStreams(f.cfg.Now()) })
			case <-refresh.C:
				f.cfg.Recorder.Guard("paces", f.monitor.refreshSlow)
			}
		}
	}}
}

// checkStreams recovers the streams that have stalled, and evacuates the next one.
func (m *monitor) checkStreams(now time.Time) {
	if !m.recordTick(now) {
		return
	}
	m.endSilent(now)
	for _, s := range m.markStalled(now) {
		m.f.start("recovery", func() { m.recoverStream(s) })
	}
	m.evacuateNext(now)
}

// recordTick records a check of the streams, and returns whether stalls may be
// judged: not right after a pause of this process.
func (m *monitor) recordTick(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseThreshold {
		m.lastPause, m.pauseBegan = now, m.lastTick
		m.f.cfg.Counters.Stages.Add("late_ticks", 1)
	}
	m.lastTick = now
	return m.lastPause.IsZero() || now.Sub(m.lastPause) >= pauseGrace
}

// pausedSince reports whether this process has been paused after the given time.
func (m *monitor) pausedSince(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastTick.IsZero() {
		return false
	}
	return m.lastPause.After(since) || m.f.cfg.Now().Sub(m.lastTick) >= pauseThreshold
}

// awakeUntil returns the end of the time between two moments in which this process certainly was not paused: what it noticed at
// the second one may have happened since then.
func (m *monitor) awakeUntil(since, now time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	until := now
	if m.lastPause.After(since) && now.Sub(m.lastPause) < pauseGrace {
		until = m.pauseBegan
	} else if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseThreshold {
		until = m.lastTick
	}
	if until.Before(since) {
		return since
	}
	return until
}

// endSilent ends the attempts that have been silent for too long.
func (m *monitor) endSilent(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		if state := s.snapshot(); state.cancel != nil && now.Sub(state.lastProgress) >= maxSilence {
			state.cancel(errSilent)
		}
	}
}

// markStalled marks the stalled streams for recovery and returns them.
func (m *monitor) markStalled(now time.Time) []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*session
	for s := range m.sessions {
		if s.beginRecovery(now) {
			found = append(found, s)
		}
	}
	return found
}

// beginRecovery marks a stream for recovery if it has stalled and is not being
// recovered already.
func (s *session) beginRecovery(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil || s.recovering || now.Before(s.nextCheck) || now.Sub(s.lastProgress) < s.stallTimeout() {
		return false
	}
	s.recovering = true
	return true
}

// stallTimeout is the silence after which the stream counts as stalled. The caller
// holds s.mu.
func (s *session) stallTimeout() time.Duration {
	switch {
	case s.attemptEvents == 0 && s.pathSuspected:
		return suspectFirstEventTimeout
	case s.attemptEvents == 0:
		return firstEventTimeout
	case s.pathSuspected:
		return min(max(time.Duration(suspectStallFactor*float64(s.interval)), minSuspectStallTimeout), maxStallTimeout)
	}
	return min(max(time.Duration(stallFactor*float64(s.interval)), minStallTimeout), maxStallTimeout)
}

// endRecovery ends a recovery and sets the time of the next check.
func (s *session) endRecovery() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovering = false
	s.nextCheck = s.f.cfg.Now().Add(min(checkDelay<<min(s.checks, 10), maxCheckDelay))
	s.checks++
	s.attemptChecks++
}

// allow reports whether this node may check one more stream. All nodes together do so
// at a limited rate, so that probes and report requests don't add to an overload.
func (m *monitor) allow(l *rate.Limiter, fleetRate float64) bool {
	nodeRate := fleetRate / float64(max(m.f.cfg.Nodes(), 1))
	l.SetLimit(rate.Limit(nodeRate))
	l.SetBurst(max(int(nodeRate*burstSeconds), 2))
	return l.Allow()
}
