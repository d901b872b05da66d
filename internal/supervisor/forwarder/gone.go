package forwarder

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pather"
)

// abandon looks at once into the streams whose path has an engine that is gone.
// Their own silence would tell it later.
func (m *monitor) abandon(address string) {
	ended := m.f.prober.ended(address)
	m.mu.Lock()
	var found []*session
	for s := range m.sessions {
		if s.abandon(address, ended) {
			found = append(found, s)
		}
	}
	m.mu.Unlock()
	for _, s := range found {
		go m.rescue(s)
	}
}

// abandon marks a stream to look into if its path has an engine that has ended.
// One whose engine may be silent only here is looked into after a shorter
// silence.
func (s *session) abandon(address string, ended bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := slices.ContainsFunc(s.path, func(p pather.Part) bool { return p.Address == address })
	if s.cancel == nil || s.rescuing || !uses {
		return false
	}
	s.hurried, s.rescuing = true, ended
	return ended
}

// doubt lets an engine be avoided for a while. That it is gone is news even of one
// that is avoided already for another reason.
func (f *Forwarder) doubt(id, address string, d time.Duration, why string) {
	gone := why == whySilent && f.monitor.news(address)
	if gone || !f.assessor.Doubtful(id) {
		f.cfg.Counters.Stages.Add("doubts_"+why, 1)
		f.cfg.Recorder.Info(recorder.EndpointSuspect,
			zap.String("endpoint", id), zap.String("address", address), zap.String("why", why), zap.Duration("for", d))
	}
	f.assessor.Suspect(id, d)
	if gone {
		f.cfg.Silent(id)
		f.monitor.abandon(address)
	}
}

// news takes in that an engine was found gone, and tells whether that was not
// known.
func (m *monitor) news(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.knows(address)
	m.gone[address] = m.f.cfg.Now()
	return !known
}

// foundGone tells whether an engine was found gone of late.
func (m *monitor) foundGone(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knows(address)
}

// knows is foundGone for callers that have the lock.
func (m *monitor) knows(address string) bool {
	at, ok := m.gone[address]
	return ok && m.f.cfg.Now().Sub(at) < silentTime
}

// keep forgets the engines that are gone for good.
func (m *monitor) keep(known map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.gone, func(address string, _ time.Time) bool { return !known[address] })
}

// whySilent is the reason of a doubt that the other nodes are told of.
const whySilent = "silent"
