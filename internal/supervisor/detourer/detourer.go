// Package detourer calls endpoints by way of other nodes while this node can't reach them
// itself. What tells a node that is cut off from endpoints that have ended is whether other
// nodes reach them.
package detourer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
)

const (
	// connectPatience is how long a connection may take to open before other nodes are
	// asked: some thirty times the round trip between data centres. probePatience is the
	// same for a probe, which has little time.
	connectPatience = 40 * time.Millisecond
	probePatience   = 8 * time.Millisecond
	// refusalPatience is how long a probe that was refused waits for what others find.
	refusalPatience = 60 * time.Millisecond
	// probeTimeout is how long an endpoint may take to accept a connection.
	probeTimeout = 25 * time.Millisecond
	// controlTimeout bounds a call other than a request that is made by way of other nodes.
	controlTimeout = time.Second
)

// Config configures a Detourer. Its functions are safe for concurrent use.
type Config struct {
	// Direct calls endpoints over this node's own connections.
	Direct driver.Relay
	// Open sends a query to another node, as linker.OpenStream does.
	Open func(ctx context.Context, node string, query []byte) (conn linker.Conn, sent bool, err error)
	// Peers returns the other nodes in random order.
	Peers func() []string
	// Endpoints returns the addresses of all endpoints.
	Endpoints func() []string
	// Memory is the pool for copies of requests that other nodes pass on; nil means one of
	// defaultMemoryBytes.
	Memory *bounder.Pool
	// PausedSince reports whether this process was paused after the given time. A connection
	// that doesn't open in time then says nothing; nil means that it never is.
	PausedSince func(since time.Time) bool
	// Enter admits a call of another node, and reports whether this one makes it. The call
	// is made with the returned context, and the returned function is called when it has
	// ended.
	Enter    func(ctx context.Context) (bound context.Context, leave func(), ok bool)
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
}

const (
	// defaultMemoryBytes is the size of the pool if there is no Config.Memory.
	defaultMemoryBytes = 64 << 20
	// queryCopies is the number of copies of a request's body while it is sent to another node:
	// those of the encoded request, of the query and of the message.
	queryCopies = 3
)

// Detourer calls endpoints. It is safe for concurrent use.
type Detourer struct {
	cfg Config

	mu sync.Mutex
	// unreached holds the addresses that this node doesn't reach and others do, and cutOff
	// is set while it reaches none at all: all are in unreached then.
	unreached map[string]bool
	cutOff    bool
	// running has a capacity of maxChecks.
	running chan struct{}
	// helpers are the nodes that reached an endpoint when they were last asked.
	helpers []string
	// checks holds the last check of each address, and unconfirmed counts those that began
	// since this node last reached an endpoint or took a sample.
	checks      map[string]*check
	unconfirmed int
	sample      *sample
	// failures holds the last failure of each address that has accepted no connection
	// since, and attempts the connections that are being opened.
	failures map[string]failed
	attempts map[string]*attempt
}

// New returns a Detourer that takes all endpoints for reachable.
func New(cfg Config) *Detourer {
	if cfg.PausedSince == nil {
		cfg.PausedSince = func(time.Time) bool { return false }
	}
	if cfg.Memory == nil {
		cfg.Memory = bounder.NewPool(defaultMemoryBytes)
	}
	return &Detourer{
		cfg: cfg, unreached: make(map[string]bool), checks: make(map[string]*check), running: make(chan struct{}, maxChecks),
		failures: make(map[string]failed), attempts: make(map[string]*attempt),
	}
}

// Relay returns the calls to endpoints, directly or by way of other nodes.
func (d *Detourer) Relay() driver.Relay {
	return driver.Relay{
		Send: d.send, Probe: d.probe, Report: d.report, Place: d.place, ChangePath: d.changePath, CutOff: d.avoids,
		NoteUnreachable: d.noteReport,
	}
}

// avoids reports whether calls to an address are made by way of other nodes.
func (d *Detourer) avoids(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreached[address]
}

func (d *Detourer) isCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// send sends a request to an endpoint.
func (d *Detourer) send(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
	if d.avoids(address) {
		reply, err := d.sendVia(ctx, address, f)
		if !isUnsent(err) || ctx.Err() != nil {
			return reply, err
		}
	}
	reply, err := d.sendDirectly(ctx, address, f)
	if isUnsent(err) && isRefused(err) {
		d.noteFailed(address, err)
	}
	if !isUnsent(err) || ctx.Err() != nil || !d.await(ctx, d.check(address)) {
		return reply, err
	}
	d.noteUnreached(address)
	return d.sendVia(ctx, address, f)
}

// Stages of a connection.
const (
	opening int32 = iota
	open
	abandoned
)

