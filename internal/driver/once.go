package driver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// once sends a non-idempotent call at most once. It doesn't use http.Transport,
// which may replay requests on its own: the call is written once, to a connection
// that was dialled for it alone.
func (s *service) once(ctx context.Context, address string, call Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout(call))
	defer cancel()
	req, err := newCallRequest(ctx, address, call)
	if err != nil {
		return Answer{}, &Unsent{Err: err}
	}
	conn, err := s.dialProbed(ctx, address)
	if err != nil {
		return Answer{}, &Unsent{Err: err}
	}
	defer conn.Close()
	stop := conn.abortOnDone(ctx)
	defer stop()
	sendErr := conn.send(req)
	var unsent *Unsent
	if errors.As(sendErr, &unsent) {
		return Answer{}, sendErr
	}
	// A service that doesn't read all of the call may have answered it before.
	resp, err := conn.receive(req)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(errors.Join(sendErr, err), "waiting for the response from %s", address)
	}
	defer conn.head.Release()
	return s.newAnswer(resp, address)
}

// dialProbed probes the service with a status request and then opens a connection for one
// call. The call has a connection of its own: a late copy of the status response would be
// taken for its answer.
func (s *service) dialProbed(ctx context.Context, address string) (*callConn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ProbeTimeout)
	defer cancel()
	if err := s.probe(ctx, address); err != nil {
		return nil, trace.Wrap(err, "probing %s", address)
	}
	return dialCall(ctx, address, s.cfg.Budget.Calls)
}

// probe sends a status request over a connection of its own.
func (s *service) probe(ctx context.Context, address string) error {
	conn, err := dialCall(ctx, address, s.cfg.Budget.Reports)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := conn.abortOnDone(ctx)
	err = conn.probe(ctx, address, newKinds(s.cfg.Budget).status)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = conn.checkOpen()
	}
	return err
}

// dialCall opens a connection whose heads count against the pool.
func dialCall(ctx context.Context, address string, pool *bounder.Pool) (*callConn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling %s", address)
	}
	kept := newConn(raw)
	conn := &callConn{Conn: kept, counted: bounder.NewConn(kept, pool)}
	conn.r = bufio.NewReader(conn)
	return conn, nil
}

// callConn is a connection for one status request or one call.
type callConn struct {
	net.Conn
	// counted reads from Conn and counts heads.
	counted *bounder.Conn
	// r reads the response; it must be empty before the call is written.
	r *bufio.Reader
	// written is the number of bytes accepted by the kernel since the last reset.
	written int
	// headLimited is set while the head of a response is read, and headLeft is then
	// the number of bytes that may still be read.
	headLimited bool
	headLeft    int
	// head is the memory of the newest head; nil before the first one.
	head *bounder.Head
}

// Read reads from the connection, and fails once the head of a response is longer
// than maxHeaderBytes.
func (c *callConn) Read(data []byte) (int, error) {
	if !c.headLimited {
		return c.counted.Read(data)
	}
	if c.headLeft <= 0 {
		return 0, trace.LimitExceeded("the head of the response is longer than %d bytes", maxHeaderBytes)
	}
	n, err := c.counted.Read(data[:min(len(data), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// Write counts the bytes that may have been sent.
func (c *callConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += n
	return n, err
}

// abortOnDone makes reads and writes of the connection fail once the context is done.
// The returned function undoes that; it returns false if the context was done first.
func (c *callConn) abortOnDone(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
}

// probe sends a status request and reads the whole response. It fails if the peer is
// about to close the connection or the endpoint is leaving.
func (c *callConn) probe(ctx context.Context, address string, k kind) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := req.Write(c); err != nil {
		return trace.Wrap(err, "requesting the status")
	}
	resp, err := c.receive(req)
	if err != nil {
		return trace.Wrap(err, "waiting for the status")
	}
	defer c.head.Release()
	defer resp.Body.Close()
	body, held, err := k.read(resp.Body)
	defer held.Release()
	if err != nil {
		return trace.Wrap(err, "reading the status")
	}
	if resp.Close {
		return trace.ConnectionProblem(nil, "the peer closes the connection after its status response")
	}
	return checkLeaving(body)
}

// checkLeaving returns an error if the status reports that the endpoint is leaving. It decodes
// nothing else, so that it needs no memory for lists.
func checkLeaving(body []byte) error {
	var status struct {
		Leaving bool `json:"leaving"`
	}
	if json.Unmarshal(body, &status) == nil && status.Leaving {
		return &Refused{Reason: ReasonLeaving}
	}
	return nil
}

// send writes the call. Its error is *Unsent if the kernel accepted no byte of it.
func (c *callConn) send(req *http.Request) error {
	if err := c.checkOpen(); err != nil {
		return &Unsent{Err: err}
	}
	c.written = 0
	err := req.Write(c)
	if err == nil {
		return nil
	}
	if c.written == 0 {
		return &Unsent{Err: err}
	}
	return trace.ConnectionProblem(err, "writing the call")
}

// receive reads the header of the final response and skips interim (1xx) responses. The memory
// of the header is in use until the connection's head is released.
func (c *callConn) receive(req *http.Request) (*http.Response, error) {
	c.headLimited, c.headLeft = true, maxHeaderBytes
	defer func() { c.headLimited = false }()
	c.head = c.counted.BeginHead()
	resp, err := c.readFinalHead(req)
	if err != nil {
		c.head.Release()
		return nil, err
	}
	c.head.End(resp.Header)
	return resp, nil
}

// readFinalHead reads heads up to the one of the final response.
func (c *callConn) readFinalHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			resp.Body.Close()
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}
