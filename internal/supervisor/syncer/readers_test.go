package syncer

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// maxConfirmationAge leaves half of the time within which a revoked key must stop
// working for requests that are served while the store is unreachable.
const maxConfirmationAge = 2500 * time.Millisecond

// Only one of many nodes in a data centre reads the store. The others query it and
// must learn of changes in time, while the store gets the calls of one node only.
func TestReadersInformOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, dead := newStore(), newStore()
		dead.set(func() { dead.unresponsive = true })
		peers := map[string]*Syncer{}
		reader := newSyncer(st, nil)
		peers["reader"] = reader
		var others []*Syncer
		for range 5 {
			s := newSyncer(st, peers)
			s.cfg.IsReader = func() bool { return false }
			s.cfg.Readers = func() []string { return []string{"reader"} }
			others = append(others, s)
		}
		st.put(configTopic, configKey, "1")
		for n := range 40 {
			st.put(endpointTopic, fmt.Sprint("e", n), "up")
		}
		start(t, reader)
		time.Sleep(time.Second)
		for _, s := range others {
			start(t, s)
		}
		time.Sleep(3 * time.Second)
		st.set(func() { st.calls = 0 })
		time.Sleep(10 * time.Second)
		st.mu.Lock()
		calls := st.calls
		st.mu.Unlock()
		one := int(10*time.Second/configurationWait + 10*time.Second/pollInterval + 10*time.Second/quarantineWait)
		if got, want := calls, one+2; got > want {
			t.Errorf("calls to the store in 10 s: got %d, want at most %d, those of one node", got, want)
		}
		for n := range 20 {
			st.put(configTopic, configKey, strconv.Itoa(2+n))
			st.put(endpointTopic, fmt.Sprint("e", n), "leaving")
			st.put(endpointTopic, fmt.Sprint("e", 39-n), "")
			time.Sleep(drainDeadline - 500*time.Millisecond)
			for i, s := range others {
				if got, want := version(s), int64(2+n); got != want {
					t.Fatalf("node %d: version %d, want %d", i, got, want)
				}
				if e, ok := s.Table().Get(fmt.Sprint("e", n)); ok && !e.Leaving {
					t.Fatalf("node %d: e%d is not known to be leaving", i, n)
				}
				if _, ok := s.Table().Get(fmt.Sprint("e", 39-n)); ok {
					t.Fatalf("node %d: e%d is still known, want it removed", i, 39-n)
				}
				// When the store becomes unreachable, requests with a key are served
				// until the confirmation is too old, so that each second of its age
				// counts.
				if age := time.Since(s.View().Confirmed); age > maxConfirmationAge {
					t.Fatalf("node %d: the confirmation is %v old, want at most %v", i, age, maxConfirmationAge)
				}
			}
		}
	})
}

// The store is unreachable for all of many nodes. The reader keeps calling it; the
// others call it rarely and learn from the reader that it answers again.
func TestFewStoreCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 24
		st := newStore()
		peers := map[string]*Syncer{}
		st.put(configTopic, configKey, "1")
		for n := range 100 {
			st.put(endpointTopic, fmt.Sprint("e", n), "up")
		}
		var bytes, answers atomic.Int64
		reader := newSyncer(st, peers)
		peers["reader"] = reader
		others := make([]*Syncer, 0, nodes-1)
		for n := range nodes - 1 {
			s := newSyncer(st, peers)
			s.cfg.IsReader = func() bool { return false }
			s.cfg.Readers = func() []string { return []string{"reader"} }
			send := s.cfg.Query
			s.cfg.Query = func(ctx context.Context, address string, query []byte) ([]byte, error) {
				body, err := send(ctx, address, query)
				bytes.Add(int64(len(body)))
				answers.Add(1)
				return body, err
			}
			peers[fmt.Sprint(n)] = s
			others = append(others, s)
		}
		start(t, reader)
		for _, s := range others {
			start(t, s)
		}
		time.Sleep(3 * time.Second)
		const outage = 12 * time.Second
		st.set(func() { st.down, st.calls = true, 0 })
		bytes.Store(0)
		answers.Store(0)
		time.Sleep(outage)
		st.mu.Lock()
		calls := st.calls
		st.mu.Unlock()
		// For each of the two topics: the reader's calls at half of its max backoff,
		// and one call of each other node in three seconds.
		want := 2 * (int(outage/(maxBackoff/2)) + (nodes-1)*int(outage/(3*time.Second)))
		if got := calls; got > want {
			t.Errorf("calls to the unreachable store: got %d, want at most %d", got, want)
		}
		if got, want := bytes.Load()/max(answers.Load(), 1), int64(200); got > want {
			t.Errorf("answer between nodes with the same data: got %d bytes, want at most %d", got, want)
		}
		st.set(func() { st.down = false })
		st.put(configTopic, configKey, "2")
		st.put(endpointTopic, "e1", "leaving")
		time.Sleep(drainDeadline)
		for i, s := range others {
			if got, want := version(s), int64(2); got != want {
				t.Errorf("node %d, after the store's return: version %d, want %d", i, got, want)
			}
			if e, _ := s.Table().Get("e1"); !e.Leaving {
				t.Errorf("node %d: e1 is not known to be leaving", i)
			}
		}
	})
}

