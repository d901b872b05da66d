package detourer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkTimeout bounds the question to other nodes, and checkTTL is how long its result
	// is reused: an endpoint that no node reaches has ended, as a rule.
	checkTimeout = 200 * time.Millisecond
	checkTTL     = time.Second
	// firstAsked is the number of nodes that are asked first, and maxAsked that of all that
	// are asked if this node seems to be cut off.
	firstAsked = 3
	maxAsked   = 16
	// maxChecks bounds the checks that run at once: one suffices to find out that this node
	// reaches no endpoint.
	maxChecks = 6
)

// check finds out whether other nodes reach an endpoint that this one doesn't.
type check struct {
	began time.Time
	// done is closed once it is known, and reached is set by then.
	done    chan struct{}
	reached atomic.Bool
	settle  sync.Once
	// sampled is closed once it is known whether this node reaches no other endpoint, either,
	// and lone is set by then.
	sampled chan struct{}
	lone    atomic.Bool
	// reported is set if another node has made the check and reported its result.
	reported bool
}

// end ends the wait for the result.
func (c *check) end(reached bool) {
	c.settle.Do(func() {
		c.reached.Store(reached)
		close(c.done)
	})
}

// check returns a recent check of an address, or starts one.
func (d *Detourer) check(address string) *check {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if c := d.checks[address]; c != nil && now.Sub(c.began) < checkTTL {
		return c
	}
	c := &check{began: now, done: make(chan struct{}), sampled: make(chan struct{})}
	d.checks[address] = c
	d.unconfirmed++
	go func() {
		defer c.end(false)
		select {
		case d.running <- struct{}{}:
			defer func() { <-d.running }()
			d.cfg.Recorder.Guard("detour check", func() { d.runCheck(address, c) })
		case <-c.done: // this node has turned out to be cut off
		}
	}()
	return c
}

// noteReport notes another node's report that no node reaches an endpoint, which is the
// result of a check: this node asks no others for a while.
func (d *Detourer) noteReport(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if c := d.checks[address]; c != nil && now.Sub(c.began) < checkTTL {
		return
	}
	c := &check{began: now, done: make(chan struct{}), sampled: make(chan struct{}), reported: true}
	close(c.sampled)
	c.end(false)
	d.checks[address] = c
}

// await waits for a check and reports whether other nodes reach the endpoint.
func (d *Detourer) await(ctx context.Context, c *check) bool {
	select {
	case <-c.done:
		return c.reached.Load()
	default:
	}
	select {
	case <-c.done:
		return c.reached.Load()
	case <-ctx.Done():
		return false
	}
}

// runCheck asks some other nodes whether they reach an endpoint, and more if this node
// reaches no other endpoint, either. It then knows whether it is cut off.
func (d *Detourer) runCheck(address string, c *check) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	peers := d.cfg.Peers()
	if len(peers) == 0 {
		return
	}
	go func() {
		defer close(c.sampled)
		s := d.currentSample(address)
		<-s.done
		c.lone.Store(s.none && !d.cfg.PausedSince(s.began))
	}()
	asked := min(len(peers), firstAsked)
	d.ask(ctx, peers[:asked], address, c)
	if <-c.sampled; c.lone.Load() {
		d.ask(ctx, peers[asked:min(len(peers), maxAsked)], address, c)
	}
}

// ask asks nodes whether they reach an endpoint.
func (d *Detourer) ask(ctx context.Context, nodes []string, address string, c *check) {
	var wg sync.WaitGroup
	for _, node := range nodes {
		wg.Go(func() {
			if d.probeVia(ctx, node, address) != nil {
				return
			}
			d.addHelper(node)
			c.end(true)
			if <-c.sampled; c.lone.Load() {
				d.noteCutOff()
			}
		})
	}
	wg.Wait()
}

// reached returns the addresses that accept a connection of this node.
func (d *Detourer) reached(ctx context.Context, addresses []string) []string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []string
	for _, address := range addresses {
		wg.Go(func() {
			if d.connect(ctx, address) == nil {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, address)
			}
		})
	}
	wg.Wait()
	return all
}
