package forecaster

const (
	// minCorrection and maxCorrection bound the correction: callers' estimates are right
	// at the median, so a larger factor comes from a few requests.
	minCorrection = 0.25
	maxCorrection = 4
	// sampleWeight is the weight of a new request in the smoothed sums. At a hundred
	// requests a second, a change of the callers' habits is followed within a second.
	sampleWeight = 1.0 / 64
)

// Correction is the smoothed ratio of the tokens that requests of a service used to
// those that their callers had estimated. The zero value corrects nothing. It is an
// immutable value.
type Correction struct {
	// used and estimated are smoothed tokens of a request, so that large requests count
	// by their size, as they do in the sum that is corrected.
	used      float64
	estimated float64
}

// With returns the correction after another request.
func (c Correction) With(used, estimated int) Correction {
	if used <= 0 || estimated <= 0 {
		return c
	}
	if c.estimated == 0 {
		// The first request counts as one of many: it says little about the next ones.
		c = Correction{used: float64(estimated), estimated: float64(estimated)}
	}
	c.used += sampleWeight * (float64(used) - c.used)
	c.estimated += sampleWeight * (float64(estimated) - c.estimated)
	return c
}

// Estimated returns the smoothed estimate of a request's tokens; 0 if there was none.
func (c Correction) Estimated() float64 { return c.estimated }

// Factor returns how many tokens requests use for each estimated one.
func (c Correction) Factor() float64 {
	if c.estimated == 0 {
		return 1
	}
	return min(max(c.used/c.estimated, minCorrection), maxCorrection)
}
