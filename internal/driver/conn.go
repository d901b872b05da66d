package driver

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// conn is a connection on which an answer may arrive while its request is still written. The kernel
// reports a reset once. If a write gets it, the next read reports the end of the connection, as it
// does after an orderly close, which would complete an answer without a length.
type conn struct {
	net.Conn
	raw syscall.RawConn

	// mu is held during each system call that writes: a read that reports the end because a write got
	// the reset finds the error in failed.
	mu sync.Mutex
	// failed is the error of the first write that failed; nil if none did.
	failed error

	// concurrent is set once net/http exchanges requests on the connection, which it reads while it writes.
	// A write that fails then returns after readEnded: net/http closes a connection whose write fails,
	// although the answer may have arrived and only waits to be read.
	concurrent atomic.Bool
	// readEnded is closed once nothing more is read.
	readEnded chan struct{}
	endOnce   sync.Once
}

// newConn returns a connection that keeps the errors of its writes. One without a socket is returned
// as it is.
func newConn(c net.Conn) net.Conn {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return c
	}
	return &conn{Conn: c, raw: raw, readEnded: make(chan struct{})}
}

// SyscallConn returns the socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write writes to the connection.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	var failed error
	err := c.raw.Write(func(fd uintptr) (done bool) {
		for written < len(data) {
			n, err := c.writeOnce(int(fd), data[written:])
			switch {
			case err == nil:
				written += n
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return false
			default:
				failed = os.NewSyscallError("write", err)
				return true
			}
		}
		return true
	})
	if failed != nil {
		if c.concurrent.Load() {
			<-c.readEnded
		}
		err = failed
	}
	return written, err
}

// writeOnce makes one system call, which doesn't block.
func (c *conn) writeOnce(fd int, data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Write(fd, data)
	if err != nil && !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.EAGAIN) && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer closed the connection.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil {
		defer c.endReads()
	}
	if errors.Is(err, io.EOF) {
		if cause := c.brokenOff(); cause != nil {
			err = trace.ConnectionProblem(cause, "the connection broke off while the request was written")
		}
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	defer c.endReads()
	return c.Conn.Close()
}

// endReads says that nothing more is read. It may be called more than once.
func (c *conn) endReads() { c.endOnce.Do(func() { close(c.readEnded) }) }

// brokenOff returns why the connection ended before the peer closed it; nil if it didn't. The first
// write that fails does so with EPIPE if the peer closed the connection before it reset it: all that
// the peer sent has arrived then.
func (c *conn) brokenOff() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.failed, syscall.EPIPE) {
		return nil
	}
	return c.failed
}

// dial returns a function whose connections keep the errors of their writes, and count the heads of
// answers against a pool unless it is nil.
func dial(open bounder.DialFunc, pool *bounder.Pool) bounder.DialFunc {
	keeping := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	if pool == nil {
		return keeping
	}
	return bounder.Dial(keeping, pool)
}
