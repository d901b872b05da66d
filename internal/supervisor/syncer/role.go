package syncer

import "time"

// shouldRead reports whether this node reads the store itself: because it is a
// reader, because it is a standby and those before it don't, or because its data is older than threshold by
// directReadDelay and it gets no answers of other nodes. A starting node reads only what it has no
// data of.
func (s *Syncer) shouldRead(asOf time.Time, threshold time.Duration) bool {
	late := s.cfg.Now().Sub(asOf) > threshold+directReadDelay
	switch {
	case s.cfg.Starting():
		return asOf.IsZero()
	case s.cfg.IsReader():
		return true
	case s.cfg.IsStandby():
		return s.replacesReader(late)
	}
	return late && !s.recentlyAnswered()
}

// replacesReader reports whether a standby reads the store: for standbyPeriod after the nodes before it
// last had no current data. Its own data doesn't tell, as that is new while it reads. late reports
// that it is old all the same.
func (s *Syncer) replacesReader(late bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if late {
		s.readersLateAt = s.cfg.Now()
	}
	return !s.readersLateAt.IsZero() && s.cfg.Now().Sub(s.readersLateAt) < standbyPeriod
}

// noteReadersLate records that the nodes that read the store before this one have no current data.
func (s *Syncer) noteReadersLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readersLateAt = s.cfg.Now()
}

// recentlyAnswered reports whether another node has answered this one recently.
func (s *Syncer) recentlyAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastAnswered.IsZero() && s.cfg.Now().Sub(s.lastAnswered) < answerTTL
}

// current reports whether this node's data is as new as that of a node that reads the store.
func (s *Syncer) current() bool {
	now := s.cfg.Now()
	return now.Sub(s.tableTime()) <= currentTableAge && now.Sub(s.View().Confirmed) <= currentConfigurationAge
}
