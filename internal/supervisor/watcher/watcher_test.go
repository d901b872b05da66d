package watcher

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/addresser"
)

func TestFleetConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 20)
		defer f.stop()
		// All nodes drop a killed node from their live nodes, and add it again after
		// its restart.
		victim := f.order[4]
		f.kill(victim)
		took := f.waitFor("kill", 15*time.Second, func(m *member) bool { return m.live() == 8 })
		t.Logf("a killed node left the live nodes after %v", took)
		f.start(victim, f.centreOf(4), "1")
		f.waitFor("restart", 5*time.Second, func(m *member) bool { return m.live() == 9 && m.serving() == 20 })
	})
}

// lastServing samples all nodes for a while and returns how long after the start
// each last saw the endpoint serving, sorted.
func (f *fleet) lastServing(address string, during time.Duration) []time.Duration {
	started := time.Now()
	last := make(map[string]time.Duration)
	for time.Since(started) < during {
		for _, m := range f.members {
			if !f.frozen[m.address] && m.endpoint(address).Serving() {
				last[m.address] = time.Since(started)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var all []time.Duration
	for _, m := range f.members {
		if !f.frozen[m.address] {
			all = append(all, last[m.address])
		}
	}
	slices.Sort(all)
	return all
}

// runLeavingEndpoint makes an endpoint leave while one of its pollers is cut off,
// half of the links are silent and the list does not report it.
func runLeavingEndpoint(t *testing.T, nodes, endpoints int, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, nodes, endpoints)
		defer f.stop()
		time.Sleep(time.Duration(seed%10) * 100 * time.Millisecond)
		address := endpointName(int(seed) % endpoints)
		for _, m := range f.members {
			if m.watcher.polled(address) {
				f.freeze(m.address)
				break
			}
		}
		f.silenceHalf(rand.New(rand.NewPCG(seed, 0)))
		f.change(address, func(s *driver.Status) { s.Leaving = true })
		last := f.lastServing(address, 10*time.Second)
		median, worst := last[len(last)/2], last[len(last)-1]
		t.Logf("%d nodes: last new work after median %v, worst %v", nodes, median, worst)
		if want := 3 * time.Second; worst > want {
			t.Errorf("got new work %v after the announcement, want at most %v", worst, want)
		}
		f.change(address, func(s *driver.Status) { s.Leaving, s.Incarnation = false, "next" })
		f.waitFor("replacement", 5*time.Second, func(m *member) bool { return m.endpoint(address).Serving() })
	})
}

func TestLeavingEndpoint(t *testing.T) {
	for seed := range uint64(10) {
		runLeavingEndpoint(t, 9, 20, seed)
	}
	runLeavingEndpoint(t, largeFleetNodes, 24, 1)
}

func TestReportedLeavingSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 50, 20)
		defer f.stop()
		time.Sleep(3 * time.Second)
		address := endpointName(3)
		f.members[f.order[0]].watcher.ReportLeaving(address)
		took := f.waitFor("report", time.Second, func(m *member) bool { return !m.endpoint(address).Serving() })
		t.Logf("all nodes knew of a leaving report after %v", took)
		if want := 250 * time.Millisecond; took > want {
			t.Errorf("got %v until all nodes knew of a leaving report, want at most %v", took, want)
		}
		// The endpoint's own status, which lags, does not revert the report.
		time.Sleep(5 * time.Second)
		f.waitFor("steady", time.Second, func(m *member) bool { return !m.endpoint(address).Serving() })
	})
}

func TestFailedRequestSuspectsOnlyLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 20)
		defer f.stop()
		address := endpointName(3)
		here := f.members[f.order[0]]
		here.watcher.ReportFailed(address)
		if here.endpoint(address).Serving() {
			t.Error("got an endpoint serving right after a request to it failed")
		}
		f.waitFor("poll", time.Second, func(m *member) bool { return m.endpoint(address).Serving() })
		f.mu.Lock()
		delete(f.statuses, address)
		f.mu.Unlock()
		took := f.waitFor("down", 5*time.Second, func(m *member) bool { return m.endpoint(address).Down })
		t.Logf("an unresponsive endpoint was down at all nodes after %v", took)
	})
}

func TestLeavingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 20)
		defer f.stop()
		f.silenceHalf(rand.New(rand.NewPCG(1, 0)))
		leaver := f.order[3]
		f.members[leaver].tracker.Leave()
		took := f.waitFor("leave", 10*time.Second, func(m *member) bool {
			return !slices.Contains(addresser.Choose(m.tracker.Nodes(), "karoo", "centre-0", 9), leaver)
		})
		t.Logf("a leaving node was out of all answers after %v", took)
		if want := 3 * time.Second; took > want {
			t.Errorf("got a leaving node in answers for %v, want at most %v", took, want)
		}
		if err := f.members[f.order[0]].tracker.RequestDrain(t.Context(), f.order[5]); err != nil {
			t.Error(err)
		}
		if got := f.members[f.order[5]].drained; !got {
			t.Error("got no drain at the node that was asked, want one")
		}
	})
}

func TestSilentLinksSuspectNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 20)
		defer f.stop()
		for seed := range uint64(5) {
			f.silenceHalf(rand.New(rand.NewPCG(seed, 0)))
			time.Sleep(5 * time.Second)
		}
		for _, m := range f.members {
			for _, name := range []string{"nodes_suspect", "nodes_down"} {
				if got := m.counters.Fleet.Get(name); got != nil {
					t.Errorf("node %s: got %s %v, want none", m.address, name, got)
				}
			}
		}
		f.waitFor("steady", time.Second, func(m *member) bool { return m.live() == 9 })
	})
}

func TestIsolatedNodePollsAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 20)
		defer f.stop()
		isolated := f.order[2]
		f.mu.Lock()
		f.listReadable = false
		f.isolated = isolated
		f.mu.Unlock()
		f.silenceNode(isolated)
		address := endpointName(5)
		f.waitFor("isolation", time.Minute, func(m *member) bool {
			return m.live() == 8 || (m.address == isolated && m.live() == 1)
		})
		f.change(address, func(s *driver.Status) { s.Leaving = true })
		f.waitFor("leaving", 3*time.Second, func(m *member) bool { return !m.endpoint(address).Serving() })
		f.mu.Lock()
		f.isolated = ""
		f.mu.Unlock()
		took := f.waitFor("heal", 30*time.Second, func(m *member) bool { return m.live() == 9 })
		t.Logf("an isolated node was back after %v", took)
	})
}

func TestPartitionKeepsEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 9, 21)
		defer f.stop()
		f.mu.Lock()
		f.partition = map[string]bool{"centre-2": true}
		f.mu.Unlock()
		f.waitFor("partition", time.Minute, func(m *member) bool {
			if f.partition[f.centre(m.address)] {
				return m.live() == 3 && m.serving() == 7
			}
			return m.live() == 6 && m.serving() == 14
		})
		time.Sleep(10 * time.Minute)
		f.mu.Lock()
		f.partition = nil
		f.mu.Unlock()
		// While the partition heals, no node loses the endpoints of its own side.
		ownSideServing := func(m *member) bool {
			for _, e := range m.watcher.Endpoints().All() {
				if (e.Centre == "centre-2") == (f.centre(m.address) == "centre-2") && !e.Serving() {
					return false
				}
			}
			return true
		}
		took := f.waitFor("heal", 30*time.Second, func(m *member) bool {
			if !ownSideServing(m) {
				t.Errorf("node %s lost endpoints of its own side while the partition healed", m.address)
			}
			return m.live() == 9 && m.serving() == 21
		})
		t.Logf("all live and serving again %v after the end of a partition of 10 minutes", took)
	})
}

// runAppliedSpread applies configuration at all nodes and waits until each of them
// knows that all have applied it.
func runAppliedSpread(t *testing.T, nodes int) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, nodes, 20)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.applied.Store(7)
		took := f.waitFor("applied", 20*time.Second, func(m *member) bool {
			for _, n := range m.tracker.Nodes() {
				if n.Applied != 7 {
					return false
				}
			}
			return true
		})
		t.Logf("%d nodes: each knew after %v that all had applied the change", nodes, took)
	})
}

func TestAppliedOffsetSpreads(t *testing.T) {
	runAppliedSpread(t, 9)
	runAppliedSpread(t, largeFleetNodes)
}
