package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"
)

const (
	// probeTimeout is how long an engine may take to accept a connection: some twenty
	// times the round trip between data centres.
	probeTimeout = 25 * time.Millisecond
	// secondProbeDelay is the delay after which a second connection is tried along with
	// the first: the first packet may have been lost.
	secondProbeDelay = 8 * time.Millisecond
	// probeTTL is how long a result is reused.
	probeTTL = 100 * time.Millisecond
	// refusalTTL is how long a refusal is reused: an endpoint that starts again has
	// layers to load first.
	refusalTTL = 500 * time.Millisecond
	// closingDelay is how long the kernel may take to close the sockets of a process that was killed.
	closingDelay = 20 * time.Millisecond
	// probeDelayThreshold is by how much a probe may end later than its timeout. If it
	// ends later still, this process was paused and the result is inconclusive.
	probeDelayThreshold = 15 * time.Millisecond
)

// probeResult is the result of a probe.
type probeResult int

const (
	// probeAccepted: the endpoint accepted the connection.
	probeAccepted probeResult = iota
	// probeRefused: the endpoint's host refused or reset the connection.
	probeRefused
	// probeTimedOut: no response arrived.
	probeTimedOut
	// probeInconclusive: this process was paused during the probe.
	probeInconclusive
)

// probe is the last attempt to connect to an endpoint.
type probe struct {
	// done is closed when the result is available.
	done   chan struct{}
	began  time.Time
	result probeResult
}

// refused reports whether the probe has ended with a refusal.
func (pr *probe) refused() bool {
	select {
	case <-pr.done:
		return pr.result == probeRefused
	default:
		return false
	}
}

// prober connects to endpoints to check whether they are reachable. It is safe for
// concurrent use.
type prober struct {
	connect func(ctx context.Context, address string) error
	now     func() time.Time

	// pausedSince reports whether this process has been paused after the given time.
	pausedSince func(since time.Time) bool
	// refused, if set, is called when a probe was refused, before its result is known to others.
	refused func(address string)

	mu     sync.Mutex
	probes map[string]*probe
}

func newProber(
	connect func(ctx context.Context, address string) error, now func() time.Time, pausedSince func(since time.Time) bool,
) *prober {
	return &prober{connect: connect, now: now, pausedSince: pausedSince, probes: make(map[string]*probe)}
}

// unreachable returns the addresses at which no endpoint accepts connections.
// Timeouts count only if fewer addresses time out than respond, where the confirmed
// ones, from which other streams have just had events, count as responding;
// otherwise it is more likely that this node is cut off or slow. They also count
// for a single address.
func (p *prober) unreachable(addresses []string, confirmed int) []string {
	probes := make([]*probe, 0, len(addresses))
	for _, address := range addresses {
		probes = append(probes, p.start(address, twice))
	}
	counts := make(map[probeResult]int)
	for _, pr := range probes {
		<-pr.done
		counts[pr.result]++
	}
	trustTimeouts := counts[probeInconclusive] == 0 &&
		(len(addresses)+confirmed == 1 || counts[probeTimedOut] < counts[probeAccepted]+counts[probeRefused]+confirmed)
	var unreachable []string
	for i, pr := range probes {
		if pr.result == probeRefused || (pr.result == probeTimedOut && trustTimeouts) {
			unreachable = append(unreachable, addresses[i])
		}
	}
	return unreachable
}

// recentlyStopped returns the addresses that refused a connection a moment ago.
func (p *prober) recentlyStopped(addresses []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stopped []string
	for _, address := range addresses {
		if pr := p.probes[address]; pr != nil && pr.refused() && p.now().Sub(pr.began) < refusalTTL {
			stopped = append(stopped, address)
		}
	}
	return stopped
}

// stopped reports whether an address refuses connections, which proves that the
// endpoint there has stopped. A timeout does not: the network may be the cause.
func (p *prober) stopped(address string) bool {
	pr := p.start(address, twice)
	<-pr.done
	return pr.result == probeRefused
}

// stoppedSince reports whether an endpoint has stopped that closed a connection just now. The kernel closes the sockets of a
// killed process in any order, so that the address may still accept connections for closingDelay.
func (p *prober) stoppedSince(closed time.Time, address string) bool {
	return p.resultSince(closed, address) == probeRefused
}

// resultSince returns the result of a probe of an endpoint that may have closed a connection just now as its process was
// killed.
func (p *prober) resultSince(closed time.Time, address string) probeResult {
	time.Sleep(closingDelay - p.now().Sub(closed))
	pr := p.startSince(address, twice, closed.Add(closingDelay))
	<-pr.done
	return pr.result
}

// confirms reports whether an endpoint that another node found unreachable accepts no
// connection of this node, either. A lost packet matters little then, so that one
// connection is tried.
func (p *prober) confirms(address string) bool {
	pr := p.start(address, once)
	<-pr.done
	return pr.result == probeRefused || pr.result == probeTimedOut
}

// Numbers of connections that a probe tries.
const (
	once  = 1
	twice = 2
)

// start returns a recent probe of an address, or starts a new one with up to the given
// number of connections.
func (p *prober) start(address string, connections int) *probe {
	return p.startSince(address, connections, time.Time{})
}

// startSince is start, but returns no recent probe that began before a time, unless it was refused.
func (p *prober) startSince(address string, connections int, since time.Time) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if pr := p.probes[address]; pr != nil {
		age := now.Sub(pr.began)
		if (age < probeTTL && !pr.began.Before(since)) || (age < refusalTTL && pr.refused()) {
			return pr
		}
	}
	pr := &probe{done: make(chan struct{}), began: now}
	p.probes[address] = pr
	go func() {
		defer close(pr.done)
		pr.result = p.run(address, now, connections)
		if pr.result == probeRefused && p.refused != nil {
			p.refused(address)
		}
	}()
	return pr
}

// run connects once, and starts a second attempt, if it may, when there is no response
// after secondProbeDelay.
func (p *prober) run(address string, began time.Time, connections int) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, 2)
	attempt := func() { results <- p.connect(ctx, address) }
	go attempt()
	if connections > 1 {
		second := time.AfterFunc(secondProbeDelay, attempt)
		defer second.Stop()
	}
	err := <-results
	switch {
	case err == nil:
		return probeAccepted
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return probeRefused
	case p.now().Sub(began) > probeTimeout+probeDelayThreshold, p.pausedSince(began):
		return probeInconclusive
	default:
		return probeTimedOut
	}
}

// prune drops the probes of addresses that are no longer known.
func (p *prober) prune(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.probes, func(address string, _ *probe) bool { return !known[address] })
}
