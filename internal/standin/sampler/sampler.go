// Package sampler samples the memory of this process for tests.
package sampler

import (
	"runtime"
	"time"
)

// heapInterval is the time between two samples of the heap.
const heapInterval = 2 * time.Millisecond

// WatchHeap samples the bytes of this process's heap that are in use until the function that it
// returns is called, which returns the highest value.
func WatchHeap() (end func() uint64) {
	runtime.GC() // what earlier tests left is no part of the highest value
	done, highest := make(chan struct{}), make(chan uint64)
	go func() {
		var top uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			top = max(top, m.HeapInuse)
			select {
			case <-done:
				highest <- top
				return
			case <-time.After(heapInterval):
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-highest
	}
}
