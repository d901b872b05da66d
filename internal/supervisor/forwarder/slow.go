package forwarder

import (
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

const (
	// slowThreshold is the pace above which an engine counts as slow.
	slowThreshold = 1.8
	// slowReportInterval is the age at which the pace of a slow engine is requested
	// again, so that its recovery is noticed.
	slowReportInterval = 1200 * time.Millisecond
	// paceTTL is how long an engine's pace counts as known: as long as engines take to
	// report a change, and as a stream takes to become late by it.
	paceTTL = 1200 * time.Millisecond
	// surveyInterval is the minimum time between two requests to all engines.
	surveyInterval = 3 * time.Second
)

// recordPace records an engine's pace, and returns whether it was not known to be
// slow.
func (f *Forwarder) recordPace(id, address string, pace float64, polled bool) (isNew bool) {
	isNew = f.assessor.Record(id).CurrentPace(f.cfg.Now()) == 1 && pace > slowThreshold
	if isNew {
		f.cfg.Counters.Stages.Add("slow", 1)
		f.cfg.Recorder.Info(recorder.EndpointSlow, zap.String("endpoint", id), zap.String("address", address),
			zap.Float64("pace", pace), zap.Bool("asked", polled))
	}
	f.assessor.SetPace(id, pace, polled)
	return isNew
}

// surveyPaces requests the pace of all engines of a service: what slows one down
// often slows others too.
func (m *monitor) surveyPaces(service string) {
	now := m.f.cfg.Now()
	m.mu.Lock()
	due := now.Sub(m.lastSurvey) >= surveyInterval
	if due {
		m.lastSurvey = now
	}
	m.mu.Unlock()
	members, ok := m.f.members(service)
	if !due || !ok {
		return
	}
	var all []pathfinder.Stage
	for _, h := range members.holders {
		all = append(all, pathfinder.Stage{ID: h.entry.ID, Address: h.entry.Address})
	}
	reports := m.reports.reports(all)
	for _, p := range all {
		if pace := reports[p.ID].Pace; pace > slowThreshold {
			m.f.recordPace(p.ID, p.Address, pace, true)
		}
	}
}

// refreshSlow requests the pace of the slow engines whose last value is old.
func (m *monitor) refreshSlow() {
	now := m.f.cfg.Now()
	for id, r := range m.f.assessor.Slow(slowThreshold) {
		e, ok := m.f.cfg.Endpoints().Get(id)
		if !ok || now.Sub(r.PacedAt) < slowReportInterval {
			continue
		}
		m.f.start("pace", func() {
			part := pathfinder.Stage{ID: e.ID, Address: e.Address}
			if r, ok := m.reports.reports([]pathfinder.Stage{part})[e.ID]; ok {
				m.f.recordPace(e.ID, e.Address, max(r.Pace, 1), true)
			}
		})
	}
}

// Paces returns the paces of slow engines by ID that this node has requested
// itself.
func (f *Forwarder) Paces() map[string]float64 {
	paces := make(map[string]float64)
	for id, r := range f.assessor.Slow(slowThreshold) {
		if r.Polled {
			paces[id] = r.Pace
		}
	}
	return paces
}

// Pace returns how many times slower than usual an engine is; 1 if it is not known
// to be slow.
func (f *Forwarder) Pace(id string) float64 {
	return f.assessor.Record(id).CurrentPace(f.cfg.Now())
}

// SetPace records an engine's pace as another node reported it.
func (f *Forwarder) SetPace(id string, pace float64) {
	if e, ok := f.cfg.Endpoints().Get(id); ok {
		f.recordPace(e.ID, e.Address, pace, false)
	}
}
