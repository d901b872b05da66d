package supervisor

import (
	"slices"

	"banyanquay/internal/ranker"
)

// maxRemoteReaders is the maximum number of other data centres whose reader is queried
// while the reader of this node's data centre doesn't answer.
const maxRemoteReaders = 2

// isReader reports whether this node reads the store for the others in its data
// centre.
func (r *relayNode) isReader() bool {
	first := r.centreReader(r.cfg.Settings.Centre)
	return len(first) == 0 || first[0] == r.cfg.Settings.Address
}

// readers returns the nodes that read the store: first the reader of the own data
// centre, then those of up to maxRemoteReaders others.
func (r *relayNode) readers() []string {
	readers := r.centreReader(r.cfg.Settings.Centre)
	for _, centre := range ranker.Of(r.cfg.Settings.Address).Top(r.otherCentres(), maxRemoteReaders) {
		readers = append(readers, r.centreReader(centre)...)
	}
	return readers
}

// otherCentres returns the data centres of the other nodes but for this node's own.
func (r *relayNode) otherCentres() []string {
	var centres []string
	for _, n := range r.tracker.Nodes() {
		if n.Centre != r.cfg.Settings.Centre && n.Centre != "" && !slices.Contains(centres, n.Centre) {
			centres = append(centres, n.Centre)
		}
	}
	return centres
}

// centreReader returns the node that reads the store for the others in its data
// centre, or none if the data centre has no live node that isn't suspect.
func (r *relayNode) centreReader(centre string) []string {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Centre == centre && n.Live() && !n.Suspect {
			live = append(live, n.Address)
		}
	}
	return ranker.Of("reader").Top(live, 1)
}
