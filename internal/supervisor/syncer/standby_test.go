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

	"github.com/gravitational/trace"

	"banyanquay/internal/provider"
)

// largeDeadline is the time within which a change of the configuration and an endpoint's leaving
// must be in force at a large fleet.
const largeDeadline = 3 * time.Second

// failTopics returns topics whose calls fail at once while cut is set.
func failTopics(topics provider.Topics, cut *atomic.Bool) provider.Topics {
	newest, follow := topics.Newest, topics.Follow
	rejected := trace.ConnectionProblem(nil, "rejected")
	topics.Newest = func(ctx context.Context, topic string) (provider.Items, error) {
		if cut.Load() {
			return provider.Items{}, rejected
		}
		return newest(ctx, topic)
	}
	topics.Follow = func(ctx context.Context, topic string, from provider.Offset, wait time.Duration) (provider.Items, error) {
		if cut.Load() {
			return provider.Items{}, rejected
		}
		items, err := follow(ctx, topic, from, wait)
		if cut.Load() {
			return provider.Items{}, rejected // the connection ends during the wait
		}
		return items, err
	}
	return topics
}

// checkInForce checks that all nodes from the given one on know version 2 and that e1 leaves.
func checkInForce(t *testing.T, fl *outageFleet, first int, what string) {
	t.Helper()
	for n, s := range fl.all[first:] {
		if got, want := version(s), int64(2); got != want {
			t.Errorf("node %d, %s: version %d, want %d", n+first, what, got, want)
		}
		if e, _ := s.Table().Get("e1"); !e.Leaving {
			t.Errorf("node %d, %s: e1 is not known to be leaving", n+first, what)
		}
	}
}

// Guards against nodes that serve by an old configuration, or send requests to endpoints that leave,
// because the readers of all data centres lost the store, or these and their first standbys, while it answers
// all other nodes.
func TestChangesAreInForceWhenAllReadersLoseTheStore(t *testing.T) {
	fleets := []struct {
		nodes, cutOff int
		deadline      time.Duration
	}{{71, 3, largeDeadline}, {71, 6, largeDeadline}, {9, 3, drainDeadline}, {9, 6, drainDeadline}}
	failures := map[string]func(provider.Topics, *atomic.Bool) provider.Topics{"rejected": failTopics, "no answer": cutTopics}
	for _, f := range fleets {
		for name, fail := range failures {
			for after := -100 * time.Millisecond; after < 9*time.Second; after += 1300 * time.Millisecond {
				t.Run(fmt.Sprintf("%d of %d, %s, %v", f.cutOff, f.nodes, name, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var cut atomic.Bool
						fl := newOutageFleet(t, f.nodes, func(n int, s *Syncer) {
							if n < f.cutOff {
								s.cfg.Topics = fail(s.cfg.Topics, &cut)
							}
						})
						const outage = 5 * time.Second
						time.AfterFunc(outage, func() { cut.Store(true) })
						time.Sleep(outage + after)
						fl.store.put(configTopic, configKey, "2")
						fl.store.put(endpointTopic, "e1", "leaving")
						time.Sleep(f.deadline)
						checkInForce(t, fl, f.cutOff, fmt.Sprintf("%v after the change", f.deadline))
					})
				})
			}
		}
	}
}

// Guards against standbys that read a store that answers slowly, although the readers read it: the
// calls double just when it is slow.
func TestOnlyReadersReadASlowStore(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newOutageFleet(t, 36, nil)
				fl.store.set(func() { fl.store.delay = delay })
				time.Sleep(10 * time.Second)
				fl.store.set(func() { fl.store.calls = 0 })
				time.Sleep(10 * time.Second)
				fl.store.mu.Lock()
				defer fl.store.mu.Unlock()
				one := int(10*time.Second/configurationWait + 10*time.Second/pollInterval + 10*time.Second/quarantineWait)
				if got, want := fl.store.calls, 3*(one+2); got > want {
					t.Errorf("calls in 10 s: got %d, want at most %d, those of three readers", got, want)
				}
			})
		})
	}
}

