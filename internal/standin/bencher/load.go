package bencher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load holds the measurements at one offered load. Ratios are to the bound unless
// stated otherwise.
type Load struct {
	Policy  string  `json:"policy"`
	Offered float64 `json:"offered"`
	// Throughput counts all tokens of the window, Goodput those of answers
	// that were whole within their deadline.
	Throughput float64 `json:"throughput"`
	Goodput    float64 `json:"goodput"`
	// Times to the first token and between tokens, in milliseconds.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	NextP50  float64 `json:"next_p50_ms"`
	NextP95  float64 `json:"next_p95_ms"`
	// PrefixHits is the part of the prompts' blocks that engines had cached.
	PrefixHits float64 `json:"prefix_hits"`
	// Jain is Jain's index of goodput over fair entitlement.
	Jain float64 `json:"jain"`
	// Amplification is the work that engines did over the work that the
	// tokens received needed.
	Amplification float64 `json:"amplification"`
	// NodeMicros is the nodes' processor time for each token.
	NodeMicros float64 `json:"node_us_per_token"`
	// Requests is the number sent; Whole of them were answered completely and
	// correctly, and Wrong of them had a wrong token.
	Requests int       `json:"requests"`
	Whole    int       `json:"whole"`
	Wrong    int       `json:"wrong"`
	Failures []Failure `json:"failures,omitempty"`
	// UnderShareFailed is how many requests of organisations within their share
	// were not answered completely and correctly.
	UnderShareFailed int `json:"under_share_failed"`
	// UnderShareFirstP95 is the time to the first token of these organisations,
	// in milliseconds.
	UnderShareFirstP95 float64 `json:"under_share_first_p95_ms"`
	// Shortfalls describes the requests that UnderShareFailed counts.
	Shortfalls []Shortfall `json:"shortfalls,omitempty"`
}

// Failure counts the requests that failed for one cause.
type Failure struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// load measures one policy at one offered load.
func (b *Bencher) load(ctx context.Context, policy string, rate float64) (Load, error) {
	nodes := b.nodes(policy)
	r := &run{b: b, nodes: addresses(nodes), tokens: b.cfg.Tokens, maxAttempts: 1}
	before, err := b.readCounters(ctx, nodes)
	if err != nil {
		return Load{}, err
	}
	r.sendAll(ctx, b.arrivals(rate, len(nodes), r.tokens), nil)
	after, err := b.readCounters(ctx, nodes)
	if err != nil {
		return Load{}, err
	}
	l := b.summarise(r.done, rate, len(nodes))
	l.Policy = policy
	work := after.totals.Sub(before.totals)
	l.Amplification = b.amplification(work, r.done)
	l.PrefixHits = ratio(float64(work.Hits), float64(work.Blocks))
	l.NodeMicros = ratio(float64((after.cpu-before.cpu)/time.Microsecond), float64(countTokens(r.done)))
	_, _ = fmt.Fprintf(b.cfg.Stderr, "%s at %.0f%%: %.2f of the bound\n", policy, rate*100, l.Throughput)
	return l, nil
}

// Bounds of the latencies that are recorded, in microseconds.
const (
	minMicros = 1
	maxMicros = 120_000_000
	digits    = 3
)

// summarise aggregates the outcomes of a run.
func (b *Bencher) summarise(done []outcome, rate float64, nodes int) Load {
	first := hdrhistogram.New(minMicros, maxMicros, digits)
	next := hdrhistogram.New(minMicros, maxMicros, digits)
	underShare := hdrhistogram.New(minMicros, maxMicros, digits)
	l := Load{Offered: rate, Requests: len(done)}
	served := make([]float64, len(b.cfg.Organisations))
	failures := make(map[string]int)
	for _, o := range done {
		inWindow := b.tokensInWindow(o.tokens)
		l.Throughput += float64(inWindow)
		if o.withinDeadline(b.cfg.Deadline) {
			l.Goodput += float64(inWindow)
			served[o.organisation] += float64(inWindow)
		}
		recordLatencies(first, next, o)
		org := b.cfg.Organisations[o.organisation]
		within := org.Offered*rate <= org.Share
		if within && len(o.tokens) > 0 {
			_ = underShare.RecordValue((o.tokens[0] - o.sent).Microseconds())
		}
		switch {
		case o.err == nil:
			l.Whole++
			continue
		case o.wrong():
			l.Wrong++
		}
		cause, known := o.failureCause()
		if !known && failures[cause] == 0 {
			_, _ = fmt.Fprintf(b.cfg.Stderr, "first broken request: %v\n", o.err)
		}
		failures[cause]++
		if within {
			l.UnderShareFailed++
			l.Shortfalls = append(l.Shortfalls, b.shortfall(o, done, nodes))
		}
	}
	capacity := b.bound * b.cfg.Window.Seconds()
	l.Throughput /= capacity
	l.Goodput /= capacity
	l.Jain = jain(served, b.entitlements(rate))
	for cause, count := range failures {
		l.Failures = append(l.Failures, Failure{Cause: cause, Count: count})
	}
	slices.SortFunc(l.Failures, func(x, y Failure) int { return cmp.Compare(x.Cause, y.Cause) })
	l.FirstP50, l.FirstP95 = percentileMillis(first, 50), percentileMillis(first, 95)
	l.UnderShareFirstP95 = percentileMillis(underShare, 95)
	l.NextP50, l.NextP95 = percentileMillis(next, 50), percentileMillis(next, 95)
	return l
}

// tokensInWindow counts the tokens that arrived in the window.
func (b *Bencher) tokensInWindow(tokens []time.Duration) int {
	n := 0
	for _, at := range tokens {
		if at >= b.cfg.Warm && at < b.cfg.Warm+b.cfg.Window {
			n++
		}
	}
	return n
}

// recordLatencies adds a request's latencies to the histograms.
func recordLatencies(first, next *hdrhistogram.Histogram, o outcome) {
	for i, at := range o.tokens {
		if i == 0 {
			_ = first.RecordValue((at - o.sent).Microseconds())
			continue
		}
		_ = next.RecordValue((at - o.tokens[i-1]).Microseconds())
	}
}

// percentileMillis returns a percentile of a histogram of microseconds in
// milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / float64(time.Millisecond/time.Microsecond)
}

// ratio returns a over b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
