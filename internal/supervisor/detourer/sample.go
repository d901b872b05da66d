package detourer

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// sampleSize is the number of endpoints that are probed to tell whether this node
	// reaches any.
	sampleSize = 3
	// samplePatience is how long the first of them is tried alone: over twice the round trip
	// between data centres.
	samplePatience = 3 * time.Millisecond
	// sampleTTL is how long a sample is reused that reached an endpoint, and
	// maxUnconfirmed the number of checks in that time without a connection to any
	// endpoint after which another sample is taken: this node may have been cut off since.
	sampleTTL      = time.Second
	maxUnconfirmed = 2
)

// sample finds out whether this node reaches any endpoint. Checks share it.
type sample struct {
	began time.Time
	// done is closed once none is set.
	done chan struct{}
	none bool
}

// currentSample returns the current sample, or starts one that leaves out an address if
// possible.
func (d *Detourer) currentSample(except string) *sample {
	candidates := d.sampleCandidates(except)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if s := d.sample; s != nil {
		select {
		case <-s.done:
			if !s.none && now.Sub(s.began) < sampleTTL && d.unconfirmed <= maxUnconfirmed {
				return s
			}
		default:
			return s
		}
	}
	s := &sample{began: now, done: make(chan struct{})}
	d.sample, d.unconfirmed = s, 0
	go func() {
		defer close(s.done)
		s.none = true
		d.cfg.Recorder.Guard("endpoint sample", func() { s.none = !d.reachesAny(candidates) })
	}()
	return s
}

// sampleCandidates returns the addresses of some endpoints but for one. Those that failed
// a moment ago come last.
func (d *Detourer) sampleCandidates(except string) []string {
	all := slices.DeleteFunc(d.cfg.Endpoints(), func(a string) bool { return a == except })
	shuffle(all)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	failed := func(address string) int {
		if f, ok := d.failures[address]; ok && now.Sub(f.at) < checkTTL {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(failed(a), failed(b)) })
	return all[:min(len(all), sampleSize)]
}

// reachesAny reports whether any of some endpoints accepts a connection of this node. The
// first one is tried alone for a moment, since most nodes reach it.
func (d *Detourer) reachesAny(addresses []string) bool {
	if len(addresses) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	first := make(chan bool, 1)
	go func() { first <- d.connect(ctx, addresses[0]) == nil }()
	patience := time.NewTimer(samplePatience)
	defer patience.Stop()
	select {
	case ok := <-first:
		return ok || len(d.reached(ctx, addresses[1:])) > 0
	case <-patience.C:
		return len(d.reached(ctx, addresses[1:])) > 0 || <-first
	}
}
