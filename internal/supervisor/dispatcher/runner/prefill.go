package runner

import (
	"time"
)

const (
	// minPrefillTimeout is the minimum timeout of a step that runs a prompt or
	// refills a cache. An unresponsive engine costs this time once, which
	// leaves more than half of the 1.2 s in which users want the first token.
	minPrefillTimeout = 500 * time.Millisecond
	// reportedFactor multiplies the step time that the engine reports. The product
	// is the timeout of a step while there is no sample.
	reportedFactor = 2
	// A faster sample lowers the slowest time by 1/slowestDivisor of the
	// difference, and a step is given at least slowestFactor times the slowest
	// time. So a prompt whose prefix is not cached times out only if fewer than
	// one in 44 prompts is uncached.
	slowestDivisor = 64
	slowestFactor  = 2
	// bytesPerToken is the approximate length of a token of ordinary text.
	bytesPerToken = 4
)

// countTokens estimates the number of tokens of a prompt, at least one.
func countTokens(prompt string) int {
	return 1 + len(prompt)/bytesPerToken
}

// workload is the work of an endpoint to run a prompt or refill a cache. It is
// an immutable value.
type workload struct {
	// layers is the number of layers to run: the stage's layers, once for each
	// token and again for each step per slot that was queued ahead.
	layers float64
	// reported is the time for it by the engine's own report, as if each token
	// were a decode step; 0 means that there is no report.
	reported time.Duration
}

// newWorkload returns the workload of a stage for a number of tokens.
func newWorkload(s *stage, tokens int) workload {
	runs := float64(tokens) * (1 + s.Queue)
	return workload{
		layers:   runs * float64(s.Last-s.First),
		reported: time.Duration(runs * float64(s.ReportedTime)),
	}
}

// prefillEstimate estimates how long prompts and refills take at one endpoint.
// It is an immutable value.
type prefillEstimate struct {
	// layers is the mean workload of the samples; zero until there is a sample.
	layers float64
	// latency has the mean time of the samples, which belongs to the mean
	// workload, and their deviation from the mean after scaling.
	latency latencyEstimate
	// slowest is the slowest recent sample, scaled to the mean workload. An
	// engine that has most prompts' prefixes cached is much slower at the
	// others.
	slowest time.Duration
}

// scale returns how much longer than the mean a step may take. If the time
// grows linearly with the workload, no step exceeds the scaled mean: a smaller
// workload gets the mean, as a part of the time doesn't depend on the workload,
// and a larger one gets the mean in proportion.
func (p prefillEstimate) scale(w workload) float64 {
	return max(1, w.layers/p.layers)
}

// withSample returns the estimate after a step that took the given time.
func (p prefillEstimate) withSample(w workload, took time.Duration) prefillEstimate {
	if p.layers == 0 {
		return prefillEstimate{layers: w.layers, latency: p.latency.withSample(took), slowest: took}
	}
	normalised := time.Duration(float64(took) / p.scale(w))
	p.slowest = max(normalised, p.slowest+(normalised-p.slowest)/slowestDivisor)
	difference := time.Duration(float64(took) - p.scale(w)*float64(p.latency.mean))
	p.latency.deviation += (difference.Abs() - p.latency.deviation) / deviationDivisor
	p.latency.mean += (took - p.latency.mean) / meanDivisor
	p.layers += (w.layers - p.layers) / meanDivisor
	return p
}

// withTimeout returns the estimate after a step that didn't finish within its
// timeout. Of concurrent steps only the first one lengthens the timeout: the
// others had a shorter one than applies now.
func (p prefillEstimate) withTimeout(w workload, timeout, limit time.Duration) prefillEstimate {
	if timeout < p.timeout(w, limit) {
		return p
	}
	if p.layers == 0 {
		return p.withSample(w, timeout)
	}
	p.latency = p.latency.withTimeout(limit)
	return p
}

// timeout returns the timeout of a step. It is the limit while there is neither
// a sample nor a report.
func (p prefillEstimate) timeout(w workload, limit time.Duration) time.Duration {
	expected := reportedFactor * w.reported
	if p.layers > 0 {
		unscaled := max(p.latency.mean+deviationFactor*p.latency.deviation, slowestFactor*p.slowest)
		expected = scaleUpTo(unscaled, p.scale(w), limit)
	}
	if expected == 0 {
		return limit
	}
	return min(max(expected, minPrefillTimeout), limit)
}

// scaleUpTo multiplies a time by a factor, up to a limit.
func scaleUpTo(d time.Duration, factor float64, limit time.Duration) time.Duration {
	return time.Duration(min(factor*float64(d), float64(limit)))
}
