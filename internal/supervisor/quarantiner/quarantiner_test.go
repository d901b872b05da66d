package quarantiner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"banyanquay/internal/counter"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

// clock is the time of the tests.
type clock struct{ now time.Time }

// newTest returns a Quarantiner without other nodes.
func newTest(c *clock) *Quarantiner {
	return New(Config{
		Now: func() time.Time { return c.now }, Recorder: recorder.Nop(), Counters: counter.New(),
		IsWriter: func(string) bool { return true }, Nodes: func() int { return 1 },
	})
}

// network connects nodes in a line, so that news have to be relayed.
type network struct {
	clock *clock
	nodes []*Quarantiner
}

func newNetwork(size int) *network {
	n := &network{clock: &clock{now: start}}
	for range size {
		n.nodes = append(n.nodes, newTest(n.clock))
	}
	for i := range size - 1 {
		n.connect(i, i+1)
	}
	return n
}

// connect brings up a link between two nodes. Links are named after the peer.
func (n *network) connect(a, b int) {
	n.nodes[a].linkUp(linker.Link{ID: fmt.Sprint(b)})
	n.nodes[b].linkUp(linker.Link{ID: fmt.Sprint(a)})
}

// exchange delivers messages until there are none.
func (n *network) exchange() {
	for n.round() {
	}
}

// round delivers what is queued, and reports whether there was anything.
func (n *network) round() (sent bool) {
	for from, node := range n.nodes {
		for to, peer := range n.nodes {
			if body := node.flush(linker.Link{ID: fmt.Sprint(to)}); body != nil {
				sent = true
				peer.receive(linker.Link{ID: fmt.Sprint(from)}, body)
			}
		}
	}
	return sent
}

// heldAt returns the nodes at which a part is in quarantine.
func (n *network) heldAt(p Part) (nodes []int) {
	for i, node := range n.nodes {
		if _, _, ok := node.Held(Request{Parts: []Part{p}}); ok {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// Engines crash under requests at different nodes; one crash each is no proof. Only the
// node in the middle knows that answers were written with the other part.
func TestNodesDecideTogether(t *testing.T) {
	n := newNetwork(9)
	n.nodes[4].RecordSound(Request{Parts: []Part{shared}})
	n.clock.now = at(10)
	n.nodes[0].RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal, shared}}, Answering: true})
	n.exchange()
	n.clock.now = at(300)
	n.nodes[8].RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{fatal, shared}}, Answering: true})
	n.exchange()
	if got, want := len(n.heldAt(fatal)), 9; got != want {
		t.Errorf("nodes at which the fatal part is in quarantine: got %d, want %d", got, want)
	}
	if got := n.heldAt(shared); len(got) > 0 {
		t.Errorf("the sound part is in quarantine at nodes %v", got)
	}
}

// A request crashes endpoints of a plain service at nodes that are not linked; an answer to
// an equal one, written while both are in progress, refutes that.
func TestNodesFindARepeatedRequest(t *testing.T) {
	n := newNetwork(9)
	r := Request{Fingerprint: 7}
	n.nodes[0].RecordCrash(Crash{Endpoint: "e1", Request: r, Sent: at(-50), Answering: true})
	n.exchange()
	n.clock.now = at(80)
	n.nodes[8].RecordCrash(Crash{Endpoint: "e2", Request: r, Sent: at(10), Answering: true})
	n.exchange()
	if got, want := len(n.heldAt(7)), 9; got != want {
		t.Errorf("nodes that refuse the request: got %d, want %d", got, want)
	}
	n.clock.now = at(100)
	n.nodes[4].RecordSound(r)
	n.exchange()
	if got := n.heldAt(7); len(got) > 0 {
		t.Errorf("after an answer the request is still refused at nodes %v", got)
	}
}

// Guards against a request with sound parts that crashes one engine at each node before its
// answer begins: nodes kept that to themselves.
func TestNodesTellOfRequestsWithSoundParts(t *testing.T) {
	n := newNetwork(3)
	r := Request{Fingerprint: 7, Parts: []Part{shared}}
	for i, node := range n.nodes {
		node.RecordSound(Request{Parts: []Part{shared}})
		n.clock.now = at(i*1000 + 10)
		node.RecordCrash(Crash{Endpoint: fmt.Sprint("e", i), Request: r, Sent: at(i * 1000)})
		n.exchange()
	}
	if got, want := len(n.heldAt(7)), 3; got != want {
		t.Errorf("nodes that refuse the request: got %d, want %d", got, want)
	}
}

