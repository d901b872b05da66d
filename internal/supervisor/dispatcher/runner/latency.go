package runner

import (
	"time"
)

// minStepTimeout is the minimum timeout of a decode step, so that a stage is
// not considered unresponsive when the node or a link pauses.
const minStepTimeout = 250 * time.Millisecond

// A new sample has a weight of 1/meanDivisor in the smoothed time and of
// 1/deviationDivisor in its deviation. A step may take deviationFactor
// deviations more than the mean. The values are those of TCP's retransmission
// timeout.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
)

// latencyEstimate estimates how long the decode steps of one endpoint take. It
// is an immutable value.
type latencyEstimate struct {
	// mean is zero until there is a sample.
	mean      time.Duration
	deviation time.Duration
}

// withSample returns the estimate after a step that took the given time.
func (l latencyEstimate) withSample(took time.Duration) latencyEstimate {
	if l.mean == 0 {
		return latencyEstimate{mean: took, deviation: took / 2}
	}
	difference := took - l.mean
	l.mean += difference / meanDivisor
	l.deviation += (difference.Abs() - l.deviation) / deviationDivisor
	return l
}

// withTimeout returns the estimate after a step that timed out. It doubles the
// deviation, up to the limit, as the timeout may have been too short.
func (l latencyEstimate) withTimeout(limit time.Duration) latencyEstimate {
	l.deviation = min(2*l.deviation, limit)
	return l
}

// timeout returns the timeout of a step, which is the limit while there is no
// sample.
func (l latencyEstimate) timeout(limit time.Duration) time.Duration {
	if l.mean == 0 {
		return limit
	}
	return min(max(l.mean+deviationFactor*l.deviation, minStepTimeout), limit)
}
