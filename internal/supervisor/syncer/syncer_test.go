package syncer

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/counter"
	"banyanquay/internal/mapper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
)

// Topics of the tests.
const (
	configTopic   = "config"
	endpointTopic = "endpoints"

	quarantineTopic = "quarantine"
	configKey       = "c"
)

// store is a store in memory that can be made unavailable.
type store struct {
	mu     sync.Mutex
	topics map[string][]provider.Item
	// first is the oldest offset that can be followed.
	first map[string]provider.Offset
	down  bool
	// unresponsive is set if calls get no answer until they time out.
	unresponsive bool
	// delay is added to the time of each call.
	delay time.Duration
	grown chan struct{}
	calls int
	// era counts how often the store came back from an older copy.
	era uint64
}

// restore brings the store back from a copy with the first n records of a topic.
func (s *store) restore(topic string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.topics[topic] = s.topics[topic][:n:n]
	close(s.grown)
	s.grown = make(chan struct{})
}

func newStore() *store {
	return &store{topics: map[string][]provider.Item{}, first: map[string]provider.Offset{}, grown: make(chan struct{})}
}

func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := provider.Offset(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], provider.Item{Key: key, Value: []byte(value), Offset: offset})
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// enter counts a call, and fails it if the store is unavailable.
func (s *store) enter(ctx context.Context) error {
	s.mu.Lock()
	down, unresponsive, delay := s.down, s.unresponsive, s.delay
	s.calls++
	s.mu.Unlock()
	time.Sleep(delay)
	if unresponsive {
		ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return trace.ConnectionProblem(ctx.Err(), "no answer")
	}
	if down {
		return trace.ConnectionProblem(nil, "down")
	}
	return nil
}

func (s *store) Topics() provider.Topics {
	return provider.Topics{Newest: s.newest, Follow: s.follow, Era: func() uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.era
	}}
}

func (s *store) newest(ctx context.Context, topic string) (provider.Items, error) {
	if err := s.enter(ctx); err != nil {
		return provider.Items{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]provider.Item{}
	for _, it := range s.topics[topic] {
		last[it.Key] = it
	}
	items := provider.Items{End: provider.EraOffset(s.era, uint64(len(s.topics[topic])))}
	for _, it := range last {
		if len(it.Value) > 0 {
			items.Items = append(items.Items, it)
		}
	}
	return items, nil
}

func (s *store) follow(ctx context.Context, topic string, from provider.Offset, wait time.Duration) (provider.Items, error) {
	if err := s.enter(ctx); err != nil {
		return provider.Items{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := wait == 0; ; {
		s.mu.Lock()
		all, grown, first, era := s.topics[topic], s.grown, s.first[topic], s.era
		s.mu.Unlock()
		if from.Era() != era {
			return provider.Items{}, provider.ErrRestored
		}
		if from < first {
			return provider.Items{}, provider.ErrCompacted
		}
		if len(all) > int(from.Number()) || over {
			return provider.Items{Items: all[from.Number():], End: provider.EraOffset(era, uint64(len(all)))}, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return provider.Items{}, trace.ConnectionProblem(ctx.Err(), "gave up")
		}
	}
}

// newSyncer returns a syncer that reads a store. The record of a configuration is
// its version, and that of an endpoint is "up" or "leaving".
func newSyncer(s *store, peers map[string]*Syncer) *Syncer {
	return New(Config{
		Topics: s.Topics(), ConfigTopic: configTopic, ConfigKey: configKey, EndpointTopic: endpointTopic,
		QuarantineTopic: quarantineTopic, HandleQuarantine: func([]provider.Item) {},
		DecodeConfiguration: func(data []byte) (*mapper.Configuration, error) {
			version, err := strconv.ParseInt(string(data), 10, 64)
			return mapper.New(mapper.Draft{Version: version}), err
		},
		DecodeEntry: func(id string, data []byte) (registrar.Entry, error) {
			if string(data) != "up" && string(data) != "leaving" {
				return registrar.Entry{}, errors.New("unreadable")
			}
			return registrar.Entry{ID: id, Address: id + ":1", Leaving: string(data) == "leaving"}, nil
		},
		Starting: func() bool { return false }, IsReader: func() bool { return true },
		Report:  func() []byte { return nil },
		Readers: func() []string { return nil },
		Peers: func() []string {
			var all []string
			for name := range peers {
				all = append(all, name)
			}
			return all
		},
		Query: func(_ context.Context, address string, query []byte) ([]byte, error) {
			return peers[address].HandleQuery(query)
		},
		Now: time.Now, Recorder: recorder.Nop(), Counters: counter.New(),
	})
}

// start runs a syncer until the end of the test.
func start(t *testing.T, s *Syncer) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Step().Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func version(s *Syncer) int64 {
	if cfg := s.View().Configuration; cfg != nil {
		return cfg.Version()
	}
	return 0
}

// Deadlines that users rely on: a configuration is in force two seconds after its
// acknowledgement, a revoked key stops working after five, and a leaving endpoint
// gets no request after two.
const (
	applyDeadline  = 2 * time.Second
	revokeDeadline = 4800 * time.Millisecond
	drainDeadline  = 2 * time.Second
)

func TestChangesAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		start(t, s)
		time.Sleep(500 * time.Millisecond)
		if s.Ready() {
			t.Errorf("ready without a configuration")
		}
		st.put(configTopic, configKey, "3")
		st.put(endpointTopic, "a", "up")
		time.Sleep(applyDeadline)
		if got, want := version(s), int64(3); got != want || !s.Ready() {
			t.Fatalf("version: got %d, ready %v, want %d", got, s.Ready(), want)
		}
		for n := range 50 {
			st.put(configTopic, configKey, strconv.Itoa(4+n))
			st.put(endpointTopic, "a", []string{"leaving", "up"}[n%2])
			time.Sleep(100 * time.Millisecond)
			if got, want := version(s), int64(4+n); got != want {
				t.Fatalf("version after 100 ms: got %d, want %d", got, want)
			}
			if age := time.Since(s.View().Confirmed); age > revokeDeadline {
				t.Fatalf("the confirmation is %v old, want at most %v", age, revokeDeadline)
			}
		}
		st.put(endpointTopic, "b", "leaving")
		time.Sleep(drainDeadline - 500*time.Millisecond)
		if e, ok := s.Table().Get("b"); !ok || !e.Leaving {
			t.Errorf("b is not known to leave within %v", drainDeadline)
		}
	})
}

func TestVersionNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		start(t, s)
		for _, v := range []string{"5", "3", "x", "7", "6"} {
			st.put(configTopic, configKey, v)
			st.put(configTopic, "other", "99")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if got, want := version(s), int64(7); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

func TestCompactionLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		start(t, s)
		time.Sleep(time.Second)
		st.set(func() { st.down = true })
		time.Sleep(2 * time.Second)
		st.put(configTopic, configKey, "2")
		st.put(endpointTopic, "a", "leaving")
		st.put(endpointTopic, "b", "up")
		st.set(func() {
			st.down = false
			st.first[configTopic], st.first[endpointTopic] = 2, 3
		})
		time.Sleep(2 * time.Second)
		if got, want := version(s), int64(2); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
		if e, _ := s.Table().Get("a"); !e.Leaving {
			t.Errorf("a left during the outage, but is not known to be leaving")
		}
	})
}

// An endpoint that the store dropped during its own outage is kept for two seconds
// after its return, and removed if it is still missing then.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		st.put(endpointTopic, "b", "up")
		start(t, s)
		time.Sleep(time.Second)
		st.set(func() { st.down = true })
		time.Sleep(4 * time.Second)
		st.put(endpointTopic, "a", "")
		st.put(endpointTopic, "b", "")
		st.set(func() { st.down = false })
		time.Sleep(time.Second)
		if got, want := s.Table().Len(), 2; got != want {
			t.Errorf("a second after the return: got %d endpoints, want %d", got, want)
		}
		st.put(endpointTopic, "a", "up")
		time.Sleep(4 * time.Second)
		_, a := s.Table().Get("a")
		_, b := s.Table().Get("b")
		if !a || b {
			t.Errorf("five seconds after the return: got a known %v, b known %v, want true, false", a, b)
		}
	})
}

// The store doesn't answer one node while keys are revoked. The node must learn of
// changes from another one.
func TestNodeWithoutStoreLearnsFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good, bad := newStore(), newStore()
		peers := map[string]*Syncer{}
		other := newSyncer(good, nil)
		peers["other"] = other
		s := newSyncer(bad, peers)
		for _, st := range []*store{good, bad} {
			st.put(configTopic, configKey, "1")
			st.put(endpointTopic, "a", "up")
		}
		start(t, other)
		start(t, s)
		time.Sleep(time.Second)
		bad.set(func() { bad.unresponsive = true })
		oldest := time.Duration(0)
		for n := range 100 {
			if n == 30 {
				good.put(configTopic, configKey, "2")
				good.put(endpointTopic, "a", "leaving")
			}
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, time.Since(s.View().Confirmed))
		}
		if got, want := oldest, revokeDeadline; got > want {
			t.Errorf("oldest confirmation: got %v, want at most %v", got, want)
		}
		if got, want := version(s), int64(2); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
		if e, _ := s.Table().Get("a"); !e.Leaving {
			t.Errorf("a is not known to be leaving")
		}
	})
}

