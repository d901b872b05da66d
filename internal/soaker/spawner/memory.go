package spawner

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// memoryInterval is the time between two samples of a process's memory.
const memoryInterval = 100 * time.Millisecond

// PeakMemory returns the largest resident memory of all runs of the program, in bytes.
func (p *Process) PeakMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// watchMemory samples the resident memory of a process until done is closed, and records one
// failure if it is over the limit.
func (p *Process) watchMemory(pid int, done chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	over := false
	for {
		// There is no status once the process has ended: what a sample misses is at most
		// what was allocated in the last memoryInterval.
		if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
			over = p.recordMemory(peakOf(status), over)
		}
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// recordMemory records a process's peak memory, and a failure unless there was one already.
// It reports whether there is one now.
func (p *Process) recordMemory(peak int64, over bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak, peak)
	if over || p.cfg.MemoryLimit == 0 || peak <= p.cfg.MemoryLimit {
		return over
	}
	p.failures = append(p.failures, fmt.Sprintf("%s is over its limit of %d MB of memory: %.1f MB at %s",
		p.cfg.Name, p.cfg.MemoryLimit>>20, float64(peak)/(1<<20), time.Now().Format("15:04:05.000")))
	return true
}

// peakOf returns the larger of VmRSS and VmHWM in a process's status, in bytes. The kernel
// updates VmHWM late, so that VmRSS may be larger.
func peakOf(status []byte) int64 {
	var peak int64
	for line := range bytes.Lines(status) {
		fields := bytes.Fields(line)
		if len(fields) != 3 || (string(fields[0]) != "VmRSS:" && string(fields[0]) != "VmHWM:") {
			continue
		}
		if kb, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil {
			peak = max(peak, kb<<10)
		}
	}
	return peak
}
