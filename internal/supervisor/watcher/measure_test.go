package watcher

import (
	"expvar"
	"flag"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

var measure = flag.Bool("measure", false, "measure what fleet control costs a node, by the size of the fleet")

// cpu returns the CPU time that this process has used.
func cpu(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the size of this process's live heap and stacks in bytes.
func memory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// totals returns a counter of all nodes, sorted.
func (f *fleet) totals(name string) []int64 {
	var totals []int64
	for _, m := range f.members {
		n := int64(0)
		if v, ok := m.counters.Fleet.Get(name).(*expvar.Int); ok {
			n = v.Value()
		}
		totals = append(totals, n)
	}
	slices.Sort(totals)
	return totals
}

// churn runs the fleet for a minute in which every endpoint's load changes each
// second, two changes of configuration are applied, and an endpoint is replaced.
func (f *fleet) churn() {
	for second := range 60 {
		if second%30 == 0 {
			f.applied.Add(1)
		}
		switch second {
		case 10:
			f.change(endpointName(1), func(s *driver.Status) { s.Leaving = true })
		case 20:
			f.change(endpointName(1), func(s *driver.Status) { s.Leaving, s.Incarnation = false, "next" })
		}
		f.mu.Lock()
		for address, s := range f.statuses {
			s.Running = rand.IntN(2 * s.Slots)
			f.statuses[address] = s
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// measureFleet runs a fleet for two minutes and logs what the second one cost a
// node.
func measureFleet(t *testing.T, nodes int) {
	before := memory()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, nodes, nodes*820/350)
		defer f.stop()
		f.churn()
		sent, received := f.totals("bytes_sent"), f.totals("bytes_received")
		frames, polls, lists := f.totals("frames_sent"), f.totals("polls"), f.totals("lists_read")
		startCPU := cpu(t)
		f.churn()
		used := cpu(t) - startCPU
		held := memory() - before
		rate := func(name string, base []int64) (mean, highest float64) {
			now := f.totals(name)
			var sum int64
			for i := range now {
				sum += now[i] - base[i]
			}
			return float64(sum) / float64(60*nodes), float64(now[len(now)-1]-base[0]) / 60
		}
		sentMean, _ := rate("bytes_sent", sent)
		receivedMean, _ := rate("bytes_received", received)
		framesMean, _ := rate("frames_sent", frames)
		pollsMean, _ := rate("polls", polls)
		listsMean, _ := rate("lists_read", lists)
		t.Logf("%d nodes, %d endpoints; a node, a second: sent %.0f B in %.1f frames, received %.0f B, "+
			"%.1f polls, %.3f list reads, %.2f%% of a core; %.2f MB held",
			nodes, nodes*820/350, sentMean, framesMean, receivedMean, pollsMean, listsMean,
			100*used.Seconds()/60/float64(nodes), float64(held)/float64(nodes)/(1<<20))
	})
}

// TestMeasure prints the costs; it asserts nothing and runs only with -measure.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	for _, nodes := range []int{9, 50, 150, 350} {
		measureFleet(t, nodes)
	}
}

// TestMeasureLeaving prints, over many seeds, how long nodes give new work to a
// leaving endpoint; it runs only with -measure.
func TestMeasureLeaving(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	for seed := range uint64(100) {
		runLeavingEndpoint(t, 9, 20, seed)
	}
	for seed := range uint64(5) {
		runLeavingEndpoint(t, largeFleetNodes, 24, seed)
	}
}

// TestMeasureApplied prints how long it takes until all nodes know that all
// have applied a change, at the planned rate of changes; it runs only with
// -measure.
func TestMeasureApplied(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure")
	}
	for _, nodes := range []int{9, largeFleetNodes} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, nodes, nodes*820/350)
			defer f.stop()
			for change := range uint64(6) {
				time.Sleep(24*time.Hour/2700 - time.Duration(rand.IntN(10))*time.Second)
				f.applied.Store(change + 1)
				took := f.waitFor("applied", time.Minute, func(m *member) bool { return m.knowsAllApplied(change + 1) })
				t.Logf("%d nodes: each knew that all had applied change %d after %v", nodes, change+1, took)
			}
		})
	}
}

// knowsAllApplied reports whether the node knows that all have applied an offset.
func (m *member) knowsAllApplied(offset uint64) bool {
	for _, n := range m.tracker.Nodes() {
		if n.Applied < offset {
			return false
		}
	}
	return true
}