// Nodes that can't read the store must not confirm each other's configuration.
func TestNoConfirmationWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		peers := map[string]*Syncer{}
		var all []*Syncer
		for n := range 3 {
			s := newSyncer(st, peers)
			peers[fmt.Sprint(n)] = s
			all = append(all, s)
		}
		st.put(configTopic, configKey, "1")
		for _, s := range all {
			start(t, s)
		}
		time.Sleep(time.Second)
		st.set(func() { st.down = true })
		began := time.Now()
		time.Sleep(10 * time.Second)
		for n, s := range all {
			if s.View().Confirmed.After(began) {
				t.Errorf("node %d: confirmed %v after the store became unreachable", n, s.View().Confirmed.Sub(began))
			}
		}
	})
}

// An endpoint says itself that it leaves. That stands although the store lists it as up,
// until it starts again, and reaches the nodes that query this one.
func TestEndpointThatSaysItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		peers := map[string]*Syncer{}
		reader := newSyncer(st, nil)
		peers["reader"] = reader
		other := newSyncer(st, peers)
		other.cfg.IsReader = func() bool { return false }
		other.cfg.Readers = func() []string { return []string{"reader"} }
		start(t, reader)
		start(t, other)
		time.Sleep(3 * time.Second)
		if reader.MarkLeaving("a", 1) || reader.MarkLeaving("b", 0) {
			t.Error("another start, or an endpoint that isn't known, was marked")
		}
		if !reader.MarkLeaving("a", 0) || reader.MarkLeaving("a", 0) {
			t.Error("the endpoint was not marked, or twice")
		}
		st.put(endpointTopic, "a", "up")
		time.Sleep(3 * time.Second)
		for name, s := range map[string]*Syncer{"reader": reader, "other": other} {
			if e, ok := s.Table().Get("a"); !ok || !e.Leaving {
				t.Errorf("%s: got %+v, %v, want an endpoint that leaves", name, e, ok)
			}
		}
	})
}

// The store comes back from a copy of some seconds ago. The configuration doesn't revert,
// an endpoint that was removed since is not used again before it registers, one that the
// copy lacks is kept until it does, and records that fill the lost offsets are not missed.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "gone", "up")
		st.put(endpointTopic, "back", "up")
		st.put(endpointTopic, "stays", "up")
		s := newSyncer(st, nil)
		start(t, s)
		time.Sleep(time.Second)
		st.put(configTopic, configKey, "2")
		st.put(endpointTopic, "gone", "")
		st.put(endpointTopic, "back", "")
		st.put(endpointTopic, "new", "up")
		time.Sleep(2 * time.Second)
		st.restore(endpointTopic, 3)
		st.restore(configTopic, 1)
		st.put(endpointTopic, "other", "up") // has the offset of a record that was read before
		time.Sleep(time.Second)
		if got, want := s.View().Configuration.Version(), int64(2); got != want {
			t.Errorf("configuration: got %d, want %d", got, want)
		}
		want := map[string]bool{"gone": false, "back": false, "stays": true, "new": true, "other": true}
		for id, listed := range want {
			if _, ok := s.Table().Get(id); ok != listed {
				t.Errorf("a second after the return, endpoint %s: got %v, want %v", id, ok, listed)
			}
		}
		st.put(endpointTopic, "back", "up")
		st.put(endpointTopic, "new", "up")
		st.put(configTopic, configKey, "2")
		st.put(configTopic, configKey, "3")
		time.Sleep(5 * time.Second)
		want["back"] = true
		for id, listed := range want {
			if _, ok := s.Table().Get(id); ok != listed {
				t.Errorf("after all have registered again, endpoint %s: got %v, want %v", id, ok, listed)
			}
		}
		if got, want := s.View().Configuration.Version(), int64(3); got != want {
			t.Errorf("configuration: got %d, want %d", got, want)
		}
	})
}

// A reader that starts after the store came back knows of no earlier era; the other nodes
// know the configuration that the copy lacks.
func TestStartingReaderAsksOthersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		peers := map[string]*Syncer{}
		old := newSyncer(st, nil)
		start(t, old)
		st.put(configTopic, configKey, "2")
		time.Sleep(2 * time.Second)
		st.restore(configTopic, 1)
		peers["old"] = old
		fresh := newSyncer(st, peers)
		start(t, fresh)
		time.Sleep(time.Second)
		if got, want := fresh.View().Configuration.Version(), int64(2); got != want {
			t.Errorf("configuration: got %d, want %d", got, want)
		}
	})
}

// Nodes must back off from a store that is unreachable.
func TestBackoffDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		s := newSyncer(st, nil)
		st.put(configTopic, configKey, "1")
		start(t, s)
		time.Sleep(time.Second)
		st.set(func() { st.down, st.calls = true, 0 })
		time.Sleep(10 * time.Second)
		st.mu.Lock()
		defer st.mu.Unlock()
		if got, want := st.calls, 60; got > want {
			t.Errorf("calls in ten seconds of an outage: got %d, want at most %d", got, want)
		}
	})
}
