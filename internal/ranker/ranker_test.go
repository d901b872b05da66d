package ranker

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTopIsStable compares Top with a full sort and checks that removing a name keeps
// the order of the others.
func TestTopIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Of(fmt.Sprint(rapid.Int().Draw(t, "subject")))
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 30, rapid.ID).Draw(t, "names")
		n := rapid.IntRange(0, len(names)).Draw(t, "n")
		sorted := slices.Clone(names)
		slices.SortFunc(sorted, func(a, b string) int {
			if o.Before(a, b) {
				return -1
			}
			return 1
		})
		if got := o.Top(names, n); !slices.Equal(got, sorted[:n]) {
			t.Fatalf("got %v, want %v", got, sorted[:n])
		}
		removed := rapid.SampledFrom(names).Draw(t, "gone")
		isRemoved := func(name string) bool { return name == removed }
		got, want := o.Top(slices.DeleteFunc(slices.Clone(names), isRemoved), len(names)), slices.DeleteFunc(sorted, isRemoved)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v without %s, want %v", got, removed, want)
		}
	})
}
