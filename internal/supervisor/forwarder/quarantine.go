package forwarder

import (
	"context"
	"maps"
	"slices"
	"sync"

	"banyanquay/internal/mapper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/quarantiner"
)

// quarantined returns the refusal of a request that is in quarantine or has a part that
// is, and whether it is so.
func (f *Forwarder) quarantined(c *call) (refuser.Refusal, bool) {
	key, remaining, held := f.cfg.Quarantine.Held(c.content)
	switch {
	case !held:
		return refuser.Refusal{}, false
	case key == c.content.Fingerprint.String():
		return refuser.New(refuser.RequestQuarantined, "requests with fingerprint %s are in quarantine", key).WithWait(remaining), true
	default:
		return refuser.New(refuser.PartQuarantined, "part %s of the prompt is in quarantine", key).WithWait(remaining), true
	}
}

// content returns what a request may have in common with others. An organisation stays
// the same caller when its key is replaced.
func content(r Request, cfg *mapper.Configuration) quarantiner.Request {
	caller := r.Key
	if o, ok := cfg.Organisation(r.Key); ok {
		caller = o.Name
	}
	return quarantiner.Request{
		Parts:       quarantiner.Parts(r.SharedParts),
		Fingerprint: quarantiner.NewFingerprint(caller, r.Method, r.Host, r.Target, r.Body),
	}
}

// recordCrash records that the first engine of an attempt had stopped when the attempt broke off.
func (f *Forwarder) recordCrash(c *call, state snapshot, broken brokenAttempt) {
	resumed := c.LastEventID != "" || state.events > state.attemptEvents
	events := state.attemptEvents
	if resumed {
		// Streams resume at other engines by the dozen after a crash.
		events = max(events, quarantiner.ProvenEvents)
	}
	f.cfg.Quarantine.RecordCrash(quarantiner.Crash{
		Endpoint: state.first().ID, Request: c.content, Sent: broken.began,
		Answering: broken.answering && state.events == 0 && !resumed, Events: events,
	})
}

// plainAttempts are the attempts of requests to plain services that are in progress. It is
// safe for concurrent use.
type plainAttempts struct {
	mu     sync.Mutex
	cancel map[*call]context.CancelCauseFunc
}

// begin adds a call's attempt. The returned function removes it.
func (p *plainAttempts) begin(c *call, cancel context.CancelCauseFunc) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel == nil {
		p.cancel = make(map[*call]context.CancelCauseFunc)
	}
	p.cancel[c] = cancel
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.cancel, c)
	}
}

// all returns the attempts.
func (p *plainAttempts) all() map[*call]context.CancelCauseFunc {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.cancel)
}

// EndQuarantined ends the attempts of requests in quarantine that have no answer or event
// yet, before they crash their endpoint, too.
func (f *Forwarder) EndQuarantined() {
	for c, cancel := range f.plain.all() {
		if _, held := f.quarantined(c); held {
			cancel(errQuarantined)
		}
	}
	f.monitor.mu.Lock()
	sessions := slices.Collect(maps.Keys(f.monitor.sessions))
	f.monitor.mu.Unlock()
	for _, s := range sessions {
		if state := s.snapshot(); state.cancel != nil && state.events == 0 && s.c.LastEventID == "" {
			if _, held := f.quarantined(s.c); held {
				state.cancel(errQuarantined)
			}
		}
	}
}
