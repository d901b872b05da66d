package forwarder

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/detourer"
	"banyanquay/internal/supervisor/linker"
)

// fleet is a set of nodes that check endpoints and tell each other of unreachable ones, in
// memory. It counts the connections that they open to endpoints.
type fleet struct {
	nodes     []*harness
	detourers []*detourer.Detourer
	entries   []registrar.Entry

	mu sync.Mutex
	// stopped holds the addresses that refuse connections, hanging those that don't answer,
	// and cut the connections that are refused, as NODE>ADDRESS.
	stopped map[string]bool
	hanging map[string]bool
	cut     map[string]bool
	// probes counts connections by address, and reports the requests for reports.
	probes  map[string]int
	reports int
	// paces are the paces that endpoints report, by address.
	paces map[string]float64
}

// Latencies between nodes and endpoints and between two nodes.
const (
	connectLatency = time.Millisecond
	messageLatency = time.Millisecond
)

func newTestFleet(t *testing.T, nodes, endpoints int) *fleet {
	fl := &fleet{
		stopped: make(map[string]bool), hanging: make(map[string]bool), cut: make(map[string]bool),
		probes: make(map[string]int), paces: make(map[string]float64),
	}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		fl.entries = append(fl.entries, registrar.Entry{
			ID: id, Service: "llm", Address: id + ":1", Centre: "a", Accelerator: "l4", Model: "m", Version: "1", First: 0, Last: 10, Slots: 192,
		})
	}
	for i := range nodes {
		var h *harness
		d := detourer.New(detourer.Config{
			Direct: fl.direct(i), Open: fl.open, Peers: func() []string { return fl.peers(i) }, Endpoints: fl.addresses,
			PausedSince: func(since time.Time) bool { return h.f.PausedSince(since) },
			Enter:       func(ctx context.Context) (context.Context, func(), bool) { return ctx, func() {}, true },
			Now:         time.Now, Recorder: recorder.Nop(), Counters: counter.New(),
		})
		h = newHarness(t, d.Relay(), fl.entries...)
		h.f.cfg.Nodes = func() int { return nodes }
		h.f.cfg.BroadcastUnreachable = func(id string) {
			fl.others(i, func(o *harness) { o.f.HandleUnreachable(id) })
		}
		fl.nodes, fl.detourers = append(fl.nodes, h), append(fl.detourers, d)
	}
	return fl
}

// addresses returns the addresses of all endpoints.
func (fl *fleet) addresses() []string {
	var all []string
	for _, e := range fl.entries {
		all = append(all, e.Address)
	}
	return all
}

// peers returns the nodes but for one, in random order.
func (fl *fleet) peers(except int) []string {
	var all []string
	for _, i := range rand.Perm(len(fl.nodes)) {
		if i != except {
			all = append(all, strconv.Itoa(i))
		}
	}
	return all
}

// others calls a function for all nodes but one after the delay of a message.
func (fl *fleet) others(except int, notify func(h *harness)) {
	time.AfterFunc(messageLatency, func() {
		for i, h := range fl.nodes {
			if i != except {
				notify(h)
			}
		}
	})
}

