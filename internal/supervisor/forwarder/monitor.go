package forwarder

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"banyanquay/internal/grouper"
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
	// evacuated is when a stream was last marked to move off an engine that leaves.
	evacuated time.Time
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
	m.evacuate(now)
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

// unclaim lets a stream be looked into again later.
func (s *session) unclaim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rescuing = false
	s.next = s.f.cfg.Now().Add(min(lookAgain<<min(s.looks, 10), lookLast))
	s.looks++
	s.looked++
}

// allow tells whether this node may look into one more stream: all nodes
// together do so at a bounded rate, so that an overload isn't fed by questions.
func (m *monitor) allow(l *rate.Limiter, rounds float64) bool {
	part := rounds / float64(max(m.f.cfg.Nodes(), 1))
	l.SetLimit(rate.Limit(part))
	l.SetBurst(max(int(part*roundBurst), 2))
	return l.Allow()
}
