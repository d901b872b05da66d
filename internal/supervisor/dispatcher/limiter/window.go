package limiter

import (
	"time"
)

// window is an adaptive concurrency limit. It is an immutable value.
type window struct {
	// limit lies between cfg.MinLimit and cfg.MaxLimit.
	limit float64
	// baseLatency is the latency without queueing, in nanoseconds. It falls with
	// any lower sample and rises only with uncontended samples, so that a queue
	// caused by the node itself is never mistaken for a slow link.
	baseLatency float64
	// smoothedLatency is the moving average, in nanoseconds.
	smoothedLatency float64
	// lastDecrease is when the limit was last lowered.
	lastDecrease time.Time
}

// Weights of a new sample in smoothedLatency and in a rising baseLatency.
const (
	latencySmoothing = 0.2
	baseSmoothing    = 0.05
)

// maxUncontendedSteps is the maximum number of steps in flight during an
// uncontended sample.
const maxUncontendedSteps = 2

// sample is a step's latency and the concurrency during the step.
type sample struct {
	took time.Duration
	// inFlight is the number of steps in flight as it ended, with itself.
	inFlight int
	// uncontended is set if there were never more than maxUncontendedSteps in
	// flight during the step.
	uncontended bool
}

// observe returns the window after a sample. The limit grows by about one per
// round trip while at least half of it is used, and shrinks in proportion to the
// excess latency at most once per round trip.
func (w window) observe(cfg Config, now time.Time, s sample) window {
	took := float64(s.took)
	if w.baseLatency == 0 {
		w.baseLatency, w.smoothedLatency = took, took
	}
	if s.uncontended {
		w.baseLatency += baseSmoothing * (took - w.baseLatency)
	}
	w.baseLatency = min(took, w.baseLatency)
	w.smoothedLatency += latencySmoothing * (took - w.smoothedLatency)
	allowed := cfg.Tolerance * w.baseLatency
	switch {
	case w.smoothedLatency > allowed && now.Sub(w.lastDecrease) >= time.Duration(w.smoothedLatency):
		w.limit *= max(allowed/w.smoothedLatency, minDecreaseFactor)
		w.lastDecrease = now
	case w.smoothedLatency <= allowed && float64(s.inFlight) >= w.limit/2:
		w.limit += 1 / max(w.limit, 1)
	}
	w.limit = min(max(w.limit, cfg.MinLimit), cfg.MaxLimit)
	return w
}

// minDecreaseFactor is the lowest factor by which one sample reduces the limit.
const minDecreaseFactor = 0.5

// overloaded returns the window after the endpoint refused a step for overload.
func (w window) overloaded(cfg Config, now time.Time) window {
	w.limit = max(w.limit*minDecreaseFactor, cfg.MinLimit)
	w.lastDecrease = now
	return w
}
