package forwarder

import (
	"context"
	"sync"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
)

// monitorTick is the time between two looks at the streams in progress.
const monitorTick = 20 * time.Millisecond

// stallTime is the silence of a stream after which it is moved.
const stallTime = 600 * time.Millisecond

// session is one generation in progress.
type session struct {
	// version is that of the weights that the answer began with. It belongs
	// to the request's goroutine.
	version string

	mu     sync.Mutex
	parts  []driver.Part
	ids    []string
	cancel context.CancelCauseFunc
	// last is when the attempt began or its last event came.
	last time.Time
	// events counts those of all attempts.
	events int
	now    func() time.Time
}

// start begins an attempt.
func (s *session) start(parts []driver.Part, ids []string, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts, s.ids, s.cancel, s.last = parts, ids, cancel, s.now()
}

// progress notes an event.
func (s *session) progress(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
	s.events++
}

// firstID is the ID of the path's first engine.
func (s *session) firstID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) == 0 {
		return ""
	}
	return s.ids[0]
}

// addresses lists the path's addresses.
func (s *session) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return addresses(s.parts)
}

// count is the number of events so far.
func (s *session) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// monitor watches the streams in progress for those that stall.
type monitor struct {
	f *Forwarder

	mu       sync.Mutex
	sessions map[*session]bool
}

func newMonitor(f *Forwarder) *monitor {
	return &monitor{f: f, sessions: make(map[*session]bool)}
}

// begin adds a session.
func (m *monitor) begin(*call) *session {
	s := &session{now: m.f.cfg.Now, last: m.f.cfg.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s] = true
	return s
}

// end removes a session.
func (m *monitor) end(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
}

// Step watches the streams until its context ends.
func (f *Forwarder) Step() grouper.Step {
	return grouper.Step{Name: "monitor", Run: func(ctx context.Context) error {
		tick := time.NewTicker(monitorTick)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				f.monitor.look(f.cfg.Now())
			}
		}
	}}
}

// look moves the streams that have stalled.
func (m *monitor) look(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		s.mu.Lock()
		if s.cancel != nil && now.Sub(s.last) > stallTime {
			s.cancel(errStalled)
			s.last = now
		}
		s.mu.Unlock()
	}
}
