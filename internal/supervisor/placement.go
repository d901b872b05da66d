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

// placement holds the step that sends load orders to endpoints; it is empty unless
// the settings enable placement.
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
		HasEnded:      func(node, incarnation string) bool { return knownProcessEnded(t.Nodes(), node, incarnation) },
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

// knownProcessEnded reports whether a process at a node with a known incarnation has
// ended. A node without a known incarnation counts as down, although its process may
// still hold the lease.
func knownProcessEnded(nodes []tracker.Node, address, incarnation string) bool {
	known := slices.ContainsFunc(nodes, func(n tracker.Node) bool {
		return n.Address == address && n.Incarnation != ""
	})
	return known && processEnded(nodes, address, incarnation)
}

// wants returns the model versions that organisations use, each with all adapters
// that are used with it.
func wants(organisations []describer.Organisation) []placer.Want {
	var all []placer.Want
	for _, o := range organisations {
		for _, m := range usableModels(o) {
			all = addWant(all, m)
		}
	}
	return all
}

// usableModels returns the template's model and the other models that the template
// allows.
func usableModels(o describer.Organisation) []describer.Model {
	list := []describer.Model{o.Template.Model}
	for _, entry := range o.Template.Model.Allowed {
		name, _, _ := strings.Cut(entry, ":")
		if m, ok := o.Model(name); ok {
			list = append(list, m)
		}
	}
	return list
}

// addWant adds a model to the wanted versions, or its adapter to the version that is
// already there.
func addWant(all []placer.Want, m describer.Model) []placer.Want {
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
