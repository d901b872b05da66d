// Package elector elects, through the platform's store, the node that sends orders
// to endpoints. Membership suggests a node, a conditional append decides, and the
// offset of the record determines the fencing number that endpoints check; offsets of a
// later era of the store are higher, so that the number rises, too. Which
// node leads does not depend on any clock.
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

// checkInterval is the time between two checks of the leader.
const checkInterval = 400 * time.Millisecond

// maxStartDelay limits the random delay of the first check, which spreads the checks
// of nodes that start together.
const maxStartDelay = 500 * time.Millisecond

// endedTimeout is how long a holder must be known to run as another process before
// another node takes over.
const endedTimeout = 2 * checkInterval

// retryInterval is the additional delay after a failed call to the store.
const retryInterval = time.Second

// answerTimeout limits a read for another node, which waits for it.
const answerTimeout = 500 * time.Millisecond

// absenceTimeout is how long a holder must be missing before another node takes
// over. It is longer than links take to come up when all nodes start together.
const absenceTimeout = 2500 * time.Millisecond

// key is the only key of the topic.
const key = "lead"

// Config configures an Elector.
type Config struct {
	Topics provider.Topics
	Topic  string
	// Address and Incarnation identify this process.
	Address     string
	Incarnation string
	// ReadRemote calls another node's HandleQuery while the store doesn't answer
	// this node.
	ReadRemote func(ctx context.Context) ([]byte, error)
	// Alive reports whether a process is alive as far as this node knows, and Replaced
	// whether another process runs at its address.
	Alive    func(address, incarnation string) bool
	Replaced func(address, incarnation string) bool
	// IsSuccessor reports whether this node, among the live ones, must take over from
	// a holder that has ended, and IsCandidate whether it may be the next one that
	// must.
	IsSuccessor func() bool
	IsCandidate func() bool
	// Starting reports whether this node may not know the other nodes yet, and IsSeed
	// whether it is one of those that take part in the election meanwhile.
	Starting func() bool
	IsSeed   func() bool
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// record is a holder as it is stored.
type record struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	Incarnation string
}

// leadership is the newest known state of the election. It is an immutable value.
type leadership struct {
	known  bool
	holder record
	// fence is the offset of the record plus one; 0 if there is no record.
	fence uint64
	end   provider.Offset
}

// Elector takes the lead when it is this node's turn.
type Elector struct {
	cfg Config

	mu   sync.Mutex
	lead leadership
	// held is set once this process has led. If the store comes back from an older copy,
	// it may lead again.
	held bool

	// lastAlive is when lastHolder, the holder at the last check, was last alive or
	// first seen. Only the step's goroutine uses them.
	lastAlive  time.Time
	lastHolder record
}

// New returns an Elector that knows no holder.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg}
}

// Step takes part in the election until its context ends.
func (e *Elector) Step() grouper.Step {
	return grouper.Step{Name: "elector", Run: func(ctx context.Context) error {
		// Nodes that start together check one after the other, so that most find a
		// holder and don't try to take the lead.
		grouper.Sleep(ctx, rand.N(maxStartDelay))
		for ctx.Err() == nil {
			if err := e.check(ctx); err != nil && ctx.Err() == nil {
				e.cfg.Recorder.Warn(recorder.PlacementUnreachable, zap.Error(err))
				grouper.Sleep(ctx, retryInterval)
			}
			grouper.Sleep(ctx, checkInterval)
		}
		return nil
	}}
}

// check takes the lead if it is this node's turn.
func (e *Elector) check(ctx context.Context) error {
	l := e.current()
	if l.known && l.end.Era() < e.cfg.Topics.CurrentEra() {
		// The store came back from an older copy: the record may be gone, and an earlier
		// holder's be the newest.
		e.reset()
		l = leadership{}
	}
	if !l.known {
		if !e.takesPart() && !e.hasHeld() {
			return nil
		}
		var err error
		if l, err = e.refresh(ctx); err != nil {
			return err
		}
	}
	if e.isHolder(l) || !e.mayTake(l) {
		return nil
	}
	return e.takeLead(ctx, l)
}

