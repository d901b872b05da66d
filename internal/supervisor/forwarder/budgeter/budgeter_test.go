package budgeter

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// cluster is a set of nodes that exchange what they have spent after each interval.
type cluster struct {
	now      time.Time
	nodes    []*Budgeter
	reported []Usage
}

func newCluster(n int, ratio, slack float64) *cluster {
	c := &cluster{now: time.Unix(1000, 0), reported: make([]Usage, n)}
	for i := range n {
		c.nodes = append(c.nodes, c.start(i, n, ratio, slack))
	}
	c.now = c.now.Add(window)
	return c
}

// window is the window of the tests' budgets.
const window = 10 * time.Second

// start returns a node that starts now.
func (c *cluster) start(i, n int, ratio, slack float64) *Budgeter {
	return New(Config{
		Limits: func() (float64, float64) { return ratio, slack },
		Window: window,
		Nodes:  func() int { return n },
		Others: func(string) (Usage, int) {
			var sum Usage
			for j, s := range c.reported {
				if j != i {
					sum.Requests += s.Requests
					sum.Retries += s.Retries
				}
			}
			return sum, n - 1
		},
		Now: func() time.Time { return c.now },
	})
}

// exchange reports to all nodes what each has spent.
func (c *cluster) exchange() {
	for i, b := range c.nodes {
		c.reported[i] = b.Usage()["s"]
	}
}

// After a crash of one engine, all nodes move their streams at once. Together they
// must stay within the budget.
func TestNodesTogetherNeverOverspend(t *testing.T) {
	c := newCluster(7, 0.2, 198)
	for range 20 {
		for _, b := range c.nodes {
			for b.TakeRetry("s", true) {
			}
		}
		c.exchange()
		c.now = c.now.Add(renewInterval)
		total := 0
		for _, s := range c.reported {
			total += s.Retries
		}
		if got, want := total, 198; got > want {
			t.Fatalf("retries in a window: got %d, want at most %d", got, want)
		}
	}
}

// A crash in one data centre affects only two of seven nodes, which need more than
// their equal part. A node must get what the others leave.
func TestNodeGetsWhatOthersLeave(t *testing.T) {
	c := newCluster(7, 0.2, 198)
	granted := 0
	for range 6 {
		for c.nodes[0].TakeRetry("s", true) {
			granted++
		}
		c.exchange()
		c.now = c.now.Add(renewInterval)
	}
	if got, want := granted, 198/7*2; got < want {
		t.Errorf("retries granted to one node in 3 s: got %d, want at least %d, twice its equal part", got, want)
	}
}

func TestSilentNodesKeepTheirShare(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Config{
		Limits: func() (float64, float64) { return 0, 70 },
		Window: 10 * time.Second, Nodes: func() int { return 7 },
		Others: func(string) (Usage, int) { return Usage{}, 0 },
		Now:    func() time.Time { return now },
	})
	now = now.Add(window)
	granted := 0
	for range 40 {
		for b.TakeRetry("s", true) {
			granted++
		}
		now = now.Add(renewInterval / 2)
	}
	if got, want := granted, 20; got > want {
		t.Errorf("retries in two windows without reports of other nodes: got %d, want at most %d", got, want)
	}
}

// Each of many nodes has reports of a few others only, and an overload makes all of
// them retry. Together they must stay within the budget.
func TestNodesThatKnowFewOthersNeverOverspend(t *testing.T) {
	const nodes, known = 71, 8
	now := time.Unix(1000, 0)
	spent := make([]Usage, nodes)
	all := make([]*Budgeter, nodes)
	for i := range nodes {
		all[i] = New(Config{
			Limits: func() (float64, float64) { return 0.2, 326 }, Window: 10 * time.Second,
			Nodes: func() int { return nodes },
			Others: func(string) (Usage, int) {
				var sum Usage
				for d := 1; d <= known; d++ {
					s := spent[(i+d*(i%5+1))%nodes]
					sum.Requests += s.Requests
					sum.Retries += s.Retries
				}
				return sum, known
			},
			Now: func() time.Time { return now },
		})
	}
	now = now.Add(window)
	for range 16 {
		total := Usage{}
		for i, b := range all {
			for range 2 {
				b.Request("s")
			}
			for b.TakeRetry("s", true) {
			}
			spent[i] = b.Usage()["s"]
			total.Requests += spent[i].Requests
			total.Retries += spent[i].Retries
		}
		if got, want := float64(total.Retries), 0.2*float64(total.Requests)+326; got > want {
			t.Fatalf("retries for %d requests: got %v, want at most %v", total.Requests, got, want)
		}
		now = now.Add(renewInterval)
	}
}

// All nodes lose power and start again within the window, without knowing what they
// have spent in it.
func TestRestartedNodesDoNotSpendAgain(t *testing.T) {
	c := newCluster(7, 0.2, 198)
	total := 0
	for _, b := range c.nodes {
		for b.TakeRetry("s", true) {
			total++
		}
	}
	c.now = c.now.Add(time.Second)
	c.reported = make([]Usage, 7)
	for i := range c.nodes {
		c.nodes[i] = c.start(i, 7, 0.2, 198)
	}
	for range 5 {
		for _, b := range c.nodes {
			for b.TakeRetry("s", true) {
				total++
			}
		}
		c.exchange()
		c.now = c.now.Add(renewInterval)
	}
	if got, want := total, 198; got > want {
		t.Errorf("retries in the window around the restart: got %d, want at most %d", got, want)
	}
}

