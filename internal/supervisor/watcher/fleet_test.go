package watcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/tracker"
)

// centreCount returns how many data centres a fleet has.
func centreCount(nodes int) int {
	if nodes < 50 {
		return 3
	}
	return 8
}

// member is one node of a test fleet.
type member struct {
	address  string
	links    *linker.Linker
	tracker  *tracker.Tracker
	watcher  *Watcher
	counters *counter.Set
	cancel   context.CancelFunc
	done     chan struct{}
	drained  bool
}

// pipe is an in-memory connection. A silent pipe drops what is sent, and does not
// tell one end that the other has closed.
type pipe struct {
	a, b   chan []byte
	closed chan struct{}
	once   sync.Once
	silent bool
	ends   [2]string
}

// fleet runs nodes, endpoints and a network in one process. mu guards all fields.
type fleet struct {
	t  *testing.T
	mu sync.Mutex
	// members are by address, and vms are the platform's list.
	members  map[string]*member
	order    []string
	vms      []provider.VM
	statuses map[string]driver.Status
	pipes    []*pipe
	// frozen nodes neither send nor receive.
	frozen map[string]bool
	// isolated can reach endpoints but no node.
	isolated string
	// partition holds the data centres that reach only each other.
	partition    map[string]bool
	listReadable bool
	// applied is the configuration offset that all nodes have applied.
	applied atomic.Uint64
	centres int
}

var errRefused = errors.New("connection refused")

func (f *fleet) centreOf(i int) string { return fmt.Sprintf("centre-%d", i%f.centres) }

func nodeName(i int) string { return fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250) }

func endpointName(i int) string { return fmt.Sprintf("10.1.%d.%d:9090", i/250, i%250) }

func newFleet(t *testing.T, nodes, endpoints int) *fleet {
	f := &fleet{
		t: t, members: make(map[string]*member), statuses: make(map[string]driver.Status),
		frozen: make(map[string]bool), listReadable: true, centres: centreCount(nodes),
	}
	for i := range nodes {
		f.vms = append(f.vms, provider.VM{Address: nodeName(i), Role: provider.RoleNode, Centre: f.centreOf(i)})
	}
	for i := range endpoints {
		address := endpointName(i)
		f.vms = append(f.vms, provider.VM{Address: address, Role: provider.RoleEndpoint, Centre: f.centreOf(i)})
		f.statuses[address] = driver.Status{
			Incarnation: "6ba7b810-9dad-11d1-80b4-00c04fd430c8", Slots: 16, StepMillis: 0.5, Accelerator: "a100",
			Holdings: []driver.Holding{{Model: "durum-70b", Version: "2026-11-02", First: 0, Last: 40, Layers: 80}},
		}
	}
	for i := range nodes {
		f.start(nodeName(i), f.centreOf(i), "0")
	}
	return f
}

// start runs a node.
func (f *fleet) start(address, centre, incarnation string) *member {
	ctx, cancel := context.WithCancel(f.t.Context())
	m := &member{address: address, counters: counter.New(), cancel: cancel, done: make(chan struct{})}
	incarnation = "f81d4fae-7dec-11d0-a765-" + address + "-" + incarnation
	m.links = linker.New(linker.Config{
		Address: address, Incarnation: incarnation, Counters: m.counters,
		Dial: func(ctx context.Context, to string) (linker.Conn, error) { return f.dial(ctx, address, to) },
	})
	m.tracker = tracker.New(tracker.Config{
		Address: address, Centre: centre, Incarnation: incarnation, Links: m.links, Counters: m.counters,
		List: provider.List{VMs: f.list}, Applied: f.applied.Load, Drain: func() { m.drained = true },
	})
	m.watcher = New(Config{
		Address: address, Centre: centre, Tracker: m.tracker, Links: m.links, Counters: m.counters,
		Engine: driver.Engine{Status: func(ctx context.Context, to string) (driver.Status, error) {
			return f.status(ctx, address, to)
		}},
	})
	f.mu.Lock()
	if _, known := f.members[address]; !known {
		f.order = append(f.order, address)
	}
	f.members[address] = m
	f.mu.Unlock()
	go func() {
		defer close(m.done)
		_ = grouper.Group("node", m.links.Step(), m.tracker.Step(), m.watcher.Step()).Run(ctx)
	}()
	return m
}

// kill stops a node without an announcement.
func (f *fleet) kill(address string) {
	f.mu.Lock()
	m := f.members[address]
	delete(f.members, address)
	f.mu.Unlock()
	m.cancel()
	<-m.done
}

// stop ends all nodes.
func (f *fleet) stop() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		<-m.done
	}
}

func (f *fleet) list(context.Context) ([]provider.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listReadable {
		return nil, errRefused
	}
	return append([]provider.VM(nil), f.vms...), nil
}

