package follower

import (
	"maps"
	"slices"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/supervisor/follower/reducer"
)

// AcceptedChange is an accepted change without its template, as kept in the history.
type AcceptedChange = reducer.AcceptedChange

// View is the configuration that a node serves. It is an immutable value.
type View struct {
	state reducer.State
	// organisations and byHash are the organisations in force by name and their
	// names by key hash, as of the last complete state.
	organisations map[string]describer.Organisation
	byHash        map[string]string
	// applied is the offset of the first record that organisations and byHash don't
	// include.
	applied provider.Offset
	// ready is set once the state has been complete at the end of the stream.
	ready bool
	// atEnd is set if the newest read reached the end of the stream.
	atEnd bool
	// readAt is when the newest read that reached the end of the stream was started.
	readAt time.Time
	// firstRetained is the oldest retained offset as of the newest read.
	firstRetained provider.Offset
	// snapshotSeenAt is when this node read the newest complete snapshot, by its own
	// clock.
	snapshotSeenAt time.Time
}

// snapshotAsOf returns the AsOf of the newest complete snapshot.
func (v View) snapshotAsOf() provider.Offset {
	offset, _ := v.state.NewestSnapshot()
	return offset
}

// Organisation returns the organisation in force with the given name.
func (v View) Organisation(name string) (describer.Organisation, bool) {
	o, ok := v.organisations[name]
	return o, ok
}

// ByKeyHash returns the organisation that owns the API key with the given hash.
func (v View) ByKeyHash(hash string) (describer.Organisation, bool) {
	name, ok := v.byHash[hash]
	if !ok {
		return describer.Organisation{}, false
	}
	return v.Organisation(name)
}

// Organisations returns the organisations in force, sorted by name.
func (v View) Organisations() []describer.Organisation {
	names := slices.Sorted(maps.Keys(v.organisations))
	list := make([]describer.Organisation, len(names))
	for i, name := range names {
		list[i] = v.organisations[name]
	}
	return list
}

// Published returns the document as published and its revision. After a removal only
// the revision is valid.
func (v View) Published(name string) (describer.Template, describer.Revision, bool) {
	e, ok := v.state.Entry(name)
	return e.Template.Template, e.Revision, ok && !e.Removed
}

// Applied returns the offset before which every change is in force at this node. It
// doesn't advance while the node has a gap.
func (v View) Applied() provider.Offset { return v.applied }

// Ready reports whether the node has ever read the whole configuration.
func (v View) Ready() bool { return v.ready }

// CaughtUp reports whether the view is the fold of the whole stream as of the newest
// read.
func (v View) CaughtUp() bool { return v.state.Complete() && v.atEnd }

// Staleness returns for how long the view may have missed changes.
func (v View) Staleness(now time.Time) time.Duration {
	if v.readAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(v.readAt))
}

// History returns the newest changes of an organisation, oldest first.
func (v View) History(name string) []AcceptedChange {
	e, _ := v.state.Entry(name)
	return slices.Clone(e.History)
}

// withOrganisations returns the view with its state put in force. An incomplete
// state leaves the organisations in force unchanged.
func (v View) withOrganisations() View {
	state := v.state
	if !state.Complete() {
		return v
	}
	organisations := make(map[string]describer.Organisation, len(state.Entries()))
	byHash := make(map[string]string, len(state.Entries()))
	for name, e := range state.Entries() {
		if e.Removed {
			continue
		}
		o, known := v.organisations[name]
		if !known || o.Revision != e.Revision {
			o = expandEntry(e)
		}
		organisations[name] = o
		for _, hash := range o.Template.KeyHashes {
			byHash[hash] = name
		}
	}
	v.organisations, v.byHash, v.applied = organisations, byHash, state.Next()
	return v
}

// expandEntry expands the parameters of an entry's template. A template that was
// published by a newer release may be faulty for this one. Its faults are ignored,
// and the parts that this release understands are served.
func expandEntry(e reducer.Entry) describer.Organisation {
	expanded, _ := describer.Expand(e.Template.Template)
	return describer.Organisation{Template: expanded, Revision: e.Revision}
}
