package broadcaster

import (
	"slices"
	"testing"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/forecaster"
	"banyanquay/internal/supervisor/linker"
)

// node is a broadcaster with the values that it reads and the calls that it made.
type node struct {
	*Broadcaster
	largeFleet    bool
	loads         map[string]int
	paces         map[string]float64
	spent         map[string]budgeter.Usage
	now           time.Time
	suspected     []string
	observedPaces map[string]float64
	leaving       []Leaving
	era           uint64
}

func newNode(name string) *node {
	n := &node{now: time.Unix(1000, 0), observedPaces: map[string]float64{}}
	n.Broadcaster = New(Config{
		Links:      linker.New(linker.Config{Address: name}),
		Loads:      func() map[string]int { return n.loads },
		SmallFleet: func() bool { return !n.largeFleet },
		Spent:      func() map[string]budgeter.Usage { return n.spent },
		Paces:      func() map[string]float64 { return n.paces },
		HandlePace: func(id string, pace float64) { n.observedPaces[id] = pace },
		HandleUnreachable: func(id string) {
			n.suspected = append(n.suspected, id)
		},
		Era: func() uint64 { return n.era }, HandleEra: func(era uint64) { n.era = max(n.era, era) },
		HandleLeaving: func(id string, born int64) bool {
			l := Leaving{ID: id, Born: born}
			known := slices.Contains(n.leaving, l)
			n.leaving = append(n.leaving, l)
			return !known
		},
		Now: func() time.Time { return n.now },
	})
	return n
}

// link links two nodes and returns a function that sends a message from a to b.
func link(a, b *node, id string) func() bool {
	at, bt := linker.Link{ID: id, Address: "b"}, linker.Link{ID: id, Address: "a"}
	a.linkUp(at)
	b.linkUp(bt)
	return func() bool {
		body := a.flush(at)
		if body == nil {
			return false
		}
		b.receive(bt, body)
		return true
	}
}

func TestLoadsAreSummedAndExpire(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	a.loads = map[string]int{"e1": 1000, "e2": 10}
	send := link(a, b, "1")
	link(a, b, "2")() // a second link between the same nodes counts once
	send()
	tokens, nodes := b.PeerLoad("e1")
	if nodes != 1 || tokens < 1000 || tokens >= 1000+tokensPerUnit {
		t.Errorf("got %d tokens of %d nodes, want 1000 rounded up, of 1", tokens, nodes)
	}
	if tokens, _ := b.PeerLoad("e3"); tokens != 0 {
		t.Errorf("got %d tokens at an unused engine, want 0", tokens)
	}
	b.now = b.now.Add(maxStateAge + time.Millisecond)
	if tokens, nodes := b.PeerLoad("e1"); tokens != 0 || nodes != 0 {
		t.Errorf("after %v: got %d tokens of %d nodes, want none", maxStateAge, tokens, nodes)
	}
}

// In a fleet where each node has links with only a few of many, a sample of the
// loads would mislead: none may be sent over links.
func TestLargeFleetSendsNoLoadsOverLinks(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	a.largeFleet, a.loads = true, map[string]int{"e1": 1000}
	a.spent = map[string]budgeter.Usage{"s": {Requests: 3}}
	send := link(a, b, "1")
	send()
	if tokens, nodes := b.PeerLoad("e1"); tokens != 0 || nodes != 0 {
		t.Errorf("got %d tokens of %d nodes, want none", tokens, nodes)
	}
	a.largeFleet = false
	a.now = a.now.Add(sendInterval)
	send()
	if tokens, nodes := b.PeerLoad("e1"); tokens == 0 || nodes != 1 {
		t.Errorf("few nodes: got %d tokens of %d nodes, want those of 1", tokens, nodes)
	}
}

