package simulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// Result is the outcome of one simulation of a pattern. Times are in milliseconds.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Streams is the number of streams requested. InAim counts those that were
	// complete, with the first event and all pauses within the targets, and Late the
	// other complete ones. Refused counts those that were answered with a
	// status other than 200, and Cut those that failed without a status or ended early.
	Streams int     `json:"streams"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Cut     int     `json:"cut"`
	Share   float64 `json:"in_aim_share"`
	// First is the time to the first event, Between the mean time between two events
	// of a stream, and Gap the longest pause of a stream.
	First   Quantiles `json:"first_ms"`
	Between Quantiles `json:"between_ms"`
	Gap     Quantiles `json:"gap_ms"`
	// Seconds counts streams by the second in which they began.
	Seconds []Second `json:"seconds"`
}

// Quantiles holds quantiles of a set of times.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Second counts the streams that began in one second.
type Second struct {
	Streams int `json:"streams"`
	InAim   int `json:"in_aim"`
}

// share returns the share of streams within the targets, 1 if there were no streams.
func (s Second) share() float64 {
	if s.Streams == 0 {
		return 1
	}
	return float64(s.InAim) / float64(s.Streams)
}

// quantiles returns the quantiles of some times. It sorts the slice.
func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))]) / float64(time.Millisecond)
	}
	return Quantiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}

// summarise returns the result of a simulation from its answers.
func summarise(setup Setup, begun time.Time, answers []answer) Result {
	p := setup.Pattern
	r := Result{
		Pattern: p.Name, Policy: setup.Policy.Name, Seed: setup.Seed, Streams: len(answers),
		Seconds: make([]Second, int(p.Seconds)+1),
	}
	var first, between, gap []time.Duration
	for _, a := range answers {
		second := &r.Seconds[min(int(a.begun.Sub(begun).Seconds()), len(r.Seconds)-1)]
		second.Streams++
		if a.events > 0 {
			first = append(first, a.first)
		}
		if a.events > 1 {
			between = append(between, a.length/time.Duration(a.events-1))
			gap = append(gap, a.gap)
		}
		switch {
		case a.complete && a.first <= millis(p.Streams.FirstMillis) && a.gap <= millis(p.Streams.GapMillis):
			r.InAim++
			second.InAim++
		case a.complete:
			r.Late++
		case a.status != 0 && a.status != http.StatusOK:
			r.Refused++
		default:
			r.Cut++
		}
	}
	r.Share = Second{Streams: r.Streams, InAim: r.InAim}.share()
	r.First, r.Between, r.Gap = quantiles(first), quantiles(between), quantiles(gap)
	return r
}

// Table writes the results as a text table.
func Table(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pattern\tpolicy\tseed\tstreams\tin aim\tlate\trefused\tcut\tfirst p50\tp95\tbetween p50\tp95\tgap p95\tms")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.3f\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			r.Pattern, r.Policy, r.Seed, r.Streams, r.Share, r.Late, r.Refused, r.Cut,
			r.First.P50, r.First.P95, r.Between.P50, r.Between.P95, r.Gap.P95)
	}
	return trace.Wrap(t.Flush())
}

// JSON writes the results as a JSON array.
func JSON(w io.Writer, results []Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(results))
}
