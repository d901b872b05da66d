package driver

import (
	"context"
	"io"
	"net/http"
	"time"
)

// PathStage is one endpoint of a path and the layers [First, Last) that it runs.
type PathStage struct {
	Address string `cbor:"1,keyasint,omitempty"`
	First   int    `cbor:"2,keyasint,omitempty"`
	Last    int    `cbor:"3,keyasint,omitempty"`
}

// Forward is a caller's request as it is forwarded to an endpoint. It is an
// immutable value.
type Forward struct {
	// ID is the caller's identifier of the request.
	ID     string `cbor:"1,keyasint,omitempty"`
	Method string `cbor:"2,keyasint,omitempty"`
	// Target is the path with its query, exactly as the caller sent it.
	Target string `cbor:"3,keyasint,omitempty"`
	Host   string `cbor:"4,keyasint,omitempty"`
	// Header holds the headers to forward.
	Header http.Header `cbor:"5,keyasint,omitempty"`
	Body   []byte      `cbor:"6,keyasint,omitempty"`
	// Endpoint is the ID of the receiving endpoint.
	Endpoint     string `cbor:"7,keyasint,omitempty"`
	Organisation string `cbor:"8,keyasint,omitempty"`
	// Remaining is the time left until the caller's deadline; 0 if it set none.
	Remaining time.Duration `cbor:"9,keyasint,omitempty"`
	// Path lists the endpoints and their layers, starting with the receiver; empty
	// for plain services.
	Path []PathStage `cbor:"10,keyasint,omitempty"`
	// After is the ID of the last event that the caller has received; empty if it has
	// received none.
	After string `cbor:"11,keyasint,omitempty"`
	// Version is the version of the weights with which the answer began; empty if any
	// version may be used.
	Version string `cbor:"12,keyasint,omitempty"`
	// Priority orders waiting requests, from 0 (first) to 9 (last).
	Priority int `cbor:"13,keyasint,omitempty"`
	// OnConnect, if set, is called when a connection to the endpoint is open, before
	// anything is written. If it returns false, nothing is written, and the request is
	// unsent.
	OnConnect func() bool `cbor:"-"`
	// OnDetour, if set, is called before the request is sent by way of another node.
	OnDetour func() `cbor:"-"`
}

// Reply is an endpoint's response. The receiver must close its body.
type Reply struct {
	Status int           `cbor:"1,keyasint,omitempty"`
	Header http.Header   `cbor:"2,keyasint,omitempty"`
	Body   io.ReadCloser `cbor:"-"`
	// NotRun is set if the endpoint declares that it did not run the request.
	NotRun bool `cbor:"3,keyasint,omitempty"`
	// Fault is the address of the endpoint that caused a refusal; empty if the
	// response names none.
	Fault string `cbor:"4,keyasint,omitempty"`
	// Signed is set if the response comes from the service itself.
	Signed bool `cbor:"5,keyasint,omitempty"`
	// Version is the version of the weights; empty if the response names none.
	Version string `cbor:"6,keyasint,omitempty"`
	// Limit is the number of requests a second that the endpoint takes from all nodes
	// together, and HasLimit is set if the response names one.
	Limit    float64 `cbor:"7,keyasint,omitempty"`
	HasLimit bool    `cbor:"8,keyasint,omitempty"`
	// Backoff is how long the endpoint wants no request from this node, if it turned the
	// request away; 0 if it doesn't say.
	Backoff time.Duration `cbor:"9,keyasint,omitempty"`
	// Leaving is set if the response says that the endpoint leaves.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// Echoed is set if the response repeats the request's ID, as all of an endpoint do.
	Echoed bool `cbor:"11,keyasint,omitempty"`
	// Unframed is set if only the end of its connection marks that of the body. An endpoint
	// that stops closes its connections, too.
	Unframed bool `cbor:"12,keyasint,omitempty"`
	// Via is the address of the node by way of which the endpoint was called; empty if it
	// was called directly.
	Via string `cbor:"-"`
}

// CheckHead checks of a response that another node has read what is checked of the head of one that is
// read here: the node may be of an earlier build.
func (r Reply) CheckHead() error {
	if err := checkStatus(r.Status); err != nil {
		return err
	}
	return checkHeader(r.Header)
}

// Authentic reports whether the response is the endpoint's. Its failures may be unsigned; one
// that doesn't repeat the request's ID either comes from another program at the address.
func (r Reply) Authentic() bool {
	return r.Signed || r.Echoed && r.Status >= http.StatusMultipleChoices
}

// Report is an engine's report of its own state; it is a few hundred ms old.
type Report struct {
	Orders  int64 `cbor:"1,keyasint,omitempty"`
	Busy    bool  `cbor:"2,keyasint,omitempty"`
	Waiting int   `cbor:"3,keyasint,omitempty"`
	Running int   `cbor:"4,keyasint,omitempty"`
	// Pace is the factor by which the engine is slower than usual; 1 is normal speed.
	Pace float64 `cbor:"5,keyasint,omitempty"`
	// Stalled maps each request that waits for another endpoint to the address of
	// that endpoint.
	Stalled map[string]string `cbor:"6,keyasint,omitempty"`
}

// Placement orders an engine to hold the layers [First, Last).
type Placement struct {
	First int `cbor:"1,keyasint,omitempty"`
	Last  int `cbor:"2,keyasint,omitempty"`
	// Fence is the fencing number; an engine that has seen a higher one refuses the
	// order.
	Fence uint64 `cbor:"3,keyasint,omitempty"`
	// Orders is the number of accepted orders that the sender expects the engine to
	// report; an engine with another number refuses the order.
	Orders int64 `cbor:"4,keyasint,omitempty"`
}

// Relay is a client of endpoints that forward requests to each other. Each function
// takes the endpoint's address and returns an error of type *Refused if a different
// endpoint answers there.
type Relay struct {
	// Send forwards a request over a dedicated connection. An *Unsent error means
	// that nothing was written; after any other error the request may have run.
	Send func(ctx context.Context, address string, f Forward) (Reply, error)
	// Probe probes the endpoint: it opens a connection and closes it unused.
	Probe func(ctx context.Context, address string) error
	// Report asks an engine for its state.
	Report func(ctx context.Context, address, endpoint string) (Report, error)
	// Place orders an engine to hold a range of layers. After an error other than
	// *Refused, the engine may still carry out the order at any later time.
	Place func(ctx context.Context, address, endpoint string, p Placement) error
	// ChangePath moves a request in progress to another path with the same first stage.
	// The detail of a *Refused error names the endpoint at fault.
	ChangePath func(ctx context.Context, address, endpoint, request string, path []PathStage) error
	// CutOff reports whether other nodes reach an endpoint that this one doesn't; nil means
	// that this is never known.
	CutOff func(address string) bool
	// NoteUnreachable notes that another node found that no node reaches an endpoint; nil
	// means that nothing is done with that.
	NoteUnreachable func(address string)
}

// ReasonState is the reason for refusing an order that doesn't match the endpoint's
// state.
const ReasonState = "state"
