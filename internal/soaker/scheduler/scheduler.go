// Package scheduler draws the faults of a run from a seed. It reads no clock, so
// that a seed always gives the same faults.
package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind is what a fault does.
type Kind int

// Kinds. Faults of nodes affect one process, or all; those of links affect the
// connections of one node to the store, or of all nodes to one endpoint.
const (
	Kill             Kind = iota // kill
	KillAll                      // kill_all
	Pause                        // pause
	Term                         // term
	Hup                          // hup
	StoreDelay                   // store_delay
	StoreReset                   // store_reset
	StoreDropTo                  // store_deaf
	StoreDropFrom                // store_mute
	StoreDropBoth                // store_silent
	StoreDown                    // store_down
	StoreLoseAnswers             // store_lose
	StoreCompact                 // store_compact
	EndpointDelay                // endpoint_delay
	EndpointReset                // endpoint_reset
	EndpointDropTo               // endpoint_deaf
	EndpointDropFrom             // endpoint_mute
	EndpointDropBoth             // endpoint_silent
	Revoke                       // revoke
	Leave                        // leave
	StoreRestore                 // store_restore
	Limit                        // limit
	Silence                      // silence
	Change                       // change
	Endless                      // endless
	SlowBodies                   // slow_bodies
	Broken                       // broken

	// uniformKinds is how many kinds are drawn with equal probability: all but those
	// from Leave on, which are drawn separately so that adding them changed no other
	// fault of a seed.
	uniformKinds = int(Revoke) + 1
	// Kinds is the number of kinds.
	Kinds = int(Broken) + 1
)

// Fault is one fault. It is an immutable value.
type Fault struct {
	Kind Kind
	// At is when it begins, from the start of the run, and Duration how long it
	// lasts. Faults that end processes last until the processes are started again.
	At       time.Duration
	Duration time.Duration
	// Target is the number of the node or endpoint, of the first endpoint of a Silence, an
	// Endless or a Broken, and a random number below Changes for a Change.
	Target int
	// Share is the share of the endpoints, from Target on, that a Silence, an Endless or a
	// Broken affects.
	Share float64
	// Form is the form of an Endless, below Forms, or the breakage of a Broken, below Breakages.
	Form int
	// Callers is the number of callers of SlowBodies, and of a crowd beside an Endless.
	Callers int
	// Delay is the delay of each chunk.
	Delay time.Duration
}

// String returns the fault as reports show it.
func (f Fault) String() string {
	text := fmt.Sprintf("%s %d at %v for %v", f.Kind, f.Target, f.At, f.Duration)
	switch f.Kind {
	case Silence:
		text += fmt.Sprintf(" of %.0f%% of the endpoints", 100*f.Share)
	case Endless:
		text += fmt.Sprintf(" of %.0f%% of the endpoints in form %d beside a crowd of %d", 100*f.Share, f.Form, f.Callers)
	case Broken:
		text += fmt.Sprintf(" of %.0f%% of the endpoints in form %d", 100*f.Share, f.Form)
	case SlowBodies:
		text += fmt.Sprintf(" of %d callers", f.Callers)
	}
	return text
}

// Config bounds the faults that are drawn.
type Config struct {
	Seed uint64
	// Time is the length of the run. No fault lasts beyond it.
	Time      time.Duration
	Nodes     int
	Endpoints int
	// Only, if set, are the kinds that are drawn.
	Only []Kind
}

// draws reports whether faults of a kind are drawn.
func (cfg Config) draws(kind Kind) bool {
	return len(cfg.Only) == 0 || slices.Contains(cfg.Only, kind)
}

const (
	// maxGap is the longest time between two faults.
	maxGap = 1200 * time.Millisecond
	// burstProbability is the probability that a fault is the first of a burst of the
	// same kind. maxBurst is the maximum number of faults in a burst, and maxBurstGap
	// the maximum time between the beginnings of two of them.
	burstProbability = 0.3
	maxBurst         = 4
	maxBurstGap      = 250 * time.Millisecond
	// minDuration and maxDuration bound how long a fault lasts, and revokeDuration
	// is how long a key stays revoked: longer than the time after which it must stop
	// working.
	minDuration    = 150 * time.Millisecond
	maxDuration    = 3 * time.Second
	revokeDuration = 8 * time.Second
	// maxDelay is the longest delay of a chunk.
	maxDelay = 300 * time.Millisecond
	// leaveDuration is the time from an endpoint's leave to its return. It is longer
	// than the time in which the endpoint may still get requests. maxLeaveGap is the
	// maximum time from its return to the leave of the next endpoint.
	leaveDuration = 11 * time.Second
	maxLeaveGap   = 4 * time.Second
	// maxSeparateGap is the maximum time between two faults of a kind that is drawn
	// separately and may overlap.
	maxSeparateGap = 8 * time.Second
	// Silences and changes come in series that begin up to maxSeriesGap apart. In each,
	// up to maxSeriesSilences and maxSeriesChanges begin within seriesSpread, so that
	// they overlap.
	maxSeriesGap      = 5 * time.Second
	maxSeriesSilences = 3
	maxSeriesChanges  = 4
	seriesSpread      = 2 * time.Second
	// minSilence and maxSilence bound how long sound endpoints are silent, and minShare
	// the share of them. Half of the silences affect all endpoints.
	minSilence            = 800 * time.Millisecond
	maxSilence            = 1400 * time.Millisecond
	minShare              = 0.2
	fullSilenceLikelihood = 0.5
	// Changes is the number of changes to choose from.
	Changes = 3
)

