package admitter

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Sizes of the requests in tokens, and the time for whose share the small
// organisation may send requests at once.
const (
	smallTokens = 10
	floodTokens = 30
	burstTime   = time.Second
)

// flood keeps two organisations backlogged besides a small one whose demand
// stays within its share.
type flood struct {
	*simulation
	share float64
	// rate is the small one's share in tokens per second. It may offer the tokens
	// in bucket, which is filled at that rate up to bucketSize.
	rate, bucket, bucketSize float64
	filled                   time.Time
	small                    []*item
}

// newFlood draws the slots and the small organisation's share, and lets the
// others flood the node for a burst.
func newFlood(t *rapid.T) *flood {
	w := newSimulation(rapid.IntRange(8, 40).Draw(t, "capacity"))
	w.queue.cfg.MaxWait = 2 * time.Second
	f := &flood{simulation: w, share: rapid.Float64Range(0.05, 0.4).Draw(t, "share"), filled: w.now}
	f.rate = f.share * f.throughput()
	f.bucketSize = max(f.rate*burstTime.Seconds(), smallTokens)
	f.bucket = f.bucketSize
	for f.now.Sub(epoch) < 2*time.Second {
		f.offerFlood()
		f.finishNext()
	}
	return f
}

// throughput returns the node's throughput in tokens per second.
func (f *flood) throughput() float64 {
	return float64(f.queue.cfg.Capacity) / f.queue.cfg.TokenTime.Seconds()
}

// timeout returns the timeout of a small request: the time of its own work, of a
// running request of the flood, and of one full bucket at the throughput of the
// whole node.
func (f *flood) timeout() time.Duration {
	bucketTime := time.Duration(f.bucketSize / f.throughput() * float64(time.Second))
	return f.queue.serviceTime(2*smallTokens+floodTokens) + bucketTime
}

// offerFlood offers requests of the two other organisations until the node
// refuses them.
func (f *flood) offerFlood() {
	for _, org := range []string{"large", "other"} {
		for {
			_, err := f.queue.offer(f.now, Request{Organisation: org, Weight: (1 - f.share) / 2, Tokens: floodTokens})
			if err != nil {
				break
			}
			f.grant()
		}
	}
}

// offerSmall offers at most n requests, as far as the bucket allows, and
// returns the first refusal.
func (f *flood) offerSmall(n int) error {
	f.bucket = min(f.bucketSize, f.bucket+f.rate*f.now.Sub(f.filled).Seconds())
	f.filled = f.now
	for ; n > 0 && f.bucket >= smallTokens; n-- {
		f.bucket -= smallTokens
		it, err := f.queue.offer(f.now, Request{
			Organisation: "small", Weight: f.share, Tokens: smallTokens, Deadline: f.now.Add(f.timeout()),
		})
		if err != nil {
			return err
		}
		f.small = append(f.small, it)
		f.grant()
	}
	return nil
}

// hasWaiting reports whether a small request has not started.
func (f *flood) hasWaiting() bool {
	return slices.ContainsFunc(f.small, func(it *item) bool { return it.started.IsZero() })
}

// TestWithinItsShareIsNeverRefused has an organisation offer, in any pattern, no
// more than its share and one full bucket, while two others flood the node: it
// must never be refused, each of its requests must start in time, and none may
// count as borrowed.
func TestWithinItsShareIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFlood(t)
		for range 200 {
			if err := f.offerSmall(rapid.IntRange(0, 40).Draw(t, "requests")); err != nil {
				t.Fatalf("got refusal %v within the share, want none", err)
			}
			f.offerFlood()
			f.finishNext()
		}
		for f.hasWaiting() {
			f.offerFlood()
			f.finishNext()
		}
		for _, it := range f.small {
			if late := it.started.Sub(f.queue.waitDeadline(it)); late > 0 {
				t.Fatalf("got a request within the share started %v late, want in time", late)
			}
			if it.borrowed {
				t.Fatalf("got a request within the share on a borrowed slot, want one of its own")
			}
		}
	})
}

// TestNewOrganisationTakesTurnsAtOnce has one organisation catch up on nearly the
// whole node's work while it competes only with a tiny one. A second organisation
// that arrives then must take turns with it at once.
func TestNewOrganisationTakesTurnsAtOnce(t *testing.T) {
	w := newSimulation(4)
	offer := func(org string, weight float64, n int) {
		for range n {
			_, err := w.queue.offer(w.now, Request{Organisation: org, Weight: weight, Tokens: 10})
			if err != nil {
				t.Fatalf("got %v, want admission", err)
			}
			w.grant()
		}
	}
	offer("tiny", 0.001, 20)
	for range 12 {
		w.finishNext()
	}
	offer("first", 0.5, 60)
	offer("second", 0.5, 10)
	for range 24 {
		w.finishNext()
	}
	if got, want := w.served["second"], 90.0; got < want {
		t.Errorf("got %v tokens of the second within 24 grants, want at least %v", got, want)
	}
}
