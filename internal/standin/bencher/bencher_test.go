package bencher

import (
	"math"
	"testing"
	"time"
)

func testBencher() *Bencher {
	b := New(Config{
		Organisations: []Organisation{
			{Key: "large", Share: 0.6, Offered: 0.8},
			{Key: "desk", Share: 0.2, Offered: 0.1},
			{Key: "club", Share: 0.2, Offered: 0.1},
		},
		Warm: time.Second, Window: 3 * time.Second, Tokens: 10, Seed: 7,
	})
	b.bound = 1000
	return b
}

func TestArrivalsOfferExactlyTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 0.9, 1.5} {
		b := testBencher()
		all := b.arrivals(rate, 2, b.cfg.Tokens)
		inWindow := 0
		for i, a := range all {
			if i > 0 && a.at < all[i-1].at {
				t.Fatalf("arrival %d is before its predecessor", i)
			}
			if a.at >= b.cfg.Warm && a.at < b.cfg.Warm+b.cfg.Window {
				inWindow++
			}
		}
		if want := int(rate * 300); inWindow != want {
			t.Errorf("rate %v: got %d arrivals in the window, want %d", rate, inWindow, want)
		}
		again := b.arrivals(rate, 2, b.cfg.Tokens)
		if again[0] != all[0] || again[len(again)-1] != all[len(all)-1] {
			t.Errorf("rate %v: the same seed gave other arrivals", rate)
		}
	}
}

func TestEntitlementsRedistributeUnusedShares(t *testing.T) {
	b := testBencher()
	for rate, want := range map[float64][]float64{
		0.5: {0.4, 0.05, 0.05},
		1.5: {0.7, 0.15, 0.15},
		4:   {0.6, 0.2, 0.2},
	} {
		got := b.entitlements(rate)
		for i := range want {
			if math.Abs(got[i]-want[i]) > 1e-9 {
				t.Errorf("rate %v: got %v, want %v", rate, got, want)
			}
		}
	}
}

func TestJain(t *testing.T) {
	if got := jain([]float64{7, 1.5, 1.5}, []float64{0.7, 0.15, 0.15}); math.Abs(got-1) > 1e-9 {
		t.Errorf("even service: got %v, want 1", got)
	}
	if got := jain([]float64{1, 0, 0}, []float64{1, 1, 1}); math.Abs(got-1.0/3) > 1e-9 {
		t.Errorf("one served of three: got %v, want 1/3", got)
	}
}

// A stream can receive one more token that had already passed the failed stage
// and then stall: the longer second wait must count.
func TestLongestWaitCountsStallAfterTokenInTransit(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	got, ok := longestWait([]time.Duration{ms(90), ms(110), ms(1500), ms(1550)}, ms(100))
	if !ok || got != ms(1390) {
		t.Errorf("got %v %v, want 1.39s", got, ok)
	}
	if _, ok := longestWait([]time.Duration{ms(90)}, ms(100)); ok {
		t.Error("a stream without a token after the fault counts as resumed")
	}
}
