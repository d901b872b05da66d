package syncer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/platform"
	"banyanquay/platform/imitator"
)

// oddFleet is a reader of a store with endpoints e0 to e4, and a node that reaches no store and
// queries it.
func oddFleet(t *testing.T, st *store) (nodes map[string]*Syncer) {
	peers := map[string]*Syncer{}
	unreachable := newStore()
	unreachable.down = true
	reader, other := newSyncer(st, nil), newSyncer(unreachable, peers)
	peers["reader"] = reader
	other.cfg.IsReader = func() bool { return false }
	other.cfg.Readers = func() []string { return []string{"reader"} }
	st.put(configTopic, configKey, "1")
	for n := range 5 {
		st.put(endpointTopic, fmt.Sprint("e", n), endpointRecord(n))
	}
	nodes = map[string]*Syncer{"reader": reader, "other": other}
	for _, s := range nodes {
		s.cfg.DecodeEntry = platform.Entry
	}
	start(t, reader)
	time.Sleep(time.Second)
	start(t, other)
	return nodes
}

// endpointRecord returns the record of an endpoint.
func endpointRecord(n int) string {
	return string(imitator.Entry("s", fmt.Sprintf("10.0.0.%d:80", n+1), "z"))
}

// checkTable checks that a node knows exactly the endpoints from e<first> to e<last>.
func checkTable(t *testing.T, when, node string, s *Syncer, first, last int) {
	t.Helper()
	if got, want := s.Table().Len(), last-first+1; got != want {
		t.Errorf("%s, %s: got %d endpoints, want %d: %.300v", when, node, got, want, s.Table().All())
	}
	for n := first; n <= last; n++ {
		if _, ok := s.Table().Get(fmt.Sprint("e", n)); !ok {
			t.Errorf("%s, %s: e%d is not known", when, node, n)
		}
	}
}

// Guards against one record of another writer that keeps nodes from following the endpoints:
// a key that isn't UTF-8 made every table that was sent to other nodes undecodable.
func TestOddEntriesDoNotStopTheTable(t *testing.T) {
	for _, r := range imitator.OddRecords("s", "10.0.1.1:80", "z") {
		t.Run(r.Name, func(t *testing.T) {
			t.Run("followed", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := newStore()
					nodes := oddFleet(t, st)
					time.Sleep(2 * time.Second)
					st.put(endpointTopic, r.Key, string(r.Value))
					time.Sleep(2 * time.Second)
					checkLaterChanges(t, st, nodes)
				})
			})
			t.Run("listed", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					st := newStore()
					st.put(endpointTopic, r.Key, string(r.Value))
					checkLaterChanges(t, st, oddFleet(t, st))
				})
			})
		})
	}
}

// checkLaterChanges checks that all nodes know the endpoints, and learn of changes.
func checkLaterChanges(t *testing.T, st *store, nodes map[string]*Syncer) {
	t.Helper()
	time.Sleep(2 * time.Second)
	for name, s := range nodes {
		checkTable(t, "beside the record", name, s, 0, 4)
	}
	st.put(endpointTopic, "e5", endpointRecord(5))
	st.put(endpointTopic, "e0", "")
	time.Sleep(2 * time.Second)
	for name, s := range nodes {
		checkTable(t, "after changes", name, s, 1, 5)
	}
	st.set(func() { st.era++ })
	time.Sleep(3 * time.Second)
	st.put(endpointTopic, "e6", endpointRecord(6))
	time.Sleep(2 * time.Second)
	for name, s := range nodes {
		checkTable(t, "in the next era", name, s, 1, 6)
	}
}
