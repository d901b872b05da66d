package supervisor

import (
	"context"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/tracker"
	"banyanquay/internal/supervisor/watcher"
)

// requestsPerSlot is the number of chat requests in progress for each slot of an
// engine. It is above 1 because a request holds one slot at a time, and none while
// it is on its way between two stages.
const requestsPerSlot = 1.7

// sizeInterval is the time between two adjustments of the limit.
const sizeInterval = time.Second

// sizer adjusts this node's limit of chat requests in progress to the slots of the
// fleet, so that requests queue at the nodes, where the queue is fair and refuses
// requests in time, and not at the engines.
type sizer struct {
	chats     *admitter.Admitter
	limit     int
	address   string
	nodes     func() []tracker.Node
	endpoints func() []driver.Endpoint
}

func newSizer(s loader.Settings, a admitters, t *tracker.Tracker, w *watcher.Watcher) sizer {
	return sizer{
		chats:     a.chats,
		limit:     s.Limits.Running,
		address:   s.Address,
		nodes:     t.Nodes,
		endpoints: func() []driver.Endpoint { return w.Endpoints().All() },
	}
}

// step adjusts the limit until its context ends.
func (z sizer) step() grouper.Step {
	return grouper.Step{Name: "sizer", Run: func(ctx context.Context) error {
		tick := time.NewTicker(sizeInterval)
		defer tick.Stop()
		for {
			z.chats.Resize(chatLimit(z.endpoints(), z.nodes(), z.address, z.chats.Running(), z.limit))
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
		}
	}}
}

// growthDivisor limits how far a node may go beyond its requests in progress in each
// interval: by the requests of the whole fleet divided by growthDivisor. The loads
// of other nodes are known with a delay, so nodes that grew at once would together
// use the free slots several times over.
const growthDivisor = 8

// chatLimit returns how many chat requests may be in progress at a node. The target
// is the fleet's limit less the requests of the other nodes, but at least an equal
// share and at most limit. It is approached step by step from the requests that are
// running. chatLimit returns limit if no slots are known.
func chatLimit(endpoints []driver.Endpoint, nodes []tracker.Node, address string, running, limit int) int {
	slots := 0
	for _, e := range endpoints {
		if e.Serving() && len(e.Status.Holdings) > 0 {
			slots += e.Status.Slots
		}
	}
	if slots == 0 {
		return limit
	}
	live, others := 1, 0
	for _, n := range nodes {
		if n.Address != address && n.Live() {
			live++
			others += n.Load
		}
	}
	total := int(requestsPerSlot * float64(slots))
	available := min(total-others, running+total/growthDivisor)
	return min(max(available, total/live, 1), limit)
}
