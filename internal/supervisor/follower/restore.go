package follower

import (
	"context"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/follower/reducer"
)

// Restore puts this node's last known configuration in force at every node, with
// revisions above all earlier ones. It discards the changes that this node has
// missed, so it is meant only for a fleet in which no node has the whole
// configuration and none can get it. The operator has to make sure of that.
func (f *Follower) Restore(ctx context.Context) (Outcome, error) {
	view := f.View()
	switch {
	case view.state.Complete():
		return Outcome{}, refuser.New(refuser.BadRequest, "this node has the whole configuration; there is nothing to restore")
	case !view.atEnd:
		return Outcome{}, refuser.New(refuser.NotCaughtUp, "this node has not read to the end of the stream")
	case f.readsFailing.Load():
		return Outcome{}, logUnavailable()
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	id := f.cfg.NewID()
	parts, commit := view.state.Restore(id)
	for _, part := range parts {
		if !f.appendWithRetries(ctx, part) {
			return Outcome{}, refuser.New(refuser.LogUnavailable, "the configuration could not be staged").WithWait(maxRetryDelay)
		}
	}
	if f.appendWithRetries(ctx, commit) && f.waitForRestore(ctx, view.state.Next()) {
		at := f.View().state.RestoredAt()
		return Outcome{ID: id, Revision: describer.Revision(at), Offset: at - 1}, nil
	}
	return Outcome{}, refuser.New(refuser.LogUnavailable, "restore %s may still take effect", id).
		WithRan(refuser.Maybe).WithWait(maxRetryDelay)
}

// appendWithRetries appends a record until the log confirms it or ctx ends. A second
// copy of a part or of a restore changes nothing.
func (f *Follower) appendWithRetries(ctx context.Context, r reducer.Record) bool {
	data, err := r.Encode()
	if err != nil {
		return false
	}
	for ctx.Err() == nil {
		if _, err := f.cfg.Log.Append(ctx, Stream, data); err == nil {
			return true
		}
		f.cfg.Counters.Retries.Add("config_append", 1)
		sleep(ctx, publishRetryDelay)
	}
	return false
}

// waitForRestore waits until a restore at or after an offset has taken effect. It
// returns false once ctx has ended.
func (f *Follower) waitForRestore(ctx context.Context, after provider.Offset) bool {
	for {
		changed := f.nextView()
		if f.View().state.RestoredAt() > after {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(publishRetryDelay):
		}
	}
}
