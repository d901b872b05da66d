// Package elector settles through the platform's store which node gives orders
// to endpoints. Membership suggests a node, a conditional append decides, and
// its offset is the fencing number that endpoints check; no clock takes part.
package elector

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

// tick is the time between two looks at who leads.
const tick = 400 * time.Millisecond

// stagger is the time over which nodes that start together look first.
const stagger = 500 * time.Millisecond

// retryInterval is the time between two calls to a store that fails.
const retryInterval = time.Second

// answerTimeout bounds a read for another node, which waits for it.
const answerTimeout = 500 * time.Millisecond

// absence is how long a holder must be missing before another node follows it:
// longer than links take to come up when all nodes start together.
const absence = 2500 * time.Millisecond

// key is the one key of the topic.
const key = "lead"

// Config is what an elector needs.
type Config struct {
	Topics provider.Topics
	Topic  string
	// Address and Incarnation name this process.
	Address     string
	Incarnation string
	// Elsewhere asks another node for its Answer, while the store doesn't answer this
	// one.
	Elsewhere func(ctx context.Context) ([]byte, error)
	// Alive tells whether a process is alive as far as this node knows.
	Alive func(address, incarnation string) bool
	// Next tells whether this node is the one to follow a holder that has
	// ended, of those alive.
	Next     func() bool
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// record is a holder as it lies in the store.
type record struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	Incarnation string
}

// lead is what is known of who leads. It is an immutable value.
type lead struct {
	known  bool
	holder record
	// fence is the record's offset and one; 0 if there is no record.
	fence uint64
	end   provider.Offset
}

// Elector takes the lead when it falls to this node.
type Elector struct {
	cfg Config

	mu   sync.Mutex
	lead lead

	// missing is since when the holder has been missing, and whom that is
	// about; they belong to the step's goroutine.
	missing time.Time
	whom    record
}

// New returns an elector that knows no holder.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg}
}

// Step takes part until its context ends.
func (e *Elector) Step() grouper.Step {
	return grouper.Step{Name: "elector", Run: func(ctx context.Context) error {
		// Nodes that start together look one after the other, so that most find a
		// holder and don't try.
		grouper.Sleep(ctx, rand.N(stagger))
		for ctx.Err() == nil {
			if err := e.look(ctx); err != nil && ctx.Err() == nil {
				e.cfg.Recorder.Warn(recorder.PlacementUnreachable, zap.Error(err))
				grouper.Sleep(ctx, retryInterval)
			}
			grouper.Sleep(ctx, tick)
		}
		return nil
	}}
}

// look takes the lead if it is this node's to take.
func (e *Elector) look(ctx context.Context) error {
	l := e.current()
	if !l.known {
		var err error
		if l, err = e.refresh(ctx); err != nil {
			return err
		}
	}
	if e.holds(l) || !e.mine(l) {
		return nil
	}
	return e.take(ctx, l)
}

// mine tells whether the lead is free and this node's to take.
func (e *Elector) mine(l lead) bool {
	if l.fence == 0 {
		return true
	}
	now := e.cfg.Now()
	if e.cfg.Alive(l.holder.Address, l.holder.Incarnation) || e.whom != l.holder {
		e.whom, e.missing = l.holder, now
		return false
	}
	return now.Sub(e.missing) >= absence && e.cfg.Next()
}

// take appends this node's record if none has come since.
func (e *Elector) take(ctx context.Context, l lead) error {
	data, err := encoder.CBOR(record{Address: e.cfg.Address, Incarnation: e.cfg.Incarnation})
	if err != nil {
		return err
	}
	offset, err := e.cfg.Topics.AppendAt(ctx, e.cfg.Topic, key, data, l.end)
	if err != nil {
		// The record may be there or may still come: only the store can tell.
		e.forget()
		if errors.Is(err, provider.ErrMoved) {
			return nil
		}
		return err
	}
	e.set(lead{
		known: true, fence: uint64(offset) + 1, end: offset + 1,
		holder: record{Address: e.cfg.Address, Incarnation: e.cfg.Incarnation},
	})
	e.cfg.Recorder.Info(recorder.LeaseTaken, zap.Uint64("fence", uint64(offset)+1),
		zap.String("before", l.holder.Address))
	return nil
}

// Confirm asks the store whether this node leads, and returns its fencing
// number.
func (e *Elector) Confirm(ctx context.Context) (uint64, bool) {
	l, err := e.refresh(ctx)
	if err != nil {
		e.cfg.Recorder.Warn(recorder.PlacementUnreachable, zap.Error(err))
		return 0, false
	}
	return l.fence, e.holds(l)
}

// Leads tells whether this node led when it last looked.
func (e *Elector) Leads() bool {
	return e.holds(e.current())
}

// Fenced takes in that an endpoint has seen a higher fencing number.
func (e *Elector) Fenced() {
	e.cfg.Recorder.Info(recorder.LeaseLost, zap.Uint64("fence", e.current().fence))
	e.forget()
}

// refresh reads who leads.
func (e *Elector) refresh(ctx context.Context) (lead, error) {
	items, err := e.cfg.Topics.Newest(ctx, e.cfg.Topic)
	if err != nil {
		if items, err = e.elsewhere(ctx, err); err != nil {
			return lead{}, err
		}
	}
	l := lead{known: true, end: items.End}
	for _, it := range items.Items {
		holder, err := encoder.FromCBOR[record](it.Value)
		if err != nil {
			e.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("key", it.Key), zap.Error(err))
		}
		l.holder, l.fence = holder, uint64(it.Offset)+1
	}
	if was := e.current(); e.holds(was) && !e.holds(l) {
		e.cfg.Recorder.Info(recorder.LeaseLost, zap.Uint64("fence", was.fence), zap.String("holder", l.holder.Address))
	}
	e.set(l)
	return l, nil
}

// elsewhere lets another node read the topic. What it reads after it was asked is as
// good as what this node would have read.
func (e *Elector) elsewhere(ctx context.Context, cause error) (provider.Items, error) {
	data, err := e.cfg.Elsewhere(ctx)
	if err != nil {
		return provider.Items{}, trace.NewAggregate(cause, err)
	}
	return encoder.FromCBOR[provider.Items](data)
}

// Answer reads the topic for another node.
func (e *Elector) Answer([]byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	items, err := e.cfg.Topics.Newest(ctx, e.cfg.Topic)
	if err != nil {
		return nil, err
	}
	return encoder.CBOR(items)
}

// holds tells whether this process is the holder.
func (e *Elector) holds(l lead) bool {
	return l.fence > 0 && l.holder.Address == e.cfg.Address && l.holder.Incarnation == e.cfg.Incarnation
}

func (e *Elector) current() lead {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lead
}

func (e *Elector) set(l lead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lead = l
}

// forget lets the next look read the store.
func (e *Elector) forget() {
	e.set(lead{})
}
