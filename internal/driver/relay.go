package driver

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Part is one endpoint's share of a path: the layers [First, Last).
type Part struct {
	Address string
	First   int
	Last    int
}

// Forward is a caller's request as it goes to an endpoint. It is an immutable
// value.
type Forward struct {
	// ID is the caller's name of the request.
	ID     string
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte
	// Endpoint is the ID of the endpoint that the request is for.
	Endpoint     string
	Organisation string
	// Remaining is the time that the caller still waits; 0 if it didn't say.
	Remaining time.Duration
	// Path names who runs which layers, the receiver first; empty for plain
	// services.
	Path []Part
	// After is the ID of the last event that the caller has; empty at first.
	After string
	// Version is the version of the weights that the answer began with;
	// empty if any will do.
	Version string
	// Priority is the rank among waiting requests, 0 first and 9 last.
	Priority int
}

// Reply is an endpoint's answer. Its body must be closed.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// Fault is the address of the endpoint that is the cause of a refusal, if
	// the answer names one.
	Fault string
	// Signed is set for an answer that the service itself made.
	Signed bool
	// Version is the version of the weights; empty if the answer has none.
	Version string
}

// Report is what an engine says of itself; it is some hundred ms old.
type Report struct {
	Orders  int64
	Busy    bool
	Waiting int
	Running int
	// Pace is how many times slower than usual the engine is.
	Pace float64
	// Stalled maps requests that wait for another endpoint to its address.
	Stalled map[string]string
}

// Placement orders an engine to hold the layers [First, Last).
type Placement struct {
	First int
	Last  int
	// Fence is refused by an engine that has seen a higher one.
	Fence uint64
	// Orders is the count of accepted orders on which the order depends.
	Orders int64
}

// Relay calls endpoints that pass requests among themselves. Each function
// takes the endpoint's address; one at which another endpoint answers returns
// an error of type *Refused.
type Relay struct {
	// Send forwards a request over a connection of its own. An *Unsent error
	// means that nothing was written; after any other it may have run.
	Send func(ctx context.Context, address string, f Forward) (Reply, error)
	// Knock opens a connection and closes it unused.
	Knock func(ctx context.Context, address string) error
	// Report asks an engine for its state.
	Report func(ctx context.Context, address, endpoint string) (Report, error)
	// Place orders an engine to hold a range of layers. After an error other
	// than *Refused it may act on the order at any time.
	Place func(ctx context.Context, address, endpoint string, p Placement) error
	// Repath moves a request in progress to another path with the same first
	// part. A *Refused error names the endpoint at fault in its detail.
	Repath func(ctx context.Context, address, endpoint, request string, path []Part) error
}

// ReasonState tells that an order doesn't fit the endpoint's state.
const ReasonState = "state"
