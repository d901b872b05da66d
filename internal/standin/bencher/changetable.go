package bencher

import (
	"fmt"
	"io"
)

// changeRows writes one table row for each change, if there are any.
func (r Report) changeRows(w io.Writer) {
	if len(r.Changes) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "\nchange\toffered\tbefore\tduring\tafter\twithout it\tnew before/during/after\tlast new ms\tback ms\tstreams\tresumed\twithin 1 s\tp50/p95/max ms\twork\twhole\twrong\tfailures")
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%d/%d/%d\t%.0f\t%.0f\t%d\t%d\t%d\t%.0f/%.0f/%.0f\t%.3f\t%d/%d\t%d\t%s\n",
			c.Kind, c.Offered, c.Before, c.During, c.After, c.BoundLeft, c.NewBefore, c.NewDuring, c.NewAfter, c.LastNew, c.FirstNewAfter,
			c.Streams, c.Resumed, c.ResumedInTime, c.P50, c.P95, c.Max, c.Amplification,
			c.Whole, c.Requests, c.Wrong, failureList(c.Failures))
	}
	for _, c := range r.Changes {
		if j := c.Joining; j != nil {
			_, _ = fmt.Fprintf(w, "\n%s: first step after %.0f ms, %.1f of its peer's steps after %.0f ms, %.2f of them in the last half\n",
				c.Kind, j.FirstStep, fairStepRatio, j.FairAfter, j.StepRatio)
		}
		for _, v := range c.Versions {
			_, _ = fmt.Fprintf(w, "%s: %d whole answers of %s\n", c.Kind, v.Whole, v.Name)
		}
	}
}
