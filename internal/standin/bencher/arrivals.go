package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// arrival is one request of an open-loop load: it is sent at its time whether or
// not earlier ones have been answered. It is immutable.
type arrival struct {
	// at is the time from the start of the run.
	at time.Duration
	// organisation and node are indexes.
	organisation, node int
	prompt             string
}

// arrivals returns a Poisson process with exactly the offered number of requests
// in the warm-up time and in the window.
func (b *Bencher) arrivals(rate float64, nodes int, tokens int) []arrival {
	r := rand.New(rand.NewPCG(b.cfg.Seed, uint64(rate*1000)))
	perSecond := rate * b.bound / float64(tokens)
	var all []arrival
	for _, part := range []struct{ from, length time.Duration }{
		{0, b.cfg.Warm},
		{b.cfg.Warm, b.cfg.Window},
	} {
		for range int(perSecond*part.length.Seconds() + 0.5) {
			org := b.pickOrganisation(r.Float64())
			node := r.IntN(nodes)
			if at := b.cfg.Organisations[org].At; at > 0 {
				node = at - 1
			}
			all = append(all, arrival{
				at:           part.from + time.Duration(r.Int64N(int64(part.length))),
				organisation: org,
				node:         node,
				prompt:       prompt(r, org),
			})
		}
	}
	slices.SortFunc(all, func(x, y arrival) int { return int(x.at - y.at) })
	return all
}

// pickOrganisation maps u, which is uniform in [0, 1), to an organisation,
// weighted by their parts of the offered load.
func (b *Bencher) pickOrganisation(u float64) int {
	for i, o := range b.cfg.Organisations {
		if u -= o.Offered; u < 0 {
			return i
		}
	}
	return len(b.cfg.Organisations) - 1
}

// Shape of the prompts.
const (
	prefixesPerOrganisation = 8
	sharedWords             = 112
	uniqueWords             = 8
)

// prompt returns a prompt that begins with one of the organisation's shared
// prefixes.
func prompt(r *rand.Rand, organisation int) string {
	prefix := r.IntN(prefixesPerOrganisation)
	words := make([]string, 0, sharedWords+uniqueWords)
	for i := range sharedWords {
		words = append(words, fmt.Sprintf("%d-%d-%d", organisation, prefix, i))
	}
	for range uniqueWords {
		words = append(words, fmt.Sprint(r.IntN(1000000)))
	}
	return strings.Join(words, " ")
}