// Many nodes of a data centre each hear from few others. They report their loads to
// the node that reads the store for them, which answers with the sum.
func TestReaderAggregatesLoads(t *testing.T) {
	reader, a, b := newNode("r"), newNode("a"), newNode("b")
	for _, n := range []*node{reader, a, b} {
		n.largeFleet = true
	}
	reader.loads = map[string]int{"e1": 64}
	a.loads, a.spent = map[string]int{"e1": 640, "e2": 128}, map[string]budgeter.Usage{"s": {Requests: 10, Retries: 2}}
	b.loads, b.spent = map[string]int{"e1": 1280}, map[string]budgeter.Usage{"s": {Requests: 5, Retries: 1}}
	ask := func(n *node, name string) { n.HandleAggregate(reader.HandleReport(name, n.Report())) }
	ask(a, "a")
	ask(b, "b")
	ask(a, "a")
	if tokens, nodes := a.PeerLoad("e1"); tokens != 1344 || nodes != 2 {
		t.Errorf("a: got %d tokens of %d nodes at e1, want 1344 of 2", tokens, nodes)
	}
	if tokens, _ := a.PeerLoad("e2"); tokens != 0 {
		t.Errorf("a: got %d tokens of others at e2, where only a has work, want 0", tokens)
	}
	if tokens, nodes := reader.PeerLoad("e1"); tokens != 1920 || nodes != 2 {
		t.Errorf("the reader: got %d tokens of %d nodes at e1, want 1920 of 2", tokens, nodes)
	}
	if spent, _ := a.PeerSpent("s"); spent != (budgeter.Usage{Requests: 5, Retries: 1}) {
		t.Errorf("a: got %+v sent by others, want 5 requests and 1 retry", spent)
	}
	a.loads["e1"] = 1000
	if got, want := a.ReportedTokens("e1"), 640; got != want {
		t.Errorf("a: got %d tokens of its own reported at e1, want %d", got, want)
	}
	a.now = a.now.Add(maxReportAge + time.Millisecond)
	if _, nodes := a.PeerLoad("e1"); nodes != 0 {
		t.Errorf("got %d nodes in an outdated aggregate, want 0", nodes)
	}
}

func TestStateIsSentOncePerInterval(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	send := link(a, b, "1")
	if !send() || send() {
		t.Errorf("want exactly one message per interval")
	}
	a.now = a.now.Add(sendInterval)
	if !send() {
		t.Errorf("want another message after the interval even without load: it withdraws the previous loads")
	}
}

func TestUnreachableEndpointIsReportedAtOnce(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	send := link(a, b, "1")
	send()
	a.BroadcastUnreachable("e1")
	if !send() || !slices.Equal(b.suspected, []string{"e1"}) {
		t.Errorf("got suspected endpoints %v, want e1 reported within the interval", b.suspected)
	}
	if send() {
		t.Errorf("endpoint was reported again")
	}
}

// What one node hears reaches nodes with which it has no link, and each is told once.
func TestLeavingEndpointIsRelayed(t *testing.T) {
	a, b, c := newNode("a"), newNode("b"), newNode("c")
	ab, bc := link(a, b, "1"), link(b, c, "2")
	ba := func() {
		if body := b.flush(linker.Link{ID: "1"}); body != nil {
			a.receive(linker.Link{ID: "1"}, body)
		}
	}
	ab()
	bc()
	want := []Leaving{{ID: "e1", Born: 7}}
	a.leaving = want // the node that heard it itself
	a.BroadcastLeaving("e1", 7)
	for range 3 {
		ab()
		bc()
		ba()
	}
	// b gets it back from c, which doesn't know where it came from, and leaves it at that.
	if !slices.Equal(slices.Compact(slices.Clone(b.leaving)), want) || len(b.leaving) > 2 || !slices.Equal(c.leaving, want) {
		t.Errorf("got %v and %v, want %v at both", b.leaving, c.leaving, want)
	}
}

func TestPacesAndBudgets(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	a.era = 3
	a.paces = map[string]float64{"e1": 12}
	a.spent = map[string]budgeter.Usage{"s": {Requests: 100, Retries: 7}}
	link(a, b, "1")()
	if got, want := b.observedPaces["e1"], 12.0; got != want {
		t.Errorf("pace: got %v, want %v", got, want)
	}
	if got, want := b.era, uint64(3); got != want {
		t.Errorf("era: got %d, want %d", got, want)
	}
	spent, nodes := b.PeerSpent("s")
	if want := (budgeter.Usage{Requests: 100, Retries: 7}); spent != want || nodes != 1 {
		t.Errorf("spent: got %v of %d nodes, want %v of 1", spent, nodes, want)
	}
}

