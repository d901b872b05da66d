package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// recoverStream finds out why a stream has stalled and moves it.
func (m *monitor) recoverStream(s *session) {
	defer s.endRecovery()
	state := s.snapshot()
	if state.cancel == nil || len(state.path) == 0 {
		return
	}
	silence := m.f.cfg.Now().Sub(state.lastProgress)
	faulty := m.suspects(s, state, silence)
	current := s.snapshot()
	if current.cancel == nil || (current.lastProgress != state.lastProgress && !m.anyStopped(current.path, faulty)) {
		return // the stream ended or continued
	}
	if len(faulty) == 0 && silence < moveThreshold {
		return
	}
	if m.onlySlow(state.path, faulty) && !tooSlow(state, silence) {
		return
	}
	m.f.cfg.Counters.Stages.Add("stalls", 1)
	m.f.cfg.Recorder.Info(recorder.StreamStalled,
		zap.String("request", s.c.ID), zap.Strings("path", addresses(state.path)), zap.Strings("suspects", faulty),
		zap.Duration("silence", silence), zap.Duration("interval", state.interval), zap.Int("events", state.events))
	m.move(s, current, faulty)
}

// onlySlow reports whether the engines at fault respond and are just slow.
func (m *monitor) onlySlow(path []pathfinder.Stage, faulty []string) bool {
	for _, p := range path {
		if slices.Contains(faulty, p.Address) && m.f.assessor.IsSuspect(p.ID) {
			return false
		}
	}
	return len(faulty) > 0
}

// tooSlow reports whether a slow stream is better restarted: otherwise its first
// event would be late, or its caller would disconnect.
func tooSlow(state snapshot, silence time.Duration) bool {
	if state.events == 0 {
		return silence > slowFirstThreshold
	}
	return silence > slowNextThreshold
}

// anyStopped reports whether a faulty engine of a path has stopped, so that no more
// events can arrive along it.
func (m *monitor) anyStopped(path []pathfinder.Stage, faulty []string) bool {
	return slices.ContainsFunc(path, func(p pathfinder.Stage) bool {
		return slices.Contains(faulty, p.Address) && m.f.prober.stopped(p.Address)
	})
}

// withoutRecentEvents returns the addresses of a path's engines, except those along
// which another stream has just had an event.
func (m *monitor) withoutRecentEvents(s *session, path []pathfinder.Stage) []string {
	now := m.f.cfg.Now()
	recent := make(map[string]bool)
	m.mu.Lock()
	for other := range m.sessions {
		if state := other.snapshot(); other != s && state.attemptEvents > 0 && now.Sub(state.lastProgress) < recentEventAge {
			for _, p := range state.path {
				recent[p.Address] = true
			}
		}
	}
	m.mu.Unlock()
	return slices.DeleteFunc(addresses(path), func(address string) bool { return recent[address] })
}

// suspects returns the addresses on a stream's path that are at fault.
func (m *monitor) suspects(s *session, state snapshot, silence time.Duration) []string {
	stopped := m.f.prober.recentlyStopped(addresses(state.path))
	if !m.allow(m.probeLimiter, probeRate) {
		return stopped
	}
	unconfirmed := m.withoutRecentEvents(s, state.path)
	faulty := m.f.prober.unreachable(unconfirmed, len(state.path)-len(unconfirmed))
	for _, address := range stopped {
		if !slices.Contains(faulty, address) {
			faulty = append(faulty, address)
		}
	}
	for _, p := range state.path {
		if slices.Contains(faulty, p.Address) {
			m.f.markSuspect(p.ID, p.Address, unreachableBackoff, reasonUnreachable)
		}
	}
	if len(faulty) > 0 || (silence < reportThreshold && state.attemptChecks < reportAfterChecks) {
		return faulty
	}
	return m.requestReports(s, state)
}

// requestReports requests reports from the engines of a stream's path. It returns
// the addresses of those that are slow, or of the engine that the first engine
// waits for.
func (m *monitor) requestReports(s *session, state snapshot) []string {
	if !m.allow(m.reportLimiter, reportRate) {
		return nil
	}
	var faulty []string
	reports := m.reports.reports(state.path)
	for _, p := range state.path {
		if pace := reports[p.ID].Pace; pace > slowThreshold {
			if m.f.recordPace(p.ID, p.Address, pace, true) {
				go m.surveyPaces(s.c.service)
			}
			faulty = append(faulty, p.Address)
		}
	}
	if address, ok := reports[state.first().ID].Stalled[s.c.ID]; ok {
		for _, p := range state.path {
			if p.Address == address {
				m.f.markSuspect(p.ID, address, stalledBackoff, "stalled")
				return []string{address}
			}
		}
	}
	return faulty
}
