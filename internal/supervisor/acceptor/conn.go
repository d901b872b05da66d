package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"banyanquay/internal/bounder"
)

// lingerTime is how long a connection is read, and what it sends thrown away, after the refusal of a
// head: closing it at once would reset it, and the caller might lose the refusal.
const lingerTime = 500 * time.Millisecond

// noMemory refuses a request whose head has not been read. It has not run, and will not.
const noMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeRefusal writes the refusal of a request for whose head there is no memory.
func writeRefusal(w io.Writer) error {
	_, err := io.WriteString(w, noMemory)
	return err
}

// conn is a connection that refuses a request for whose head there is no memory. net/http would
// answer 400.
type conn struct {
	*bounder.Conn
	refuse func(w io.Writer) error
}

// Read reads from the connection, which is at its end after the refusal.
func (c conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !errors.Is(err, bounder.ErrExhausted) {
		return n, err
	}
	if c.SetDeadline(time.Now().Add(lingerTime)) == nil {
		if c.refuse(c.Conn.Conn) == nil && c.CloseWrite() == nil {
			_, _ = io.Copy(io.Discard, c.Conn.Conn) // ends with the caller's connection or the deadline
		}
	}
	return 0, io.EOF
}

// countedListener accepts connections whose heads count against a pool.
type countedListener struct {
	net.Listener
	memory *bounder.Pool
	refuse func(w io.Writer) error
}

// Accept returns the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{Conn: bounder.NewConn(c, l.memory), refuse: l.refuse}, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// CountHeads makes the heads of a server's requests count against a pool until their handlers end.
// The server has to serve the returned listener. A request for whose head there is no memory is
// answered by refuse, and its connection closed.
func CountHeads(server *http.Server, ln net.Listener, memory *bounder.Pool, refuse func(w io.Writer) error) net.Listener {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if counted, ok := c.(conn); ok && (state == http.StateNew || state == http.StateIdle) {
			counted.BeginHead()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(conn); ok {
			if head := c.Head(); head != nil {
				head.End(r.Header)
				defer head.Release()
			}
		}
		next.ServeHTTP(w, r)
	})
	return countedListener{Listener: ln, memory: memory, refuse: refuse}
}
