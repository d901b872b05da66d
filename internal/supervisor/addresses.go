package supervisor

import (
	"net"
	"slices"
	"time"

	"banyanquay/internal/ranker"
	"banyanquay/internal/supervisor/tracker"
)

const (
	// minLocalFrontends is the number of frontends in a caller's data centre below
	// which the caller receives those of all data centres.
	minLocalFrontends = 2
	// maxFrontends is the maximum number of addresses that a caller accepts.
	maxFrontends = 64
)

// addresses returns the frontends that a caller in a data centre may use, and for
// how long the caller may cache them.
func (r *relayNode) addresses(centre string) ([]string, time.Duration) {
	_, port, err := net.SplitHostPort(r.cfg.Settings.Relay.Frontend)
	if err != nil {
		return nil, 0
	}
	all := frontends(r.tracker.Nodes(), centre, port)
	if len(all) > maxFrontends {
		all = ranker.Of(r.identity.incarnation).Top(all, maxFrontends)
	}
	return all, r.reloader.Settings().Relay.DiscoveryTTL.Duration
}

// frontends returns the frontends of the live nodes in a data centre, or of all live
// nodes if the data centre has fewer than minLocalFrontends. A node whose links to
// this one have just ended is left out, since a caller would wait for it. If that
// applies to at least half of the nodes, it is this node that is cut off, and none
// is left out.
func frontends(nodes []tracker.Node, centre, port string) []string {
	live := slices.DeleteFunc(slices.Clone(nodes), func(n tracker.Node) bool { return !n.Live() || n.Suspect })
	linked := slices.DeleteFunc(slices.Clone(live), func(n tracker.Node) bool { return n.Unlinked })
	if 2*len(linked) > len(live) {
		live = linked
	}
	var local, all []string
	for _, n := range live {
		host, _, err := net.SplitHostPort(n.Address)
		if err != nil {
			continue
		}
		frontend := net.JoinHostPort(host, port)
		all = append(all, frontend)
		if n.Centre == centre {
			local = append(local, frontend)
		}
	}
	if len(local) >= minLocalFrontends {
		return local
	}
	return all
}
