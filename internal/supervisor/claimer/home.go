package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Homes of partitions. A home follows a partition's stream and answers other
// nodes' queries about the state of a key. It decides nothing: its answers
// follow from the log's order alone, so any home, including a former one, may be
// asked.

// Intervals and timeouts of homes.
const (
	// homeInterval is the interval at which a node checks whether it is a home.
	homeInterval = 500 * time.Millisecond
	// homeGrace is how long a node keeps following the stream after it is no
	// longer a home.
	homeGrace = 10 * time.Second
	// maxAnswerWait bounds how long a home waits for a new entry of the key.
	maxAnswerWait = 500 * time.Millisecond
)

// Query asks a home for its knowledge of a key.
type Query struct {
	Partition int         `cbor:"1,keyasint"`
	Key       reducer.Key `cbor:"2,keyasint"`
	// Wait makes the home wait for an entry of the key in a record after offset
	// Seen, for at most maxAnswerWait.
	Wait bool            `cbor:"3,keyasint,omitempty"`
	Seen provider.Offset `cbor:"4,keyasint,omitempty"`
}

// errNotHome is returned by a node that doesn't follow the partition or has not
// read it to its end yet.
var errNotHome = trace.NotFound("node is not a home of the partition, or has not caught up yet")

// HandleQuery answers another node's query.
func (c *Claimer) HandleQuery(body []byte) ([]byte, error) {
	q, err := encoder.FromCBOR[Query](body)
	if err != nil {
		return nil, err
	}
	if q.Partition < 0 || q.Partition >= len(c.partitions) {
		return nil, trace.BadParameter("partition %d does not exist", q.Partition)
	}
	e, err := c.partitions[q.Partition].extract(q)
	if err != nil {
		return nil, err
	}
	c.cfg.Counters.Ledger.Add("questions_answered", 1)
	return encoder.CBOR(e)
}

// extract returns this home's knowledge of the key. If the query asks to wait,
// it first waits a bounded time for a new entry of the key.
func (p *partition) extract(q Query) (reducer.Extract, error) {
	timeout := time.NewTimer(maxAnswerWait)
	defer timeout.Stop()
	for expired := false; ; {
		p.mu.Lock()
		ready, changed := p.following && p.view.CaughtUp(), p.changed
		e := p.view.Extract(q.Key)
		p.mu.Unlock()
		if !ready {
			return reducer.Extract{}, errNotHome
		}
		if expired || !q.Wait || e.State.Offset > q.Seen {
			return e, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		}
	}
}

// isHome reports whether this node should follow the partition.
func (p *partition) isHome() bool {
	return p.cfg.Homes == nil || slices.Contains(p.cfg.Homes(p.number), p.cfg.Node)
}

// followWhileHome follows the stream while this node is a home, until ctx ends.
func (p *partition) followWhileHome(ctx context.Context) error {
	if p.cfg.Homes == nil {
		p.setContext(ctx, true)
		return p.follow(ctx)
	}
	p.setContext(ctx, false)
	defer p.pollers.Wait()
	for ctx.Err() == nil {
		if !p.isHome() {
			sleep(ctx, homeInterval)
			continue
		}
		followCtx, stopFollowing := context.WithCancel(ctx)
		p.setFollowing(true)
		go p.stopWhenNotHome(followCtx, stopFollowing)
		_ = p.follow(followCtx)
		stopFollowing()
		p.setFollowing(false)
	}
	return nil
}

// stopWhenNotHome stops following once this node has not been a home for
// homeGrace.
func (p *partition) stopWhenNotHome(ctx context.Context, stopFollowing context.CancelFunc) {
	last := p.cfg.Now()
	for ctx.Err() == nil {
		if p.isHome() {
			last = p.cfg.Now()
		}
		if p.cfg.Now().Sub(last) >= homeGrace {
			stopFollowing()
		}
		sleep(ctx, homeInterval)
	}
}

// setContext sets the context in which homes are asked, and whether this node
// follows the stream.
func (p *partition) setContext(ctx context.Context, following bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx, p.following = ctx, following
}

// setFollowing records whether this node follows the stream. It drops the view
// when the node stops following.
func (p *partition) setFollowing(following bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.following = following
	if !following {
		p.view = newView(p.cfg)
		p.positioned = false
	}
	p.notifyWaiters()
}
