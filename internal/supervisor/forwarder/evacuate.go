package forwarder

import (
	"slices"
	"time"

	"banyanquay/internal/supervisor/forwarder/pather"
)

const (
	// evacuationGap is the time between two streams that this node moves off engines
	// that leave or give up their layers: the engines that take them read one prompt
	// after the other beside their other work.
	evacuationGap = 40 * time.Millisecond
	// evacuationTries is how often one stream is tried to move.
	evacuationTries = 3
)

// evacuate marks the next stream to move off an engine that leaves or gives up its
// layers. The stream moves right after its next event, which leaves most time until
// its caller misses one.
func (m *monitor) evacuate(now time.Time) {
	m.mu.Lock()
	due := now.Sub(m.evacuated) >= evacuationGap
	m.mu.Unlock()
	if !due {
		return
	}
	for _, s := range m.started() {
		if len(m.leaving(s.look().path)) > 0 && s.markToMove() {
			m.mu.Lock()
			m.evacuated = now
			m.mu.Unlock()
			return
		}
	}
}

// started lists the streams that have had events.
func (m *monitor) started() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*session
	for s := range m.sessions {
		if state := s.look(); state.current > 0 && state.cancel != nil {
			all = append(all, s)
		}
	}
	return all
}

// markToMove marks a stream to move after its next event, unless it was tried
// often.
func (s *session) markToMove() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.toMove || s.rescuing || s.evacuations >= evacuationTries {
		return false
	}
	s.toMove = true
	s.evacuations++
	return true
}

// leaving returns the addresses of a path's engines, but the first, that leave or no
// longer hold their part. The first can't be replaced along the way.
func (m *monitor) leaving(path []pather.Part) []string {
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

// moveOff moves a stream off the engines of its path that leave, if there is another
// path of the same first engine that crosses no more often.
func (m *monitor) moveOff(s *session) {
	defer s.unclaim()
	state := s.look()
	bad := m.leaving(state.path)
	if len(bad) == 0 || state.cancel == nil {
		return
	}
	detour, ok := m.detour(s, state, bad)
	if !ok || pather.Crossings(detour) > pather.Crossings(state.path) || slices.Equal(detour, state.path) {
		return
	}
	if done, _ := m.repath(s, state, detour); done {
		m.f.cfg.Counters.Stages.Add("evacuations", 1)
	}
}
