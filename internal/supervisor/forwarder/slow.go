package forwarder

import (
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/pather"
)

const (
	// slowPace is from which pace on an engine counts as slow.
	slowPace = 1.8
	// watchInterval is the age at which the pace of a slow engine is asked for
	// again, so that its recovery is seen.
	watchInterval = 1200 * time.Millisecond
	// surveyInterval is the least time between two questions to all engines.
	surveyInterval = 3 * time.Second
)

// slow takes in an engine's pace, and tells whether it was not known to be slow.
func (f *Forwarder) slow(id, address string, pace float64, asked bool) (news bool) {
	news = f.assessor.Record(id).Slowness(f.cfg.Now()) == 1 && pace > slowPace
	if news {
		f.cfg.Counters.Stages.Add("slow", 1)
		f.cfg.Recorder.Info(recorder.EndpointSlow, zap.String("endpoint", id), zap.String("address", address),
			zap.Float64("pace", pace), zap.Bool("asked", asked))
	}
	f.assessor.SetPace(id, pace, asked)
	return news
}

// survey asks all engines of a service for their pace: what slows one down often
// slows others too.
func (m *monitor) survey(service string) {
	now := m.f.cfg.Now()
	m.mu.Lock()
	due := now.Sub(m.surveyed) >= surveyInterval
	if due {
		m.surveyed = now
	}
	m.mu.Unlock()
	members, ok := m.f.members(service)
	if !due || !ok {
		return
	}
	var all []pather.Part
	for _, h := range members.holders {
		all = append(all, pather.Part{ID: h.entry.ID, Address: h.entry.Address})
	}
	reports := m.reports.reports(all)
	for _, p := range all {
		if pace := reports[p.ID].Pace; pace > slowPace {
			m.f.slow(p.ID, p.Address, pace, true)
		}
	}
}

// watch asks the slow engines again that nobody has asked of late.
func (m *monitor) watch() {
	now := m.f.cfg.Now()
	for id, r := range m.f.assessor.Slow(slowPace) {
		e, ok := m.f.cfg.Endpoints().Get(id)
		if !ok || now.Sub(r.PacedAt) < watchInterval {
			continue
		}
		go func() {
			part := pather.Part{ID: e.ID, Address: e.Address}
			if r, ok := m.reports.reports([]pather.Part{part})[e.ID]; ok {
				m.f.slow(e.ID, e.Address, max(r.Pace, 1), true)
			}
		}()
	}
}

// Paces returns the paces of slow engines by ID that this node has asked for.
func (f *Forwarder) Paces() map[string]float64 {
	paces := make(map[string]float64)
	for id, r := range f.assessor.Slow(slowPace) {
		if r.Polled {
			paces[id] = r.Pace
		}
	}
	return paces
}

// Pace is how many times slower than usual an engine is; 1 if it is not known
// to be.
func (f *Forwarder) Pace(id string) float64 {
	return f.assessor.Record(id).Slowness(f.cfg.Now())
}

// Paced takes in what another node says of an engine's pace.
func (f *Forwarder) Paced(id string, pace float64) {
	if e, ok := f.cfg.Endpoints().Get(id); ok {
		f.slow(e.ID, e.Address, pace, false)
	}
}
