package forwarder

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// HandleUnreachable handles another node's report that an endpoint is unreachable, for
// this one as for the nodes that the other one asked. This node tries one connection and
// asks nobody; it suspects the endpoint if the connection fails.
func (f *Forwarder) HandleUnreachable(id string) {
	e, ok := f.cfg.Endpoints().Get(id)
	if !ok || f.monitor.knownUnreachable(e.Address) {
		return
	}
	if f.cfg.Relay.NoteUnreachable != nil {
		f.cfg.Relay.NoteUnreachable(e.Address)
	}
	f.start("probe", func() {
		if f.prober.confirms(e.Address) {
			f.markSuspect(e.ID, e.Address, unreachableBackoff, reasonUnreachable)
		}
	})
}

// recoverStreams recovers the streams whose path has an engine that has stopped,
// before they count as stalled. If the engine may be unreachable from this node
// only, it just shortens their stall timeout.
func (m *monitor) recoverStreams(address string) {
	stopped := m.f.prober.stopped(address)
	m.mu.Lock()
	var found []*session
	for s := range m.sessions {
		if s.markUnreachable(address, stopped) {
			found = append(found, s)
		}
	}
	m.mu.Unlock()
	for _, s := range found {
		m.f.start("recovery", func() { m.recoverStream(s) })
	}
}

// markUnreachable marks a stream whose path has an unreachable engine, and returns
// whether it has to be recovered at once: if the engine has stopped. If not, the
// engine may be unreachable from this node only, and the stall timeout is shortened
// instead.
func (s *session) markUnreachable(address string, stopped bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	uses := slices.ContainsFunc(s.path, func(p pathfinder.Stage) bool { return p.Address == address })
	if s.cancel == nil || s.recovering || !uses {
		return false
	}
	s.pathSuspected, s.recovering = true, stopped
	return stopped
}

// markSuspect lets an engine be avoided for a while. An engine that was not known
// to be unreachable is counted, logged and broadcast as such even if it is a
// suspect already for another reason.
func (f *Forwarder) markSuspect(id, address string, d time.Duration, reason string) {
	newlyUnreachable := reason == reasonUnreachable && f.monitor.recordUnreachable(address)
	if newlyUnreachable || !f.assessor.IsSuspect(id) {
		f.cfg.Counters.Stages.Add("doubts_"+reason, 1)
		f.cfg.Recorder.Info(recorder.EndpointSuspect,
			zap.String("endpoint", id), zap.String("address", address), zap.String("why", reason), zap.Duration("for", d))
	}
	f.assessor.MarkSuspect(id, d)
	if newlyUnreachable {
		f.cfg.BroadcastUnreachable(id)
		f.monitor.recoverStreams(address)
	}
}

// recordUnreachable records that an engine was found unreachable, and returns
// whether that was not known.
func (m *monitor) recordUnreachable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.knownUnreachableLocked(address)
	m.unreachable[address] = m.f.cfg.Now()
	return !known
}

// knownUnreachable reports whether an engine was found unreachable recently.
func (m *monitor) knownUnreachable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownUnreachableLocked(address)
}

// knownUnreachableLocked is knownUnreachable for callers that hold the lock.
func (m *monitor) knownUnreachableLocked(address string) bool {
	at, ok := m.unreachable[address]
	return ok && m.f.cfg.Now().Sub(at) < unreachableBackoff
}

// prune drops the unreachable engines whose address is no longer known.
func (m *monitor) prune(known map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.unreachable, func(address string, _ time.Time) bool { return !known[address] })
}

// reasonUnreachable is the reason given to the other nodes for a suspected engine.
const reasonUnreachable = "silent"