// Guards against sound requests that are refused since they have the path and the body of
// others: what differs, a fatal part of the prompt, is in neither.
func TestRequestsThatShareAFingerprint(t *testing.T) {
	n := newNetwork(3)
	sound, harmful := Request{Fingerprint: 7, Parts: []Part{shared}}, Request{Fingerprint: 7, Parts: []Part{shared, fatal}}
	n.nodes[1].RecordSound(sound)
	n.clock.now = at(1000)
	n.nodes[0].RecordCrash(Crash{Endpoint: "e1", Request: harmful, Sent: at(900), Answering: true})
	n.exchange()
	n.clock.now = at(1200)
	n.nodes[2].RecordCrash(Crash{Endpoint: "e2", Request: harmful, Sent: at(1100), Answering: true})
	n.exchange()
	for i, node := range n.nodes {
		if _, _, held := node.Held(sound); held {
			t.Errorf("node %d refuses sound requests", i)
		}
		if _, _, held := node.Held(harmful); !held {
			t.Errorf("node %d doesn't refuse requests with the fatal part", i)
		}
	}
}

// A request that was answered before and crashes endpoints since takes one crash more.
func TestRequestThatWasSoundBefore(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	r := Request{Fingerprint: 7}
	q.RecordSound(r)
	for crash, want := range []bool{false, false, true} {
		c.now = at(1000 * (crash + 1))
		q.RecordCrash(Crash{Endpoint: fmt.Sprint("e", crash), Request: r, Sent: at(1000*crash + 900), Answering: true})
		if _, _, held := q.Held(r); held != want {
			t.Errorf("in quarantine after %d crashes: got %v, want %v", crash+1, held, want)
		}
	}
}

// Nearly each request has another fingerprint: those that were answered are kept for a
// while only, and take no room of the parts that are known to be sound.
func TestAnsweredFingerprintsAreBounded(t *testing.T) {
	q := newTest(&clock{now: start})
	for n := range 5 * maxAnswered {
		q.RecordSound(Request{Fingerprint: Fingerprint(n + 1)})
	}
	if got := len(q.sound); got > 0 {
		t.Errorf("fingerprints among the sound parts: got %d, want none", got)
	}
	if got, limit := len(q.answered.recent)+len(q.answered.older), 2*maxAnswered; got > limit {
		t.Errorf("fingerprints that are kept: got %d, want at most %d", got, limit)
	}
	if _, ok := q.answered.at(Part(5 * maxAnswered)); !ok {
		t.Error("the last one is not kept")
	}
}

// In a fleet of 195 nodes, each linked with eight, crashes seen at any two nodes reach all
// within a few hops, and a crash of many engines at once makes little traffic.
func TestLargeFleetDecidesTogether(t *testing.T) {
	const size, links, maxHops = 195, 4, 6
	n := newNetwork(size)
	rng := rand.New(rand.NewPCG(1, 1))
	peers := make(map[[2]int]bool)
	for a := range size {
		n.nodes[a].cfg.Nodes = func() int { return size }
		for range links {
			if b := rng.IntN(size); a != b {
				peers[[2]int{min(a, b), max(a, b)}] = true
			}
		}
	}
	for link := range peers {
		n.connect(link[0], link[1])
	}
	bytes := 0
	// hop delivers what each node has queued, once.
	hop := func() (sent bool) {
		type delivery struct {
			from, to int
			body     []byte
		}
		var all []delivery
		for link := range peers {
			for _, d := range []delivery{{from: link[0], to: link[1]}, {from: link[1], to: link[0]}} {
				if d.body = n.nodes[d.from].flush(linker.Link{ID: fmt.Sprint(d.to)}); d.body != nil {
					bytes += len(d.body)
					all = append(all, d)
				}
			}
		}
		for _, d := range all {
			n.nodes[d.to].receive(linker.Link{ID: fmt.Sprint(d.from)}, d.body)
		}
		return len(all) > 0
	}
	n.nodes[3].RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{shared, fatal}}, Answering: true})
	n.clock.now = at(400)
	n.nodes[150].RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{shared, fatal}}, Answering: true})
	hops := 0
	for ; len(n.heldAt(fatal)) < size && hops < 50; hops++ {
		hop()
	}
	if hops > maxHops {
		t.Errorf("hops until all nodes refuse the part: got %d, want at most %d", hops, maxHops)
	}
	for hop() {
	}
	bytes = 0
	n.clock.now = at(5000)
	for node := range size {
		for engine := range 40 {
			n.nodes[node].RecordCrash(Crash{Endpoint: fmt.Sprint("engine-", engine), Request: Request{Parts: []Part{Part(1000 + node*40 + engine)}}, Answering: false})
		}
	}
	for hop() {
	}
	// The slowest link carries 14 Mbit a second; half a second of it is too long a queue.
	if got, want := bytes/size, 14_000_000/8/2/4; got > want {
		t.Errorf("bytes that a node sends when many engines crash at once: got %d, want at most %d", got, want)
	}
	if got := len(n.heldAt(1000)); got > 0 {
		t.Errorf("a part of one request is in quarantine at %d nodes", got)
	}
}

