package bencher

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table writes the report as tables for people to read.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "bound: %.0f tokens/s, seed %d\n\n", r.Bound, r.Seed)
	_, _ = fmt.Fprintln(t, "policy\toffered\ttokens\tgoodput\tfirst p50/p95 ms\tnext p50/p95 ms\tprefix hits\tJain\twork\tnode us/token\twhole\tunder share failed\tits first p95 ms\tfailures")
	for _, l := range r.Loads {
		_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.3f\t%.3f\t%.0f/%.0f\t%.0f/%.0f\t%.2f\t%.3f\t%.3f\t%.0f\t%d/%d\t%d\t%.0f\t%s\n",
			l.Policy, l.Offered, l.Throughput, l.Goodput, l.FirstP50, l.FirstP95, l.NextP50, l.NextP95,
			l.PrefixHits, l.Jain, l.Amplification, l.NodeMicros, l.Whole, l.Requests, l.UnderShareFailed, l.UnderShareFirstP95, failureList(l.Failures))
	}
	_, _ = fmt.Fprintln(t, "\nfault\tstreams\tresumed\twithin 1 s\tp50/p95/max ms\twork\twhole\twrong\tfailures")
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f/%.0f/%.0f\t%.3f\t%d/%d\t%d\t%s\n",
			f.Kind, f.Streams, f.Resumed, f.ResumedInTime, f.P50, f.P95, f.Max, f.Amplification,
			f.Whole, f.Requests, f.Wrong, failureList(f.Failures))
	}
	r.changeRows(t)
	return t.Flush()
}

// failureList formats failures in one line.
func failureList(failures []Failure) string {
	parts := make([]string, 0, len(failures))
	for _, f := range failures {
		parts = append(parts, fmt.Sprintf("%s: %d", f.Cause, f.Count))
	}
	return strings.Join(parts, ", ")
}
