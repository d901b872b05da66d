package supervisor

import (
	"net"
	"slices"
	"time"

	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/tracker"
)

const (
	// fewNear is below how many nodes of a caller's data centre it is also given
	// those of others.
	fewNear = 2
	// mostAddresses is how many addresses a caller takes in.
	mostAddresses = 64
)

// addresses are the frontends that a caller of a data centre may use, and for how
// long.
func (r *relay) addresses(centre string) ([]string, time.Duration) {
	_, port, err := net.SplitHostPort(r.cfg.Settings.Relay.Frontend)
	if err != nil {
		return nil, 0
	}
	all := frontends(r.tracker.Nodes(), centre, port)
	if len(all) > mostAddresses {
		all = ranker.Of(r.identity.incarnation).Top(all, mostAddresses)
	}
	return all, r.reloader.Settings().Relay.DiscoveryTTL.Duration
}

// frontends are those of a data centre's nodes, and of all if it has few. A node whose
// links have just ended is left out: a caller would wait for it. If that holds for
// most, it is this node that is cut off.
func frontends(nodes []tracker.Node, centre, port string) []string {
	live := slices.DeleteFunc(slices.Clone(nodes), func(n tracker.Node) bool { return !n.Live() || n.Suspect })
	heard := slices.DeleteFunc(slices.Clone(live), func(n tracker.Node) bool { return n.Lost })
	if 2*len(heard) > len(live) {
		live = heard
	}
	var near, all []string
	for _, n := range live {
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			continue
		}
		frontend := net.JoinHostPort(host, port)
		all = append(all, frontend)
		if n.Centre == centre {
			near = append(near, frontend)
		}
	}
	if len(near) >= fewNear {
		return near
	}
	return all
}
