package supervisor

import (
	"maps"
	"math/rand/v2"
	"slices"

	"banyanquay/internal/provider"
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

// standbysPerCentre is the number of nodes of a data centre that read the store besides its
// reader while the nodes before them have no current data: one may be cut off from the store with the reader.
const standbysPerCentre = 2

// isStandby reports whether this node is among those that read the store themselves while
// the nodes before them have no current data.
func (r *relayNode) isStandby() bool {
	first := r.centreReaders(r.cfg.Settings.Centre, 1+standbysPerCentre)
	return len(first) == 0 || slices.Contains(first, r.cfg.Settings.Address)
}

// standbys returns the standbys of this node's data centre in the order in which they replace
// its reader.
func (r *relayNode) standbys() []string {
	first := r.centreReaders(r.cfg.Settings.Centre, 1+standbysPerCentre)
	return first[min(1, len(first)):]
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
func (r *relayNode) centreReader(centre string) []string { return r.centreReaders(centre, 1) }

// centreReaders returns the first n nodes in the order in which the nodes of a data centre
// read the store for it.
func (r *relayNode) centreReaders(centre string, n int) []string {
	var live []string
	for _, n := range r.tracker.Nodes() {
		if n.Centre == centre && n.Live() && !n.Suspect {
			live = append(live, n.Address)
		}
	}
	return ranker.Of("reader").Top(live, n)
}

// detourPeers returns the other live nodes in random order, one of each data centre first:
// the few nodes that are asked whether they reach an endpoint are then not all behind the
// same partition.
func (r *relayNode) detourPeers() []string {
	byCentre := make(map[string][]string)
	for _, n := range r.tracker.Nodes() {
		if n.Live() && n.Address != r.cfg.Settings.Address {
			byCentre[n.Centre] = append(byCentre[n.Centre], n.Address)
		}
	}
	return takeTurns(byCentre)
}

// takeTurns returns the members of some groups, each time one of each group that has any
// left. The order is random within the groups and between them.
func takeTurns(groups map[string][]string) []string {
	names := slices.Collect(maps.Keys(groups))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	longest := 0
	for _, name := range names {
		members := groups[name]
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		longest = max(longest, len(members))
	}
	var all []string
	for turn := range longest {
		for _, name := range names {
			if turn < len(groups[name]) {
				all = append(all, groups[name][turn])
			}
		}
	}
	return all
}

// centreOf returns the data centre of a node; empty if the node isn't known.
func (r *relayNode) centreOf(address string) string {
	for _, n := range r.tracker.Nodes() {
		if n.Address == address {
			return n.Centre
		}
	}
	return ""
}

// countNodes returns the number of live nodes, which share the endpoints; at least 1.
func (r *relayNode) countNodes() int {
	return r.count(func(string) bool { return true })
}

// countCentreNodes returns the number of live nodes in this node's data centre; at
// least 1.
func (r *relayNode) countCentreNodes() int {
	return r.count(func(centre string) bool { return centre == r.cfg.Settings.Centre })
}

// count returns the number of live nodes in some data centres; at least 1. A node that
// starts knows few others as live, so that it counts those that are listed, too: after
// a restart of all nodes it would take itself for one of few.
func (r *relayNode) count(in func(centre string) bool) int {
	live, listed := 0, 0
	for _, n := range r.tracker.Nodes() {
		if n.Live() && in(n.Centre) {
			live++
		}
	}
	if r.starting() {
		for _, vm := range r.tracker.VMs() {
			if vm.Role == provider.RoleNode && in(vm.Centre) {
				listed++
			}
		}
	}
	return max(live, listed, 1)
}
