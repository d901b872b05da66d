package bounder

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

const (
	// headFactor and lineOverhead give the memory of a parsed head: a factor of its bytes, and as
	// many bytes for each line. Headers with short names of their own take about that much in a
	// map. A factor alone would make the usual heads, whose lines are longer, large readers.
	headFactor   = 2
	lineOverhead = 128
	// valueOverhead is the memory of a header's value besides its text, in bytes.
	valueOverhead = 100
)

var newline = []byte{'\n'}

// Conn is a connection whose heads count against a pool while they are read.
type Conn struct {
	net.Conn
	pool *Pool
	mu   sync.Mutex
	// head is the head that is being read; nil if none is.
	head *Head
}

// NewConn returns a connection that reads no head yet.
func NewConn(conn net.Conn, pool *Pool) *Conn {
	return &Conn{Conn: conn, pool: pool}
}

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function whose connections are *Conn.
func Dial(dial DialFunc, pool *Pool) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn, pool), nil
	}
}

// BeginHead returns the head to which belongs what is read from now on.
func (c *Conn) BeginHead() *Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &Head{conn: c, held: &Reservation{pool: c.pool}}
	return c.head
}

// Head returns the head that is being read; nil if none is.
func (c *Conn) Head() *Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// Read reads from the connection. It fails with ErrExhausted if there is no memory for a head.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.head.size += headFactor*int64(n) + lineOverhead*int64(bytes.Count(data[:n], newline))
		if err := c.head.held.Resize(c.head.size); err != nil {
			return 0, err
		}
	}
	return n, err
}

// CloseWrite closes the writing side, if the connection has sides. net/http's server does so
// before it closes a connection whose peer may still be sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what happens to unsent data on Close, if the connection is one of TCP.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// Close closes the connection, and releases a head that is being read.
func (c *Conn) Close() error {
	if h := c.Head(); h != nil {
		h.Release()
	}
	return c.Conn.Close()
}

// Head is the memory of one head.
type Head struct {
	conn *Conn
	held *Reservation
	// size is the memory of what has been read so far, guarded by the connection's mutex.
	size int64
}

// End says that the head has been read. Its memory, which is known now, is in use until Release.
func (h *Head) End(header http.Header) {
	h.leave()
	h.held.Shrink(HeaderSize(header))
}

// Release says that the head is no longer used. It may be called more than once.
func (h *Head) Release() {
	h.leave()
	h.held.Release()
}

// leave makes what is read from now on not count for the head.
func (h *Head) leave() {
	h.conn.mu.Lock()
	defer h.conn.mu.Unlock()
	if h.conn.head == h {
		h.conn.head = nil
	}
}

// HeaderSize returns the approximate memory of a header in bytes.
func HeaderSize(header http.Header) int64 {
	size := int64(0)
	for name, values := range header {
		size += int64(len(name))
		for _, value := range values {
			size += int64(len(value)) + valueOverhead
		}
	}
	return size
}
