package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxMemoryGap is the maximum time between two faults of a kind that makes nodes use memory.
	maxMemoryGap = 6 * time.Second
	// minEndless and maxEndless bound how long endpoints answer without an end, and minEndlessShare
	// and maxEndlessShare the share of them. fullEndlessLikelihood is the share of these faults
	// that affect all endpoints.
	minEndless            = 1500 * time.Millisecond
	maxEndless            = 5 * time.Second
	minEndlessShare       = 0.1
	maxEndlessShare       = 0.6
	fullEndlessLikelihood = 0.3
	// crowdLikelihood is the share of these faults that come with a crowd of callers at one node,
	// minCrowd to maxCrowd of them: memory follows from the calls in progress.
	crowdLikelihood = 0.5
	minCrowd        = 50
	maxCrowd        = 400
	// Forms is the number of forms of an answer without an end.
	Forms = 6
	// minSlowBodies and maxSlowBodies bound how long bodies are held, and minSlowCallers and
	// maxSlowCallers how many callers hold one: 200 bodies of 1 MB are more than the memory
	// of a node.
	minSlowBodies  = 2 * time.Second
	maxSlowBodies  = 6 * time.Second
	minSlowCallers = 30
	maxSlowCallers = 200
)

// drawEndless draws the endpoints that answer without an end.
func drawEndless(cfg Config) []Fault {
	return drawMemory(cfg, 5, func(r *rand.Rand, at time.Duration) Fault {
		f := Fault{Kind: Endless, At: at, Duration: minEndless + randomBelow(r, maxEndless-minEndless)}
		f.Target, f.Form, f.Share = r.IntN(max(cfg.Endpoints, 1)), r.IntN(Forms), 1
		if r.Float64() >= fullEndlessLikelihood {
			f.Share = minEndlessShare + (maxEndlessShare-minEndlessShare)*r.Float64()
		}
		if r.Float64() < crowdLikelihood {
			f.Callers = minCrowd + r.IntN(maxCrowd-minCrowd+1)
		}
		return f
	})
}

// drawSlowBodies draws the callers that hold their bodies.
func drawSlowBodies(cfg Config) []Fault {
	return drawMemory(cfg, 6, func(r *rand.Rand, at time.Duration) Fault {
		return Fault{
			Kind: SlowBodies, At: at, Duration: minSlowBodies + randomBelow(r, maxSlowBodies-minSlowBodies),
			Target: r.IntN(max(cfg.Nodes, 1)), Callers: minSlowCallers + r.IntN(maxSlowCallers-minSlowCallers+1),
		}
	})
}

// Breakages is the number of ways in which answers are broken.
const Breakages = 5

// drawBroken draws the endpoints that break their answers, for the times and shares of those that
// answer without an end.
func drawBroken(cfg Config) []Fault {
	return drawMemory(cfg, 7, func(r *rand.Rand, at time.Duration) Fault {
		f := Fault{Kind: Broken, At: at, Duration: minEndless + randomBelow(r, maxEndless-minEndless)}
		f.Target, f.Form = r.IntN(max(cfg.Endpoints, 1)), r.IntN(Breakages)
		f.Share = minEndlessShare + (maxEndlessShare-minEndlessShare)*r.Float64()
		return f
	})
}

// drawMemory draws faults, which may overlap, from a stream of their own. Those that would last
// beyond the run are left out.
func drawMemory(cfg Config, stream uint64, draw func(*rand.Rand, time.Duration) Fault) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+stream))
	var faults []Fault
	for at := randomBelow(r, maxMemoryGap); at < cfg.Time; at += randomBelow(r, maxMemoryGap) {
		faults = append(faults, draw(r, at))
	}
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.At+f.Duration > cfg.Time })
}
