package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/provider"
)

// turnedAway are nodes of a fleet of nine that the store turns away, each from a time on and for a time.
type turnedAway struct {
	name  string
	nodes []int
	// apart is the time from one node to the next.
	apart time.Duration
}

// turnedAwayKinds are at most a third of the nodes. Nodes 0 to 2 read the store, 3 to 8 are their standbys.
func turnedAwayKinds() []turnedAway {
	return []turnedAway{
		{name: "all readers", nodes: []int{0, 1, 2}},
		{name: "all readers in turn", nodes: []int{0, 1, 2}, apart: 400 * time.Millisecond},
		{name: "two readers and a standby", nodes: []int{0, 1, 3}},
		{name: "a reader and its standbys", nodes: []int{0, 3, 6}},
	}
}

// failKinds are the ways in which the store turns nodes away: with a failure at once (503, 429, a reset), or without an answer.
func failKinds() map[string]func(provider.Topics, *atomic.Bool) provider.Topics {
	return map[string]func(provider.Topics, *atomic.Bool) provider.Topics{"rejected": failTopics, "no answer": cutTopics}
}

// forEachTurnedAway runs a test for each kind of nodes and failure, outages of some lengths, and changes at moments from just
// before them on. run makes the change and checks it; calm are the nodes that are served all the while.
func forEachTurnedAway(t *testing.T, run func(t *testing.T, fl *outageFleet, calm []int)) {
	for _, kind := range turnedAwayKinds() {
		for failure, fail := range failKinds() {
			for _, outage := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
				for after := -100 * time.Millisecond; after < outage+600*time.Millisecond; after += max(300*time.Millisecond, outage/5) {
					t.Run(fmt.Sprintf("%s, %s, %v, change after %v", kind.name, failure, outage, after), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							cut := make([]atomic.Bool, 9)
							fl := newOutageFleet(t, 9, func(n int, s *Syncer) { s.cfg.Topics = fail(s.cfg.Topics, &cut[n]) })
							time.Sleep(5*time.Second + rand.N(time.Second))
							for i, n := range kind.nodes {
								begins := time.Duration(i)*kind.apart + 100*time.Millisecond
								time.AfterFunc(begins, func() { cut[n].Store(true) })
								time.AfterFunc(begins+outage, func() { cut[n].Store(false) })
							}
							time.Sleep(after + 100*time.Millisecond)
							var calm []int
							for n := range fl.all {
								if !slices.Contains(kind.nodes, n) {
									calm = append(calm, n)
								}
							}
							run(t, fl, calm)
						})
					})
				}
			}
		}
	}
}

// Guards against nodes that use an endpoint for longer than is allowed after its entry was removed, because the readers
// were turned away, kept it when they returned, and confirmed it to each other, although the store would have told any
// other node. The same of endpoints that leave, of configurations, and of keys, which count as long as the configuration's
// confirmation does.
func TestChangesAreInForceWhenReadersWereTurnedAway(t *testing.T) {
	forEachTurnedAway(t, func(t *testing.T, fl *outageFleet, calm []int) {
		fl.store.put(endpointTopic, "e1", "")
		fl.store.put(endpointTopic, "e2", "leaving")
		fl.store.put(configTopic, configKey, "2")
		gone := make(map[int]bool)
		for changed := time.Now(); time.Since(changed) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
			late := time.Since(changed)
			for _, n := range calm {
				s := fl.all[n]
				_, listed := s.Table().Get("e1")
				if listed && gone[n] {
					t.Fatalf("node %d lists the endpoint again %v after its removal", n, late)
				}
				if listed && late > drainDeadline {
					t.Fatalf("node %d lists the endpoint %v after its removal, want at most %v", n, late, drainDeadline)
				}
				gone[n] = !listed
				if e, _ := s.Table().Get("e2"); !e.Leaving && late > drainDeadline {
					t.Fatalf("node %d doesn't know after %v that e2 leaves, want %v", n, late, drainDeadline)
				}
				if got, want := version(s), int64(2); got != want && late > applyDeadline {
					t.Fatalf("node %d has version %d after %v, want %d after %v", n, got, late, want, applyDeadline)
				}
				if age := time.Since(s.View().Confirmed); age > revokeDeadline {
					t.Fatalf("node %d: the confirmation is %v old, want at most %v", n, age, revokeDeadline)
				}
			}
			for n, s := range fl.all {
				if got, want := s.Table().Len(), 95; got < want {
					t.Fatalf("node %d has %d endpoints, want %d", n, got, want)
				}
			}
		}
	})
}

// Guards against calls to the store on calm days that grow with the fleet, and against reads by way of other nodes on them.
func TestReadsByWayOfOthersAreFew(t *testing.T) {
	for _, nodes := range []int{9, 36, 195} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newOutageFleet(t, nodes, nil)
				time.Sleep(5 * time.Second)
				fl.store.set(func() { fl.store.calls = 0 })
				time.Sleep(20 * time.Second)
				fl.store.mu.Lock()
				calls := fl.store.calls
				fl.store.mu.Unlock()
				one := int(20*time.Second/configurationWait + 20*time.Second/pollInterval + 20*time.Second/quarantineWait)
				if got, want := calls, 3*(one+2); got > want {
					t.Errorf("calls to the store in 20 calm seconds: got %d, want at most %d, those of three readers", got, want)
				}
				if got, want := fl.readsForOthers(), int64(0); got != want {
					t.Errorf("reads for others on a calm day: got %d, want %d", got, want)
				}
				t.Logf("%d calls in 20 calm seconds", calls)
			})
		})
	}
}

// Guards against reads by way of other nodes that go on during an outage of the store: each of three readers asks two
// nodes at a time, for relayPeriod.
func TestReadsByWayOfOthersEnd(t *testing.T) {
	for _, nodes := range []int{9, 36, 195} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newOutageFleet(t, nodes, nil)
				time.Sleep(25 * time.Second)
				fl.store.set(func() { fl.store.down = true })
				time.Sleep(9 * time.Second)
				if got, want := fl.readsForOthers(), int64(3*maxRelaysAsked*(relayPeriod/relayRetryDelay+1)); got > want {
					t.Errorf("reads for others in an outage of 9 s: got %d, want at most %d", got, want)
				}
			})
		})
	}
}

// readsForOthers returns how many calls to the store the nodes made for others.
func (fl *outageFleet) readsForOthers() (sum int64) {
	for _, s := range fl.all {
		sum += count(s, "reads_for_others")
	}
	return sum
}

// count returns a counter of a node's.
func count(s *Syncer, name string) int64 {
	v, ok := s.cfg.Counters.Config.Get(name).(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return v.Value()
}

// Guards against a node that reads topics of the store for others which no node reads from another one, or reads at all
// while its own reads fail.
func TestNodeRefusesToReadForOthers(t *testing.T) {
	s := newSyncer(newStore(), nil)
	asker := newSyncer(newStore(), map[string]*Syncer{"s": s})
	if _, err := asker.askToRead(context.Background(), "s", readRequest{Topic: quarantineTopic}); err == nil {
		t.Error("the quarantine was read, want an error")
	}
	if _, err := asker.askToRead(context.Background(), "s", readRequest{Topic: endpointTopic}); err != nil {
		t.Errorf("endpoints: got %v, want none", err)
	}
	s.failingEndpoints.Store(true)
	if _, err := asker.askToRead(context.Background(), "s", readRequest{Topic: endpointTopic}); err == nil {
		t.Error("a node whose reads fail read the store, want an error")
	}
}