// takesPart reports whether this node may have to take the lead. The other nodes
// don't read who leads, so that a fleet that starts makes few calls.
func (e *Elector) takesPart() bool {
	if e.cfg.Starting() {
		return e.cfg.IsSeed()
	}
	return e.cfg.IsCandidate()
}

// mayTake reports whether the lead is free and it is this node's turn to take it.
func (e *Elector) mayTake(l leadership) bool {
	if l.fence == 0 {
		return true
	}
	now := e.cfg.Now()
	if e.cfg.Alive(l.holder.Address, l.holder.Incarnation) || e.lastHolder != l.holder {
		e.lastHolder, e.lastAlive = l.holder, now
		return false
	}
	timeout := absenceTimeout
	if e.cfg.Replaced(l.holder.Address, l.holder.Incarnation) {
		timeout = endedTimeout
	}
	return now.Sub(e.lastAlive) >= timeout && e.cfg.IsSuccessor()
}

// takeLead appends this node's record if no other has been appended since l was
// read.
func (e *Elector) takeLead(ctx context.Context, l leadership) error {
	data, err := encoder.CBOR(record{Address: e.cfg.Address, Incarnation: e.cfg.Incarnation})
	if err != nil {
		return err
	}
	offset, err := e.cfg.Topics.AppendAt(ctx, e.cfg.Topic, key, data, l.end)
	if err != nil {
		// The record may have been stored, or may still be: only the store can tell.
		e.reset()
		if errors.Is(err, provider.ErrOffsetConflict) {
			return nil
		}
		return err
	}
	e.set(leadership{
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
	return l.fence, e.isHolder(l)
}

// Leads reports whether this node led when it last checked.
func (e *Elector) Leads() bool {
	return e.isHolder(e.current())
}

// Fenced records that an endpoint has seen a higher fencing number; the next check
// reads the store.
func (e *Elector) Fenced() {
	e.cfg.Recorder.Info(recorder.LeaseLost, zap.Uint64("fence", e.current().fence))
	e.reset()
}

// refresh reads the current leader from the store.
func (e *Elector) refresh(ctx context.Context) (leadership, error) {
	items, err := e.cfg.Topics.Newest(ctx, e.cfg.Topic)
	if err != nil {
		if items, err = e.readRemote(ctx, err); err != nil {
			return leadership{}, err
		}
	}
	l := leadership{known: true, end: items.End}
	for _, it := range items.Items {
		holder, err := encoder.FromCBOR[record](it.Value)
		if err != nil {
			e.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("key", it.Key), zap.Error(err))
		}
		l.holder, l.fence = holder, uint64(it.Offset)+1
	}
	if before := e.current(); e.isHolder(before) && !e.isHolder(l) {
		e.cfg.Recorder.Info(recorder.LeaseLost, zap.Uint64("fence", before.fence), zap.String("holder", l.holder.Address))
	}
	if l.end.Era() < e.cfg.Topics.CurrentEra() {
		return leadership{}, provider.ErrRestored
	}
	e.set(l)
	return l, nil
}

// readRemote reads the topic through another node. What that node reads after it was
// asked is as current as what this node would have read.
func (e *Elector) readRemote(ctx context.Context, cause error) (provider.Items, error) {
	data, err := e.cfg.ReadRemote(ctx)
	if err != nil {
		return provider.Items{}, trace.NewAggregate(cause, err)
	}
	return encoder.FromCBOR[provider.Items](data)
}

// HandleQuery reads the topic for another node.
func (e *Elector) HandleQuery([]byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	items, err := e.cfg.Topics.Newest(ctx, e.cfg.Topic)
	if err != nil {
		return nil, err
	}
	return encoder.CBOR(items)
}

// isHolder reports whether this process is the holder.
func (e *Elector) isHolder(l leadership) bool {
	return l.fence > 0 && l.holder.Address == e.cfg.Address && l.holder.Incarnation == e.cfg.Incarnation
}

func (e *Elector) current() leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lead
}

func (e *Elector) set(l leadership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lead = l
	e.held = e.held || e.isHolder(l)
}

// hasHeld reports whether this process has led.
func (e *Elector) hasHeld() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

// reset forgets who leads, so that the next check reads the store.
func (e *Elector) reset() {
	e.set(leadership{})
}
