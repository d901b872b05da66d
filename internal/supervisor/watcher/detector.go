package watcher

import (
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/replicator"
)

// pollSucceeded applies a poll's answer.
func (c *core) pollSucceeded(now, started time.Time, address string, s driver.Status) {
	if age := now.Sub(started); age > maxPollAge || age < 0 {
		return
	}
	l := c.localState(address)
	c.viewStale = c.viewStale || now.Before(l.suspectUntil)
	l.failures = 0
	l.suspectUntil = time.Time{}
	old, known := c.table.Get(address)
	if !known && c.location(address) == (location{}) {
		return
	}
	e := replicator.Entry{
		Address: address, Generation: old.Generation + 1, Incarnation: s.Incarnation,
		Version: 1, Leaving: s.Leaving, Body: encodeDescription(c.location(address), s),
	}
	if known && old.Incarnation == s.Incarnation {
		e.Generation, e.Version = old.Generation, old.Version
		if old.Condition != replicator.Up || string(old.Body) != string(e.Body) {
			e.Version++
		}
	}
	c.put(now, e)
	c.updateGauge(now, address, s)
}

// updateGauge queues an endpoint's load when it has changed enough, if this node is
// the first of its pollers.
func (c *core) updateGauge(now time.Time, address string, s driver.Status) {
	l := c.localState(address)
	g := c.table.Gauge(address)
	e, _ := c.table.Get(address)
	if now.Sub(l.gaugedAt) < gaugeInterval || (g.Generation == e.Generation && !loadChanged(int64(s.Running), g.Load)) {
		return
	}
	if chosen := c.eligible.pollers(address, c.location(address).centre); len(chosen) == 0 || chosen[0] != c.self {
		return
	}
	l.gaugedAt = now
	c.table.PutGauge(replicator.Gauge{
		ID: replicator.ID(address), Generation: e.Generation,
		Sequence: g.Sequence + 1, Load: int64(s.Running),
	})
	c.viewStale = true
}

// loadChanged reports whether two loads differ by more than half of the lower one plus
// 1.
func loadChanged(a, b int64) bool {
	return max(a, b) > min(a, b)+min(a, b)/2+1
}

// pollFailed records a failed poll.
func (c *core) pollFailed(now, started time.Time, address string) {
	if age := now.Sub(started); age > maxPollAge || age < 0 {
		return
	}
	l := c.localState(address)
	l.failures++
	if l.failures < failureThreshold {
		return
	}
	c.suspect(now, address)
	e, known := c.table.Get(address)
	if !known || e.Condition != replicator.Up || now.Before(l.downReportBackoffUntil) {
		return
	}
	e.Condition = replicator.Down
	c.put(now, e)
}

// suspect keeps this node from using an endpoint after a request or poll failed.
// If this node is not one of its pollers, the count of failures starts again.
func (c *core) suspect(now time.Time, address string) {
	l := c.localState(address)
	l.suspectUntil = now.Add(suspicionTimeout)
	if !c.assigned[address] {
		l.failures = 0
	}
	c.viewStale, c.publishNow = true, true
}

// reportLeaving records that an endpoint reported that it is leaving. It returns false
// if that may have been an earlier incarnation; then a poll decides.
func (c *core) reportLeaving(now time.Time, address string) bool {
	e, known := c.table.Get(address)
	l := c.localState(address)
	if !known || (e.Generation > 1 && now.Sub(l.incarnationSeenAt) < newIncarnationPeriod) {
		c.suspect(now, address)
		return false
	}
	e.Leaving = true
	c.put(now, e)
	return true
}

// reportedDown returns the endpoints that this node polls and that others have just
// reported as down. A poll at once either confirms or refutes that.
func (c *core) reportedDown(changes []replicator.Change) []string {
	var reportedDown []string
	for _, change := range changes {
		if change.New.Condition == replicator.Down && c.assigned[change.New.Address] {
			reportedDown = append(reportedDown, change.New.Address)
		}
	}
	return reportedDown
}
