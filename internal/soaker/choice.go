package soaker

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/platform/imitator"
)

// policy is how long a caller uses an answer with addresses.
type policy int

// Policies. A third of the callers follows each.
const (
	// asksAlways asks before each attempt.
	asksAlways policy = iota
	// keepsAnswer keeps an answer for up to maxKeepFactor times its TTL.
	keepsAnswer
	// keepsNode uses one node until its process is gone.
	keepsNode

	policies = 3
)

// maxKeepFactor is how many times its TTL an answer is kept at most.
const maxKeepFactor = 3

// choice is what a caller keeps of an answer with addresses.
type choice struct {
	addresses []string
	until     time.Time
}

// choose returns the frontend for an attempt of a caller.
func (r *run) choose(ctx context.Context, c imitator.Caller, kept *choice, p policy) (string, error) {
	use := len(kept.addresses) > 0
	switch p {
	case asksAlways:
		use = false
	case keepsAnswer:
		use = use && time.Now().Before(kept.until)
	case keepsNode:
		use = use && r.runs(kept.addresses[0])
	}
	if !use {
		addresses, ttl, err := c.Resolve(ctx)
		if err != nil || len(addresses) == 0 {
			return "", trace.ConnectionProblem(err, "no address")
		}
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		kept.addresses, kept.until = addresses, time.Now().Add(time.Duration(rand.Float64()*maxKeepFactor*float64(ttl)))
	}
	if p == keepsNode {
		return kept.addresses[0], nil
	}
	return kept.addresses[rand.IntN(len(kept.addresses))], nil
}

// runs reports whether the process of the node with a frontend runs.
func (r *run) runs(frontend string) bool {
	n := slices.IndexFunc(r.frontends, func(each string) bool { return each == frontend })
	return n >= 0 && r.nodes[n].Running()
}
