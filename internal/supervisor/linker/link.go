package linker

import (
	"context"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/recorder"
)

// Config configures a Linker.
type Config struct {
	// Address is host:port at which peers reach this node.
	Address string
	// Incarnation distinguishes processes that use the same address.
	Incarnation string
	// Secret is shared by the nodes of the fleet.
	Secret string
	// Dial opens a connection to a node; nil means over a WebSocket.
	Dial func(ctx context.Context, address string) (Conn, error)
	// Memory is the pool for messages over WebSockets; nil means that they aren't counted.
	Memory *bounder.Pool
	// Recorder writes events; nil means none.
	Recorder *recorder.Recorder
	// Counters count messages and bytes; nil means a set of its own.
	Counters *counter.Set
}

// Conn is a connection that carries whole messages.
type Conn struct {
	// Send returns once the message is written, or an error.
	Send func(data []byte) error
	// Receive waits for a message; Close ends the wait.
	Receive func() ([]byte, error)
	// Close may be called more than once.
	Close func()
}

// Link is one connection to a peer. It is an immutable value.
type Link struct {
	// ID is unique in this process.
	ID string
	// Address and Incarnation name the peer's process.
	Address     string
	Incarnation string
	// Dialled is set at the end that opened the link.
	Dialled bool
}

// Topic is one of the protocols that share the links. Its functions must not block.
type Topic struct {
	// LinkUp and LinkDown are called when a link is established and after it is
	// closed.
	LinkUp   func(link Link)
	LinkDown func(link Link)
	// Flush returns the message to send to a link's peer, nil if there is none.
	Flush func(link Link) []byte
	// Receive handles a message from a link's peer.
	Receive func(link Link, body []byte)
	// Unreachable is called when a node to which a link is wanted can't be dialled.
	Unreachable func(address string)
}

// Timeouts and intervals of a link.
const (
	// dialTimeout bounds dialling and the handshake.
	dialTimeout = time.Second
	// heartbeatInterval is the max time between two frames of an idle link.
	heartbeatInterval = 500 * time.Millisecond
	// flushDelay is the time for which urgent changes are collected into one frame.
	flushDelay = 20 * time.Millisecond
	// unresponsiveTimeout is how long a link may receive nothing, or have a frame
	// unacknowledged, before it is closed.
	unresponsiveTimeout = 1250 * time.Millisecond
)
