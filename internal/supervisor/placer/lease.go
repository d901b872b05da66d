package placer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/placer/reducer"
)

// Timeouts of calls to the log.
const (
	readTimeout   = 3 * time.Second
	appendTimeout = 3 * time.Second
)

// read reads the stream to its end, and reports whether that succeeded.
func (p *Placer) read(ctx context.Context) bool {
	for {
		began := p.cfg.Now()
		page, err := p.readPage(ctx)
		if err != nil {
			p.logFailed(ctx, "read", err)
			return false
		}
		before := p.view.State()
		from := p.view.Next()
		view, skipped := p.view.WithPage(page)
		p.cfg.Counters.Placement.Add("records_passed_over", int64(skipped))
		after := view.State()
		p.view = view
		if p.deaf || before.Known != after.Known || before.Offset != after.Offset {
			p.lastRecordRead = began
		}
		p.markStreamReadable()
		if view.AtEnd() || view.Next() == from {
			return view.AtEnd()
		}
	}
}

// readPage reads the next page.
func (p *Placer) readPage(ctx context.Context) (provider.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.cfg.Log.Read(ctx, stream, p.view.Next(), 0)
}

// append appends a record with these loads and reads the stream to learn whether it
// was accepted: the reply to the append doesn't count, only what the stream
// contains. An append that takes effect later is in the stream by then, or is
// skipped because it has another offset than expected.
func (p *Placer) append(ctx context.Context, loads []reducer.Load) {
	data, err := encoder.CBOR(p.view.Record(p.self, loads))
	if err == nil {
		p.count("appends")
		err = p.appendRecord(ctx, data)
	}
	if err != nil {
		p.logFailed(ctx, "append", err)
	}
	p.read(ctx)
}

// appendRecord appends one record.
func (p *Placer) appendRecord(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.cfg.Log.Append(ctx, stream, data)
	return err
}

// logFailed records that a call to the log failed.
func (p *Placer) logFailed(ctx context.Context, verb string, err error) {
	if ctx.Err() != nil {
		return
	}
	p.count(verb + "_failures")
	if !p.logDown {
		p.cfg.Recorder.Warn(recorder.PlacementUnreachable, zap.String("verb", verb), zap.Error(err))
	}
	p.logDown = true
	p.deaf = p.deaf || verb == "read"
}

// markStreamReadable records that the stream could be read.
func (p *Placer) markStreamReadable() {
	if p.logDown {
		p.cfg.Recorder.Info(recorder.PlacementReachable)
	}
	p.logDown, p.deaf = false, false
}

// holdsLease reports whether this node may send orders: the newest record that it has
// read is its own and not older than the lease duration. Its orders are safe beyond
// that time only at endpoints that check fencing numbers.
func (p *Placer) holdsLease() bool {
	s := p.view.State()
	return s.Known && s.Holder == p.self && p.cfg.Now().Sub(p.lastRecordRead) < p.cfg.LeaseDuration
}

// startLease creates a new lease state for each new lease.
func (p *Placer) startLease() {
	lease := p.view.State().Lease
	if p.leaseState != nil && p.leaseState.lease == lease {
		return
	}
	p.leaseState = newLeaseState(lease, p.cfg.Now())
	p.count("leases_taken")
	p.cfg.Recorder.Info(recorder.LeaseTaken, zap.Uint64("lease", uint64(lease)))
}

// endLease drops the lease state.
func (p *Placer) endLease() {
	if p.leaseState == nil {
		return
	}
	p.leaseState = nil
	p.count("leases_lost")
	p.cfg.Recorder.Info(recorder.LeaseLost, zap.String("holder", p.view.State().Holder.Node))
}
