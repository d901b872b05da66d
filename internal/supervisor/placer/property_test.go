package placer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/placer/reducer"
)

const (
	testLoads   = 2
	testLayers  = 4
	testEngines = 6
	testNodes   = 3
	testLease   = 30 * time.Second
	testTimeout = time.Minute
	// clustersPerCheck is how many clusters each check runs: they are cheap, and the
	// number of checks that rapid runs by default is meant for more expensive ones.
	clustersPerCheck = 40
)

var errLost = errors.New("lost")

// inFlightOrder is an order on its way to an endpoint. It also stands for the order
// of a holder that was paused after its decision, which an endpoint can't distinguish
// from a delayed order.
type inFlightOrder struct {
	to    int
	order driver.Order
}

// engineModel is an endpoint that checks fencing numbers unless told otherwise.
type engineModel struct {
	status driver.Status
	fence  uint64
	// loading is what is being loaded, nil if nothing is.
	loading []driver.Holding
	// newestLease is the highest lease of which an order took effect.
	newestLease provider.Offset
	// dropReply loses the reply to the next order, which may also arrive again
	// later; delay postpones its arrival.
	dropReply, delay bool
}

// cluster is a log, endpoints and nodes between which calls fail as drawn.
type cluster struct {
	mu      sync.Mutex
	now     time.Time
	records []provider.Record
	first   int
	// delayedAppends and delayedOrders are the appends and orders that take effect
	// later.
	delayedAppends [][]byte
	delayedOrders  []inFlightOrder
	// dropAppendReply and delayAppend affect the next append; all calls to the log
	// fail while down is set.
	dropAppendReply, delayAppend, down bool
	engines                            []*engineModel
	nodes                              []*Placer
	// partitioned is set while each node believes that it is the only one.
	partitioned bool
	// gone is a node that the others believe to have ended.
	gone   string
	wants  []Want
	starts int
	// ignoreFences is set if no endpoint checks fencing numbers.
	ignoreFences bool
	violations   []string
}

func newCluster() *cluster {
	w := &cluster{now: time.Unix(1000, 0), wants: []Want{{Model: "m", Version: "1"}}}
	for i := range testEngines {
		s := driver.Status{Incarnation: fmt.Sprint("e", i), Capacity: testLayers, ChecksFence: true}
		if i == 0 {
			s.Holdings = []driver.Holding{{Model: "m", Version: "1", Last: 1, Layers: testLayers}}
		}
		w.engines = append(w.engines, &engineModel{status: s})
	}
	for i := range testNodes {
		w.nodes = append(w.nodes, nil)
		w.start(i)
	}
	return w
}

// start replaces a node by a new process.
func (w *cluster) start(i int) {
	w.starts++
	node := fmt.Sprint("n", i)
	w.nodes[i] = New(Config{
		Log:         provider.Log{Append: w.append, Read: w.read},
		Engine:      driver.Engine{Status: w.status, Order: w.order},
		Node:        node,
		Incarnation: fmt.Sprint("i", w.starts),
		Live: func() []string {
			if w.partitioned {
				return []string{node}
			}
			return slices.DeleteFunc([]string{"n0", "n1", "n2"}, func(n string) bool { return n == w.gone })
		},
		HasEnded:      func(node, _ string) bool { return w.gone == node },
		Endpoints:     w.endpoints,
		Wants:         func() []Want { return w.wants },
		MaxLoads:      testLoads,
		LeaseDuration: testLease,
		RoundInterval: 2 * time.Second,
		LoadTimeout:   testTimeout,
		Now:           func() time.Time { return w.now },
		Jitter:        func(time.Duration) time.Duration { return 0 },
	})
}

func (w *cluster) endpoints() []driver.Endpoint {
	var all []driver.Endpoint
	for i, e := range w.engines {
		all = append(all, driver.Endpoint{Address: fmt.Sprint(i), Role: provider.RoleEndpoint, Status: e.status})
	}
	return all
}

func (w *cluster) put(data []byte) provider.Position {
	r := provider.Record{Offset: provider.Offset(len(w.records)), At: w.now.UnixMilli(), Data: data}
	w.records = append(w.records, r)
	return provider.Position{Offset: r.Offset, At: r.At}
}

func (w *cluster) append(_ context.Context, _ string, data []byte) (provider.Position, error) {
	lose, hold := w.dropAppendReply, w.delayAppend
	w.dropAppendReply, w.delayAppend = false, false
	if hold {
		w.delayedAppends = append(w.delayedAppends, data)
		return provider.Position{}, errLost
	}
	if w.down {
		return provider.Position{}, errLost
	}
	pos := w.put(data)
	if lose {
		return pos, errLost
	}
	return pos, nil
}

func (w *cluster) read(_ context.Context, _ string, from provider.Offset, _ time.Duration) (provider.Page, error) {
	if w.down {
		return provider.Page{}, errLost
	}
	at := min(max(int(from), w.first), len(w.records))
	return provider.Page{First: provider.Offset(w.first), Next: provider.Offset(len(w.records)), Records: w.records[at:]}, nil
}

func (w *cluster) status(_ context.Context, address string) (driver.Status, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[int(address[0]-'0')].status, nil
}