// A node's report goes with each query to the node that reads the store for it, and
// to no other node.
func TestReportsGoToTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		peers := map[string]*Syncer{}
		var mu sync.Mutex
		reports := map[string]int{}
		for _, name := range []string{"reader", "far"} {
			s := newSyncer(st, nil)
			s.cfg.HandleReport = func(from string, report []byte) []byte {
				mu.Lock()
				defer mu.Unlock()
				reports[name+" from "+from+": "+string(report)]++
				return []byte("sum")
			}
			peers[name] = s
			start(t, s)
		}
		s := newSyncer(st, peers)
		s.cfg.Address = "n"
		s.cfg.IsReader = func() bool { return false }
		s.cfg.Readers = func() []string { return []string{"reader", "far"} }
		s.cfg.Report = func() []byte { return []byte("mine") }
		var answer []byte
		s.cfg.HandleAggregate = func(body []byte) {
			mu.Lock()
			defer mu.Unlock()
			answer = body
		}
		start(t, s)
		const d = 6 * time.Second
		time.Sleep(d)
		mu.Lock()
		defer mu.Unlock()
		if got, want := string(answer), "sum"; got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
		if got, want := reports["reader from n: mine"], int(d/queryInterval)-2; got < want {
			t.Errorf("reports: got %d, want at least %d, one a query: %v", got, want, reports)
		}
		if len(reports) != 1 {
			t.Errorf("got reports %v, want those to the reader only", reports)
		}
	})
}

// All nodes restart at the same moment. Each reads every topic of the store once, and
// gets later changes from the other nodes as soon as it knows them.
func TestStartReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.put(configTopic, configKey, "1")
		st.put(endpointTopic, "a", "up")
		s := newSyncer(st, nil)
		s.cfg.Starting = func() bool { return true }
		start(t, s)
		time.Sleep(time.Second)
		if !s.Ready() {
			t.Errorf("node is not ready after a second")
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		if got, want := st.calls, 3; got != want {
			t.Errorf("calls to the store: got %d, want %d, one a topic", got, want)
		}
	})
}

// If a reader gets no answers from the store, the nodes that query it read the store
// themselves.
func TestNodesReadStoreWhenReaderIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, cut := newStore(), newStore()
		peers := map[string]*Syncer{}
		reader := newSyncer(cut, nil)
		peers["reader"] = reader
		s := newSyncer(st, peers)
		s.cfg.IsReader = func() bool { return false }
		s.cfg.Readers = func() []string { return []string{"reader"} }
		for _, each := range []*store{st, cut} {
			each.put(configTopic, configKey, "1")
			each.put(endpointTopic, "a", "up")
		}
		start(t, reader)
		start(t, s)
		time.Sleep(2 * time.Second)
		cut.set(func() { cut.unresponsive = true })
		oldest := time.Duration(0)
		for n := range 100 {
			if n == 20 {
				st.put(endpointTopic, "a", "leaving")
			}
			time.Sleep(100 * time.Millisecond)
			oldest = max(oldest, time.Since(s.View().Confirmed))
		}
		if got, want := oldest, revokeDeadline; got > want {
			t.Errorf("oldest confirmation: got %v, want at most %v", got, want)
		}
		if e, _ := s.Table().Get("a"); !e.Leaving {
			t.Errorf("a is not known to be leaving")
		}
	})
}

