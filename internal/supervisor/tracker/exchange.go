package tracker

import (
	"slices"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/linker"
	"banyanquay/internal/supervisor/spreader"
)

// register connects the core with the links.
func (t *Tracker) register() {
	if t.cfg.Links == nil {
		return
	}
	t.cfg.Links.Answer(linker.Drains, t.answer)
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
		Flush:      t.flush,
		Receive:    t.receive,
		Unanswered: t.unanswered,
	})
}

// unanswered hands a failed dial to the core.
func (t *Tracker) unanswered(address string) {
	t.mu.Lock()
	t.core.unanswered(t.cfg.Now(), address)
	changes := t.core.takeChanges()
	if len(changes) > 0 {
		t.publish()
	}
	t.mu.Unlock()
	if t.record(changes) {
		t.kick()
	}
}

// flush returns what a link's peer has to be told.
func (t *Tracker) flush(l linker.Link) []byte {
	now := t.cfg.Now()
	t.mu.Lock()
	msg := t.core.flush(now, l.ID,
		func(n int) bool { return t.entries.AllowN(now, n) },
		func(n int) bool { return t.gauges.AllowN(now, n) })
	t.mu.Unlock()
	return encode(msg)
}

// receive takes what a link's peer told.
func (t *Tracker) receive(l linker.Link, body []byte) {
	msg, err := encoder.FromCBOR[message](body)
	if err != nil {
		t.cfg.Counters.Fleet.Add("messages_bad", 1)
		return
	}
	t.mu.Lock()
	r := t.core.receive(t.cfg.Now(), l.ID, l.Address, msg)
	changes := t.core.takeChanges()
	if len(changes) > 0 {
		t.publish()
	}
	t.mu.Unlock()
	if t.record(changes) || r.Urgent {
		t.kick()
	} else if r.Reply {
		t.cfg.Links.KickLink(l.ID)
	}
}

// record records changes and tells whether one of them is urgent.
func (t *Tracker) record(changes []spreader.Change) (urgent bool) {
	for _, change := range changes {
		urgent = change.Urgent() || urgent
		t.recordOne(change)
	}
	return urgent
}

// recordOne records a change of a node's entry.
func (t *Tracker) recordOne(change spreader.Change) {
	e, old := change.New, change.Old
	node := zap.String("node", e.Address)
	switch {
	case e.Leaving && (!old.Leaving || old.Incarnation != e.Incarnation):
		t.cfg.Recorder.Info(recorder.PeerLeaving, node)
	case e.Incarnation == old.Incarnation && e.Condition == old.Condition:
	case e.Condition == spreader.Up:
		t.cfg.Recorder.Info(recorder.PeerUp, node)
	case e.Condition == spreader.Suspect:
		t.cfg.Recorder.Warn(recorder.PeerSuspect, node)
	case e.Condition == spreader.Down:
		t.cfg.Recorder.Warn(recorder.PeerDown, node)
	}
	t.cfg.Counters.Fleet.Add("nodes_"+e.Condition.String(), 1)
}

// recordCuts records the data centres that have been cut off or come back.
func (t *Tracker) recordCuts() {
	cut := t.core.cutCentres()
	for _, centre := range cut {
		if !slices.Contains(t.cut, centre) {
			t.cfg.Recorder.Warn(recorder.CentreUnreachable, zap.String("centre", centre))
			t.cfg.Counters.Fleet.Add("centres_cut", 1)
		}
	}
	for _, centre := range t.cut {
		if !slices.Contains(cut, centre) {
			t.cfg.Recorder.Info(recorder.CentreReachable, zap.String("centre", centre))
		}
	}
	t.cut = cut
}
