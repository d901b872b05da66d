package auditor

import (
	"slices"
	"time"

	"banyanquay/platform/imitator"
)

// maxExcusedSend is how long after the SIGTERM the last byte of a request may be sent whose
// connection ends without an answer since its endpoint is still at work near the end of
// the grace period.
const maxExcusedSend = 3 * time.Second

// stop is a planned stop of a node's process.
type stop struct {
	address string
	// from is when SIGTERM was sent, and gone when the process had ended; zero while it
	// runs.
	from time.Time
	gone time.Time
	// killed is set if it had to be killed.
	killed bool
}

// Stop records that the process of the node at an address is sent SIGTERM now. The function
// that it returns records its end. A SIGTERM to a process that is stopping begins no
// other stop.
func (a *Auditor) Stop(address string) (gone func(killed bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.ContainsFunc(a.stops, func(s *stop) bool { return s.address == address && s.gone.IsZero() }) {
		return func(bool) {}
	}
	s := &stop{address: address, from: time.Now()}
	a.stops = append(a.stops, s)
	return func(killed bool) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s.gone, s.killed = time.Now(), killed
	}
}

// stopOf returns the stop of the process that ended an exchange; nil if it wasn't
// stopping. a.mu must be held.
func (a *Auditor) stopOf(e Exchange) *stop {
	n := slices.IndexFunc(a.stops, func(s *stop) bool {
		return s.address == e.Address && !s.from.After(e.Ended) && (s.gone.IsZero() || !s.gone.Before(e.Written))
	})
	if n < 0 {
		return nil
	}
	return a.stops[n]
}

// excuses reports whether an exchange may end without an answer in a stop: its last byte
// was sent early enough, and an endpoint was at work on it until the last sixth of the grace period.
// a.mu must be held.
func (a *Auditor) excuses(s *stop, e Exchange, arrivals []imitator.Arrival) bool {
	lastSixth := s.from.Add(a.cfg.Grace * 5 / 6)
	return !e.Written.After(s.from.Add(maxExcusedSend)) && !e.Ended.Before(lastSixth) && slices.ContainsFunc(arrivals, func(arrival imitator.Arrival) bool {
		ended := a.workEnded(arrival)
		return ended.IsZero() || !ended.Before(lastSixth)
	})
}

// workEnded returns when an endpoint's work on a request ended; zero while it lasts. What it
// sends while it is silent arrives at the end of the silence. a.mu must be held.
func (a *Auditor) workEnded(arrival imitator.Arrival) time.Time {
	ended := arrival.Ended
	// Silences are in the order of their beginning.
	for _, d := range a.silences {
		if ended.IsZero() || d.address != arrival.Addresses[0] || !d.overlaps(ended, ended) {
			continue
		}
		ended = d.until
	}
	return ended
}
