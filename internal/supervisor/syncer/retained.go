package syncer

import (
	"context"
	"math"
	"slices"
	"time"

	"banyanquay/internal/registrar"
)

// The store may drop the entries of live endpoints while it is away itself. A node whose reads fail can't tell such an
// outage from one of its own, so that it retains what is gone when its reads succeed again, and asks nodes that read the
// store beside it: one that had no outage has dropped what the store removed, and one that had an outage retains what this
// node does. Other nodes are told which entries are only retained; they don't list one again that they know to be gone.

// confirmRetained asks other nodes about the entries that this node retains since it read the store, and those that
// they retain. It does nothing if there are none, but once after each start of reading.
func (s *Syncer) confirmRetained(ctx context.Context) {
	s.mu.Lock()
	due := s.unconfirmed
	s.unconfirmed = due && len(s.Table().RetainedIDs()) > 0
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked := s.confirmers()
	done := make(chan struct{}, len(asked))
	for _, address := range asked {
		go func() {
			defer func() { done <- struct{}{} }()
			sentAt := s.cfg.Now()
			// The whole table is requested whatever its age.
			ans, ok := s.exchange(ctx, address, query{TableAgeMillis: math.MaxInt64, From: s.cfg.Address})
			if ok && ans.Full && ans.TableAgeMillis >= 0 {
				s.applyConfirmation(ans, sentAt.Add(-time.Duration(ans.TableAgeMillis)*time.Millisecond), address)
			}
		}()
	}
	for range asked {
		<-done
	}
}

// confirmers returns the nodes that are asked about retained entries: the readers of other data centres, or some nodes
// if none is known.
func (s *Syncer) confirmers() []string {
	own := func(address string) bool { return address == s.cfg.Address }
	others := slices.DeleteFunc(slices.Clone(s.cfg.Readers()), own)
	if len(others) == 0 {
		others = slices.DeleteFunc(slices.Clone(s.cfg.Peers()), own)
	}
	return others[:min(len(others), maxPeersQueried)]
}

// applyConfirmation drops the retained entries that another node has listed and dropped, if its table is as of a later time
// than that at which they were last listed here. That a table lacks one shows nothing: the node may have started since. It
// retains those that the other node retains, unless this node dropped them.
func (s *Syncer) applyConfirmation(ans answer, asOf time.Time, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Table()
	var gone []string
	if asOf.After(s.listedAt) {
		gone = slices.DeleteFunc(before.RetainedIDs(), func(id string) bool {
			return !slices.Contains(ans.Removed, id) || slices.ContainsFunc(ans.Entries, func(e registrar.Entry) bool { return e.ID == id })
		})
	}
	_, retained := s.splitRetained(ans)
	unknown := slices.DeleteFunc(retained, func(e registrar.Entry) bool {
		_, known := before.Get(e.ID)
		return known
	})
	if len(gone) == 0 && len(unknown) == 0 {
		return
	}
	next := before.WithoutRetained(gone).WithRetained(s.cfg.Now().Add(lapseGracePeriod), unknown)
	s.unconfirmed = s.unconfirmed || len(unknown) > 0
	s.replace(&next)
	s.logChanges(before, &next, address)
}

// splitRetained returns the entries of a full answer that its sender lists, and those that it only retains, without
// those that this node dropped. The caller must hold mu.
func (s *Syncer) splitRetained(ans answer) (listed, retained []registrar.Entry) {
	for _, e := range ans.Entries {
		switch {
		case !ans.Full || !slices.Contains(ans.Removed, e.ID):
			listed = append(listed, e)
		case !s.departed.has(e):
			retained = append(retained, e)
		}
	}
	return listed, retained
}
