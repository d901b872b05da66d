package bounder

import (
	"bytes"
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

// Guards against readers that are done and whose memory has not been collected yet: beside a busy machine one
// collection took 1.2 s, in which a node's heap grew from 71 to 135 MB, and the node was over its limit of
// 136 MB though its pools were not used up.
func TestUncollectedMemoryIsLimited(t *testing.T) {
	for _, memory := range []int64{136 << 20, 184 << 20, 284 << 20, 536 << 20} {
		t.Run(fmt.Sprintf("%d MB", memory>>20), func(t *testing.T) {
			debug.FreeOSMemory()
			percent, limit := debug.SetGCPercent(-1), debug.SetMemoryLimit(math.MaxInt64)
			defer func() {
				debug.SetGCPercent(percent)
				debug.SetMemoryLimit(limit)
			}()
			b := NewBudget(memory, nil)
			b.LimitProcess(memory)
			pools := []*Pool{b.Requests, b.Calls, b.Reports}
			body := bytes.Repeat([]byte("x"), 256<<10)
			for n := range int(memory) / len(body) {
				if _, held, err := pools[n%len(pools)].ReadAll(bytes.NewReader(body), int64(len(body))); err == nil {
					held.Release()
				}
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			if got := int64(m.Sys - m.HeapReleased); got > memory {
				t.Errorf("got %d MB in use, want no more than %d", got>>20, memory>>20)
			}
			checkReads(t, pools, body[:minBuffer], "without a collection")
			debug.FreeOSMemory()
			time.Sleep(4 * sampleInterval)
			checkReads(t, pools, body, "after a collection")
		})
	}
}

// checkReads checks that each pool has memory for a body.
func checkReads(t *testing.T, pools []*Pool, body []byte, when string) {
	for n, pool := range pools {
		_, held, err := pool.ReadAll(bytes.NewReader(body), int64(len(body)))
		if err != nil {
			t.Errorf("pool %d, a body of %d KB %s: got error %v, want none", n, len(body)>>10, when, err)
		}
		held.Release()
	}
}
