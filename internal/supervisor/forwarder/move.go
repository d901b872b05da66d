package forwarder

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pather"
)

// move takes a stream off the engines at fault: along another path of the same
// first engine if one stays in its data centre, else from another first engine.
func (m *monitor) move(s *session, state snapshot, bad []string) {
	headBad := slices.Contains(bad, state.first().Address)
	detour, found := []pather.Part(nil), false
	for range mostDetours {
		if headBad || len(bad) == 0 {
			break
		}
		detour, found = m.detour(s, state, bad)
		if !found || pather.Crossings(detour) > pather.Crossings(state.path) {
			break
		}
		done, refused := m.repath(s, state, detour)
		if done {
			return
		}
		if refused == "" {
			break
		}
		bad = append(bad, refused)
		headBad = refused == state.first().Address
	}
	if !m.better(s, state) {
		return
	}
	if m.f.mayBegin(s.c, state) {
		state.cancel(errStalled)
		return
	}
	m.f.cfg.Counters.Stages.Add("moves_unpaid", 1)
	if found {
		m.repath(s, state, detour)
	}
}

// mayBegin tells whether a stream may begin anew elsewhere, by its route and by
// the budget of repeats.
func (f *Forwarder) mayBegin(c *call, state snapshot) bool {
	if !c.route.Resumable {
		return false // an engine may have begun it
	}
	// The attempt in progress counts unless its first engine has ended.
	runs := state.runs + 1
	if f.prober.ended(state.first().Address) {
		runs--
	}
	return runs < c.route.Attempts && f.cfg.Budget.CanRetry(c.service)
}

// better tells whether a stream would begin anew on a path that is cheaper than
// its own by far, or whose own has an engine that doesn't answer.
func (m *monitor) better(s *session, state snapshot) bool {
	now := m.f.cfg.Now()
	slowest := 1.0
	for _, p := range state.path {
		if m.f.assessor.Doubtful(p.ID) {
			return true
		}
		slowest = max(slowest, m.f.assessor.Record(p.ID).Slowness(now))
	}
	members, ok := m.f.members(s.c.service)
	if !ok || !members.layered() || len(members.versions) == 0 {
		return false
	}
	path, ok := m.f.find(choice{members: members, version: members.versions[0], need: s.c.need, careful: true, moving: true})
	if !ok {
		return false
	}
	other := 1.0
	for _, p := range path {
		other = max(other, m.f.assessor.Record(p.ID).Slowness(now))
	}
	return other < slowest || path[0].Address != state.first().Address
}

// detour returns another path with the same first part.
func (m *monitor) detour(s *session, state snapshot, bad []string) ([]pather.Part, bool) {
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
	exclude := make(map[string]bool, len(bad))
	for _, p := range state.path {
		if slices.Contains(bad, p.Address) {
			exclude[p.ID] = true
		}
	}
	return m.f.find(choice{
		members: members, version: version, need: s.c.need, exclude: exclude, careful: true,
		head: &head, kept: state.path,
	})
}

// mostDetours is how many detours are tried in a row that an engine along them
// refuses.
const mostDetours = 3

// repath orders a stream's first engine to go on along a path, and tells
// whether it does, and if not which engine refused it.
func (m *monitor) repath(s *session, state snapshot, path []pather.Part) (done bool, by string) {
	ctx, cancel := context.WithTimeout(context.Background(), repathTimeout)
	defer cancel()
	head := state.first()
	err := m.f.cfg.Relay.Repath(ctx, head.Address, head.ID, s.c.ID, wire(path))
	m.f.cfg.Recorder.Info(recorder.PathChanged,
		zap.String("request", s.c.ID), zap.Strings("from", addresses(state.path)), zap.Strings("to", addresses(path)),
		zap.Int("events", state.events), zap.Error(err))
	if err != nil {
		m.f.cfg.Counters.Stages.Add("repaths_failed", 1)
		var refused *driver.Refused
		if errors.As(err, &refused) {
			return false, m.blame(path, refused.Detail)
		}
		return false, ""
	}
	m.f.cfg.Counters.Stages.Add("repaths", 1)
	fresh := slices.DeleteFunc(slices.Clone(path), func(p pather.Part) bool { return slices.Contains(state.path, p) })
	m.f.reads(s.c.service, fresh, s.c.Prompt, state.events)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return true, ""
	}
	if s.events > 0 && s.moved.IsZero() {
		s.moved = s.last
	}
	s.moves++
	s.follow(path)
	return true, ""
}

// blame doubts the part of a path that refused it, and returns its address.
func (m *monitor) blame(path []pather.Part, address string) string {
	for _, p := range path {
		if p.Address == address {
			m.f.doubt(p.ID, address, fullTime, "refused")
			return address
		}
	}
	return ""
}
