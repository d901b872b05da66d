package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// pageOf encodes n finished keys, each with an answer of 200 bytes, in records
// of 16 keys.
func pageOf(tb testing.TB, n int) provider.Page {
	tb.Helper()
	var page provider.Page
	answer := &Answer{Status: 200, Body: make([]byte, 200)}
	for i := 0; i < n; i += 16 {
		var batch Batch
		for j := i; j < i+16; j++ {
			key := Key{Organisation: "desk", Name: fmt.Sprintf("0195-%032d", j)}
			nonce := fmt.Sprintf("nonce-%030d", j)
			batch.Entries = append(batch.Entries,
				Entry{Kind: Claim, Key: key, Nonce: nonce, Number: 1, Fingerprint: uint64(j), Node: "10.0.0.1:8080", Incarnation: nonce},
				Entry{Kind: Done, Key: key, Nonce: nonce, Number: 1, Answer: answer})
		}
		data, err := encoder.CBOR(batch)
		if err != nil {
			tb.Fatal(err)
		}
		page.Records = append(page.Records, provider.Record{Offset: page.Next, At: int64(i + 1), Data: data})
		page.Next++
	}
	return page
}

// BenchmarkKeys measures the cost of a finished key at a node: the time to fold
// it, its bytes in the log and its bytes in memory.
func BenchmarkKeys(b *testing.B) {
	const keys = 48000
	page := pageOf(b, keys)
	logged := 0
	for _, rec := range page.Records {
		logged += len(rec.Data)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := NewView(time.Hour)
		start := time.Now()
		v.Apply(page)
		took := time.Since(start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(took.Nanoseconds())/keys, "ns/key")
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heapB/key")
		b.ReportMetric(float64(logged)/keys, "logB/key")
		runtime.KeepAlive(v)
	}
}
