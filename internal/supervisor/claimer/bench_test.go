package claimer

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of the log that the benchmark runs against.
const (
	appendsPerSecond = 300
	appendDelay      = 2 * time.Millisecond
)

// loadCase is one configuration of the benchmark.
type loadCase struct {
	nodes      int
	partitions int
	grouped    bool
	callers    int
}

// BenchmarkClaims measures requests that are claimed and recorded as done, one
// after the other by each caller, with a log that accepts 300 appends a second.
func BenchmarkClaims(b *testing.B) {
	loads := []loadCase{{7, 1, true, 64}, {7, 8, true, 64}}
	for _, partitions := range []int{1, 8} {
		for _, callers := range []int{1, 8, 64} {
			loads = append(loads, loadCase{1, partitions, true, callers}, loadCase{1, partitions, false, callers})
		}
	}
	for _, ld := range loads {
		name := fmt.Sprintf("nodes=%d/partitions=%d/grouped=%v/callers=%d", ld.nodes, ld.partitions, ld.grouped, ld.callers)
		b.Run(name, func(b *testing.B) { benchmarkClaims(b, ld) })
	}
}

func benchmarkClaims(b *testing.B, ld loadCase) {
	l := newFakeLog()
	l.delay = appendDelay
	ticker := time.NewTicker(time.Second / appendsPerSecond)
	defer ticker.Stop()
	l.tick = ticker.C
	cfg := Config{Log: l.log(), Incarnation: "1", Partitions: ld.partitions}
	if !ld.grouped {
		cfg.MaxBatch = 1
	}
	var nodes []node
	for range ld.nodes {
		nodes = append(nodes, run(b, cfg))
	}
	for !nodes[ld.nodes-1].Ready() {
		time.Sleep(time.Millisecond)
	}
	var next atomic.Int64
	var mu sync.Mutex
	latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range ld.callers {
		a := nodes[i%ld.nodes]
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				began := time.Now()
				ticket := begin(b, a, a.Prepare(Attempt{Organisation: "o", Checks: "none"}))
				took := time.Since(began)
				go func() { _ = ticket.Done(b.Context(), Answer{Status: 200}) }()
				mu.Lock()
				_ = latency.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(95))/1000, "p95-ms")
	l.mu.Lock()
	defer l.mu.Unlock()
	b.ReportMetric(float64(l.attempts)/b.Elapsed().Seconds(), "appends/s")
}
