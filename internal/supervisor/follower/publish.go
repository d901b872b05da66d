package follower

import (
	"context"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/follower/reducer"
)

// Change is an operator's request to replace or remove an organisation.
type Change struct {
	// ID is unique among changes. If it is empty, Publish assigns a new one.
	ID string
	// Organisation is the name of the organisation to change.
	Organisation string
	// Base is the revision that the change was made from. The change is
	// accepted only if it is the current one.
	Base describer.Revision
	// Remove deletes the organisation; Template is empty then.
	Remove bool
	// Template is the document as published. Its parameters are not expanded yet.
	Template describer.Template
	// Operator and Note say who made the change and why.
	Operator string
	Note     string
}

// record returns the change as a record of the stream.
func (c Change) record(seen provider.Offset) reducer.Record {
	return reducer.Record{Change: &reducer.Change{
		ID: c.ID, Organisation: c.Organisation, Base: c.Base, Seen: seen,
		Remove: c.Remove, Template: reducer.Document{Template: c.Template},
		Operator: c.Operator, Note: c.Note,
	}}
}

// Outcome describes an accepted change or a restore.
type Outcome struct {
	// ID is the change's identifier.
	ID string
	// Revision is the organisation's new revision.
	Revision describer.Revision
	// Offset is the offset of the change's record. The change is in force at a node whose
	// Applied is larger.
	Offset provider.Offset
}

// Publish appends a change and returns once this node has folded it. Every error is
// a refuser.Refusal.
func (f *Follower) Publish(ctx context.Context, change Change) (Outcome, error) {
	if refusal, refused := f.precheck(change); refused {
		return Outcome{}, refusal
	}
	if change.ID == "" {
		change.ID = f.cfg.NewID()
	}
	data, err := change.record(f.View().state.Next()).Encode()
	if err != nil {
		return Outcome{}, refuser.New(refuser.InternalError, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if !f.probeLog(ctx) {
		return Outcome{}, logUnavailable()
	}
	return f.appendUntilFolded(ctx, change, data)
}

// probeLog reports whether the log answers a read within probeTimeout. The node's
// own read may take long to notice an outage, and after an append without a reply
// the change may still take effect. So no append is started before the log has
// answered.
func (f *Follower) probeLog(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := f.cfg.Log.Read(ctx, Stream, f.View().state.Next(), 0); err == nil {
			return true
		}
		f.cfg.Counters.Retries.Add("config_probe", 1)
		sleep(ctx, publishRetryDelay)
	}
	return false
}

// logUnavailable returns the refusal of a request for which nothing was appended
// because the log is unavailable.
func logUnavailable() refuser.Refusal {
	return refuser.New(refuser.LogUnavailable, "nothing was appended").WithWait(maxRetryDelay)
}

// precheck refuses changes that can be refused without access to the log.
func (f *Follower) precheck(change Change) (refuser.Refusal, bool) {
	view := f.View()
	if !view.state.Complete() {
		return refuser.New(refuser.NotCaughtUp, "the node has not read the whole configuration"), true
	}
	if !change.Remove {
		if faults := templateFaults(change); len(faults) > 0 {
			return refuser.New(refuser.BadTemplate, "%d faults", len(faults)).WithFaults(faults), true
		}
	}
	if f.readsFailing.Load() {
		return logUnavailable(), true
	}
	e, _ := view.state.Entry(change.Organisation)
	if change.Base < e.Revision {
		return conflictRefusal(change.Organisation, change.Base, e.Revision), true
	}
	return refuser.Refusal{}, false
}

// templateFaults lists the faults of a change's template.
func templateFaults(change Change) []string {
	faults := describer.Check(change.Template)
	if change.Template.Name != change.Organisation {
		faults = append(faults, "name: is "+change.Template.Name+", but the change is for organisation "+change.Organisation)
	}
	return faults
}

// conflictRefusal returns the refusal of a change whose base is not the current
// revision.
func conflictRefusal(name string, base, current describer.Revision) refuser.Refusal {
	return refuser.New(refuser.Conflict, "%s is at revision %d; the change was made from %d", name, current, base)
}

// appendUntilFolded appends the change, again after errors, until the fold has
// decided on it. Repeated appends are harmless: the fold applies each identifier
// once.
func (f *Follower) appendUntilFolded(ctx context.Context, change Change, data []byte) (Outcome, error) {
	appended := false
	for {
		changed := f.nextView()
		if r, ok := f.View().state.Receipt(change.ID); ok {
			return outcome(change, r)
		}
		if !appended {
			_, err := f.cfg.Log.Append(ctx, Stream, data)
			appended = err == nil
			if !appended {
				f.cfg.Counters.Retries.Add("config_append", 1)
			}
		}
		if !f.waitForView(ctx, changed, appended) {
			return f.unknownOutcome(change)
		}
	}
}

// waitForView waits for a new view or, after a failed append, for publishRetryDelay
// at most. It returns false once ctx has ended.
func (f *Follower) waitForView(ctx context.Context, changed <-chan struct{}, appended bool) bool {
	var retry <-chan time.Time
	if !appended {
		retry = time.After(publishRetryDelay)
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-retry:
	}
	return true
}

// unknownOutcome returns the result for a change that was not folded in time. It may
// be in the stream already or get there later.
func (f *Follower) unknownOutcome(change Change) (Outcome, error) {
	if r, ok := f.View().state.Receipt(change.ID); ok {
		return outcome(change, r)
	}
	return Outcome{}, refuser.New(refuser.LogUnavailable,
		"change %s of %s may still be accepted; check the history before publishing again",
		change.ID, change.Organisation).WithRan(refuser.Maybe).WithWait(maxRetryDelay)
}

// outcome returns the result of Publish for a receipt.
func outcome(change Change, r reducer.Receipt) (Outcome, error) {
	switch r.Verdict {
	case reducer.Accepted:
		return Outcome{ID: r.ID, Revision: r.Revision, Offset: r.Offset}, nil
	case reducer.KeyTaken:
		return Outcome{}, refuser.New(refuser.BadTemplate, "a key belongs to %s", r.KeyOwner).
			WithFaults([]string{"key_hashes: one is listed by organisation " + r.KeyOwner + " already"})
	default:
		return Outcome{}, conflictRefusal(change.Organisation, change.Base, r.Revision)
	}
}