// Guards against a failure seen with 300 nodes and 3,000 endpoints: nodes that got
// nothing new from their reader queried the reader of another data centre, and
// received its full table over the links between data centres, where traffic is
// expensive.
func TestOtherReadersSendNoFullTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			nodes, endpoints = 20, 1000
			calm             = 20 * time.Second
			// maxBytes is a quarter of the 4 KB/s of control traffic that a node may
			// send.
			maxBytes = 1000
		)
		st := newStore()
		st.delay = 60 * time.Millisecond
		peers := map[string]*Syncer{}
		st.put(configTopic, configKey, "1")
		for n := range endpoints {
			st.put(endpointTopic, fmt.Sprint("e", n), "up")
		}
		readers := []string{"reader", "far"}
		for _, name := range readers {
			peers[name] = newSyncer(st, peers)
		}
		var bytes, far atomic.Int64
		others := make([]*Syncer, nodes)
		for n := range others {
			s := newSyncer(st, peers)
			began := time.Now()
			s.cfg.Starting = func() bool { return time.Since(began) < time.Second }
			s.cfg.IsReader = func() bool { return false }
			s.cfg.Readers = func() []string { return []string{"reader", "far"} }
			others[n] = s
			send := s.cfg.Query
			s.cfg.Query = func(ctx context.Context, address string, query []byte) ([]byte, error) {
				body, err := send(ctx, address, query)
				bytes.Add(int64(len(body)))
				if address == "far" {
					far.Add(int64(len(body)))
				}
				return body, err
			}
		}
		for n, s := range others {
			peers[fmt.Sprint(n)] = s
		}
		for _, name := range readers {
			start(t, peers[name])
			time.Sleep(pollInterval / 3)
		}
		for n, s := range others {
			start(t, s)
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		bytes.Store(0)
		far.Store(0)
		time.Sleep(calm)
		each := bytes.Load() / nodes / int64(calm/time.Second)
		t.Logf("answers to a node: %d bytes a second, %d of them from the other reader",
			each, far.Load()/nodes/int64(calm/time.Second))
		if each > maxBytes {
			t.Errorf("answers to a node: got %d bytes a second, want at most %d", each, maxBytes)
		}
	})
}

// A reader that has dropped an entry is replaced by one that kept it. The entry has
// not changed in the new reader's table, but must be sent nevertheless.
func TestNewReaderSendsFullTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lacks, keeps := newStore(), newStore()
		for _, each := range []*store{lacks, keeps} {
			each.put(configTopic, configKey, "1")
			each.put(endpointTopic, "a", "up")
		}
		keeps.put(endpointTopic, "b", "up")
		peers := map[string]*Syncer{}
		peers["lacks"], peers["keeps"] = newSyncer(lacks, peers), newSyncer(keeps, peers)
		start(t, peers["lacks"])
		start(t, peers["keeps"])
		s := newSyncer(keeps, peers)
		var mu sync.Mutex
		reader := "keeps"
		s.cfg.IsReader = func() bool { return false }
		s.cfg.Readers = func() []string {
			mu.Lock()
			defer mu.Unlock()
			return []string{reader}
		}
		start(t, s)
		for _, step := range []struct {
			reader string
			want   bool
		}{{"keeps", true}, {"lacks", false}, {"keeps", true}} {
			mu.Lock()
			reader = step.reader
			mu.Unlock()
			time.Sleep(3 * time.Second)
			if _, got := s.Table().Get("b"); got != step.want {
				t.Errorf("reader %s: got the entry %v, want %v", step.reader, got, step.want)
			}
		}
	})
}
