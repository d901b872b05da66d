package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
)

// outageFleet is a fleet of nodes in three data centres that share a store.
type outageFleet struct {
	store *store
	all   []*Syncer
}

// newOutageFleet starts a fleet whose first node of each data centre is its reader and whose
// next two are its standbys. prepare, if set, changes each node before it starts.
func newOutageFleet(t *testing.T, nodes int, prepare func(n int, s *Syncer)) *outageFleet {
	const centres = 3
	fl := &outageFleet{store: newStore()}
	fl.store.put(configTopic, configKey, "1")
	for n := range 96 {
		fl.store.put(endpointTopic, fmt.Sprint("e", n), "up")
	}
	peers := map[string]*Syncer{}
	readers := []string{"0", "1", "2"}
	for n := range nodes {
		s := newSyncer(fl.store, peers)
		began := time.Now()
		s.cfg.Address = fmt.Sprint(n)
		s.cfg.Starting = func() bool { return time.Since(began) < time.Second }
		s.cfg.IsReader = func() bool { return n < centres }
		s.cfg.IsStandby = func() bool { return n < 3*centres }
		s.cfg.Readers = func() []string {
			return []string{readers[n%centres], readers[(n+1)%centres], readers[(n+2)%centres]}
		}
		s.cfg.Standbys = func() []string {
			return []string{fmt.Sprint(n%centres + centres), fmt.Sprint(n%centres + 2*centres)}
		}
		s.cfg.Peers = func() []string {
			var others []string
			for _, i := range rand.Perm(nodes) {
				if i != n {
					others = append(others, fmt.Sprint(i))
				}
			}
			return others
		}
		if prepare != nil {
			prepare(n, s)
		}
		peers[s.cfg.Address] = s
		fl.all = append(fl.all, s)
	}
	for _, s := range fl.all {
		start(t, s)
	}
	return fl
}

// Guards against an outage of the store in which each node of a large fleet calls it: a day
// with 143 nodes and one outage of 6 s had 3,429 calls, where 800 are allowed.
func TestStoreCallsOfALargeFleetInAnOutage(t *testing.T) {
	kinds := []struct {
		name string
		set  func(s *store, on bool)
	}{
		{"calls fail at once", func(s *store, on bool) { s.down = on }},
		{"calls get no answer", func(s *store, on bool) { s.unresponsive = on }},
	}
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newOutageFleet(t, 143, nil)
				time.Sleep(5 * time.Second)
				fl.store.set(func() { k.set(fl.store, true); fl.store.calls = 0 })
				time.Sleep(6 * time.Second)
				fl.store.set(func() { k.set(fl.store, false) })
				fl.store.put(configTopic, configKey, "2")
				fl.store.put(endpointTopic, "e1", "leaving")
				time.Sleep(drainDeadline)
				for n, s := range fl.all {
					if got, want := version(s), int64(2); got != want {
						t.Errorf("node %d, %v after the outage: version %d, want %d", n, drainDeadline, got, want)
					}
					if e, _ := s.Table().Get("e1"); !e.Leaving {
						t.Errorf("node %d, %v after the outage: e1 is not known to be leaving", n, drainDeadline)
					}
					if age := time.Since(s.View().Confirmed); age > revokeDeadline {
						t.Errorf("node %d: the confirmation is %v old, want at most %v", n, age, revokeDeadline)
					}
				}
				time.Sleep(3*time.Second - drainDeadline)
				fl.store.mu.Lock()
				defer fl.store.mu.Unlock()
				t.Logf("%d calls", fl.store.calls)
				if got, want := fl.store.calls, 200; got >= want {
					t.Errorf("calls in the outage and the 3 s after it: got %d, want fewer than %d", got, want)
				}
			})
		})
	}
}

// Guards against a node that is no standby and that no other node answers: it must read the
// store itself.
func TestNodeWithoutAnswersReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		lone := newSyncer(st, map[string]*Syncer{})
		lone.cfg.IsReader, lone.cfg.IsStandby = func() bool { return false }, func() bool { return false }
		lone.cfg.Readers = func() []string { return []string{"gone"} }
		lone.cfg.Query = func(context.Context, string, []byte) ([]byte, error) {
			return nil, trace.ConnectionProblem(nil, "no such node")
		}
		start(t, lone)
		time.Sleep(3 * time.Second)
		oldest := time.Duration(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, time.Since(lone.View().Confirmed))
		}
		if got, want := oldest, revokeDeadline; got > want {
			t.Errorf("oldest confirmation: got %v, want at most %v", got, want)
		}
	})
}