// status answers for an endpoint; a request to one that is missing or not reachable
// hangs.
func (f *fleet) status(ctx context.Context, from, to string) (driver.Status, error) {
	f.mu.Lock()
	s, ok := f.statuses[to]
	ok = ok && !f.frozen[from] && !f.partitioned(from, to)
	f.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return driver.Status{}, ctx.Err()
	}
	return s, nil
}

// change changes what an endpoint reports.
func (f *fleet) change(address string, change func(*driver.Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statuses[address]
	change(&s)
	f.statuses[address] = s
}

func (f *fleet) dial(ctx context.Context, from, to string) (linker.Conn, error) {
	f.mu.Lock()
	peer := f.members[to]
	blocked := f.frozen[from] || f.frozen[to] || f.isolated == from || f.isolated == to || f.partitioned(from, to)
	f.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return linker.Conn{}, ctx.Err()
	}
	if peer == nil {
		return linker.Conn{}, errRefused
	}
	p := &pipe{a: make(chan []byte, 64), b: make(chan []byte, 64), closed: make(chan struct{}), ends: [2]string{from, to}}
	f.mu.Lock()
	f.pipes = append(f.pipes, p)
	f.mu.Unlock()
	go func() { _ = peer.links.Accept(f.end(p, p.b, p.a, from, to)) }()
	return f.end(p, p.a, p.b, from, to), nil
}

// end returns one end of a pipe.
func (f *fleet) end(p *pipe, in, out chan []byte, from, to string) linker.Conn {
	localClosed := make(chan struct{})
	var once sync.Once
	return linker.Conn{
		Send: func(data []byte) error {
			f.mu.Lock()
			dropped := p.silent || f.frozen[from] || f.frozen[to] || f.partitioned(from, to)
			f.mu.Unlock()
			if dropped {
				return nil
			}
			select {
			case out <- data:
				return nil
			case <-p.closed:
				return errRefused
			}
		},
		Receive: func() ([]byte, error) {
			select {
			case data := <-in:
				return data, nil
			case <-localClosed:
				return nil, errRefused
			case <-p.closed:
			}
			// What was sent before the other end closed still arrives.
			select {
			case data := <-in:
				return data, nil
			default:
				return nil, errRefused
			}
		},
		Close: func() {
			once.Do(func() { close(localClosed) })
			f.mu.Lock()
			defer f.mu.Unlock()
			if !p.silent {
				p.once.Do(func() { close(p.closed) })
			}
		},
	}
}

// silenceHalf makes about half of the open links drop all that is sent from now on.
func (f *fleet) silenceHalf(r *rand.Rand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.silent = p.silent || r.IntN(2) == 0
	}
}

// freeze cuts a node off from all nodes and endpoints.
func (f *fleet) freeze(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.frozen[address] = true
}

// partitioned reports whether the partition separates two addresses; the caller holds
// mu.
func (f *fleet) partitioned(a, b string) bool {
	return len(f.partition) > 0 && f.partition[f.centre(a)] != f.partition[f.centre(b)]
}

// centre returns the data centre of an address.
func (f *fleet) centre(address string) string {
	for _, vm := range f.vms {
		if vm.Address == address {
			return vm.Centre
		}
	}
	return ""
}

// silenceNode silences the links of one node.
func (f *fleet) silenceNode(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pipes {
		p.silent = p.silent || p.ends[0] == address || p.ends[1] == address
	}
}

// waitFor waits in fake time until a condition holds for all members that are not
// frozen.
func (f *fleet) waitFor(what string, limit time.Duration, holds func(m *member) bool) time.Duration {
	f.t.Helper()
	started := time.Now()
	for {
		var lagging *member
		for _, address := range f.order {
			if m := f.members[address]; m != nil && !f.frozen[address] && !holds(m) {
				lagging = m
				break
			}
		}
		if lagging == nil {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			f.t.Errorf("%s: node %s has not met the condition after %v", what, lagging.address, limit)
			return limit
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// polled reports whether the node polls an endpoint.
func (w *Watcher) polled(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.assigned[address]
}

func (m *member) live() int { return len(m.tracker.Live()) }

func (m *member) serving() int {
	n := 0
	for _, e := range m.watcher.Endpoints().All() {
		if e.Serving() {
			n++
		}
	}
	return n
}

func (m *member) endpoint(address string) driver.Endpoint {
	for _, e := range m.watcher.Endpoints().All() {
		if e.Address == address {
			return e
		}
	}
	return driver.Endpoint{Down: true}
}

// startFleet returns a fleet that has converged.
func startFleet(t *testing.T, nodes, endpoints int) *fleet {
	f := newFleet(t, nodes, endpoints)
	took := f.waitFor("start", time.Minute, func(m *member) bool {
		return m.live() == nodes && m.serving() == endpoints
	})
	t.Logf("%d nodes and %d endpoints known to all after %v", nodes, endpoints, took)
	return f
}
