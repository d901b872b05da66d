package follower

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/describer"
)

// maxInForceDelay is the maximum time until an accepted change is in force at every
// node that reaches the log.
const maxInForceDelay = 20 * time.Second

// Latencies of one direction between a node and the log.
const (
	usualLatency = 10 * time.Millisecond
	slowLatency  = time.Second
)

// cutDuration is how long a network is cut.
const cutDuration = time.Minute

// changesPerCase is the number of changes published in each test case.
const changesPerCase = 5

// testFleet is a fleet of followers, each with a network of its own to one log.
type testFleet struct {
	t        *testing.T
	nodes    []*node
	networks []*nodeNetwork
}

// newTestFleet starts a fleet. The networks of the disturbed nodes have a latency of
// their own.
func newTestFleet(t *testing.T, size int, disturbedLatency time.Duration) *testFleet {
	p := newPlatform(t)
	w := &testFleet{t: t}
	var names []string
	for i := range size {
		names = append(names, fmt.Sprint("n", i))
	}
	for i, name := range names {
		latency := usualLatency
		if disturbed(i) {
			latency = disturbedLatency
		}
		network := newNodeNetwork(t, p, latency)
		w.networks = append(w.networks, network)
		w.nodes = append(w.nodes, startOn(t, network.log, time.Hour, name, names...))
	}
	time.Sleep(30 * time.Second)
	return w
}

// disturbed reports whether a node is in the third of the nodes whose networks are
// disturbed. Node 0, which publishes, is not.
func disturbed(i int) bool { return i%3 == 1 }

// forEachDisturbed calls fn concurrently for the networks of the disturbed nodes.
func (w *testFleet) forEachDisturbed(fn func(network *nodeNetwork)) {
	var wg sync.WaitGroup
	for i, network := range w.networks {
		if disturbed(i) {
			wg.Go(func() { fn(network) })
		}
	}
	wg.Wait()
}

// publish publishes a change and returns how long after the call each node had it in
// force. If after is set, it is called once the change is accepted. Only the
// disturbed nodes count then, from its return on.
func (w *testFleet) publish(base describer.Revision, after func(w *testFleet)) []time.Duration {
	from := time.Now()
	at := make([]time.Time, len(w.nodes))
	var wg sync.WaitGroup
	for i, n := range w.nodes {
		wg.Go(func() { at[i] = waitInForce(n, base+1) })
	}
	if _, err := w.nodes[0].Publish(w.t.Context(), change("acme", base, 0.5)); err != nil {
		w.t.Fatal(err)
	}
	if after != nil {
		after(w)
		from = time.Now()
	}
	wg.Wait()
	var took []time.Duration
	for i, t := range at {
		if after == nil || disturbed(i) {
			took = append(took, t.Sub(from))
		}
	}
	return took
}

// waitInForce waits until a node serves a revision or a later one, and returns the
// time then.
func waitInForce(n *node, revision describer.Revision) time.Time {
	for {
		changed := n.nextView()
		if o, _ := n.View().Organisation("acme"); o.Revision >= revision {
			return time.Now()
		}
		<-changed
	}
}

// TestChangeIsInForceInTime checks that an accepted change is in force at all nodes
// within maxInForceDelay, whatever has happened to the networks of a third of them.
// For nodes that don't reach the log, the time counts from when they do.
func TestChangeIsInForceInTime(t *testing.T) {
	tests := []struct {
		name    string
		latency time.Duration
		// before is called before each change, and after once the change is
		// accepted.
		before, after func(w *testFleet)
	}{
		{name: "calm", latency: usualLatency},
		{name: "slow", latency: slowLatency},
		{name: "silent connections", latency: usualLatency, before: func(w *testFleet) { w.forEachDisturbed((*nodeNetwork).dropWrites) }},
		{
			name: "cut", latency: usualLatency,
			before: func(w *testFleet) {
				w.forEachDisturbed(func(network *nodeNetwork) { network.hangDials.Store(true); network.dropWrites() })
			},
			after: func(w *testFleet) {
				time.Sleep(cutDuration)
				w.forEachDisturbed(func(network *nodeNetwork) { network.hangDials.Store(false) })
			},
		},
	}
	for _, size := range []int{9, manyNodes} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%d nodes/%s", size, test.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newTestFleet(t, size, test.latency)
					var took []time.Duration
					for base := range describer.Revision(changesPerCase) {
						time.Sleep(7300 * time.Millisecond)
						w.forEachDisturbed(func(network *nodeNetwork) { network.openIdleConns(t.Context(), 3) })
						if test.before != nil {
							test.before(w)
						}
						took = append(took, w.publish(base, test.after)...)
					}
					slices.Sort(took)
					worst := took[len(took)-1]
					t.Logf("%d nodes, %d changes: in force after %v on the median, %v at worst",
						size, changesPerCase, took[len(took)/2].Round(time.Millisecond), worst.Round(time.Millisecond))
					if worst > maxInForceDelay {
						t.Errorf("got %v at worst, want at most %v", worst, maxInForceDelay)
					}
				})
			})
		}
	}
}