// Engines without free memory refuse new requests, whose retries would use up the
// budget. Streams in progress that lose an engine meanwhile must still find retries.
func TestRetriesAreReservedForBegunAnswers(t *testing.T) {
	c := newCluster(5, 0.2, 100)
	fresh, begun := 0, 0
	for range 10 {
		for _, b := range c.nodes {
			for b.TakeRetry("s", false) {
				fresh++
			}
		}
		c.exchange()
		c.now = c.now.Add(renewInterval)
	}
	for _, b := range c.nodes {
		if b.CanRetry("s", false) {
			t.Errorf("a new request: got a retry beyond its part")
		}
		for b.TakeRetry("s", true) {
			begun++
		}
	}
	budget := safetyFactor * 100
	if got, want := float64(fresh), (1-reservedShare)*budget; got > want {
		t.Errorf("retries of new requests: got %v, want at most %v", got, want)
	}
	if got, want := float64(begun), reservedShare*budget-float64(len(c.nodes)); got < want {
		t.Errorf("retries of begun answers: got %v, want at least %v, less one a node", got, want)
	}
}

// The functions of the configuration may take locks under which other parts call the
// budgeter; called with its own lock held, any of them can block the node forever.
func TestConfigurationIsCalledWithoutTheLock(t *testing.T) {
	now := time.Unix(1000, 0)
	var b *Budgeter
	var called, held []string
	check := func(function string) {
		called = append(called, function)
		if !b.mu.TryLock() {
			held = append(held, function)
			return
		}
		b.mu.Unlock()
	}
	b = New(Config{
		Limits: func() (float64, float64) { check("Limits"); return 0.2, 10 },
		Window: window,
		Nodes:  func() int { check("Nodes"); return 2 },
		Others: func(string) (Usage, int) { check("Others"); return Usage{}, 1 },
		Now:    func() time.Time { return now },
	})
	b.Request("s")
	b.TakeRetry("s", true)
	now = now.Add(renewInterval)
	b.CanRetry("s", true)
	b.Usage()
	if got, want := len(called), 6; got != want {
		t.Errorf("called %v, want each function for each of two allowances", called)
	}
	if len(held) > 0 {
		t.Errorf("called with the lock held: %v", held)
	}
}

// Two calls renew an allowance, and one of them goes on only after the other nodes have spent
// the budget and the other call has learnt of that: what it was told before must not count.
func TestRenewalOfAnotherCallIsKept(t *testing.T) {
	const slack = 20
	var clock, others atomic.Int64
	now := func() time.Time { return time.Unix(1000, clock.Load()) }
	asking, goOn := make(chan bool), make(chan bool)
	var asked atomic.Bool
	b := New(Config{
		Limits: func() (float64, float64) { return 0, slack },
		Window: window,
		Nodes:  func() int { return 2 },
		Others: func(string) (Usage, int) {
			spent := Usage{Retries: int(others.Load())}
			if asked.CompareAndSwap(false, true) {
				asking <- true
				<-goOn
			}
			return spent, 1
		},
		Started: now().Add(-window), Now: now,
	})
	late, other := make(chan bool, 1), make(chan bool, 1)
	go func() { late <- b.TakeRetry("s", true) }()
	<-asking
	others.Store(slack)
	clock.Add(int64(renewInterval))
	go func() { other <- b.TakeRetry("s", true) }()
	select {
	case taken := <-other:
		if taken {
			t.Error("a retry was taken although the other nodes have spent the budget")
		}
	case <-time.After(5 * time.Second):
		t.Error("a call waits for another one that asks for the other nodes' retries")
	}
	close(goOn)
	if <-late {
		t.Error("the call that waited took a retry although the other nodes have spent the budget")
	}
}

// Calls at the end of each allowance, from many goroutines, must neither wait forever nor
// spend more than the budget together.
func TestConcurrentCallsKeepToTheBudget(t *testing.T) {
	const slack = 50
	var clock atomic.Int64
	now := func() time.Time { return time.Unix(1000, clock.Load()) }
	b := New(Config{
		Limits:  func() (float64, float64) { return 0, slack },
		Window:  window,
		Nodes:   func() int { return 1 },
		Others:  func(string) (Usage, int) { return Usage{}, 0 },
		Started: now().Add(-window), Now: now,
	})
	var taken atomic.Int64
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			// 8 goroutines times 200 steps of 5 ms are 8 s, less than the window.
			for range 200 {
				clock.Add(int64(5 * time.Millisecond))
				if b.TakeRetry("s", true) {
					taken.Add(1)
				}
				b.CanRetry("s", false)
			}
		})
	}
	calls.Wait()
	if got, want := taken.Load(), int64(safetyFactor*slack); got != want {
		t.Errorf("retries in a window: got %d, want %d", got, want)
	}
}
