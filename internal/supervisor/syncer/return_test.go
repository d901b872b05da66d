package syncer

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
)

// cutTopics returns topics whose calls get no answer while cut is set.
func cutTopics(topics provider.Topics, cut *atomic.Bool) provider.Topics {
	newest, follow := topics.Newest, topics.Follow
	lost := func(ctx context.Context) error {
		if !cut.Load() {
			return nil
		}
		grouper.Sleep(ctx, 900*time.Millisecond)
		return trace.ConnectionProblem(nil, "no answer")
	}
	topics.Newest = func(ctx context.Context, topic string) (provider.Items, error) {
		if err := lost(ctx); err != nil {
			return provider.Items{}, err
		}
		return newest(ctx, topic)
	}
	topics.Follow = func(ctx context.Context, topic string, from provider.Offset, wait time.Duration) (provider.Items, error) {
		if err := lost(ctx); err != nil {
			return provider.Items{}, err
		}
		return follow(ctx, topic, from, wait)
	}
	return topics
}

// A reader is cut off from the store for 5.5 s, and an endpoint leaves meanwhile. Guards
// against nodes that list it again when the reader returns: it read the endpoint's earlier
// records once more, took its removal for one of an outage of the store, and told the others.
func TestRemovedEndpointStaysGoneWhenAReaderReturns(t *testing.T) {
	for after := 250 * time.Millisecond; after < 7*time.Second; after += 250 * time.Millisecond {
		t.Run(fmt.Sprintf("removed after %v", after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				var cut atomic.Bool
				peers, far := map[string]*Syncer{}, map[string]*Syncer{}
				nodes := map[string]*Syncer{"far": newSyncer(st, nil), "reader": newSyncer(st, far), "mate": newSyncer(st, peers)}
				far["far"], peers["far"] = nodes["far"], nodes["far"]
				peers["reader"] = nodes["reader"]
				nodes["reader"].cfg.Topics = cutTopics(st.Topics(), &cut)
				mate := &nodes["mate"].cfg
				mate.IsReader, mate.IsStandby = func() bool { return false }, func() bool { return false }
				mate.Readers = func() []string { return []string{"reader"} }
				st.put(configTopic, configKey, "1")
				st.put(endpointTopic, "stays", "up")
				heartbeats := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
						st.put(endpointTopic, "leaves", "up")
					}
				}
				heartbeats(250 * time.Millisecond)
				for _, s := range nodes {
					start(t, s)
				}
				heartbeats(4 * time.Second)
				cut.Store(true)
				time.AfterFunc(5500*time.Millisecond, func() { cut.Store(false) })
				heartbeats(after)
				st.put(endpointTopic, "leaves", "")
				gone := map[string]bool{}
				for removed := time.Now(); time.Since(removed) < 12*time.Second; time.Sleep(20 * time.Millisecond) {
					for name, s := range nodes {
						_, listed := s.Table().Get("leaves")
						if listed && gone[name] {
							t.Fatalf("%s lists the endpoint again %v after its removal", name, time.Since(removed))
						}
						if listed && name != "reader" && time.Since(removed) > drainDeadline {
							t.Fatalf("%s lists the endpoint %v after its removal, want at most %v", name, time.Since(removed), drainDeadline)
						}
						gone[name] = !listed
						if _, ok := s.Table().Get("stays"); !ok {
							t.Fatalf("%s lost the other endpoint", name)
						}
					}
				}
			})
		})
	}
}
