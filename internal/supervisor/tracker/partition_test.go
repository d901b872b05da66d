package tracker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/replicator"
)

// testNetwork passes messages between cores without sockets or goroutines: a link is
// either up or down, and messages arrive within the step in which they are sent.
type testNetwork struct {
	t     *testing.T
	now   time.Time
	cores []*core
	index map[string]int
	// links holds the ends of each link that is up.
	links map[string][2]int
	// entryLimiters and gaugeLimiters limit what each core sends, and sent counts its
	// bytes.
	entryLimiters []*rate.Limiter
	gaugeLimiters []*rate.Limiter
	sent          []int
	// partitioned reports whether the network between two cores is down.
	partitioned func(a, b int) bool
	nextLink    int
	// random is seeded, and picks the nodes to probe and the links for digests.
	random *rand.Rand
}

const centreCount = 8

func newTestNetwork(t *testing.T, n int) *testNetwork {
	r := &testNetwork{
		t: t, now: time.Unix(1_000_000, 0), index: make(map[string]int), links: make(map[string][2]int),
		sent: make([]int, n), partitioned: func(int, int) bool { return false },
		random: rand.New(rand.NewPCG(42, uint64(n))),
	}
	var vms []provider.VM
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250)
		r.index[address] = i
		vms = append(vms, provider.VM{
			Address: address, Role: provider.RoleNode, Centre: fmt.Sprintf("centre-%d", i%centreCount),
		})
	}
	for _, vm := range vms {
		c := newCore(r.now, Node{
			Address: vm.Address, Centre: vm.Centre, Incarnation: "f81d4fae-7dec-11d0-a765-" + vm.Address,
		})
		c.applyList(r.now, vms)
		r.cores = append(r.cores, c)
		r.entryLimiters = append(r.entryLimiters, rate.NewLimiter(entryRate, entryBurst))
		r.gaugeLimiters = append(r.gaugeLimiters, rate.NewLimiter(gaugeRate, gaugeBurst))
	}
	return r
}

// inSecondRegion reports whether a core is in the second of the two regions.
func inSecondRegion(i int) bool { return i%centreCount >= centreCount/2 }

// step advances the time by d: links break and open, cores tick, and messages are
// delivered.
func (r *testNetwork) step(d time.Duration) {
	r.now = r.now.Add(d)
	for id, ends := range r.links {
		if r.partitioned(ends[0], ends[1]) {
			r.drop(id, ends)
		}
	}
	for i, c := range r.cores {
		c.tick(r.now, 7, i, r.random.IntN)
		r.dial(i, c.wantedLinks(r.now, r.random.IntN))
	}
	r.deliver()
	r.deliver()
	for _, c := range r.cores {
		c.takeChanges()
	}
}

func (r *testNetwork) drop(id string, ends [2]int) {
	delete(r.links, id)
	for side, end := range ends {
		r.cores[end].linkDown(r.now, id, r.cores[ends[1-side]].self.Address)
	}
}

// dial opens the links wanted by a core, and drops those it no longer wants.
func (r *testNetwork) dial(from int, wanted []string) {
	c := r.cores[from]
	for _, address := range wanted {
		to := r.index[address]
		switch {
		case c.linkCount[address] > 0:
		case r.partitioned(from, to):
			c.dialFailed(r.now, address)
		default:
			r.nextLink++
			id := fmt.Sprint(r.nextLink)
			r.links[id] = [2]int{from, to}
			c.linkUp(r.now, id, address, true)
			r.cores[to].linkUp(r.now, id, c.self.Address, false)
		}
	}
	keep := make(map[string]bool)
	for _, address := range wanted {
		keep[address] = true
	}
	for id, ends := range r.links {
		if ends[0] == from && !keep[r.cores[ends[1]].self.Address] {
			r.drop(id, ends)
		}
	}
}

