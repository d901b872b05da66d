package quarantiner

import (
	"context"
	"fmt"
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
		IsWriter: func(string) bool { return true },
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
	for sent := true; sent; {
		sent = false
		for from, node := range n.nodes {
			for to, peer := range n.nodes {
				if body := node.flush(linker.Link{ID: fmt.Sprint(to)}); body != nil {
					sent = true
					peer.receive(linker.Link{ID: fmt.Sprint(from)}, body)
				}
			}
		}
	}
}

// heldAt returns the nodes at which a part is in quarantine.
func (n *network) heldAt(p Part) (nodes []int) {
	for i, node := range n.nodes {
		if _, _, ok := node.Held([]Part{p}); ok {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// Engines crash under requests at different nodes; one crash each is no proof. Only the
// node in the middle knows that answers were written with the other part.
func TestNodesJudgeTogether(t *testing.T) {
	n := newNetwork(9)
	n.nodes[4].RecordSound([]Part{shared})
	n.clock.now = at(10)
	n.nodes[0].RecordCrash("e1", []Part{fatal, shared}, true)
	n.exchange()
	n.clock.now = at(300)
	n.nodes[8].RecordCrash("e2", []Part{fatal, shared}, true)
	n.exchange()
	if got, want := len(n.heldAt(fatal)), 9; got != want {
		t.Errorf("nodes at which the fatal part is in quarantine: got %d, want %d", got, want)
	}
	if got := n.heldAt(shared); len(got) > 0 {
		t.Errorf("the sound part is in quarantine at nodes %v", got)
	}
}

// A node that starts later learns of the quarantine over its first link.
func TestLaterNodeLearnsOfQuarantine(t *testing.T) {
	n := newNetwork(2)
	n.nodes[0].RecordCrash("e1", []Part{fatal}, true)
	n.clock.now = at(300)
	n.nodes[0].RecordCrash("e2", []Part{fatal}, true)
	n.nodes = append(n.nodes, newTest(n.clock))
	n.connect(1, 2)
	n.exchange()
	if got, want := len(n.heldAt(fatal)), 3; got != want {
		t.Errorf("nodes at which the part is in quarantine: got %d, want %d", got, want)
	}
}

// The verdict is revised when it turns out that the part was sound.
func TestRefutedPartIsReleased(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	q.RecordCrash("e1", []Part{fatal}, true)
	c.now = at(300)
	q.RecordCrash("e2", []Part{fatal}, true)
	if _, _, ok := q.Held([]Part{fatal}); !ok {
		t.Fatal("the part is not in quarantine")
	}
	c.now = at(400)
	q.RecordSound([]Part{fatal}) // a request that was sent before
	if _, _, ok := q.Held([]Part{fatal}); ok {
		t.Error("a part with which an answer was written since is still in quarantine")
	}
}

// A quarantine outlasts its evidence, ends, and is renewed by one more crash for longer.
func TestQuarantineEndsAndIsRenewed(t *testing.T) {
	c := &clock{now: start}
	q := newTest(c)
	q.RecordCrash("e1", []Part{fatal}, true)
	c.now = at(300)
	q.RecordCrash("e2", []Part{fatal}, true)
	for _, after := range []time.Duration{evidenceTTL - 100*time.Millisecond, evidenceTTL + time.Second} {
		c.now = at(300).Add(after)
		q.RecordCrash("e3", []Part{other}, true)
		if _, _, ok := q.Held([]Part{fatal}); !ok {
			t.Errorf("the part is not in quarantine any more after %v", after)
		}
	}
	c.now = at(300).Add(holdTime)
	if _, _, ok := q.Held([]Part{fatal}); ok {
		t.Errorf("the part is still in quarantine after %v", holdTime)
	}
	q.RecordCrash("e4", []Part{fatal}, true)
	q.RecordCrash("e5", []Part{other}, true)
	if _, remaining, ok := q.Held([]Part{fatal}); !ok || remaining != 2*holdTime {
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
	q.RecordCrash("e1", []Part{fatal}, true)
	c.now = at(300)
	q.RecordCrash("e2", []Part{fatal}, true)
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
	if _, remaining, ok := later.Held([]Part{fatal}); !ok || remaining > holdTime || remaining < holdTime-5*time.Second {
		t.Errorf("at a node that has read the store: got %v, %v, want true, about %v", ok, remaining, holdTime)
	}
	if got, want := held, 1; got != want {
		t.Errorf("calls of OnHold: got %d, want %d", got, want)
	}
}

// Whatever a peer sends, no time it tells is taken beyond its limits, and nothing panics.
func FuzzReceive(f *testing.F) {
	n := newNetwork(2)
	n.nodes[0].RecordCrash("e1", []Part{fatal, shared}, true)
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
				node.RecordSound([]Part{p})
			} else {
				node.RecordCrash(fmt.Sprint("e", step), []Part{p}, true)
			}
			if rapid.Bool().Draw(t, "exchange") {
				n.exchange()
			}
		}
		n.clock.now = at(10000)
		n.nodes[0].RecordSound([]Part{1})
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
