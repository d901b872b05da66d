package detourer

import (
	"context"
	"io"
	"slices"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/linker"
)

// maxHelpersTried bounds the nodes by way of which one call is tried, one after the other.
const maxHelpersTried = 3

// viaHelper makes a call by way of a node that reaches the endpoint, or of the next one while
// the call was not sent. conn is nil if there is an error, and else to be closed.
func (d *Detourer) viaHelper(ctx context.Context, r request) (first message, conn *linker.Conn, helper string, err error) {
	r.RawStrings = true
	if r.Forward != nil {
		held, err := d.cfg.Memory.Reserve(queryCopies * int64(len(r.Forward.Body)))
		if err != nil {
			return message{}, nil, "", &driver.Unsent{Err: err}
		}
		defer held.Release()
	}
	query, err := encoder.CBOR(r)
	if err != nil {
		return message{}, nil, "", &driver.Unsent{Err: err}
	}
	helpers := d.shuffledHelpers()
	if len(helpers) == 0 {
		d.await(ctx, d.check(r.Address))
		helpers = d.shuffledHelpers()
	}
	err = &driver.Unsent{Err: trace.ConnectionProblem(nil, "no other node reaches %s", r.Address)}
	for _, helper := range helpers[:min(len(helpers), maxHelpersTried)] {
		first, conn, err = d.viaNode(ctx, helper, query)
		if err == nil || !isUnsent(err) || ctx.Err() != nil {
			return first, conn, helper, err
		}
	}
	return message{}, nil, "", err
}

// viaNode makes a call by way of one node, and returns the first message of the result. Once
// the query is written, the call counts as unsent only if the node says so.
func (d *Detourer) viaNode(ctx context.Context, node string, query []byte) (message, *linker.Conn, error) {
	conn, sent, err := d.cfg.Open(ctx, node, query)
	if err != nil {
		if ctx.Err() == nil {
			d.dropHelper(node)
		}
		if !sent {
			err = &driver.Unsent{Err: err}
		}
		return message{}, nil, err
	}
	data, err := conn.Receive()
	if err != nil {
		conn.Close()
		if ctx.Err() == nil {
			d.dropHelper(node)
		}
		return message{}, nil, trace.ConnectionProblem(err, "waiting for node %s", node)
	}
	if linker.Unhandled(data) {
		conn.Close()
		d.dropHelper(node)
		return message{}, nil, &driver.Unsent{Err: trace.NotImplemented("node %s makes no calls for others", node)}
	}
	m, err := encoder.FromCBOR[message](data)
	if err != nil {
		// The message may be the answer to a call that the node has made.
		conn.Close()
		d.dropHelper(node)
		return message{}, nil, trace.ConnectionProblem(err, "decoding the answer of node %s", node)
	}
	if m.Failure != nil {
		conn.Close()
		if m.Failure.Unable {
			d.dropHelper(node)
		}
		return message{}, nil, m.Failure.err()
	}
	return m, &conn, nil
}

// control makes a call whose result is one message.
func (d *Detourer) control(ctx context.Context, r request) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	m, conn, helper, err := d.viaHelper(ctx, r)
	if err != nil {
		return message{}, err
	}
	conn.Close()
	if !m.isResult(r.Operation) {
		return message{}, trace.BadParameter("node %s sent no result", helper)
	}
	return m, nil
}

// sendVia sends a request by way of another node.
func (d *Detourer) sendVia(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
	if f.OnDetour != nil {
		f.OnDetour()
	}
	m, conn, helper, err := d.viaHelper(ctx, request{Operation: sendOperation, Address: address, Forward: &f})
	if err != nil {
		d.cfg.Counters.Stages.Add("detours_failed", 1)
		return driver.Reply{}, err
	}
	if m.Reply == nil {
		conn.Close()
		return driver.Reply{}, trace.BadParameter("node %s sent no reply", helper)
	}
	if err := m.Reply.CheckHead(); err != nil {
		conn.Close()
		d.cfg.Counters.Stages.Add("detours_failed", 1)
		return driver.Reply{}, trace.Wrap(err, "reading an answer by way of node %s", helper)
	}
	d.cfg.Counters.Stages.Add("detours", 1)
	reply := *m.Reply
	reply.Via, reply.Body = helper, &body{conn: *conn}
	return reply, nil
}

// body is the body of a reply that arrives by way of another node.
type body struct {
	conn linker.Conn
	// rest is what was received and not read yet, and err what ends the body.
	rest []byte
	err  error
}

// Read returns io.EOF only at the end of a complete body.
func (b *body) Read(buf []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		b.receive()
	}
	n := copy(buf, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// receive receives the next part.
func (b *body) receive() {
	data, err := b.conn.Receive()
	if err != nil {
		b.err = trace.ConnectionProblem(err, "reading by way of another node")
		return
	}
	m, err := encoder.FromCBOR[message](data)
	switch {
	case err != nil:
		b.err = err
	case m.Failure != nil:
		// Whatever it says, the request was sent: its answer has begun.
		b.err = trace.ConnectionProblem(nil, "%s", m.Failure.Text)
	case m.Reply != nil:
		b.err = trace.BadParameter("another answer began within this one")
	case m.End:
		b.err = io.EOF
	default:
		b.rest = m.Data
	}
}

// Close closes the connection, which ends the call.
func (b *body) Close() error {
	b.conn.Close()
	return nil
}

// probeVia asks a node whether an endpoint accepts its connections.
func (d *Detourer) probeVia(ctx context.Context, node, address string) error {
	query, err := encoder.CBOR(request{Operation: probeOperation, Address: address, RawStrings: true})
	if err != nil {
		return err
	}
	m, conn, err := d.viaNode(ctx, node, query)
	if err != nil {
		return err
	}
	conn.Close()
	if !m.isResult(probeOperation) {
		return trace.BadParameter("node %s sent no result", node)
	}
	return nil
}

// shuffledHelpers returns the nodes that reached endpoints when they were last asked, in
// random order, which spreads the calls over them.
func (d *Detourer) shuffledHelpers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	helpers := slices.Clone(d.helpers)
	shuffle(helpers)
	return helpers
}

func (d *Detourer) addHelper(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.helpers, node) {
		d.helpers = append(d.helpers, node)
	}
}

func (d *Detourer) dropHelper(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers = slices.DeleteFunc(d.helpers, func(h string) bool { return h == node })
}
