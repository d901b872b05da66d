package administrator

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/responder"
)

// NodeList is the answer to GET /nodes.
type NodeList struct {
	Nodes []NodeView `json:"nodes"`
}

// EndpointList is the answer to GET /endpoints.
type EndpointList struct {
	Endpoints []driver.Endpoint `json:"endpoints"`
}

// NodeOffset is a node's progress in the configuration stream.
type NodeOffset struct {
	Address  string          `json:"address"`
	Applied  provider.Offset `json:"applied"`
	CaughtUp bool            `json:"caught_up"`
}

// OffsetList is the answer to GET /offsets.
type OffsetList struct {
	Nodes []NodeOffset `json:"nodes"`
}

// nodes answers with the nodes known to this node.
func (a *Administrator) nodes(context.Context, *http.Request) (NodeList, error) {
	return NodeList{Nodes: nonNil(a.cfg.Nodes())}, nil
}

// endpoints answers with the endpoints known to this node.
func (a *Administrator) endpoints(context.Context, *http.Request) (EndpointList, error) {
	return EndpointList{Endpoints: nonNil(a.cfg.Endpoints())}, nil
}

// offsets answers with what each node that isn't down has applied.
func (a *Administrator) offsets(context.Context, *http.Request) (OffsetList, error) {
	list := OffsetList{Nodes: []NodeOffset{}}
	for _, n := range a.cfg.Nodes() {
		if n.Down {
			continue
		}
		list.Nodes = append(list.Nodes, NodeOffset{Address: n.Address, Applied: n.Applied, CaughtUp: n.CaughtUp})
	}
	return list, nil
}

// drain asks a node to leave the fleet.
func (a *Administrator) drain(ctx context.Context, r *http.Request) (responder.Empty, error) {
	return responder.Empty{}, a.cfg.Drain(ctx, mux.Vars(r)["address"])
}

// bound answers with the maximum throughput that the hardware allows.
func (a *Administrator) bound(context.Context, *http.Request) (ThroughputBound, error) {
	return a.cfg.Bound(), nil
}

// nonNil returns an empty list for nil, so that JSON has [] and not null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