// Guards against standbys that begin to read the store in an outage, or just after it, and take the
// older copy from which it came back for the current table: they list removed endpoints again, drop those
// that the copy lacks, and tell other nodes.
func TestStandbysKeepTheTableOfARestoredStore(t *testing.T) {
	for outage := 600 * time.Millisecond; outage <= 6*time.Second; outage += 300 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			for range 4 {
				synctest.Test(t, func(t *testing.T) {
					fl := newOutageFleet(t, 36, nil)
					time.Sleep(5*time.Second + rand.N(time.Second))
					fl.store.mu.Lock()
					copied := len(fl.store.topics[endpointTopic])
					fl.store.mu.Unlock()
					fl.store.put(endpointTopic, "e1", "")
					fl.store.put(endpointTopic, "new", "up")
					time.Sleep(4 * time.Second)
					fl.store.set(func() { fl.store.down = true })
					time.Sleep(outage)
					fl.store.restore(endpointTopic, copied)
					fl.store.set(func() { fl.store.down = false })
					time.AfterFunc(1500*time.Millisecond, func() { fl.store.put(endpointTopic, "new", "up") })
					wrong := map[string]bool{}
					for range 300 {
						time.Sleep(20 * time.Millisecond)
						for n, s := range fl.all {
							if _, ok := s.Table().Get("e1"); ok {
								wrong[fmt.Sprint("removed endpoint is listed again at node ", n)] = true
							}
							if _, ok := s.Table().Get("new"); !ok {
								wrong[fmt.Sprint("endpoint that the copy lacks is dropped at node ", n)] = true
							}
						}
					}
					if len(wrong) > 0 {
						var one string
						for one = range wrong {
							break
						}
						t.Errorf("%d wrong states of tables, one of them: %s", len(wrong), one)
					}
				})
			}
		})
	}
}

// Guards against a reader without the store that learns of changes late because it waits for readers and
// standbys that don't answer, one after the other, before it queries nodes that would.
func TestReaderWithoutAnswersOfStandbysLearnsInTime(t *testing.T) {
	for after := time.Duration(0); after < 12*time.Second; after += 300 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cut atomic.Bool
				fl := newOutageFleet(t, 36, func(n int, s *Syncer) {
					if n != 0 {
						return
					}
					s.cfg.Topics = failTopics(s.cfg.Topics, &cut)
					send := s.cfg.Query
					s.cfg.Query = func(ctx context.Context, address string, query []byte) ([]byte, error) {
						if cut.Load() && slices.Contains([]string{"1", "2", "3", "6"}, address) {
							<-ctx.Done()
							return nil, trace.ConnectionProblem(ctx.Err(), "no answer")
						}
						return send(ctx, address, query)
					}
				})
				time.Sleep(5*time.Second + rand.N(time.Second))
				cut.Store(true)
				time.Sleep(after)
				fl.store.put(configTopic, configKey, "2")
				fl.store.put(endpointTopic, "e1", "leaving")
				time.Sleep(largeDeadline)
				if got, want := version(fl.all[0]), int64(2); got != want {
					t.Errorf("version %v after the change: got %d, want %d", largeDeadline, got, want)
				}
				if e, _ := fl.all[0].Table().Get("e1"); !e.Leaving {
					t.Errorf("e1 is not known to be leaving %v after the change", largeDeadline)
				}
			})
		})
	}
}

// checkEachChange changes the configuration ten times a second while the first nodes of a fleet are cut off from
// the store, and checks for how long any other node has an older one.
func checkEachChange(t *testing.T, nodes int, deadline time.Duration) {
	const (
		outage = 20 * time.Second
		step   = 100 * time.Millisecond
	)
	for _, cutOff := range []int{3, 6} {
		for name, fail := range map[string]func(provider.Topics, *atomic.Bool) provider.Topics{"rejected": failTopics, "no answer": cutTopics} {
			t.Run(fmt.Sprintf("%d nodes, %s", cutOff, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var cut atomic.Bool
					fl := newOutageFleet(t, nodes, func(n int, s *Syncer) {
						if n < cutOff {
							s.cfg.Topics = fail(s.cfg.Topics, &cut)
						}
					})
					time.Sleep(5 * time.Second)
					cut.Store(true)
					worst := time.Duration(0)
					began := time.Now()
					for n := range int(outage / step) {
						fl.store.put(configTopic, configKey, fmt.Sprint(2+n))
						time.Sleep(step)
						for _, s := range fl.all[cutOff:] {
							worst = max(worst, time.Since(began)-time.Duration(version(s)-1)*step)
						}
					}
					if got, want := worst, deadline; got > want {
						t.Errorf("the oldest configuration had a successor for %v, want at most %v", got, want)
					}
				})
			})
		}
	}
}

// Guards against standbys that stop reading the store while no reader reads it: each of many changes in an
// outage of the readers, or of these and their first standbys, must be in force in time.
func TestEachChangeIsInForceWhileReadersAreCutOff(t *testing.T) {
	checkEachChange(t, 36, largeDeadline)
}

// Guards against the same in a small fleet, which has less time.
func TestEachChangeIsInForceInASmallFleet(t *testing.T) {
	checkEachChange(t, 9, drainDeadline)
}
