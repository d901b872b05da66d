package broadcaster

import "time"

const (
	// minTrendPeriod and maxTrendPeriod are the least and the longest time between two sums
	// that give a trend: in less time the sums hold the same reports, and demand may turn
	// within seconds.
	minTrendPeriod = 500 * time.Millisecond
	maxTrendPeriod = 2 * time.Second
	// trendWeight is the weight of a new slope in the smoothed one.
	trendWeight = 0.5
	// reportLag is how much older than a sum its reports count. Their mean age is 300 ms, but
	// with that the trend overshoots where demand turns.
	reportLag = 100 * time.Millisecond
	// minGrowth and maxGrowth bound what is made of a trend: a few requests that start
	// together are no lasting trend.
	minGrowth = 0.7
	maxGrowth = 1.5
)

// trend is how the load of a data centre changes. It is an immutable value.
type trend struct {
	// units is the mean load of a node at a time, and slope its smoothed change per second.
	// It is a mean since a new reader hears from the nodes one by one.
	units float64
	at    time.Time
	slope float64
}

// with returns the trend after another sum. One that comes too soon after the last
// changes nothing, and one that comes late starts anew.
func (t trend) with(units float64, at time.Time) trend {
	since := at.Sub(t.at)
	switch {
	case since < minTrendPeriod:
		return t
	case since > maxTrendPeriod:
		return trend{units: units, at: at}
	}
	slope := (units - t.units) / since.Seconds()
	return trend{units: units, at: at, slope: t.slope + trendWeight*(slope-t.slope)}
}

// growth returns the factor by which the load has changed between a sum and now.
func (t trend) growth(sum, now time.Time) float64 {
	if t.units <= 0 || now.Sub(t.at) > maxTrendPeriod {
		return 1
	}
	lag := now.Sub(sum) + reportLag
	return min(max(1+t.slope*lag.Seconds()/t.units, minGrowth), maxGrowth)
}

// LoadGrowth returns the factor by which the load of the other nodes of the data centre is
// expected to have changed since their reports; 1 in a fleet of few nodes.
func (t *Broadcaster) LoadGrowth() float64 {
	if t.cfg.SmallFleet() {
		return 1
	}
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := now
	if t.aggregate != nil && now.Sub(t.aggregate.at) <= maxReportAge {
		sum = t.aggregate.at
	}
	return t.trend.growth(sum, now)
}

// meanUnits returns the mean load of the nodes of an aggregate.
func (a *aggregate) meanUnits() float64 {
	sum := 0
	for _, units := range a.loads {
		sum += units
	}
	return float64(sum) / float64(max(a.nodes, 1))
}
