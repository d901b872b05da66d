package planner

import (
	"fmt"
	"testing"
	"time"

	"banyanquay/internal/driver"
)

// benchFleet returns endpoints of four models of 32 layers in quarters, halves
// and wholes, over eight data centres.
func benchFleet(n, models int) []driver.Endpoint {
	endpoints := make([]driver.Endpoint, n)
	for i := range endpoints {
		width := []int{8, 8, 16, 32}[i/models%4]
		first := i / models / 4 * width % 32
		endpoints[i] = driver.Endpoint{
			Centre: fmt.Sprint("c", i%8),
			Status: driver.Status{
				Running: i % 7, Slots: 8 << (i % 3), StepMillis: 0.2 * float64(1+i%4),
				Holdings: []driver.Holding{{
					Model: fmt.Sprint("m", i%models), Version: "v", First: first, Last: first + width, Layers: 32,
				}},
			},
		}
	}
	return withAddresses(endpoints)
}

func benchLoads(string) Load { return Load{InFlight: 3, Limit: 16, RTT: time.Millisecond} }

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{{40, 1}, {820, 4}, {820, 1}} {
		for policy := LeastCost; policy <= RoundRobin; policy++ {
			b.Run(fmt.Sprintf("%v/endpoints=%d/models=%d", policy, size.endpoints, size.models), func(b *testing.B) {
				endpoints := benchFleet(size.endpoints, size.models)
				p := New(Config{Policy: policy})
				req := Request{Model: "m0", Version: "v", Prefix: 7, Centre: "c0"}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := p.Choose(req, endpoints, benchLoads); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func BenchmarkBound(b *testing.B) {
	for _, n := range []int{40, 820} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			endpoints := benchFleet(n, 1)
			for b.Loop() {
				if MaxThroughput("m0", "v", endpoints).TokensPerSecond == 0 {
					b.Fatal("got no bound")
				}
			}
		})
	}
}
