package budgeter

import (
	"testing"
	"time"
)

// cluster is some nodes that tell each other what they spent each interval.
type cluster struct {
	now   time.Time
	nodes []*Budgeter
	told  []Spent
}

func newCluster(n int, ratio, slack float64) *cluster {
	c := &cluster{now: time.Unix(1000, 0), told: make([]Spent, n)}
	for i := range n {
		c.nodes = append(c.nodes, New(Config{
			Limits: func() (float64, float64) { return ratio, slack },
			Window: 10 * time.Second,
			Nodes:  func() int { return n },
			Others: func(string) (Spent, int) {
				var sum Spent
				for j, s := range c.told {
					if j != i {
						sum.Requests += s.Requests
						sum.Repeats += s.Repeats
					}
				}
				return sum, n - 1
			},
			Now: func() time.Time { return c.now },
		}))
	}
	return c
}

// tell lets all nodes know what all have spent.
func (c *cluster) tell() {
	for i, b := range c.nodes {
		c.told[i] = b.Spent()["s"]
	}
}

// The pattern: one engine crashes and all nodes move their streams at once.
func TestNodesTogetherNeverOverspend(t *testing.T) {
	c := newCluster(7, 0.2, 198)
	for range 20 {
		for _, b := range c.nodes {
			for b.Repeat("s") {
			}
		}
		c.tell()
		c.now = c.now.Add(interval)
		total := 0
		for _, s := range c.told {
			total += s.Repeats
		}
		if got, want := total, 198; got > want {
			t.Fatalf("repeats in a window: got %d, want at most %d", got, want)
		}
	}
}

// The pattern: a crash in one data centre concerns two of seven nodes, which
// need more than their equal part.
func TestNodeGetsWhatOthersLeave(t *testing.T) {
	c := newCluster(7, 0.2, 198)
	granted := 0
	for range 6 {
		for c.nodes[0].Repeat("s") {
			granted++
		}
		c.tell()
		c.now = c.now.Add(interval)
	}
	if got, want := granted, 198/7*2; got < want {
		t.Errorf("repeats granted to one node in 3 s: got %d, want at least %d, twice its equal part", got, want)
	}
}

func TestSilentNodesKeepTheirPart(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{
		Limits: func() (float64, float64) { return 0, 70 },
		Window: 10 * time.Second, Nodes: func() int { return 7 },
		Others: func(string) (Spent, int) { return Spent{}, 0 },
		Now:    func() time.Time { return now },
	})
	granted := 0
	for range 40 {
		for b.Repeat("s") {
			granted++
		}
		now = now.Add(interval / 2)
	}
	if got, want := granted, 20; got > want {
		t.Errorf("repeats in two windows beside silent nodes: got %d, want at most %d", got, want)
	}
}
