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

// Kinds. Faults of nodes harm one process, those of links the connections of one
// node to the store, or of all nodes to one endpoint.
const (
	Kill           Kind = iota // kill
	KillAll                    // kill_all
	Pause                      // pause
	Term                       // term
	Hup                        // hup
	StoreDelay                 // store_delay
	StoreReset                 // store_reset
	StoreDeaf                  // store_deaf
	StoreMute                  // store_mute
	StoreSilent                // store_silent
	StoreDown                  // store_down
	StoreLose                  // store_lose
	StoreCompact               // store_compact
	EndpointDelay              // endpoint_delay
	EndpointReset              // endpoint_reset
	EndpointDeaf               // endpoint_deaf
	EndpointMute               // endpoint_mute
	EndpointSilent             // endpoint_silent
	Revoke                     // revoke
	Leave                      // leave

	// kinds is how many are drawn at the same odds: all but Leave, which is drawn
	// apart so that seeds give the same other faults as before there was one.
	kinds = int(Revoke) + 1
)

// Fault is one fault. It is an immutable value.
type Fault struct {
	Kind Kind
	// At is when it begins, from the start of the run, and For how long it lasts:
	// for processes until they are started again.
	At  time.Duration
	For time.Duration
	// Target is the number of the node or endpoint.
	Target int
	// Delay is by how much chunks are late.
	Delay time.Duration
}

// String tells the fault as in a report.
func (f Fault) String() string {
	return fmt.Sprintf("%s %d at %v for %v", f.Kind, f.Target, f.At, f.For)
}

// Config bounds what is drawn.
type Config struct {
	Seed uint64
	// Time is the length of the run. No fault lasts beyond it.
	Time      time.Duration
	Nodes     int
	Endpoints int
	// Only, if set, are the kinds that are drawn.
	Only []Kind
}

const (
	// mostGap is the longest time between two faults.
	mostGap = 1200 * time.Millisecond
	// series is how likely a fault comes several times in a row, mostRow how often,
	// and rowGap the longest time between.
	series  = 0.3
	mostRow = 4
	rowGap  = 250 * time.Millisecond
	// leastFor and mostFor bound how long a fault lasts, and revokeFor how long a
	// key stays away: longer than the time in which it must stop working.
	leastFor  = 150 * time.Millisecond
	mostFor   = 3 * time.Second
	revokeFor = 8 * time.Second
	// mostDelay is the longest delay of a chunk.
	mostDelay = 300 * time.Millisecond
	// leaveFor is how long an endpoint leaves before it is back, longer than the time
	// in which it may still get requests, and leaveGap the longest time from one that
	// is back to the next that leaves.
	leaveFor = 11 * time.Second
	leaveGap = 4 * time.Second
)

// Draw returns the faults of a run in their order.
func Draw(cfg Config) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var faults []Fault
	revoked := time.Duration(0)
	for at := upTo(r, mostGap); at < cfg.Time-leastFor; at += upTo(r, mostGap) {
		kind := Kind(r.IntN(kinds))
		row := 1
		if r.Float64() < series {
			row += r.IntN(mostRow)
		}
		for n, begin := 0, at; n < row; n, begin = n+1, begin+upTo(r, rowGap) {
			f := Fault{Kind: kind, At: begin, For: leastFor + upTo(r, mostFor-leastFor), Delay: upTo(r, mostDelay)}
			f.Target = r.IntN(max(cfg.Nodes, 1))
			if kind >= EndpointDelay && kind <= EndpointSilent {
				f.Target = r.IntN(max(cfg.Endpoints, 1))
			}
			if kind == Revoke {
				if begin < revoked {
					break // one key at a time
				}
				f.For = revokeFor
				revoked = begin + f.For
			}
			f.For = min(f.For, cfg.Time-begin)
			if f.For > 0 && (len(cfg.Only) == 0 || slices.Contains(cfg.Only, kind)) {
				faults = append(faults, f)
			}
		}
	}
	if len(cfg.Only) == 0 || slices.Contains(cfg.Only, Leave) {
		faults = append(faults, leaves(cfg)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// leaves draws the endpoints that leave, one after the other.
func leaves(cfg Config) []Fault {
	r := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	var faults []Fault
	for at := upTo(r, leaveGap); at < cfg.Time; at += leaveFor + upTo(r, leaveGap) {
		faults = append(faults, Fault{
			Kind: Leave, At: at, For: min(leaveFor, cfg.Time-at), Target: r.IntN(max(cfg.Endpoints, 1)),
		})
	}
	return faults
}

// upTo draws a time up to a bound.
func upTo(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}
