package follower

import (
	"fmt"
	"runtime"
	"testing"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// benchSizes are the numbers of organisations, up to the target size.
var benchSizes = []int{10, 370, 3700}

// benchChange is a change of a template with ten routes and four keys.
func benchChange(b *testing.B, i int, base describer.Revision, seen provider.Offset) []byte {
	name := fmt.Sprintf("org-%d", i)
	t := template(name, 0.5)
	for k := range 3 {
		t.KeyHashes = append(t.KeyHashes, describer.HashKey(fmt.Sprintf("%s/%d", name, k)))
	}
	for k := range 10 {
		t.Routes = append(t.Routes, describer.Route{
			Service: "orders", Method: "POST", Path: fmt.Sprintf("/orders/%d", k), NonIdempotent: true, Checks: "key",
		})
	}
	c := Change{
		ID: fmt.Sprintf("%s-%d", name, base), Organisation: name, Base: base,
		Template: t, Operator: "operator", Note: "a note of the usual length",
	}
	data, err := c.record(seen).Encode()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// benchFold folds one record into a view.
func benchFold(v View, data []byte) View {
	next := v.Applied()
	page := provider.Page{Next: next + 1, Records: []provider.Record{{Offset: next, At: 1, Data: data}}}
	v.state, _ = v.state.Fold(page)
	return v.withOrganisations()
}

// benchView returns a view of n organisations, published in pages of 128.
func benchView(b *testing.B, n int) View {
	var v View
	var records []provider.Record
	for i := range n {
		data := benchChange(b, i, 0, v.Applied())
		records = append(records, provider.Record{Offset: provider.Offset(i), At: 1, Data: data})
		if len(records) == 128 || i == n-1 {
			v.state, _ = v.state.Fold(provider.Page{Next: provider.Offset(i + 1), Records: records})
			records = nil
		}
	}
	return v.withOrganisations()
}

func BenchmarkChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := benchView(b, n)
			data := benchChange(b, 0, 1, v.Applied())
			for b.Loop() {
				benchFold(v, data)
			}
			b.ReportMetric(float64(len(data)), "bytes/change")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := benchView(b, n)
			size, parts := 0, 0
			for b.Loop() {
				size, parts = 0, 0
				for _, part := range v.state.Snapshot("s") {
					data, err := part.Encode()
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
					parts++
				}
			}
			b.ReportMetric(float64(size), "bytes/snapshot")
			b.ReportMetric(float64(parts), "parts/snapshot")
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				v := benchView(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(v)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
		})
	}
}
