package tracker

import (
	"slices"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/replicator"
)

// register connects the core with the links.
func (t *Tracker) register() {
	if t.cfg.Links == nil {
		return
	}
	t.cfg.Links.Handle(linker.Drains, t.handleRequest)
	t.cfg.Links.Register(linker.Nodes, linker.Topic{
		LinkUp: func(l linker.Link) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.core.linkUp(t.cfg.Now(), l.ID, l.Address, l.Dialled)
		},
		LinkDown: func(l linker.Link) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.core.linkDown(t.cfg.Now(), l.ID, l.Address)
		},
		Flush:       t.flush,
		Receive:     t.receive,
		Unreachable: t.dialFailed,
	})
}

// dialFailed passes a failed dial to the core.
func (t *Tracker) dialFailed(address string) {
	t.mu.Lock()
	t.core.dialFailed(t.cfg.Now(), address)
	changes := t.core.takeChanges()
	if len(changes) > 0 {
		t.publish()
	}
	t.mu.Unlock()
	if t.recordChanges(changes) {
		t.flushSoon()
	}
}

// flush returns the message that is due for a link's peer.
func (t *Tracker) flush(l linker.Link) []byte {
	now := t.cfg.Now()
	t.mu.Lock()
	msg := t.core.flush(now, l.ID,
		func(n int) bool { return t.entryLimiter.AllowN(now, n) },
		func(n int) bool { return t.gaugeLimiter.AllowN(now, n) })
	t.mu.Unlock()
	return encode(msg)
}

// merge passes a peer's message to the core and returns the changes.
func (t *Tracker) merge(l linker.Link, msg message) (replicator.Result, []replicator.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.core.receive(t.cfg.Now(), l.ID, l.Address, msg)
	changes := t.core.takeChanges()
	if len(changes) > 0 {
		t.publish()
	}
	return r, changes
}

// receive processes a message from a link's peer.
func (t *Tracker) receive(l linker.Link, body []byte) {
	msg, err := encoder.FromCBOR[message](body)
	if err != nil {
		t.cfg.Counters.Fleet.Add("messages_bad", 1)
		return
	}
	r, changes := t.merge(l, msg)
	if t.recordChanges(changes) || r.Urgent {
		t.flushSoon()
	} else if r.Reply {
		t.cfg.Links.ScheduleLinkFlush(l.ID)
	}
}

// recordChanges records changes and reports whether one of them is urgent.
func (t *Tracker) recordChanges(changes []replicator.Change) (urgent bool) {
	for _, change := range changes {
		urgent = change.Urgent() || urgent
		t.recordChange(change)
	}
	return urgent
}

// recordChange records a change of a node's entry.
func (t *Tracker) recordChange(change replicator.Change) {
	e, old := change.New, change.Old
	node := zap.String("node", e.Address)
	switch {
	case e.Leaving && (!old.Leaving || old.Incarnation != e.Incarnation):
		t.cfg.Recorder.Info(recorder.PeerLeaving, node)
	case e.Incarnation == old.Incarnation && e.Condition == old.Condition:
	case e.Condition == replicator.Up:
		t.cfg.Recorder.Info(recorder.PeerUp, node)
	case e.Condition == replicator.Suspect:
		t.cfg.Recorder.Warn(recorder.PeerSuspect, node)
	case e.Condition == replicator.Down:
		t.cfg.Recorder.Warn(recorder.PeerDown, node)
	}
	t.cfg.Counters.Fleet.Add("nodes_"+e.Condition.String(), 1)
}

// recordUnreachable records the data centres that have become unreachable or
// reachable again.
func (t *Tracker) recordUnreachable() {
	unreachable := t.core.unreachableCentres()
	for _, centre := range unreachable {
		if !slices.Contains(t.recordedUnreachable, centre) {
			t.cfg.Recorder.Warn(recorder.CentreUnreachable, zap.String("centre", centre))
			t.cfg.Counters.Fleet.Add("centres_cut", 1)
		}
	}
	for _, centre := range t.recordedUnreachable {
		if !slices.Contains(unreachable, centre) {
			t.cfg.Recorder.Info(recorder.CentreReachable, zap.String("centre", centre))
		}
	}
	t.recordedUnreachable = unreachable
}
