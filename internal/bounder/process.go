package bounder

import (
	"runtime/metrics"
	"sync"
	"time"
)

const (
	// crowdedRatio is the part of a process's memory limit above which the runtime's memory is crowded.
	// The runtime's own limit is 0.7; it is exceeded while the collector lacks processor time, or if more
	// than that is in use. The rest is for the program's pages, some 13 MB, and for what small readers
	// leave until a collection ends.
	crowdedRatio = 0.75
	// sampleInterval is the time between two samples of the runtime's memory, in which 100 MB/s
	// add 0.5 MB. A sample takes about 1 µs.
	sampleInterval = 5 * time.Millisecond
)

// process watches the memory of the Go runtime, which includes what is no longer used and not yet
// collected. It is safe for concurrent use.
type process struct {
	// limit is in bytes.
	limit uint64

	mu      sync.Mutex
	sampled time.Time
	crowded bool
	samples [2]metrics.Sample
}

// newProcess returns a watch of a process with the given memory limit in bytes.
func newProcess(memory int64) *process {
	return &process{
		limit:   uint64(crowdedRatio * float64(memory)),
		samples: [2]metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}},
	}
}

// isCrowded reports whether the runtime holds more memory than it should.
func (p *process) isCrowded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.sampled) >= sampleInterval {
		metrics.Read(p.samples[:])
		p.crowded = p.samples[0].Value.Uint64()-p.samples[1].Value.Uint64() > p.limit
		p.sampled = now
	}
	return p.crowded
}
