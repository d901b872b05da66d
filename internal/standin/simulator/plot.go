package simulator

import (
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot draws the share of streams within their targets by the second in which they
// began, with a line for each policy, into a file whose name ends in .svg or .png. It
// adds up the results of all seeds of a policy.
func Plot(file string, results []Result) error {
	if ext := strings.ToLower(filepath.Ext(file)); ext != ".svg" && ext != ".png" {
		return trace.BadParameter("plot file %s: want a name that ends in .svg or .png", file)
	}
	p := plot.New()
	p.Title.Text = "streams in aim"
	p.X.Label.Text = "begun in second"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	lines, names := curves(results)
	var args []any
	for _, name := range names {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(p.Save(plotWidth, plotHeight, file))
}

// curves returns a line of shares by second for each policy of each pattern, and the
// names of the lines in order.
func curves(results []Result) (map[string]plotter.XYs, []string) {
	seconds := make(map[string][]Second)
	var names []string
	for _, r := range results {
		name := r.Pattern + " " + r.Policy
		if seconds[name] == nil {
			names = append(names, name)
			seconds[name] = make([]Second, len(r.Seconds))
		}
		for i, s := range r.Seconds {
			if i < len(seconds[name]) {
				seconds[name][i].Streams += s.Streams
				seconds[name][i].InAim += s.InAim
			}
		}
	}
	lines := make(map[string]plotter.XYs, len(names))
	for name, all := range seconds {
		for i, s := range all {
			lines[name] = append(lines[name], plotter.XY{X: float64(i), Y: s.share()})
		}
	}
	return lines, names
}