// sendDirectly sends a request over a connection of this node. It gives up a connection that
// is slow to open if other nodes reach the endpoint.
func (d *Detourer) sendDirectly(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	var stage atomic.Int32
	f.OnConnect = func() bool {
		if stage.CompareAndSwap(opening, open) {
			d.noteReached(address)
		}
		return stage.Load() == open // otherwise another node is to send the request
	}
	began := d.cfg.Now()
	patience := time.AfterFunc(connectPatience, func() {
		late := stage.Load() == opening && d.await(ctx, d.check(address)) && !d.cfg.PausedSince(began)
		if late && stage.CompareAndSwap(opening, abandoned) {
			cancel()
		}
	})
	reply, err := d.cfg.Direct.Send(ctx, address, f)
	patience.Stop()
	if err != nil {
		cancel()
		return reply, err
	}
	reply.Body = cancelledBody{ReadCloser: reply.Body, cancel: cancel}
	return reply, nil
}

// probe opens a connection and closes it unused. An endpoint that other nodes reach counts as
// accepting connections.
func (d *Detourer) probe(ctx context.Context, address string) error {
	if d.avoids(address) {
		if _, err := d.control(ctx, request{Operation: probeOperation, Address: address}); !isUnsent(err) || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	began := d.cfg.Now()
	err := d.recentFailure(address)
	if !isRefused(err) {
		patience := time.AfterFunc(probePatience, func() { d.check(address) })
		defer patience.Stop()
		err = d.connect(ctx, address)
	}
	if err == nil {
		d.noteReached(address)
		return nil
	}
	refused := isRefused(err)
	if !refused && d.cfg.PausedSince(began) {
		return err
	}
	// A probe that ends without an answer has used up its time.
	wait := time.Duration(0)
	if refused {
		wait = refusalPatience
	}
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	if !d.await(waitCtx, d.check(address)) {
		return err
	}
	d.noteUnreached(address)
	return nil
}

// report asks an engine for its state.
func (d *Detourer) report(ctx context.Context, address, endpoint string) (driver.Report, error) {
	if !d.avoids(address) {
		return d.cfg.Direct.Report(ctx, address, endpoint)
	}
	m, err := d.control(ctx, request{Operation: reportOperation, Address: address, Endpoint: endpoint})
	if err != nil {
		return driver.Report{}, err
	}
	return *m.Report, nil
}

// place orders an engine to hold a range of layers.
func (d *Detourer) place(ctx context.Context, address, endpoint string, p driver.Placement) error {
	if !d.avoids(address) {
		return d.cfg.Direct.Place(ctx, address, endpoint, p)
	}
	_, err := d.control(ctx, request{Operation: placeOperation, Address: address, Endpoint: endpoint, Placement: &p})
	return err
}

// changePath asks an engine to change the path of a request in progress.
func (d *Detourer) changePath(ctx context.Context, address, endpoint, stream string, path []driver.PathStage) error {
	if !d.avoids(address) {
		return d.cfg.Direct.ChangePath(ctx, address, endpoint, stream, path)
	}
	_, err := d.control(ctx, request{Operation: changePathOperation, Address: address, Endpoint: endpoint, Stream: stream, Path: path})
	return err
}

// noteReached notes that this node reaches an endpoint.
func (d *Detourer) noteReached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unreached, address)
	delete(d.failures, address)
	d.unconfirmed = 0
	if c := d.checks[address]; c != nil && c.reported {
		delete(d.checks, address) // the report doesn't hold for this node
	}
	d.endCutOff()
}

// noteAllReached notes that this node reaches all endpoints.
func (d *Detourer) noteAllReached() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreached)
	d.endCutOff()
}

// endCutOff ends the time in which this node reaches no endpoint. The caller must hold mu.
func (d *Detourer) endCutOff() {
	if d.cutOff {
		d.cutOff = false
		d.cfg.Recorder.Info(recorder.EndpointsReached, zap.Int("unreached", len(d.unreached)))
	}
}

// noteUnreached notes that other nodes reach an endpoint and this one doesn't.
func (d *Detourer) noteUnreached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.unreached[address] {
		d.unreached[address] = true
		d.cfg.Counters.Stages.Add("endpoints_unreached", 1)
		d.cfg.Recorder.Info(recorder.EndpointsUnreached, zap.String("address", address), zap.Int("count", len(d.unreached)))
	}
}

// noteCutOff notes that this node reaches no endpoint at all.
func (d *Detourer) noteCutOff() {
	endpoints := d.cfg.Endpoints()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cutOff {
		return
	}
	d.cutOff = true
	for _, address := range endpoints {
		d.unreached[address] = true
	}
	for _, c := range d.checks {
		c.end(true)
	}
	d.cfg.Recorder.Warn(recorder.EndpointsUnreached, zap.Bool("all", true), zap.Strings("helpers", d.helpers))
}
