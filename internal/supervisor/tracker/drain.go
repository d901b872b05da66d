package tracker

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/linker"
)

// errDrainUnsupported is the answer of a node that cannot be drained.
var errDrainUnsupported = trace.NotImplemented("the node cannot be drained")

// peerRequest is what a node asks of another one.
type peerRequest struct {
	_ struct{} `cbor:",toarray"`
	// Drain asks for a planned stop.
	Drain bool
}

// RequestDrain asks the node at address to start its planned stop.
func (t *Tracker) RequestDrain(ctx context.Context, address string) error {
	if address == t.cfg.Address {
		return t.drain()
	}
	if !t.isKnown(address) {
		return refuser.New(refuser.NoSuchNode, "node %s", address)
	}
	if t.cfg.Links == nil {
		return trace.ConnectionProblem(nil, "there are no links to node %s", address)
	}
	body, err := encoder.CBOR(peerRequest{Drain: true})
	if err != nil {
		return err
	}
	_, err = t.cfg.Links.Query(ctx, address, linker.Drains, body)
	return trace.Wrap(err, "draining node %s", address)
}

// isKnown reports whether the snapshot holds a node with this address.
func (t *Tracker) isKnown(address string) bool {
	return slices.ContainsFunc(t.Nodes(), func(n Node) bool { return n.Address == address })
}

// handleRequest answers a peer's request.
func (t *Tracker) handleRequest(body []byte) ([]byte, error) {
	req, err := encoder.FromCBOR[peerRequest](body)
	if err != nil {
		return nil, err
	}
	if !req.Drain {
		return nil, trace.BadParameter("the request asks for no action")
	}
	return nil, t.drain()
}

// drain starts this node's planned stop.
func (t *Tracker) drain() error {
	if t.cfg.Drain == nil {
		return errDrainUnsupported
	}
	t.cfg.Drain()
	return nil
}
