package forwarder

import (
	"context"
	"errors"
	"maps"
	"slices"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// move moves a stream off the engines at fault: along another path with the same
// first engine if that path has no more crossings between data centres, else by a
// restart from another first engine.
func (m *monitor) move(s *session, state snapshot, faulty []string) {
	headFaulty := slices.Contains(faulty, state.first().Address)
	alternative, found := []pathfinder.Stage(nil), false
	for range maxAlternatives {
		if headFaulty || len(faulty) == 0 {
			break
		}
		alternative, found = m.alternativePath(s, state, faulty)
		if !found || pathfinder.Crossings(alternative) > pathfinder.Crossings(state.path) {
			break
		}
		done, refused := m.changePath(s, state, alternative)
		if done {
			return
		}
		if refused == "" {
			break
		}
		faulty = append(faulty, refused)
		headFaulty = refused == state.first().Address
	}
	if !m.restartImproves(s, state) {
		return
	}
	if m.f.payRestart(s, state) {
		state.cancel(errStalled)
		return
	}
	m.f.cfg.Counters.Stages.Add("moves_unpaid", 1)
	if found {
		m.changePath(s, state, alternative)
	}
}

// payRestart reports whether the route and the retry budget allow a stream to restart
// elsewhere, and takes the retry for it: an attempt that is ended before its successor is paid
// for may have none.
func (f *Forwarder) payRestart(s *session, state snapshot) bool {
	if !s.c.route.Resumable {
		return false // an engine may have started the request
	}
	// The attempt in progress counts unless its first engine has stopped.
	runs := state.runs + 1
	if f.prober.stopped(state.first().Address) {
		runs--
	}
	return runs < s.c.route.Attempts && s.payRetry(state)
}

// canContinue reports whether there is a path for the next attempt of a stream, without the given
// engines and those that failed it. An attempt that is ended before may have no successor, though
// its engines are sound and go on: a configuration may have dropped its service, or the engines of
// its version may leave.
func (f *Forwarder) canContinue(s *session, state snapshot, without map[string]bool) bool {
	members, ok := f.members(s.c.service)
	if !ok {
		return false
	}
	exclude := maps.Clone(state.failed)
	if exclude == nil {
		exclude = make(map[string]bool, len(without))
	}
	maps.Copy(exclude, without)
	if !members.layered() {
		return slices.ContainsFunc(members.entries, func(e registrar.Entry) bool { return !exclude[e.ID] })
	}
	_, ok = f.findPath(pathCriteria{members: members, version: members.versionOf(state), neededTokens: s.c.neededTokens, exclude: exclude})
	return ok
}

// versionOf returns the version of the weights that a stream needs: the one with which it began
// or, before, the one with the most layers held.
func (m *members) versionOf(state snapshot) string {
	if state.version != "" || len(m.versions) == 0 {
		return state.version
	}
	return m.versions[0]
}

// restartImproves reports whether a restart is likely to help a stream: there is a path without
// the suspect engines of its path or, if it has none, one with a lower maximum slowness or another
// first engine. An attempt whose engine has stopped is lost in any case, and its successor may wait.
// One whose engine accepts no connection may be lost, too, so that its path may be used again.
func (m *monitor) restartImproves(s *session, state snapshot) bool {
	if len(m.f.prober.recentlyStopped(addresses(state.path))) > 0 {
		return true
	}
	now := m.f.cfg.Now()
	slowest := 1.0
	suspected, without := false, make(map[string]bool)
	for _, p := range state.path {
		if m.f.assessor.IsSuspect(p.ID) {
			suspected = true
			without[p.ID] = !m.knownUnreachable(p.Address)
		}
		slowest = max(slowest, m.f.assessor.Record(p.ID).CurrentPace(now))
	}
	if suspected {
		return m.f.canContinue(s, state, without)
	}
	members, ok := m.f.members(s.c.service)
	if !ok || !members.layered() || len(members.versions) == 0 {
		return false
	}
	path, ok := m.f.findPath(pathCriteria{members: members, version: members.versionOf(state), neededTokens: s.c.neededTokens, exclude: state.failed, avoidSuspects: true, restarting: true})
	if !ok {
		return false
	}
	other := 1.0
	for _, p := range path {
		other = max(other, m.f.assessor.Record(p.ID).CurrentPace(now))
	}
	return other < slowest || path[0].Address != state.first().Address
}

// alternativePath returns another path with the same first stage, without the faulty
// engines, and whether there is one.
func (m *monitor) alternativePath(s *session, state snapshot, faulty []string) ([]pathfinder.Stage, bool) {
	members, ok := m.f.members(s.c.service)
	if !ok || !members.layered() {
		return nil, false
	}
	head := state.first()
	version := ""
	for _, h := range members.holders {
		if h.entry.ID == head.ID {
			version = h.entry.Version
		}
	}
	exclude := make(map[string]bool, len(faulty))
	for _, p := range state.path {
		if slices.Contains(faulty, p.Address) {
			exclude[p.ID] = true
		}
	}
	return m.f.findPath(pathCriteria{
		members: members, version: version, neededTokens: s.c.neededTokens, exclude: exclude, avoidSuspects: true,
		head: &head, kept: state.path,
	})
}

// maxAlternatives is the maximum number of alternative paths that are tried one after
// the other while engines refuse them.
const maxAlternatives = 3

// changePath orders a stream's first engine to continue along a path. It returns
// whether the engine does, and if not, the address of the engine that refused it.
func (m *monitor) changePath(s *session, state snapshot, path []pathfinder.Stage) (done bool, refusedBy string) {
	ctx, cancel := context.WithTimeout(context.Background(), changePathTimeout)
	defer cancel()
	head := state.first()
	err := m.f.cfg.Relay.ChangePath(ctx, head.Address, head.ID, s.c.ID, toDriverStages(path))
	m.f.cfg.Recorder.Info(recorder.PathChanged,
		zap.String("request", s.c.ID), zap.Strings("from", addresses(state.path)), zap.Strings("to", addresses(path)),
		zap.Int("events", state.events), zap.Error(err))
	if err != nil {
		m.f.cfg.Counters.Stages.Add("repaths_failed", 1)
		var refused *driver.Refused
		if errors.As(err, &refused) {
			return false, m.markRefusing(path, refused.Detail)
		}
		return false, ""
	}
	m.f.cfg.Counters.Stages.Add("repaths", 1)
	added := slices.DeleteFunc(slices.Clone(path), func(p pathfinder.Stage) bool { return slices.Contains(state.path, p) })
	m.f.recordPrefill(s.c.service, added, s.c.PromptTokens, state.events)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return true, ""
	}
	if s.events > 0 && s.lastBeforeMove.IsZero() {
		s.lastBeforeMove = s.lastProgress
	}
	s.moves++
	s.setPath(path)
	return true, ""
}

// markRefusing marks the engine that refused a path as a suspect, and returns its
// address.
func (m *monitor) markRefusing(path []pathfinder.Stage, address string) string {
	for _, p := range path {
		if p.Address == address {
			m.f.markSuspect(p.ID, address, overloadBackoff, "refused")
			return address
		}
	}
	return ""
}