func TestMalformedMessageIsIgnored(t *testing.T) {
	contradiction, err := encoder.CBOR(message{HasState: true, HasLoads: false, Loads: []Load{{ID: 1, Units: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string][]byte{
		"no CBOR":                             []byte("\xff\x00"),
		"loads of a node that sends no loads": contradiction,
	} {
		b := newNode("b")
		b.linkUp(linker.Link{ID: "1", Address: "a"})
		b.receive(linker.Link{ID: "1"}, body)
		if _, nodes := b.PeerLoad("e1"); nodes != 0 {
			t.Errorf("%s: the loads were counted", name)
		}
	}
}

// A budget asks for what other nodes have spent while it holds its own lock. A message that
// is made meanwhile asks that budget what this node has spent: if the broadcaster holds its
// lock then, both wait for each other forever, and the node with them.
func TestFlushWhileABudgetIsRenewed(t *testing.T) {
	for name, largeFleet := range map[string]bool{"small fleet": false, "large fleet": true} {
		t.Run(name, func(t *testing.T) {
			n := newNode("a")
			n.largeFleet = largeFleet
			renewing, flushing := make(chan struct{}), make(chan struct{})
			budget := budgeter.New(budgeter.Config{
				Limits: func() (float64, float64) { return 0.1, 10 },
				Window: 10 * time.Second,
				Nodes:  func() int { return 2 },
				Others: func(service string) (budgeter.Usage, int) {
					close(renewing)
					<-flushing
					return n.PeerSpent(service)
				},
				Now: n.cfg.Now,
			})
			n.cfg.Spent = func() map[string]budgeter.Usage {
				close(flushing)
				return budget.Usage()
			}
			at := linker.Link{ID: "1", Address: "b"}
			n.linkUp(at)
			done := make(chan bool, 2)
			go func() {
				budget.TakeRetry("s", false)
				done <- true
			}()
			<-renewing
			go func() {
				n.flush(at)
				done <- true
			}()
			timeout := time.After(5 * time.Second)
			for range 2 {
				select {
				case <-done:
				case <-timeout:
					t.Fatal("the budget and the message wait for each other")
				}
			}
		})
	}
}

// The functions of the configuration may take locks under which other parts call the
// broadcaster; called with its own lock held, any of them can block the node forever.
func TestFlushCallsNothingWithItsLock(t *testing.T) {
	for name, largeFleet := range map[string]bool{"small fleet": false, "large fleet": true} {
		t.Run(name, func(t *testing.T) {
			n := newNode("a")
			n.largeFleet = largeFleet
			var held []string
			check := func(function string) {
				if !n.mu.TryLock() {
					held = append(held, function)
					return
				}
				n.mu.Unlock()
			}
			cfg := n.cfg
			n.cfg.Loads = func() map[string]int { check("Loads"); return cfg.Loads() }
			n.cfg.SmallFleet = func() bool { check("SmallFleet"); return cfg.SmallFleet() }
			n.cfg.CentreOf = func(address string) string { check("CentreOf"); return cfg.CentreOf(address) }
			n.cfg.CentreLoads = func() []forecaster.CentreLoad { check("CentreLoads"); return cfg.CentreLoads() }
			n.cfg.Spent = func() map[string]budgeter.Usage { check("Spent"); return cfg.Spent() }
			n.cfg.Era = func() uint64 { check("Era"); return cfg.Era() }
			n.cfg.Paces = func() map[string]float64 { check("Paces"); return cfg.Paces() }
			at := linker.Link{ID: "1", Address: "b"}
			n.linkUp(at)
			n.summarise()
			if n.flush(at) == nil {
				t.Error("no message was sent")
			}
			n.Report()
			n.HandleReport("b", nil)
			if len(held) > 0 {
				t.Errorf("called with the lock held: %v", held)
			}
		})
	}
}

// The linker catches a panic in a handler and goes on. One that leaves the lock held blocks
// the node forever instead.
func TestPanicLeavesNoLockHeld(t *testing.T) {
	a, b := newNode("a"), newNode("b")
	a.spent = map[string]budgeter.Usage{"s": {Requests: 1}}
	send := link(a, b, "1")
	a.largeFleet = true
	report := a.Report()
	a.largeFleet = false
	b.cfg.Now = func() time.Time { panic("unforeseen") }
	for name, call := range map[string]func(){
		"message": func() { send() },
		"report":  func() { b.HandleReport("a", report) },
	} {
		t.Run(name, func(t *testing.T) {
			if recorder.Nop().Guard(name, call) {
				t.Error("got no panic")
			}
			if !b.mu.TryLock() {
				t.Fatal("the lock is held after a panic")
			}
			b.mu.Unlock()
		})
	}
}
