package syncer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/provider"
)

// cutQueries makes a node's queries of others, and those of others to it, fail while cut is set.
func cutQueries(n int, s *Syncer, cut *atomic.Bool) {
	send := s.cfg.Query
	s.cfg.Query = func(ctx context.Context, address string, query []byte) ([]byte, error) {
		if cut.Load() && (n == 0 || address == "0") {
			return nil, trace.ConnectionProblem(nil, "cut off")
		}
		return send(ctx, address, query)
	}
}

// The reader of a data centre can't read the store for a while, and an endpoint's entry is removed meanwhile or just
// after it. Guards against nodes that weren't disturbed and use the endpoint for longer than is allowed, since the
// reader takes its outage for one of the store and keeps the entry.
func TestRemovedEndpointIsGoneAfterAnOutageOfOneReader(t *testing.T) {
	failures := map[string]func(provider.Topics, *atomic.Bool) provider.Topics{"rejected": failTopics, "no answer": cutTopics}
	for name, fail := range failures {
		for _, alone := range []bool{false, true} {
			for _, outage := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
				for after := time.Duration(0); after < outage+time.Second; after += 350 * time.Millisecond {
					t.Run(fmt.Sprintf("%s, from nodes too %v, %v, removed after %v", name, alone, outage, after), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							var cut atomic.Bool
							fl := newOutageFleet(t, 9, func(n int, s *Syncer) {
								if n == 0 {
									s.cfg.Topics = fail(s.cfg.Topics, &cut)
								}
								if alone {
									cutQueries(n, s, &cut)
								}
							})
							time.Sleep(5*time.Second + rand.N(time.Second))
							cut.Store(true)
							time.AfterFunc(outage, func() { cut.Store(false) })
							time.Sleep(after)
							fl.store.put(endpointTopic, "e1", "")
							gone := make([]bool, len(fl.all))
							for removed := time.Now(); time.Since(removed) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
								for n, s := range fl.all {
									_, listed := s.Table().Get("e1")
									if listed && gone[n] {
										t.Fatalf("node %d lists the endpoint again %v after its removal", n, time.Since(removed))
									}
									if listed && n != 0 && time.Since(removed) > drainDeadline {
										t.Fatalf("node %d lists the endpoint %v after its removal, want at most %v", n, time.Since(removed), drainDeadline)
									}
									gone[n] = !listed
									if got, want := s.Table().Len(), 95; got < want {
										t.Fatalf("node %d has %d endpoints, want %d", n, got, want)
									}
								}
							}
						})
					})
				}
			}
		}
	}
}

// The store itself is away and drops entries of live endpoints, which register again within two seconds of its return.
// Guards against a repair of the case above that loses them, at any node, one that starts then included: before nodes
// have read the returned store that it asks, or between two reads of those.
func TestEntriesThatLapseWithTheStoreAreKept(t *testing.T) {
	kinds := map[string]func(s *store, on bool){
		"calls fail at once":  func(s *store, on bool) { s.down = on },
		"calls get no answer": func(s *store, on bool) { s.unresponsive = on },
	}
	for name, set := range kinds {
		for outage := 1200 * time.Millisecond; outage < 6*time.Second; outage += 1200 * time.Millisecond {
			for _, before := range []time.Duration{min(time.Second, outage/2), 10 * time.Millisecond} {
				for started := 50 * time.Millisecond; started < 2*time.Second; started += 460 * time.Millisecond {
					t.Run(fmt.Sprintf("%s, %v, dropped %v before its end, a node started %v after it", name, outage, before, started), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { testLapse(t, set, outage, before, started) })
					})
				}
			}
		}
	}
}

