package supervisor

import (
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/administrator"
	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/runner"
	"banyanquay/internal/supervisor/follower"
	"banyanquay/internal/supervisor/tracker"
	"banyanquay/internal/supervisor/watcher"
)

// processEnded reports whether a process is known to have ended: its node is down or
// has another incarnation.
func processEnded(nodes []tracker.Node, address, incarnation string) bool {
	for _, n := range nodes {
		if n.Address == address {
			return n.Down || (n.Incarnation != "" && n.Incarnation != incarnation)
		}
	}
	return false
}

// beginStep counts a step as started and returns the function that ends it. A step
// that the limiter doesn't admit runs nevertheless, since its pipeline is in
// progress; the limiter counts only the steps that it admits, so only their ends are
// reported to it.
func beginStep(l *limiter.Limiter, flights *runner.InFlight, address string) func(time.Duration, error) {
	flights.Begin(address)
	counted := l.Begin(address)
	return func(took time.Duration, err error) {
		flights.End(address)
		if counted {
			l.End(address, took, err)
		}
	}
}

// endpointLoad returns an endpoint's load as measured by the limiter, except that
// InFlight counts all of this node's steps in flight.
func endpointLoad(l *limiter.Limiter, flights *runner.InFlight, address string) planner.Load {
	load := l.Load(address)
	load.InFlight = flights.Count(address)
	return load
}

// serviceAddresses returns the addresses of the endpoints of a plain service, in the
// organisation's rendezvous order, which spreads the organisations over them.
// Endpoints that only this node suspects come last.
func serviceAddresses(endpoints []driver.Endpoint, organisation, service string) []string {
	var serving, suspects []string
	for _, e := range endpoints {
		switch {
		case !slices.Contains(e.Status.Services, service):
		case e.Serving():
			serving = append(serving, e.Address)
		case e.Usable():
			suspects = append(suspects, e.Address)
		}
	}
	order := ranker.Of(organisation)
	return slices.Concat(order.Top(serving, len(serving)), order.Top(suspects, len(suspects)))
}

// nodeViews returns the nodes as the administration API shows them.
func nodeViews(nodes []tracker.Node) []administrator.NodeView {
	views := make([]administrator.NodeView, 0, len(nodes))
	for _, n := range nodes {
		views = append(views, administrator.NodeView{
			Address:     n.Address,
			Centre:      n.Centre,
			State:       nodeState(n),
			Incarnation: n.Incarnation,
			Applied:     provider.Offset(n.Applied),
			CaughtUp:    n.Applied > 0,
			Down:        n.Down,
		})
	}
	return views
}

// nodeState returns the name of a node's state.
func nodeState(n tracker.Node) string {
	switch {
	case n.Down:
		return "down"
	case n.Unreachable:
		return "unreachable"
	case n.Leaving:
		return "leaving"
	case n.Suspect:
		return "suspect"
	default:
		return "live"
	}
}

// throughputBounds returns the maximum throughput of the hardware for each model
// version that an organisation's template names.
func throughputBounds(view follower.View, endpoints []driver.Endpoint) administrator.ThroughputBound {
	var b administrator.ThroughputBound
	seen := make(map[administrator.ModelBound]bool)
	for _, org := range view.Organisations() {
		model := org.Template.Model
		key := administrator.ModelBound{Model: model.Name, Version: model.Version}
		if seen[key] {
			continue
		}
		seen[key] = true
		key.Tokens = planner.MaxThroughput(model.Name, model.Version, endpoints).TokensPerSecond
		b.Models = append(b.Models, key)
	}
	return b
}

// notReadyReason returns why the node can't serve callers yet, or "" if it can.
func notReadyReason(f *follower.Follower, w *watcher.Watcher) string {
	if !f.Ready() {
		return "the configuration has not been read to its end"
	}
	if !w.Complete() {
		return "the endpoints have not been polled yet"
	}
	return ""
}
