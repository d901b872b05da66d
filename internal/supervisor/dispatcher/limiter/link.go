package limiter

import (
	"math"
	"time"
)

// link is the smoothed link time of an endpoint. It is an immutable value.
type link struct {
	// smoothed is the moving average, 0 until the first sample.
	smoothed time.Duration
	// baseline follows the lowest samples: it falls at once and rises slowly.
	baseline time.Duration
	// lastSample is the time of the last sample.
	lastSample time.Time
}

// linkSmoothing is the minimum weight of a new sample in the smoothed link time.
const linkSmoothing = 0.2

const (
	// linkHalfLife is the time without samples in which the excess of the
	// smoothed time over the baseline halves.
	linkHalfLife = 5 * time.Second
	// baselineHalfLife is the time in which the baseline rises half of the way
	// to the time of a link that has become slower.
	baselineHalfLife = 5 * time.Minute
)

// estimate returns the expected link time. An endpoint that is not used is not
// measured, so a high time decays to the baseline and the planner tries the
// endpoint again.
func (k link) estimate(now time.Time) time.Duration {
	remaining := decay(now.Sub(k.lastSample), linkHalfLife)
	return k.baseline + time.Duration(remaining*float64(k.smoothed-k.baseline))
}

// observe returns the link after a sample. The longer ago the previous sample
// was, the higher is the weight of the new one.
func (k link) observe(now time.Time, sample time.Duration) link {
	sample = max(sample, time.Microsecond)
	if k.smoothed == 0 {
		return link{smoothed: sample, baseline: sample, lastSample: now}
	}
	age := now.Sub(k.lastSample)
	weight := 1 - (1-linkSmoothing)*decay(age, linkHalfLife)
	k.smoothed += time.Duration(weight * float64(sample-k.smoothed))
	rise := (1 - decay(age, baselineHalfLife)) * float64(sample-k.baseline)
	k.baseline = min(sample, k.baseline+time.Duration(rise))
	k.lastSample = now
	return k
}

// decay returns the factor by which a value with a half-life decays in a time.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
