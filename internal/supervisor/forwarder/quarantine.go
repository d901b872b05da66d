package forwarder

import (
	"maps"
	"slices"

	"banyanquay/internal/mapper"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/quarantiner"
)

// quarantined returns the refusal of a request that has a part in quarantine, and
// whether it has one.
func (f *Forwarder) quarantined(c *call) (refuser.Refusal, bool) {
	part, remaining, held := f.cfg.Quarantine.Held(c.parts)
	if !held {
		return refuser.Refusal{}, false
	}
	return refuser.New(refuser.PartQuarantined, "part %s of the prompt is in quarantine", part).WithWait(remaining), true
}

// fingerprint returns a request's fingerprint. An organisation stays the same caller when
// its key is replaced.
func fingerprint(r Request, cfg *mapper.Configuration) quarantiner.Fingerprint {
	caller := r.Key
	if o, ok := cfg.Organisation(r.Key); ok {
		caller = o.Name
	}
	return quarantiner.NewFingerprint(caller, r.Method, r.Host, r.Target, r.Body)
}

// recordCrash records that the first engine of an attempt had stopped before the
// answer had enough events to show that its prompt was not the cause.
func (f *Forwarder) recordCrash(c *call, state snapshot, answering bool) {
	if c.LastEventID != "" || state.events >= quarantiner.ProvenEvents {
		return
	}
	f.cfg.Quarantine.RecordCrash(state.first().ID, c.parts, answering && state.events == 0)
}

// EndQuarantined ends the attempts of requests with a part in quarantine that have no
// event yet, before they crash their engine, too.
func (f *Forwarder) EndQuarantined() {
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
