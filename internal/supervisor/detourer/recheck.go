package detourer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"banyanquay/internal/grouper"
)

const (
	// recheckInterval is the time between two rounds of probes for the end of a partition, and
	// recheckSize the number of endpoints that are probed in one. In a large fleet a round
	// begins with fewer, at least minRechecked: recheckRate limits the probes per second of
	// all nodes while they are cut off.
	recheckInterval = 300 * time.Millisecond
	recheckSize     = 6
	minRechecked    = 2
	recheckRate     = 200
)

// Step finds out when endpoints can be reached again, until its context ends.
func (d *Detourer) Step() grouper.Step {
	return grouper.Step{Name: "detours", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, recheckInterval-rand.N(recheckInterval/10)) {
			d.cfg.Recorder.Guard("detours", func() { d.recheck(ctx) })
		}
		return nil
	}}
}

// recheck probes some of the endpoints that this node didn't reach, and more if it reaches
// all of these. If it reaches the further ones, too, the partition has ended.
func (d *Detourer) recheck(ctx context.Context) {
	endpoints := d.cfg.Endpoints()
	d.mu.Lock()
	maps.DeleteFunc(d.unreached, func(address string, _ bool) bool { return !slices.Contains(endpoints, address) })
	maps.DeleteFunc(d.checks, func(_ string, c *check) bool { return d.cfg.Now().Sub(c.began) >= checkTTL })
	maps.DeleteFunc(d.failures, func(_ string, f failed) bool { return d.cfg.Now().Sub(f.at) >= checkTTL })
	candidates := slices.Collect(maps.Keys(d.unreached))
	d.mu.Unlock()
	if len(candidates) == 0 {
		return
	}
	shuffle(candidates)
	candidates = candidates[:min(len(candidates), recheckSize)]
	first := min(d.firstRechecked(), len(candidates))
	reached := d.reached(ctx, candidates[:first])
	if len(reached) == first {
		reached = append(reached, d.reached(ctx, candidates[first:])...)
	}
	if len(reached) == len(candidates) {
		d.noteAllReached()
		return
	}
	for _, address := range reached {
		d.noteReached(address)
	}
}

// firstRechecked returns how many endpoints this node probes at first in a round, so that
// all nodes together keep to recheckRate while many are cut off.
func (d *Detourer) firstRechecked() int {
	nodes := float64(len(d.cfg.Peers()) + 1)
	return min(max(int(recheckRate*recheckInterval.Seconds()/nodes), minRechecked), recheckSize)
}

func shuffle(all []string) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}