// More crashes than a node keeps must not be relayed forever: what a node drops it would
// take for new when it comes back.
func TestMoreCrashesThanFitAreNotRelayedForever(t *testing.T) {
	n := newNetwork(4)
	n.connect(3, 0)
	for node := range n.nodes {
		for i := range maxEvidence {
			answering := i%4 == 0
			e := evidence{engine: fmt.Sprint(node, "-", i), at: n.clock.now, answering: answering, parts: []Part{Part(1 + node*maxEvidence + i)}}
			q := n.nodes[node]
			q.mu.Lock()
			if q.add(e) {
				q.tell(q.newsOf(e), "")
			}
			q.mu.Unlock()
		}
	}
	rounds := 0
	for sent := true; sent && rounds < 100; rounds++ {
		sent = n.round()
	}
	if rounds == 100 {
		t.Error("the nodes still relay after 100 rounds")
	}
}

// A node that starts later learns of the quarantine over its first link.
func TestLaterNodeLearnsOfQuarantine(t *testing.T) {
	n := newNetwork(2)
	n.nodes[0].RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal}}, Answering: true})
	n.clock.now = at(300)
	n.nodes[0].RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{fatal}}, Answering: true})
	n.nodes = append(n.nodes, newTest(n.clock))
	n.connect(1, 2)
	n.exchange()
	if got, want := len(n.heldAt(fatal)), 3; got != want {
		t.Errorf("nodes at which the part is in quarantine: got %d, want %d", got, want)
	}
}

// The decision is revised when it turns out that the part was sound.
func TestRefutedPartIsReleased(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	q.RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal}}, Answering: true})
	c.now = at(300)
	q.RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{fatal}}, Answering: true})
	if _, _, ok := q.Held(Request{Parts: []Part{fatal}}); !ok {
		t.Fatal("the part is not in quarantine")
	}
	c.now = at(400)
	q.RecordSound(Request{Parts: []Part{fatal}}) // a request that was sent before
	if _, _, ok := q.Held(Request{Parts: []Part{fatal}}); ok {
		t.Error("a part with which an answer was written since is still in quarantine")
	}
}

// A quarantine outlasts its evidence, ends, and is renewed by one more crash for longer.
func TestQuarantineEndsAndIsRenewed(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	q.RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal}}, Answering: true})
	c.now = at(300)
	q.RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{fatal}}, Answering: true})
	for _, after := range []time.Duration{evidenceTTL - 100*time.Millisecond, evidenceTTL + time.Second} {
		c.now = at(300).Add(after)
		q.RecordCrash(Crash{Endpoint: "e3", Request: Request{Parts: []Part{other}}, Answering: true})
		if _, _, ok := q.Held(Request{Parts: []Part{fatal}}); !ok {
			t.Errorf("the part is not in quarantine any more after %v", after)
		}
	}
	c.now = at(300).Add(holdTime)
	if _, _, ok := q.Held(Request{Parts: []Part{fatal}}); ok {
		t.Errorf("the part is still in quarantine after %v", holdTime)
	}
	q.RecordCrash(Crash{Endpoint: "e4", Request: Request{Parts: []Part{fatal}}, Answering: true})
	q.RecordCrash(Crash{Endpoint: "e5", Request: Request{Parts: []Part{other}}, Answering: true})
	if _, remaining, ok := q.Held(Request{Parts: []Part{fatal}}); !ok || remaining != 2*holdTime {
		t.Errorf("after a further crash: got %v, %v, want true, %v", ok, remaining, 2*holdTime)
	}
}