// deliver sends one message each way over each link.
func (r *testNetwork) deliver() {
	for id, ends := range r.links {
		for side, from := range ends {
			to := ends[1-side]
			msg := r.cores[from].flush(r.now, id,
				func(n int) bool { return r.entryLimiters[from].AllowN(r.now, n) },
				func(n int) bool { return r.gaugeLimiters[from].AllowN(r.now, n) })
			if body := encode(msg); body != nil {
				r.sent[from] += len(body)
				r.cores[to].receive(r.now, id, r.cores[from].self.Address, msg)
			}
		}
	}
}

// waitFor steps until each core sees the wanted number of nodes that are live and
// not suspected.
func (r *testNetwork) waitFor(what string, limit time.Duration, want func(i int) int) time.Duration {
	r.t.Helper()
	started := r.now
	for {
		lagging, got := -1, 0
		for i, c := range r.cores {
			got = 0
			for _, n := range c.nodes() {
				if n.Live() && !n.Suspect {
					got++
				}
			}
			if got != want(i) {
				lagging = i
				break
			}
		}
		if lagging < 0 {
			return r.now.Sub(started)
		}
		if r.now.Sub(started) > limit {
			r.t.Fatalf("%s: core %d has %d live nodes after %v, want %d", what, lagging, got, limit, want(lagging))
		}
		r.step(500 * time.Millisecond)
	}
}

// maxSent returns the most bytes that one core has sent, and resets the counts.
func (r *testNetwork) maxSent() int {
	highest := 0
	for i, n := range r.sent {
		highest = max(highest, n)
		r.sent[i] = 0
	}
	return highest
}

// partitionAndHeal separates two regions for a time and connects them again.
func partitionAndHeal(t *testing.T, nodes int, during time.Duration) {
	r := newTestNetwork(t, nodes)
	all := func(int) int { return nodes }
	t.Logf("%d nodes: all live after %v", nodes, r.waitFor("start", time.Minute, all))
	for range 120 {
		r.step(500 * time.Millisecond)
	}
	t.Logf("%d nodes: most bytes sent by a node: %d at the start", nodes, r.maxSent())
	regionNodes := [2]int{}
	for i := range nodes {
		if inSecondRegion(i) {
			regionNodes[1]++
		} else {
			regionNodes[0]++
		}
	}
	r.partitioned = func(a, b int) bool { return inSecondRegion(a) != inSecondRegion(b) }
	ownRegion := func(i int) int {
		if inSecondRegion(i) {
			return regionNodes[1]
		}
		return regionNodes[0]
	}
	t.Logf("%d nodes: the partition was detected after %v", nodes, r.waitFor("partition", time.Minute, ownRegion))
	for passed := time.Duration(0); passed < during; passed += 4 * time.Second {
		r.step(4 * time.Second)
	}
	t.Logf("%d nodes: most bytes sent by a node: %d in the partition of %v", nodes, r.maxSent(), during)
	for i, c := range r.cores {
		for _, n := range c.nodes() {
			if n.Down {
				t.Fatalf("core %d: got node %s of the other region down, want it unreachable", i, n.Address)
			}
		}
		if got := c.table.Len(); got != nodes {
			t.Fatalf("core %d knows %d nodes in the partition, want %d", i, got, nodes)
		}
	}
	r.partitioned = func(int, int) bool { return false }
	took := r.waitFor("heal", 30*time.Second, all)
	for range 20 {
		r.step(500 * time.Millisecond)
	}
	burst := r.maxSent()
	t.Logf("%d nodes: all live again after %v, most bytes sent by a node by 10 s later: %d", nodes, took, burst)
	if want := 192 << 10; burst > want {
		t.Errorf("got %d bytes sent by a node after the partition, want at most %d", burst, want)
	}
	for i, c := range r.cores {
		for _, n := range c.nodes() {
			if n.Down || n.Unreachable {
				t.Fatalf("core %d: got node %s down or unreachable after the partition, want neither", i, n.Address)
			}
		}
	}
}

func TestPartitionRemovesNoNode(t *testing.T) {
	partitionAndHeal(t, 9, time.Hour)
	partitionAndHeal(t, largeFleetNodes, largePartitionDuration)
}

