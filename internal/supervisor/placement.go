package supervisor

import (
	"slices"
	"strings"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/follower"
	"banyanquay/internal/supervisor/placer"
	"banyanquay/internal/supervisor/tracker"
	"banyanquay/internal/supervisor/watcher"
)

// placement is the group of what gives orders to endpoints; it has no steps if
// the settings don't enable it.
type placement struct {
	steps []grouper.Step
}

func newPlacement(s loader.Settings, id identity, f *follower.Follower, t *tracker.Tracker, w *watcher.Watcher, e driver.Engine, log provider.Log, r *recorder.Recorder, c *counter.Set) placement {
	if !s.Placement.Enabled {
		return placement{}
	}
	p := placer.New(placer.Config{
		Log:           log,
		Engine:        e,
		Node:          s.Address,
		Incarnation:   id.incarnation,
		Live:          t.Live,
		Gone:          func(node, incarnation string) bool { return replaced(t.Nodes(), node, incarnation) },
		Endpoints:     func() []driver.Endpoint { return w.Endpoints().All() },
		Wants:         func() []placer.Want { return wants(f.View().Organisations()) },
		MaxLoads:      s.Placement.Loads,
		LeaseDuration: s.Placement.Lease.Duration,
		RoundInterval: s.Placement.Every.Duration,
		LoadTimeout:   s.Placement.LoadTimeout.Duration,
		Recorder:      r,
		Counters:      c,
	})
	return placement{steps: []grouper.Step{p.Step()}}
}

// replaced tells whether a process that this node has heard of has ended. One
// that it has not heard of yet counts as down, and may well hold the lease.
func replaced(nodes []tracker.Node, address, incarnation string) bool {
	heard := slices.ContainsFunc(nodes, func(n tracker.Node) bool {
		return n.Address == address && n.Incarnation != ""
	})
	return heard && ended(nodes, address, incarnation)
}

// wants returns the model versions that organisations use, each with all the
// adapters that are used with it.
func wants(organisations []describer.Organisation) []placer.Want {
	var all []placer.Want
	for _, o := range organisations {
		for _, m := range models(o) {
			all = want(all, m)
		}
	}
	return all
}

// models returns the template's model and those that it allows.
func models(o describer.Organisation) []describer.Model {
	list := []describer.Model{o.Template.Model}
	for _, entry := range o.Template.Model.Allowed {
		name, _, _ := strings.Cut(entry, ":")
		if m, ok := o.Model(name); ok {
			list = append(list, m)
		}
	}
	return list
}

// want adds a model to the wants.
func want(all []placer.Want, m describer.Model) []placer.Want {
	at := slices.IndexFunc(all, func(w placer.Want) bool { return w.Model == m.Name && w.Version == m.Version })
	if at < 0 {
		at = len(all)
		all = append(all, placer.Want{Model: m.Name, Version: m.Version})
	}
	w := &all[at]
	if m.Adapter != "" && !slices.Contains(w.Adapters, m.Adapter) {
		w.Adapters = append(w.Adapters, m.Adapter)
		slices.Sort(w.Adapters)
	}
	return all
}