// All nodes restart: the store keeps what is in quarantine. Records that can't be read
// are skipped.
func TestQuarantineIsStored(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	var records []provider.Item
	fail := true
	q.cfg.Topics = provider.Topics{Append: func(_ context.Context, _, key string, value []byte) (provider.Offset, error) {
		if fail {
			return 0, trace.ConnectionProblem(nil, "down")
		}
		records = append(records, provider.Item{Key: key, Value: value})
		return 0, nil
	}}
	q.RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal}}, Answering: true})
	c.now = at(300)
	q.RecordCrash(Crash{Endpoint: "e2", Request: Request{Parts: []Part{fatal}}, Answering: true})
	q.write(t.Context())
	if got := len(records); got != 0 {
		t.Errorf("records before the others had time to object: got %d, want none", got)
	}
	c.now = at(300).Add(writeDelay)
	q.write(t.Context())
	fail = false
	q.write(t.Context())
	q.write(t.Context())
	if got, want := len(records), 1; got != want {
		t.Fatalf("records: got %d, want %d", got, want)
	}
	era := uint64(1)
	q.cfg.Topics.Era = func() uint64 { return era }
	q.write(t.Context())
	q.write(t.Context())
	if got, want := len(records), 2; got != want {
		t.Errorf("records after the store came back from an older copy: got %d, want %d", got, want)
	}
	later := newTest(c)
	held := 0
	later.cfg.OnHold = func() { held++ }
	later.HandleRecords(append([]provider.Item{{Key: "x", Value: []byte("y")}, {Key: "1", Value: []byte{0xff}}, {Key: "2"}}, records...))
	if _, remaining, ok := later.Held(Request{Parts: []Part{fatal}}); !ok || remaining > holdTime || remaining < holdTime-5*time.Second {
		t.Errorf("at a node that has read the store: got %v, %v, want true, about %v", ok, remaining, holdTime)
	}
	if got, want := held, 1; got != want {
		t.Errorf("calls of OnHold: got %d, want %d", got, want)
	}
}

// Whatever a peer sends, no time it tells is taken beyond its limits, and nothing panics.
func FuzzReceive(f *testing.F) {
	n := newNetwork(2)
	n.nodes[0].RecordCrash(Crash{Endpoint: "e1", Request: Request{Parts: []Part{fatal, shared}}, Answering: true})
	f.Add(n.nodes[0].flush(linker.Link{ID: "1"}))
	f.Fuzz(func(t *testing.T, body []byte) {
		q := newTest(&clock{now: start})
		q.linkUp(linker.Link{ID: "1"})
		q.receive(linker.Link{ID: "1"}, body)
		for p, h := range q.holds {
			if h.until.Sub(start) > maxHoldTime {
				t.Errorf("part %d is held for %v", p, h.until.Sub(start))
			}
		}
		for _, e := range q.evidence {
			if e.at.After(start) || start.Sub(e.at) > evidenceTTL {
				t.Errorf("evidence of %v", e.at.Sub(start))
			}
		}
	})
}

// In whatever order nodes learn of crashes and answers, they agree once all is told, and
// a part with which an answer was written after all crashes is in quarantine nowhere.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(4)
		for step := range rapid.IntRange(1, 15).Draw(t, "steps") {
			n.clock.now = at(step * 150)
			node := n.nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			p := Part(rapid.IntRange(1, 3).Draw(t, "part"))
			if rapid.Bool().Draw(t, "sound") {
				node.RecordSound(Request{Parts: []Part{p}})
			} else {
				node.RecordCrash(Crash{Endpoint: fmt.Sprint("e", step), Request: Request{Parts: []Part{p}}, Answering: true})
			}
			if rapid.Bool().Draw(t, "exchange") {
				n.exchange()
			}
		}
		n.clock.now = at(10000)
		n.nodes[0].RecordSound(Request{Parts: []Part{1}})
		n.exchange()
		for p := Part(1); p <= 3; p++ {
			if got := n.heldAt(p); len(got) != 0 && len(got) != len(n.nodes) {
				t.Errorf("part %d is in quarantine at nodes %v only", p, got)
			}
		}
		if got := n.heldAt(1); len(got) > 0 {
			t.Errorf("a part with which an answer was just written is in quarantine at %v", got)
		}
	})
}
