package forwarder

import (
	"context"
	"sync"
	"time"

	"banyanquay/internal/supervisor/forwarder/pather"
)

// session is one generation in progress.
type session struct {
	f *Forwarder
	c *call
	// version is that of the weights that the answer began with. It belongs
	// to the request's goroutine.
	version string

	mu sync.Mutex
	// path is empty before the first attempt.
	path   []pather.Part
	cancel context.CancelCauseFunc
	// release ends the count of the path's work in progress.
	release func()
	// last is when the attempt began or its last event came.
	last time.Time
	// events counts those of all attempts, and current those of this one.
	events  int
	current int
	// interval is the smoothed time between two events.
	interval time.Duration
	// longest is the longest pause between two events so far.
	longest time.Duration
	// rescuing is set while the monitor deals with a stall, and next is when
	// it may do so again.
	rescuing bool
	next     time.Time
	// hurried is set while an engine of the path is taken for silent: the stream
	// is looked into sooner. The next event ends it.
	hurried bool
	// toMove is set until the next event, after which the stream is moved off an
	// engine that leaves, and evacuations counts these moves.
	toMove      bool
	evacuations int
	// looks counts the looks since the last event, and looked those of the
	// attempt.
	looks  int
	looked int
	// moved is when the last event before a change of the path came; zero if
	// events have come since.
	moved time.Time
	moves int
	// runs counts the attempts that an engine began and that count against the
	// route's limit.
	runs int
}

// intervalShare is the weight of a new interval in the smoothed one.
const intervalShare = 0.1

// start begins an attempt along a path.
func (s *session) start(path []pather.Part, cancel context.CancelCauseFunc) {
	s.f.reads(s.c.service, path, s.c.Prompt, s.look().events)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.f.cfg.Now()
	if s.events > 0 && s.moved.IsZero() {
		s.moved = s.last
	}
	s.cancel, s.current, s.last, s.next, s.looks, s.looked, s.hurried = cancel, 0, now, now, 0, 0, false
	s.follow(path)
}

// follow counts the work of a path as in progress, instead of the one before.
// It needs the lock.
func (s *session) follow(path []pather.Part) {
	if s.release != nil {
		s.release()
	}
	s.path = path
	s.release = s.f.assessor.Begin(ids(path), s.c.need)
}

// stop ends the count of the path's work.
func (s *session) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release != nil {
		s.release()
	}
	s.release, s.cancel = nil, nil
}

// ran counts an attempt that an engine began.
func (s *session) ran() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
}

// progress takes in an event.
func (s *session) progress(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.events > 0 {
		pause := now.Sub(s.last)
		if !s.moved.IsZero() {
			pause = now.Sub(s.moved)
			s.f.cfg.Latency.Recoveries.Record(pause)
			s.moved = time.Time{}
		}
		s.longest = max(s.longest, pause)
		if s.current > 0 {
			if s.interval == 0 {
				s.interval = pause
			}
			s.interval += time.Duration(intervalShare * float64(pause-s.interval))
		}
	}
	s.last = now
	s.events++
	s.current++
	s.looks, s.next, s.hurried = 0, now, false
	if s.toMove && !s.rescuing {
		s.toMove, s.rescuing = false, true
		go s.f.monitor.moveOff(s)
	}
}

// snapshot is a session's state at one moment. It is an immutable value.
type snapshot struct {
	path   []pather.Part
	cancel context.CancelCauseFunc
	last   time.Time
	// current counts the events of the attempt in progress.
	current  int
	events   int
	interval time.Duration
	longest  time.Duration
	moves    int
	looked   int
	runs     int
}

// look returns the session's state.
func (s *session) look() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot{
		path: s.path, cancel: s.cancel, last: s.last, current: s.current, events: s.events,
		interval: s.interval, longest: s.longest, moves: s.moves, looked: s.looked, runs: s.runs,
	}
}

// first is the first engine of the path.
func (s snapshot) first() pather.Part {
	if len(s.path) == 0 {
		return pather.Part{}
	}
	return s.path[0]
}