// Draw returns the faults of a run, ordered by their start.
func Draw(cfg Config) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var faults []Fault
	revoked := time.Duration(0)
	for at := randomBelow(r, maxGap); at < cfg.Time-minDuration; at += randomBelow(r, maxGap) {
		kind := Kind(r.IntN(uniformKinds))
		burst := 1
		if r.Float64() < burstProbability {
			burst += r.IntN(maxBurst)
		}
		for n, begin := 0, at; n < burst; n, begin = n+1, begin+randomBelow(r, maxBurstGap) {
			f := Fault{Kind: kind, At: begin, Duration: minDuration + randomBelow(r, maxDuration-minDuration), Delay: randomBelow(r, maxDelay)}
			f.Target = r.IntN(max(cfg.Nodes, 1))
			if kind >= EndpointDelay && kind <= EndpointDropBoth {
				f.Target = r.IntN(max(cfg.Endpoints, 1))
			}
			if kind == Revoke {
				if begin < revoked {
					break // only one revocation at a time
				}
				f.Duration = revokeDuration
				revoked = begin + f.Duration
			}
			f.Duration = min(f.Duration, cfg.Time-begin)
			if f.Duration > 0 && cfg.draws(kind) {
				faults = append(faults, f)
			}
		}
	}
	if cfg.draws(Leave) {
		faults = append(faults, drawLeaves(cfg)...)
	}
	for n, kind := range []Kind{StoreRestore, Limit} {
		if cfg.draws(kind) {
			faults = append(faults, drawSeparate(cfg, kind, uint64(n+2))...)
		}
	}
	series := slices.Concat(drawSeries(cfg), drawEndless(cfg), drawSlowBodies(cfg), drawBroken(cfg))
	faults = append(faults, slices.DeleteFunc(series, func(f Fault) bool { return !cfg.draws(f.Kind) })...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// drawLeaves draws the endpoints that leave, one after the other.
func drawLeaves(cfg Config) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	var faults []Fault
	for at := randomBelow(r, maxLeaveGap); at < cfg.Time; at += leaveDuration + randomBelow(r, maxLeaveGap) {
		faults = append(faults, Fault{
			Kind: Leave, At: at, Duration: min(leaveDuration, cfg.Time-at), Target: r.IntN(max(cfg.Endpoints, 1)),
		})
	}
	return faults
}

// drawSeparate draws the faults of one kind from a stream of its own.
func drawSeparate(cfg Config, kind Kind, stream uint64) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+stream))
	var faults []Fault
	for at := randomBelow(r, maxSeparateGap); at < cfg.Time-minDuration; at += minDuration + randomBelow(r, maxSeparateGap) {
		faults = append(faults, Fault{
			Kind: kind, At: at, Duration: min(minDuration+randomBelow(r, maxDuration-minDuration), cfg.Time-at),
			Target: r.IntN(max(cfg.Endpoints, 1)),
		})
	}
	return faults
}

// drawSeries draws the series of silences and changes of the configuration.
func drawSeries(cfg Config) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+4))
	var faults []Fault
	for at := randomBelow(r, maxSeriesGap); at < cfg.Time; at += maxSilence + randomBelow(r, maxSeriesGap) {
		for range 1 + r.IntN(maxSeriesSilences) {
			f := Fault{Kind: Silence, At: at + randomBelow(r, seriesSpread), Duration: minSilence + randomBelow(r, maxSilence-minSilence)}
			f.Target, f.Share = r.IntN(max(cfg.Endpoints, 1)), 1
			if r.Float64() >= fullSilenceLikelihood {
				f.Share = minShare + (1-minShare)*r.Float64()
			}
			faults = append(faults, f)
		}
		for range 1 + r.IntN(maxSeriesChanges) {
			faults = append(faults, Fault{Kind: Change, At: at + randomBelow(r, seriesSpread), Duration: minDuration, Target: r.IntN(Changes)})
		}
	}
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.At+f.Duration > cfg.Time })
}

// randomBelow draws a duration below a limit.
func randomBelow(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
