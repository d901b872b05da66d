package forwarder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pather"
)

const (
	// monitorTick is the time between two looks at the streams in progress.
	monitorTick = 10 * time.Millisecond
	// lateTick is the time between two looks from which on this process counts as
	// one that did not run: what it hears of engines is late, too. lateGrace is how
	// long it takes in what came meanwhile before it judges silences again.
	lateTick  = 20 * time.Millisecond
	lateGrace = 30 * time.Millisecond
	// A stream is looked into after a silence of stallFactor usual intervals
	// between events, within these bounds; before its first event, after
	// firstPatience.
	stallFactor   = 1.7
	leastPatience = 60 * time.Millisecond
	mostPatience  = 130 * time.Millisecond
	firstPatience = 130 * time.Millisecond
	// The same where an engine of the path was found silent for another stream:
	// one event that comes late is enough.
	hurriedFactor        = 1.1
	hurriedLeastPatience = 25 * time.Millisecond
	hurriedFirstPatience = 60 * time.Millisecond
	// askAfter is the silence after which the path's first engine is asked
	// what it waits for, if all engines of the path accept connections.
	askAfter = 150 * time.Millisecond
	// lookedOften is after how many looks the engines are asked however short
	// the silence: a path that is always late has a slow engine.
	lookedOften = 3
	// moveAfter is the silence after which a stream is moved though no engine
	// is known to be at fault.
	moveAfter = 900 * time.Millisecond
	// slowFirst and slowNext are the silences after which a stream on a path with
	// a slow engine is begun anew, before and after its first event. Callers leave
	// after two seconds.
	slowFirst = 250 * time.Millisecond
	slowNext  = 700 * time.Millisecond
	// heardFresh is how recent an event along an engine has to be for the engine
	// not to be tried for another stream: it left the engine some time before.
	heardFresh = 30 * time.Millisecond
	// lookAgain is the time between two looks into one stream, and grows with each
	// look that finds nothing.
	lookAgain = 40 * time.Millisecond
	lookLast  = 500 * time.Millisecond
	// silentTime is how long an engine is avoided that accepted no connection.
	silentTime = 3 * time.Second
	// stalledTime is how long one is avoided that others wait for.
	stalledTime = 2 * time.Second
	// knockRounds and reportRounds are how many paths a second all nodes together
	// try to connect to, and ask; roundBurst is for how many seconds' rounds a node
	// may make at once, as when an engine ends with many streams.
	knockRounds  = 400
	reportRounds = 30
	roundBurst   = 2
	// repathTimeout bounds an order to change a path.
	repathTimeout = 150 * time.Millisecond
)

// monitor watches the streams in progress for those that stall.
type monitor struct {
	f *Forwarder

	reports *reporter
	// knocks and asks bound the rates of the two kinds of looks.
	knocks *rate.Limiter
	asks   *rate.Limiter

	mu sync.Mutex
	// ticked is when the streams were last looked at, and late when the last look
	// came late.
	ticked time.Time
	late   time.Time
	// surveyed is when all engines were last asked for their pace.
	surveyed time.Time
	sessions map[*session]bool
	// gone is when engines were last found gone, by address.
	gone map[string]time.Time
}

func newMonitor(f *Forwarder) *monitor {
	return &monitor{
		f: f, reports: newReporter(f.cfg.Relay.Report, f.cfg.Now),
		sessions: make(map[*session]bool), gone: make(map[string]time.Time),
		knocks: rate.NewLimiter(rate.Inf, 1), asks: rate.NewLimiter(rate.Inf, 1),
	}
}

// begin adds a session.
func (m *monitor) begin(c *call) *session {
	s := &session{f: m.f, c: c}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s] = true
	return s
}

// end removes a session.
func (m *monitor) end(s *session) {
	s.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
}

// Step watches the streams until its context ends.
func (f *Forwarder) Step() grouper.Step {
	return grouper.Step{Name: "monitor", Run: func(ctx context.Context) error {
		tick := time.NewTicker(monitorTick)
		defer tick.Stop()
		watch := time.NewTicker(watchInterval)
		defer watch.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				f.monitor.look(f.cfg.Now())
			case <-watch.C:
				f.monitor.watch()
			}
		}
	}}
}

// look finds the streams that have stalled.
func (m *monitor) look(now time.Time) {
	if !m.tick(now) {
		return
	}
	for _, s := range m.stalled(now) {
		go m.rescue(s)
	}
}

// tick takes in that a look is made, and tells whether silences may be judged: not
// right after a while in which this process did not run.
func (m *monitor) tick(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ticked.IsZero() && now.Sub(m.ticked) >= lateTick {
		m.late = now
		m.f.cfg.Counters.Stages.Add("late_ticks", 1)
	}
	m.ticked = now
	return m.late.IsZero() || now.Sub(m.late) >= lateGrace
}

// ranLate tells whether this process did not run for a while since a moment.
func (m *monitor) ranLate(since time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ticked.IsZero() {
		return false
	}
	return m.late.After(since) || m.f.cfg.Now().Sub(m.ticked) >= lateTick
}

// stalled marks the streams to look into and returns them.
func (m *monitor) stalled(now time.Time) []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*session
	for s := range m.sessions {
		if s.claim(now) {
			found = append(found, s)
		}
	}
	return found
}

// claim marks a stream that is silent for too long, unless it is looked into
// already.
func (s *session) claim(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil || s.rescuing || now.Before(s.next) || now.Sub(s.last) < s.patience() {
		return false
	}
	s.rescuing = true
	return true
}

// patience is how long a silence is usual. It needs the lock.
func (s *session) patience() time.Duration {
	switch {
	case s.current == 0 && s.hurried:
		return hurriedFirstPatience
	case s.current == 0:
		return firstPatience
	case s.hurried:
		return min(max(time.Duration(hurriedFactor*float64(s.interval)), hurriedLeastPatience), mostPatience)
	}
	return min(max(time.Duration(stallFactor*float64(s.interval)), leastPatience), mostPatience)
}

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

// unclaim lets a stream be looked into again later.
func (s *session) unclaim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rescuing = false
	s.next = s.f.cfg.Now().Add(min(lookAgain<<min(s.looks, 10), lookLast))
	s.looks++
	s.looked++
}

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

// allow tells whether this node may look into one more stream: all nodes
// together do so at a bounded rate, so that an overload isn't fed by questions.
func (m *monitor) allow(l *rate.Limiter, rounds float64) bool {
	part := rounds / float64(max(m.f.cfg.Nodes(), 1))
	l.SetLimit(rate.Limit(part))
	l.SetBurst(max(int(part*roundBurst), 2))
	return l.Allow()
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
	if !m.allow(m.asks, reportRounds) {
		return nil
	}
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

// doubt lets an engine be avoided for a while. That it is gone is news even of one
// that is avoided already for another reason.
func (f *Forwarder) doubt(id, address string, d time.Duration, why string) {
	gone := why == whySilent && f.monitor.news(address)
	if gone || !f.assessor.Doubtful(id) {
		f.cfg.Counters.Stages.Add("doubts_"+why, 1)
		f.cfg.Recorder.Info(recorder.EndpointDoubted,
			zap.String("endpoint", id), zap.String("address", address), zap.String("why", why), zap.Duration("for", d))
	}
	f.assessor.Doubt(id, d)
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

// knows tells whether an engine was found gone of late. It needs the lock.
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
