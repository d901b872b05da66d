package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pather"
)

// rescue finds out what a stream waits for and moves it.
func (m *monitor) rescue(s *session) {
	defer s.unclaim()
	state := s.look()
	if state.cancel == nil || len(state.path) == 0 {
		return
	}
	silence := m.f.cfg.Now().Sub(state.last)
	bad := m.suspects(s, state, silence)
	now := s.look()
	if now.cancel == nil || (now.last != state.last && !m.ended(now.path, bad)) {
		return // it ended, or went on
	}
	if len(bad) == 0 && silence < moveAfter {
		return
	}
	if m.onlySlow(state.path, bad) && !tooSlow(state, silence) {
		return
	}
	m.f.cfg.Counters.Stages.Add("stalls", 1)
	m.f.cfg.Recorder.Info(recorder.StreamStalled,
		zap.String("request", s.c.ID), zap.Strings("path", addresses(state.path)), zap.Strings("suspects", bad),
		zap.Duration("silence", silence), zap.Duration("interval", state.interval), zap.Int("events", state.events))
	m.move(s, now, bad)
}

// onlySlow tells whether the engines at fault answer, and are just slow.
func (m *monitor) onlySlow(path []pather.Part, bad []string) bool {
	for _, p := range path {
		if slices.Contains(bad, p.Address) && m.f.assessor.Doubtful(p.ID) {
			return false
		}
	}
	return len(bad) > 0
}

// tooSlow tells whether a slow stream is better begun anew: it would otherwise
// be late for its first event, or lose its caller.
func tooSlow(state snapshot, silence time.Duration) bool {
	if state.events == 0 {
		return silence > slowFirst
	}
	return silence > slowNext
}

// ended tells whether an engine of a path that is at fault has ended, so that no
// event can come along the path any more.
func (m *monitor) ended(path []pather.Part, bad []string) bool {
	return slices.ContainsFunc(path, func(p pather.Part) bool {
		return slices.Contains(bad, p.Address) && m.f.prober.ended(p.Address)
	})
}

// unheard returns the addresses of a path's engines but those along which
// another stream has just had an event.
func (m *monitor) unheard(s *session, path []pather.Part) []string {
	now := m.f.cfg.Now()
	heard := make(map[string]bool)
	m.mu.Lock()
	for other := range m.sessions {
		if state := other.look(); other != s && state.current > 0 && now.Sub(state.last) < heardFresh {
			for _, p := range state.path {
				heard[p.Address] = true
			}
		}
	}
	m.mu.Unlock()
	return slices.DeleteFunc(addresses(path), func(address string) bool { return heard[address] })
}

// suspects returns the addresses on a stream's path that are at fault.
func (m *monitor) suspects(s *session, state snapshot, silence time.Duration) []string {
	ended := m.f.prober.knownEnded(addresses(state.path))
	if !m.allow(m.knocks, knockRounds) {
		return ended
	}
	unheard := m.unheard(s, state.path)
	bad := m.f.prober.gone(unheard, len(state.path)-len(unheard))
	for _, address := range ended {
		if !slices.Contains(bad, address) {
			bad = append(bad, address)
		}
	}
	for _, p := range state.path {
		if slices.Contains(bad, p.Address) {
			m.f.doubt(p.ID, p.Address, silentTime, whySilent)
		}
	}
	if len(bad) > 0 || (silence < askAfter && state.looked < lookedOften) {
		return bad
	}
	return m.ask(s, state)
}

// ask asks the engines of a stream's path, and returns the addresses of those that
// are slow, or of the one for which the first waits.
func (m *monitor) ask(s *session, state snapshot) []string {
	if !m.allow(m.asks, reportRounds) {
		return nil
	}
	var bad []string
	reports := m.reports.reports(state.path)
	for _, p := range state.path {
		if pace := reports[p.ID].Pace; pace > slowPace {
			if m.f.slow(p.ID, p.Address, pace, true) {
				go m.survey(s.c.service)
			}
			bad = append(bad, p.Address)
		}
	}
	if address, ok := reports[state.first().ID].Stalled[s.c.ID]; ok {
		for _, p := range state.path {
			if p.Address == address {
				m.f.doubt(p.ID, address, stalledTime, "stalled")
				return []string{address}
			}
		}
	}
	return bad
}