// testLapse makes the store unavailable, drops half of the entries some time before the outage ends and starts a node
// some time after it.
func testLapse(t *testing.T, set func(s *store, on bool), outage, before, started time.Duration) {
	fl := newOutageFleet(t, 9, nil)
	time.Sleep(5*time.Second + rand.N(time.Second))
	fl.store.set(func() { set(fl.store, true) })
	time.Sleep(outage - before)
	for n := range 48 {
		fl.store.put(endpointTopic, fmt.Sprint("e", n), "")
	}
	time.Sleep(before)
	fl.store.set(func() { set(fl.store, false) })
	returned := time.Now()
	time.AfterFunc(1900*time.Millisecond, func() {
		for n := range 47 {
			fl.store.put(endpointTopic, fmt.Sprint("e", n), "up")
		}
	})
	late := newSyncer(fl.store, nil)
	late.cfg.Address, late.cfg.Readers, late.cfg.Query = "late", func() []string { return []string{"late", "1", "2"} }, fl.all[0].cfg.Query
	time.AfterFunc(started, func() { start(t, late) })
	for ; time.Since(returned) < 7*time.Second; time.Sleep(20 * time.Millisecond) {
		nodes := fl.all
		if time.Since(returned) > started+300*time.Millisecond {
			nodes = append(nodes[:len(nodes):len(nodes)], late)
		}
		for n, s := range nodes {
			if got, want := s.Table().Len(), 95; got < want {
				t.Fatalf("node %d has %d endpoints %v after the return, want %d", n, got, time.Since(returned), want)
			}
		}
	}
	for n, s := range append(fl.all, late) {
		if _, ok := s.Table().Get("e47"); ok {
			t.Errorf("node %d lists an endpoint that hasn't registered again", n)
		}
	}
}

// Guards against an entry that is kept for good after it lapsed with the store, because its endpoint said meanwhile
// that it leaves.
func TestRetainedEndpointThatLeavesIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		start(t, s)
		time.Sleep(time.Second)
		st.set(func() { st.down = true })
		time.Sleep(4 * time.Second)
		st.put(endpointTopic, "a", "")
		st.set(func() { st.down = false })
		time.Sleep(time.Second)
		if !s.MarkLeaving("a", 0) {
			t.Error("the endpoint is not known")
		}
		time.Sleep(4 * time.Second)
		if e, ok := s.Table().Get("a"); ok {
			t.Errorf("five seconds after the return: got %+v, want none", e)
		}
	})
}

// Guards against live endpoints whose entries lapsed with the store and that readers drop, since a node that has just started
// as reader doesn't list them: it never knew them.
func TestStartingReaderConfirmsNoRemoval(t *testing.T) {
	for started := -200 * time.Millisecond; started < time.Second; started += 100 * time.Millisecond {
		t.Run(fmt.Sprint("started ", started, " after the return"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var fresh atomic.Pointer[Syncer]
				fl := newOutageFleet(t, 9, func(_ int, s *Syncer) {
					send := s.cfg.Query
					s.cfg.Query = func(ctx context.Context, address string, query []byte) ([]byte, error) {
						if s := fresh.Load(); s != nil && address == "1" {
							return s.HandleQuery(query)
						}
						return send(ctx, address, query)
					}
				})
				time.Sleep(5*time.Second + rand.N(time.Second))
				fl.store.set(func() { fl.store.down = true })
				time.Sleep(3 * time.Second)
				for n := range 48 {
					fl.store.put(endpointTopic, fmt.Sprint("e", n), "")
				}
				time.Sleep(time.Second + started)
				s := newSyncer(fl.store, nil)
				s.cfg.Address, s.cfg.Readers, s.cfg.Query = "1", fl.all[1].cfg.Readers, fl.all[0].cfg.Query
				start(t, s)
				fresh.Store(s)
				time.Sleep(-started)
				fl.store.set(func() { fl.store.down = false })
				returned := time.Now()
				time.AfterFunc(1900*time.Millisecond, func() {
					for n := range 48 {
						fl.store.put(endpointTopic, fmt.Sprint("e", n), "up")
					}
				})
				// Nodes of the restarted reader's data centre have their data from it.
				for ; time.Since(returned) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
					for _, n := range []int{0, 2} {
						if got, want := fl.all[n].Table().Len(), 96; got < want {
							t.Fatalf("reader %d has %d endpoints %v after the return, want %d", n, got, time.Since(returned), want)
						}
					}
				}
			})
		})
	}
}
