package forwarder

import (
	"slices"
	"time"

	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

const (
	// evacuationInterval is the time between two streams that this node moves off
	// engines that are leaving or giving up their layers. The engines that take over
	// the streams prefill one prompt at a time in addition to their other work.
	evacuationInterval = 40 * time.Millisecond
	// maxEvacuations is how often this node tries to move one stream.
	maxEvacuations = 3
)

// evacuateNext marks the next stream to move off an engine that is leaving or
// giving up its layers. The stream moves right after its next event, which leaves
// the most time until its caller misses one.
func (m *monitor) evacuateNext(now time.Time) {
	m.mu.Lock()
	due := now.Sub(m.lastEvacuation) >= evacuationInterval
	m.mu.Unlock()
	if !due {
		return
	}
	for _, s := range m.startedSessions() {
		if len(m.leavingAddresses(s.snapshot().path)) > 0 && s.markForEvacuation() {
			m.mu.Lock()
			m.lastEvacuation = now
			m.mu.Unlock()
			return
		}
	}
}

// startedSessions returns the sessions whose current attempt has had an event.
func (m *monitor) startedSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*session
	for s := range m.sessions {
		if state := s.snapshot(); state.attemptEvents > 0 && state.cancel != nil {
			all = append(all, s)
		}
	}
	return all
}

// markForEvacuation marks a stream to move after its next event. It returns false
// if the stream is marked already, is being recovered or has reached
// maxEvacuations.
func (s *session) markForEvacuation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuationDue || s.recovering || s.evacuations >= maxEvacuations {
		return false
	}
	s.evacuationDue = true
	s.evacuations++
	return true
}

// leavingAddresses returns the addresses of a path's engines that are leaving or no
// longer hold their stage. The first engine is left out: a path change can't replace
// it.
func (m *monitor) leavingAddresses(path []pathfinder.Stage) []string {
	if len(path) < 2 {
		return nil
	}
	table := m.f.cfg.Endpoints()
	var addresses []string
	for _, p := range path[1:] {
		e, ok := table.Get(p.ID)
		if ok && (e.Leaving || p.First < e.First || p.Last > e.Last) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// evacuate moves a stream off the engines of its path that are leaving, if there is
// an alternative path with the same first engine and no more crossings between data
// centres.
func (m *monitor) evacuate(s *session) {
	defer s.endRecovery()
	state := s.snapshot()
	leaving := m.leavingAddresses(state.path)
	if len(leaving) == 0 || state.cancel == nil {
		return
	}
	alternative, ok := m.alternativePath(s, state, leaving)
	if !ok || pathfinder.Crossings(alternative) > pathfinder.Crossings(state.path) || slices.Equal(alternative, state.path) {
		return
	}
	if done, _ := m.changePath(s, state, alternative); done {
		m.f.cfg.Counters.Stages.Add("evacuations", 1)
	}
}
