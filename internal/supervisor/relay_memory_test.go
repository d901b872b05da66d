package supervisor

import (
	"bytes"
	"expvar"
	"math"
	"runtime/debug"
	"testing"

	"banyanquay/internal/bounder"
	"banyanquay/internal/loader"
)

// A node's pools, each filled with small readers, must leave half of the node's memory for
// everything else, and its metrics must show what they hold and refuse.
func TestRelayBudget(t *testing.T) {
	for mb, want := range map[int]int64{136: 68 << 20, 184: 92 << 20, 284: 142 << 20, 536: 268 << 20, 0: 128 << 20} {
		metrics := new(expvar.Map).Init()
		b := RelayBudget(loader.Relay{MemoryMB: mb}, metrics)
		total := int64(0)
		for name, pool := range map[string]*bounder.Pool{"requests": b.Requests, "calls": b.Calls, "control": b.Control, "reports": b.Reports} {
			for {
				if _, err := pool.Reserve(4 << 10); err != nil {
					break
				}
			}
			total += pool.Used()
			used, refused := metrics.Get(name+"_used"), metrics.Get(name+"_refused")
			if used == nil || refused == nil || used.String() == "0" || refused.String() != "1" {
				t.Errorf("memory_mb %d, metrics of %s: got used %v, refused %v, want more than 0 and 1", mb, name, used, refused)
			}
		}
		if total > want || total < want-64<<10 {
			t.Errorf("memory_mb %d: got %d bytes in all, want %d at most, and no less by 64 KB", mb, total, want)
		}
	}
}

// Guards against a node that doesn't count what has not been collected yet, and against one without a limit
// of memory that refuses for it.
func TestRelayBudgetCountsUncollectedMemory(t *testing.T) {
	debug.FreeOSMemory()
	percent, limit := debug.SetGCPercent(-1), debug.SetMemoryLimit(math.MaxInt64)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
		debug.FreeOSMemory()
	}()
	for range 300 {
		_ = bytes.Repeat([]byte("x"), 1<<20)
	}
	for mb, want := range map[int]bool{136: true, 184: true, 284: true, 536: false, 0: false} {
		b := RelayBudget(loader.Relay{MemoryMB: mb}, nil)
		for name, pool := range map[string]*bounder.Pool{"requests": b.Requests, "calls": b.Calls, "reports": b.Reports} {
			if _, err := pool.Reserve(64 << 10); (err != nil) != want {
				t.Errorf("memory_mb %d, %s, beside 300 MB: got error %v for 64 KB, want one: %v", mb, name, err, want)
			}
			if _, err := pool.Reserve(4 << 10); err != nil {
				t.Errorf("memory_mb %d, %s, beside 300 MB: got error %v for 4 KB, want none", mb, name, err)
			}
		}
		if _, err := b.Control.Reserve(64 << 10); err != nil {
			t.Errorf("memory_mb %d, control, beside 300 MB: got error %v, want none", mb, err)
		}
	}
}
