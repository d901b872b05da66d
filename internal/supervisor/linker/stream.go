package linker

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
)

// streamDialTimeout bounds dialling a node and the handshake. It is shorter than that of a
// link: another node can be asked instead.
const streamDialTimeout = 150 * time.Millisecond

// StreamHandler handles a stream: a connection that carries one query to this node and any
// number of messages after it. Its context ends when the peer closes the connection, and the
// connection is closed when it returns.
type StreamHandler func(ctx context.Context, query []byte, send func(message []byte) error)

// HandleStream registers the handler for peers' streams on a subject; call it before the
// step runs.
func (l *Linker) HandleStream(subject Subject, handler StreamHandler) {
	l.streams[subject] = handler
}

// OpenStream sends a query to another node and returns the connection over which the node's
// messages arrive. The end of ctx closes it. If it fails, sent reports whether the node may
// have got the query nevertheless.
func (l *Linker) OpenStream(ctx context.Context, address string, subject Subject, query []byte) (conn Conn, sent bool, err error) {
	h := l.hello()
	h.Query, h.Subject = append([]byte{}, query...), subject
	data, err := encoder.CBOR(h)
	if err != nil {
		return Conn{}, false, err
	}
	if len(data) > maxMessageBytes {
		return Conn{}, false, trace.LimitExceeded("a query of %d bytes is too large", len(data))
	}
	dialCtx, cancel := context.WithTimeout(ctx, streamDialTimeout)
	defer cancel()
	conn, err = l.cfg.Dial(dialCtx, address)
	if err != nil {
		return Conn{}, false, trace.ConnectionProblem(err, "dialling node %s", address)
	}
	closeConn, stop := conn.Close, context.AfterFunc(ctx, conn.Close)
	conn.Close = func() {
		stop()
		closeConn()
	}
	if err := conn.Send(data); err != nil {
		conn.Close()
		return Conn{}, true, trace.ConnectionProblem(err, "sending a query to node %s", address)
	}
	return conn, true, nil
}

// serveStream runs a stream's handler until it returns.
func (l *Linker) serveStream(ctx context.Context, conn Conn, peer hello, handler StreamHandler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	go func() {
		defer cancel()
		for {
			// The peer sends nothing more: what ends this is that it closes the connection.
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	l.cfg.Recorder.Guard("stream", func() { handler(ctx, peer.Query, conn.Send) })
}
