// Package driver implements the clients of endpoints: model engines that hold layer
// ranges, and plain services. No other package knows their protocols.
package driver

import (
	"context"
	"net/http"
	"time"

	"banyanquay/internal/bounder"
)

// Holding is a range of layers of one model version that an endpoint holds.
type Holding struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// First and Last bound the layers as [First, Last).
	First int `json:"first"`
	Last  int `json:"last"`
	// Layers is the number of layers of the whole model.
	Layers int `json:"layers"`
	// Adapters are the adapters loaded beside the layers.
	Adapters []string `json:"adapters,omitempty"`
}

// Status is an endpoint's report of its own state. Its load figures may be out of
// date.
type Status struct {
	// Incarnation differs between two processes on the same address.
	Incarnation string `json:"incarnation"`
	// Accelerator is the kind of hardware.
	Accelerator string `json:"accelerator,omitempty"`
	// Leaving is set as soon as the endpoint starts to leave.
	Leaving bool `json:"leaving"`
	// Holdings are the layer ranges that are loaded and can serve.
	Holdings []Holding `json:"holdings,omitempty"`
	// Services are the names of the plain services at the address.
	Services []string `json:"services,omitempty"`
	// Running is the number of steps in progress; it lags behind the actual number.
	Running int `json:"running"`
	// Slots is the number of steps that run concurrently; further steps queue.
	Slots int `json:"slots"`
	// StepMillis is the duration of a decode step of one layer without load, in
	// milliseconds.
	StepMillis float64 `json:"step_millis"`
	// Capacity is the number of layers that fit in memory, including those held; 0
	// if unknown.
	Capacity int `json:"capacity,omitempty"`
	// ChecksFence is set if the endpoint refuses orders with an outdated fencing
	// number.
	ChecksFence bool `json:"checks_fence"`
}

// Step asks one stage to run its layers for consecutive positions of a request.
type Step struct {
	// Request is unique across the fleet.
	Request string `json:"request"`
	// Attempt increases with every restart of the request; a stage refuses
	// attempts older than the newest it has seen.
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	// First and Last bound the layers to run as [First, Last).
	First int `json:"first"`
	Last  int `json:"last"`
	// Position is the position of Inputs[0]; a stage accepts each position of
	// an attempt once, in order.
	Position int `json:"position"`
	// Inputs are the prompt and tokens for the first stage (position 0 is
	// the whole prompt, position i the i-th token), otherwise the outputs of the
	// previous stage.
	Inputs []string `json:"inputs"`
	// Fill marks positions that are run only to rebuild a KV cache.
	Fill bool `json:"fill,omitempty"`
	// Priority orders the engine's queue, highest first.
	Priority int `json:"priority,omitempty"`
}

// StepResult is the answer to a Step.
type StepResult struct {
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	// Outputs has one entry per input. After the last layer of the model, the final
	// entry is the next token.
	Outputs []string `json:"outputs"`
}

// Cancel tells a stage to drop all attempts of a request up to Attempt.
type Cancel struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Cache is the exported KV cache of a request for a layer range.
type Cache struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
	// Positions is the number of positions that the cache covers.
	Positions int `json:"positions"`
	// Data is opaque except to engines.
	Data []byte `json:"data"`
}

// Prefixes is a page of an engine's cache events. Events may be delayed or missing.
type Prefixes struct {
	// Next is the sequence number to request the following page from.
	Next uint64 `json:"next"`
	// Events are in sequence order.
	Events []PrefixEvent `json:"events"`
}

// PrefixEvent reports that a prefix was added to or evicted from an engine's cache.
type PrefixEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the engine's block hash of a prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Gone is set when the prefix was evicted.
	Gone bool `json:"gone,omitempty"`
}

// Order tells an endpoint which layer ranges to hold.
type Order struct {
	// Fence is the log offset of the lease; an endpoint that checks it refuses one
	// lower than the highest it has seen.
	Fence uint64 `json:"fence"`
	// Hold is the wanted set of layer ranges.
	Hold []Holding `json:"hold"`
}

// Reasons for which an endpoint refuses a step, as sent in its problem body.
const (
	ReasonLeaving       = "leaving"
	ReasonMissing       = "missing_cache"
	ReasonAttempt       = "old_attempt"
	ReasonPositionTaken = "position_taken"
	ReasonNotHeld       = "not_held"
	ReasonFence         = "old_fence"
	ReasonOverload      = "overload"
)

// Refused is the error of a request that the endpoint itself declared not run.
type Refused struct {
	Reason string `json:"reason" cbor:"1,keyasint,omitempty"`
	Detail string `json:"detail,omitempty" cbor:"2,keyasint,omitempty"`
}

// Error returns the reason and its detail.
func (e *Refused) Error() string {
	return "the endpoint refused: " + e.Reason + " " + e.Detail
}

// Engine is a client of model engines. Every function takes the endpoint's address.
type Engine struct {
	Status   func(ctx context.Context, address string) (Status, error)
	Step     func(ctx context.Context, address string, step Step) (StepResult, error)
	Cancel   func(ctx context.Context, address string, cancel Cancel) error
	Export   func(ctx context.Context, address string, request string) (Cache, error)
	Import   func(ctx context.Context, address string, cache Cache) error
	Prefixes func(ctx context.Context, address string, from uint64) (Prefixes, error)
	Order    func(ctx context.Context, address string, order Order) error
	// Drop discards the pooled connections to the address. Those in use are closed
	// when their request ends.
	Drop func(address string)
}

// Call is a request to a plain service.
type Call struct {
	Method string
	// Path is the path at the service, including the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is sent as the Idempotency-Key header to services that check keys, and
	// Fence as the Fence header to services that check fences.
	Key   string
	Fence uint64
	// Timeout bounds the whole call; 0 means the client's default.
	Timeout time.Duration
}

// Answer is the complete response of a plain service. Whoever gets it calls Release when it is
// no longer used.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// held is the answer's memory; nil if it isn't counted.
	held *bounder.Reservation
}

// Release returns the answer's memory to the budget. It may be called more than once.
func (a Answer) Release() {
	if a.held != nil {
		a.held.Release()
	}
}

// Unsent is the error of a call that failed before any byte of it was written.
type Unsent struct {
	Err error
}

// Error returns the cause of the failure.
func (e *Unsent) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Unsent) Unwrap() error { return e.Err }

// Service is a client of plain services.
type Service struct {
	// Do sends an idempotent call over a connection of its own.
	Do func(ctx context.Context, address string, call Call) (Answer, error)
	// Once probes the service and sends a non-idempotent call at most once, over a
	// connection of its own. An *Unsent error means that nothing was written; after any other
	// error the service may have run the call.
	Once func(ctx context.Context, address string, call Call) (Answer, error)
}

// Endpoint is a node's view of one endpoint. It is an immutable value.
type Endpoint struct {
	// Address is host:port.
	Address string `json:"address"`
	// Centre is its data centre.
	Centre string `json:"centre"`
	// Role is its role in the platform's list of VMs.
	Role string `json:"role"`
	// Status is the last reported status.
	Status Status `json:"status"`
	// Down is set while the endpoint doesn't answer.
	Down bool `json:"down"`
	// Suspect is set while this node alone suspects that the endpoint doesn't answer,
	// until a poll confirms or refutes it.
	Suspect bool `json:"doubted,omitempty"`
}

// Serving reports whether new work may be sent to the endpoint.
func (e Endpoint) Serving() bool {
	return e.Usable() && !e.Suspect
}

// Usable reports whether new work may be sent to the endpoint if no other one is
// serving.
func (e Endpoint) Usable() bool {
	return !e.Down && !e.Status.Leaving
}
