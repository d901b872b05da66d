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
	if len(faulty) == 0 && m.reconnect(s, current) {
		return
	}
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

// helperStallTimeout is the silence after which a stream is sent again that arrives by way of
// another node, if no engine is at fault.
const helperStallTimeout = 300 * time.Millisecond

// reconnect restarts a stream if it is silent since this node, or the one by way of which the
// stream arrives, has lost the connection to the first engine. It reports whether it does.
func (m *monitor) reconnect(s *session, state snapshot) bool {
	silent := state.cancel != nil && m.f.cfg.Now().Sub(state.lastProgress) >= minStallTimeout
	if !silent || !m.f.lostConnection(state) || !m.f.canContinue(s, state, nil) || !m.f.payRestart(s, state) {
		return false
	}
	m.f.cfg.Counters.Stages.Add("reconnects", 1)
	m.f.cfg.Recorder.Info(recorder.StreamStalled,
		zap.String("request", s.c.ID), zap.Strings("path", addresses(state.path)), zap.Bool("cut_off", true),
		zap.Duration("silence", m.f.cfg.Now().Sub(state.lastProgress)), zap.Int("events", state.events))
	state.cancel(errCutOff)
	return true
}

// lostConnection reports whether the connection of an attempt to its first engine is lost,
// though others reach the engine.
func (f *Forwarder) lostConnection(state snapshot) bool {
	if state.detoured {
		return f.cfg.Now().Sub(state.lastProgress) >= helperStallTimeout
	}
	return f.cutOffFrom(state.first().Address)
}

// cutOffFrom reports whether other nodes reach an endpoint that this one doesn't.
func (f *Forwarder) cutOffFrom(address string) bool {
	return f.cfg.Relay.CutOff != nil && f.cfg.Relay.CutOff(address)
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

// requestReports requests the report of a stream's first engine, which names the
// engine that the stream waits for, and then the paces of the path's engines that
// are not known. It returns the address of the former, or those of slow engines.
func (m *monitor) requestReports(s *session, state snapshot) []string {
	if !m.allow(m.reportLimiter, reportRate) {
		return nil
	}
	first := m.reports.reports(state.path[:1])[state.first().ID]
	if address, ok := first.Stalled[s.c.ID]; ok {
		for _, p := range state.path {
			if p.Address == address {
				m.f.markSuspect(p.ID, address, stalledBackoff, "stalled")
				return []string{address}
			}
		}
	}
	m.requestPaces(s.c.service, state.path)
	now := m.f.cfg.Now()
	var slow []string
	for _, p := range state.path {
		if m.f.assessor.Record(p.ID).CurrentPace(now) > slowThreshold {
			slow = append(slow, p.Address)
		}
	}
	return slow
}

// requestPaces requests the paces of the engines whose pace this node does not know.
// If one turns out to be slow, all engines of the service are asked.
func (m *monitor) requestPaces(service string, path []pathfinder.Stage) {
	now := m.f.cfg.Now()
	unknown := slices.DeleteFunc(slices.Clone(path), func(p pathfinder.Stage) bool {
		rec := m.f.assessor.Record(p.ID)
		return rec.CurrentPace(now) > slowThreshold || now.Sub(rec.PacedAt) < paceTTL
	})
	reports := m.reports.reports(unknown)
	for _, p := range unknown {
		if r, ok := reports[p.ID]; ok && m.f.recordPace(p.ID, p.Address, max(r.Pace, 1), true) {
			m.f.start("survey", func() { m.surveyPaces(service) })
		}
	}
}
