package bencher

import (
	"errors"
	"math"
	"testing"
	"time"
)

// The demand must count only the organisation's own requests within the time
// limit before the refused one, and HereDemand only those at the same node.
func TestShortfallCountsEarlierDemand(t *testing.T) {
	b := testBencher()
	b.cfg.Deadline = 2 * time.Second
	at := func(org, node int, at time.Duration) outcome {
		return outcome{arrival: arrival{organisation: org, node: node, at: at}}
	}
	refused := at(1, 0, 5*time.Second)
	refused.err = errors.New("refused")
	done := []outcome{
		at(1, 0, 2*time.Second), at(1, 0, 4*time.Second), at(1, 1, 4*time.Second),
		at(0, 0, 4*time.Second), refused, at(1, 0, 6*time.Second),
	}
	got := b.shortfall(refused, done, 2)
	// The share is 200 tokens a second, so 40 requests in two seconds.
	if want := 2 * 2.0 / 40; math.Abs(got.HereDemand-want) > 1e-9 {
		t.Errorf("got %v of the share offered here, want %v", got.HereDemand, want)
	}
	if want := 3.0 / 40; math.Abs(got.FleetDemand-want) > 1e-9 {
		t.Errorf("got %v of the share offered, want %v", got.FleetDemand, want)
	}
}