// connect opens a connection of a node.
func (fl *fleet) connect(ctx context.Context, node int, address string) error {
	fl.mu.Lock()
	fl.probes[address]++
	refused := fl.stopped[address] || fl.cut[fmt.Sprint(node, ">", address)]
	hanging := fl.hanging[address]
	fl.mu.Unlock()
	if hanging {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(connectLatency)
	if refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// direct returns a node's own calls to endpoints.
func (fl *fleet) direct(node int) driver.Relay {
	return driver.Relay{
		Probe: func(ctx context.Context, address string) error { return fl.connect(ctx, node, address) },
		Report: func(_ context.Context, address, _ string) (driver.Report, error) {
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.reports++
			return driver.Report{Pace: fl.paces[address]}, nil
		},
	}
}

// open opens a stream to a node.
func (fl *fleet) open(ctx context.Context, node string, query []byte) (linker.Conn, bool, error) {
	i, err := strconv.Atoi(node)
	if err != nil {
		return linker.Conn{}, false, err
	}
	time.Sleep(messageLatency)
	ctx, cancel := context.WithCancel(ctx)
	messages := make(chan []byte, 8)
	go func() {
		defer close(messages)
		fl.detourers[i].Serve(ctx, query, func(data []byte) error {
			select {
			case messages <- data:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return linker.Conn{Close: cancel, Receive: func() ([]byte, error) {
		data, ok := <-messages
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return data, nil
	}}, true, nil
}

// stop lets endpoints stop: they refuse connections from now on.
func (fl *fleet) stop(kind map[string]bool, count int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, e := range fl.entries[:count] {
		kind[e.Address] = true
	}
}

// find lets a node probe an endpoint, as for a late stream, and report it if it is
// unreachable.
func (fl *fleet) find(node, endpoint int) {
	f, e := fl.nodes[node].f, fl.entries[endpoint]
	if len(f.prober.unreachable([]string{e.Address}, 0)) > 0 {
		f.markSuspect(e.ID, e.Address, unreachableBackoff, reasonUnreachable)
	}
}

// connections returns the number of connections to endpoints, and how many of them
// went to stopped ones.
func (fl *fleet) connections() (all, toStopped int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for address, n := range fl.probes {
		all += n
		if fl.stopped[address] || fl.hanging[address] {
			toStopped += n
		}
	}
	return all, toStopped
}

// suspecting returns how many nodes suspect an endpoint.
func (fl *fleet) suspecting(endpoint int) (nodes int) {
	for _, h := range fl.nodes {
		if h.f.assessor.IsSuspect(fl.entries[endpoint].ID) {
			nodes++
		}
	}
	return nodes
}

// Guards against a stopped endpoint at which every node of the fleet opens several
// connections: each node that heard of it asked three others and probed three other
// endpoints.
func TestConnectionsWhenEndpointsStop(t *testing.T) {
	const nodes = 40
	kinds := []struct {
		name string
		kind func(fl *fleet) map[string]bool
	}{
		{"they refuse connections", func(fl *fleet) map[string]bool { return fl.stopped }},
		{"they don't answer", func(fl *fleet) map[string]bool { return fl.hanging }},
	}
	// The finder probes twice, where no answer arrives, asks three nodes and samples; each of
	// the others probes once.
	const perReport = nodes + 4 + sampleShare
	cases := []struct {
		name    string
		stopped int
		// finders is the number of nodes that find each stopped endpoint by themselves.
		finders int
		want    int
	}{
		{"one stops, one node finds it", 1, 1, perReport},
		{"five stop, another node finds each", 5, 1, 5 * perReport},
		// Each node probes it by itself then, and samples once; the nodes that are asked know
		// the answer or are finding it out.
		{"one stops, all nodes find it at once", 1, nodes, 3*nodes + sampleShare},
		{"five stop, all nodes find them at once", 5, nodes, 5 * 3 * nodes},
	}
	for _, k := range kinds {
		for _, c := range cases {
			t.Run(c.name+", "+k.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fl := newTestFleet(t, nodes, 24)
					fl.stop(k.kind(fl), c.stopped)
					for e := range c.stopped {
						for n := range c.finders {
							go fl.find((e+n)%nodes, e)
						}
					}
					time.Sleep(70 * time.Millisecond)
					for e := range c.stopped {
						if got := fl.suspecting(e); got != nodes {
							t.Errorf("endpoint %d: got %d nodes that avoid it after 70 ms, want %d", e, got, nodes)
						}
					}
					time.Sleep(2 * time.Second)
					if got, toStopped := fl.connections(); got > c.want {
						t.Errorf("got %d connections, %d to stopped endpoints, want at most %d", got, toStopped, c.want)
					}
				})
			})
		}
	}
}

// sampleShare is the number of connections by which a node finds out that it reaches
// other endpoints.
const sampleShare = 3

// Guards against a report that is taken for true by nodes that reach the endpoint, or
// that hides from a node that it alone is cut off.
func TestReportOfOneNodeIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newTestFleet(t, 40, 24)
		fl.nodes[0].f.cfg.BroadcastUnreachable(fl.entries[0].ID)
		time.Sleep(200 * time.Millisecond)
		if got := fl.suspecting(0); got != 0 {
			t.Errorf("got %d nodes that avoid a sound endpoint, want none", got)
		}
		fl.mu.Lock()
		fl.cut[fmt.Sprint(1, ">", fl.entries[1].Address)] = true
		fl.mu.Unlock()
		fl.find(1, 1)
		if got := fl.suspecting(1); got != 0 {
			t.Errorf("a node that alone is cut off: got %d nodes that avoid the endpoint, want none", got)
		}
		if !fl.detourers[1].Relay().CutOff(fl.entries[1].Address) {
			t.Error("a node that alone is cut off: it takes no detour")
		}
	})
}