func TestOneDeadNodeIsDown(t *testing.T) {
	const nodes, dead = 64, 11
	r := newTestNetwork(t, nodes)
	r.waitFor("start", time.Minute, func(int) int { return nodes })
	r.partitioned = func(a, b int) bool { return a == dead || b == dead }
	took := r.waitFor("death", time.Minute, func(i int) int {
		if i == dead {
			return 1
		}
		return nodes - 1
	})
	for range 60 {
		r.step(500 * time.Millisecond)
	}
	for i, c := range r.cores {
		e, _ := c.table.Get(r.cores[dead].self.Address)
		if got, want := e.Condition, replicator.Down; i != dead && got != want {
			t.Errorf("core %d: got condition %v of the dead node, want %v", i, got, want)
		}
		if got := len(c.unreachableCentres()); i != dead && got != 0 {
			t.Errorf("core %d: got %d data centres unreachable, want none", i, got)
		}
	}
	t.Logf("a dead node of %d was out of the live nodes after %v", nodes, took)
}

func TestStoppedNodeIsForgotten(t *testing.T) {
	const nodes, stopped = 9, 3
	r := newTestNetwork(t, nodes)
	r.waitFor("start", time.Minute, func(int) int { return nodes })
	r.cores[stopped].leave()
	r.waitFor("leave", 3*time.Second, func(int) int { return nodes - 1 })
	r.partitioned = func(a, b int) bool { return a == stopped || b == stopped }
	address := r.cores[stopped].self.Address
	for range 900 {
		for _, c := range r.cores {
			var vms []provider.VM
			for _, vm := range c.vms {
				if vm.Address != address {
					vms = append(vms, vm)
				}
			}
			c.applyList(r.now, vms)
		}
		r.step(time.Second)
	}
	for i, c := range r.cores {
		if e, known := c.table.Get(address); i != stopped && known {
			t.Errorf("core %d: got %v of a node that stopped 15 minutes ago, want nothing", i, e)
		}
	}
}

func TestResumedNodeDeclaresNobodyDown(t *testing.T) {
	const nodes, paused = 9, 2
	r := newTestNetwork(t, nodes)
	r.waitFor("start", time.Minute, func(int) int { return nodes })
	c := r.cores[paused]
	// The suspicion starts just before the pause, which is longer than its timeout.
	c.dialFailed(r.now, r.cores[4].self.Address)
	e, _ := c.table.Get(r.cores[4].self.Address)
	e.Condition = replicator.Suspect
	c.put(r.now, e)
	r.now = r.now.Add(time.Hour)
	if woke := c.tick(r.now, 0, 0, r.random.IntN); !woke {
		t.Error("got no pause detected after an hour without ticks, want one")
	}
	for _, n := range c.nodes() {
		if n.Down || n.Unreachable {
			t.Errorf("got node %s down or unreachable at a node that was just paused, want neither", n.Address)
		}
	}
	if got := c.unreachableCentres(); len(got) != 0 {
		t.Errorf("got data centres %v unreachable at a node that was just paused, want none", got)
	}
}

func TestRestartReplacesIncarnation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	old := newCore(now, Node{Address: "x", Centre: "c", Incarnation: "b"})
	peer := newCore(now, Node{Address: "y", Centre: "c", Incarnation: "1"})
	exchange := func(c *core) {
		for range 6 {
			peer.receive(now, "l", "x", c.flush(now, "l", allowAll, allowAll))
			c.receive(now, "l", "y", peer.flush(now, "l", allowAll, allowAll))
		}
	}
	old.leave()
	old.linkUp(now, "l", "y", true)
	peer.linkUp(now, "l", "x", false)
	exchange(old)
	peer.linkDown(now, "l", "x")
	// The clock of the new process is behind that of the old one.
	next := newCore(now.Add(-time.Hour), Node{Address: "x", Centre: "c", Incarnation: "a"})
	next.linkUp(now, "l", "y", true)
	peer.linkUp(now, "l", "x", false)
	exchange(next)
	if got, _ := peer.table.Get("x"); got.Incarnation != "a" || got.Leaving {
		t.Errorf("got %v of a restarted node, want its new incarnation, not leaving", got)
	}
}

func allowAll(int) bool { return true }
