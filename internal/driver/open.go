package driver

import (
	"io"
	"syscall"

	"github.com/gravitational/trace"
)

// checkOpen returns an error if the peer has closed the connection or has sent
// unsolicited data. It does not block.
func (c *callConn) checkOpen() error {
	if c.r.Buffered() > 0 {
		return trace.ConnectionProblem(nil, "the peer sent unsolicited data")
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		peekErr = peek(int(fd))
		return true
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return peekErr
}

// peek reads from a non-blocking socket and returns an error if the read returns
// data, end of file or a failure.
func peek(fd int) error {
	var buf [1]byte
	n, err := syscall.Read(fd, buf[:])
	switch {
	case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
		return nil
	case err != nil:
		return trace.ConnectionProblem(err, "checking the connection")
	case n == 0:
		return trace.ConnectionProblem(io.EOF, "the peer closed the connection")
	default:
		return trace.ConnectionProblem(nil, "the peer sent unsolicited data")
	}
}
