package claimer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/claimer/reducer"
)

// Timeouts and delays of reads and retries.
const (
	readWait    = 2 * time.Second
	readTimeout = readWait + 3*time.Second
	// emptyPageDelay is the delay before the next read after an empty page that
	// was returned early.
	emptyPageDelay       = 10 * time.Millisecond
	initialRetryInterval = 50 * time.Millisecond
	maxRetryInterval     = 500 * time.Millisecond
)

// partition is this node's state of one stream of the ledger.
type partition struct {
	cfg Config
	// number is the partition's number, from 0; stream is its stream's name.
	number int
	stream string
	queue  queue
	health health
	// live counts the claims of this node that an entry is still to end.
	live atomic.Int64

	// positioned is set once the offset to start from is known. Only the
	// goroutine that follows the stream uses it.
	positioned bool

	mu sync.Mutex
	// ctx is the step's context; nil until the step runs.
	ctx context.Context
	// following is set while this node reads the stream.
	following bool
	// view is empty unless following.
	view *reducer.View
	// watches are the keys that homes are asked about; pollers counts the
	// goroutines that ask.
	watches map[reducer.Key]*watch
	pollers sync.WaitGroup
	// newestTime is the log's time of the newest known record in Unix
	// milliseconds; newestLearnedAt is when this node learned of it.
	newestTime      int64
	newestLearnedAt time.Time
	// changed is closed and replaced whenever a view has changed.
	changed chan struct{}
}

func newPartition(cfg Config, number int) *partition {
	return &partition{
		cfg:     cfg,
		number:  number,
		stream:  fmt.Sprintf("ledger.%d", number),
		watches: make(map[reducer.Key]*watch),
		queue:   newQueue(),
		health:  newHealth(cfg.Now),
		view:    newView(cfg),
		changed: make(chan struct{}),
	}
}

// newView returns an empty view of one stream.
func newView(cfg Config) *reducer.View {
	v := reducer.NewView(cfg.Horizon)
	if cfg.AnswerBytes > 0 {
		v.LimitAnswers(cfg.AnswerBytes / cfg.Partitions)
	}
	return v
}

// newBackoff returns a backoff with full jitter: each delay is between 0 and
// twice the interval.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryInterval
	b.MaxInterval = maxRetryInterval
	b.Multiplier = 2
	b.RandomizationFactor = 1
	return b
}

// follow reads the stream until ctx ends, from the first record that the view
// needs.
func (p *partition) follow(ctx context.Context) error {
	delay := newBackoff()
	for ctx.Err() == nil {
		began := p.cfg.Now()
		page, err := p.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			p.recordFailure(&p.health.read, "read", err)
			p.health.read.pause(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		p.apply(page)
		p.recordSuccess(&p.health.read, &p.health.append)
		if len(page.Records) == 0 && p.cfg.Now().Sub(began) < readWait/2 {
			sleep(ctx, emptyPageDelay)
		}
	}
	return nil
}

// seekStart makes an empty view skip the records that it would forget at once
// because of their age.
func (p *partition) seekStart(ctx context.Context) error {
	s := searcher{window: p.view.KeyTTL(), read: func(ctx context.Context, from provider.Offset) (provider.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return p.cfg.Log.Read(ctx, p.stream, from, 0)
	}}
	found, err := s.search(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.StartAt(found.first, found.firstAt)
	p.cfg.Counters.Ledger.Add("records_left_out", int64(found.first))
	return nil
}

// read reads the next page. It waits for new records only if the view has caught
// up and the last read succeeded: a read that tests whether an outage is over
// returns at once.
func (p *partition) read(ctx context.Context) (provider.Page, error) {
	if !p.positioned {
		if err := p.seekStart(ctx); err != nil {
			return provider.Page{}, err
		}
		p.positioned = true
	}
	p.mu.Lock()
	next, wait := p.view.Next(), time.Duration(0)
	if p.view.CaughtUp() && !p.health.failing(&p.health.read) {
		wait = readWait
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.cfg.Log.Read(ctx, p.stream, next, wait)
}

// apply folds a page and notifies the goroutines that wait for the view.
func (p *partition) apply(page provider.Page) {
	p.mu.Lock()
	before := p.view.Next()
	res := p.view.Apply(page)
	p.updateNewest(p.view.Newest())
	p.mu.Unlock()
	if res.Gap {
		p.cfg.Counters.Ledger.Add("gaps", 1)
		p.cfg.Recorder.Warn(recorder.LedgerGap, zap.String("stream", p.stream),
			zap.Uint64("from", uint64(before)), zap.Uint64("to", uint64(page.First)))
	}
	if res.Undecodable > 0 {
		p.cfg.Counters.Ledger.Add("bad_records", int64(res.Undecodable))
		p.cfg.Recorder.Warn(recorder.LedgerBadRecord, zap.String("stream", p.stream), zap.Int("records", res.Undecodable))
	}
}

// caughtUp reports whether the stream has ever been read to its end. It is always
// true on a node that isn't a home and doesn't follow the stream.
func (p *partition) caughtUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.CaughtUp() || (p.cfg.Homes != nil && !p.following)
}

// logTime estimates the log's time in Unix milliseconds: the time of the newest
// known record plus the time since this node learned of it. The log's own time is
// not earlier if the node's clock runs at a steady rate. 0 means unknown.
func (p *partition) logTime() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newestLearnedAt.IsZero() {
		return 0
	}
	return p.newestTime + p.cfg.Now().Sub(p.newestLearnedAt).Milliseconds()
}

// state returns the state of a key.
func (p *partition) state(key reducer.Key) reducer.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewOf(key).State(key)
}

// plan decides what to do for an attempt. It also returns the channel that is
// closed when the view changes.
func (p *partition) plan(a reducer.Attempt) (reducer.Plan, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewOf(a.Key).Plan(a), p.changed
}

// afterWait decides what to do for an attempt whose holder did not end its claim
// in time or is gone.
func (p *partition) afterWait(plan reducer.Plan, a reducer.Attempt, ended bool) reducer.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewOf(a.Key).PlanAfterWait(plan, a, ended)
}

// withRan returns the refusal of an attempt that was not and will not be
// dispatched, and sets whether the key's earlier attempts ran.
func (p *partition) withRan(a reducer.Attempt, r refuser.Refusal) refuser.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return r.WithRan(refuser.Never).WithEarlier(p.viewOf(a.Key).RanUpTo(a))
}