func (w *cluster) order(_ context.Context, address string, o driver.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := inFlightOrder{to: int(address[0] - '0'), order: o}
	e := w.engines[l.to]
	lose, hold := e.dropReply, e.delay
	e.dropReply, e.delay = false, false
	if hold {
		w.delayedOrders = append(w.delayedOrders, l)
		return errLost
	}
	err := w.deliver(l)
	if lose {
		w.delayedOrders = append(w.delayedOrders, l)
		return errLost
	}
	return err
}

// deliver delivers an order to its endpoint.
func (w *cluster) deliver(l inFlightOrder) error {
	e := w.engines[l.to]
	if !w.ignoreFences && l.order.Fence < e.fence {
		return &driver.Refused{Reason: driver.ReasonFence}
	}
	if lease := w.leaseOf(l.order.Fence); lease < e.newestLease {
		w.violations = append(w.violations, fmt.Sprintf("an order of lease %d took effect after one of %d", lease, e.newestLease))
	} else {
		e.newestLease = lease
	}
	e.fence = l.order.Fence
	e.loading = nil
	if !holdsAll(e.status, l.order.Hold) {
		e.loading = l.order.Hold
	}
	return nil
}

// leaseOf returns the lease of the record that a fencing number stands for.
func (w *cluster) leaseOf(fence uint64) provider.Offset {
	r, err := encoder.FromCBOR[reducer.Record](w.records[fence-1].Data)
	if err != nil || r.Expected != w.records[fence-1].Offset {
		w.violations = append(w.violations, fmt.Sprintf("no accepted record stands for fencing number %d", fence))
	}
	return r.Lease
}

// loading counts the loads in progress.
func (w *cluster) loading() int {
	n := 0
	for _, e := range w.engines {
		if e.loading != nil {
			n++
		}
	}
	return n
}

// finish completes the load in progress.
func (e *engineModel) finish() {
	if e.loading != nil {
		e.status.Holdings, e.loading = e.loading, nil
	}
}

// step performs one drawn action.
func (w *cluster) step(t *rapid.T) {
	n := rapid.IntRange(0, testNodes-1).Draw(t, "node")
	e := w.engines[rapid.IntRange(0, testEngines-1).Draw(t, "engine")]
	switch rapid.SampledFrom([]string{
		"round", "round", "round", "round", "round", "finish", "wait", "expire", "apart", "restart", "gone", "lose append",
		"hold append", "surface", "lose order", "hold order", "late", "late", "outage", "retention", "timeout", "forget",
	}).Draw(t, "action") {
	case "round":
		w.now = w.now.Add(2 * time.Second)
		w.nodes[n].round(t.Context())
	case "finish":
		e.finish()
	case "wait":
		w.now = w.now.Add(5 * time.Second)
	case "expire":
		w.now = w.now.Add(2 * testLease)
	case "timeout":
		w.now = w.now.Add(testTimeout)
	case "apart":
		w.partitioned = !w.partitioned
	case "restart":
		w.start(n)
	case "gone":
		w.gone = rapid.SampledFrom([]string{"", "n0", "n1", "n2"}).Draw(t, "gone")
	case "lose append":
		w.dropAppendReply = true
	case "hold append":
		w.delayAppend = true
	case "surface":
		for _, data := range w.delayedAppends {
			w.put(data)
		}
		w.delayedAppends = nil
	case "lose order":
		e.dropReply = true
	case "hold order":
		e.delay = true
	case "late":
		if len(w.delayedOrders) > 0 {
			i := rapid.IntRange(0, len(w.delayedOrders)-1).Draw(t, "letter")
			_ = w.deliver(w.delayedOrders[i])
		}
	case "outage":
		w.down = !w.down
	case "retention":
		w.first = rapid.IntRange(w.first, len(w.records)).Draw(t, "first")
	case "forget":
		w.restartEngine(e)
	}
}

// restartEngine restarts an endpoint: it holds nothing, has seen no fencing number,
// and the orders in flight to the old process are lost. An order that a paused
// holder has yet to send to the new process is not covered: no fencing number there
// can reject it.
func (w *cluster) restartEngine(e *engineModel) {
	w.delayedOrders = slices.DeleteFunc(w.delayedOrders, func(l inFlightOrder) bool { return w.engines[l.to] == e })
	w.starts++
	s := driver.Status{Incarnation: fmt.Sprint("r", w.starts), Capacity: testLayers, ChecksFence: true}
	*e = engineModel{status: s}
}

// Whatever is lost, late, paused, restarted or dropped, where endpoints check
// fencing numbers, no order of an older lease takes effect after one of a newer
// lease, and no more loads than allowed are in progress.
func TestInterleavingsKeepFenceOrderAndLoadLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range clustersPerCheck {
			w := newCluster()
			for range rapid.IntRange(1, 150).Draw(t, "steps") {
				w.step(t)
				if len(w.violations) > 0 {
					t.Fatal(w.violations)
				}
				if got := w.loading(); got > testLoads {
					t.Fatalf("got %d loads in progress, want at most %d", got, testLoads)
				}
			}
		}
	})
}
