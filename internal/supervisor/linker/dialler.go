package linker

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
)

// Limits of the delays between two dials of the same node.
const (
	minRedialBackoff = 125 * time.Millisecond
	maxRedialBackoff = 5 * time.Second
	// unreachableThreshold is the number of consecutive failed dials after which the
	// topics are notified that a node is unreachable; each further failure notifies
	// them again.
	unreachableThreshold = 2
)

// hello is the first message that each end sends.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Address     string
	Incarnation string
	// Subject is set on a connection that carries one query and one answer instead of
	// frames, and selects the handler of Query. Earlier builds take a message whose
	// Query is nil for the start of a link.
	Query   []byte
	Subject Subject
}

// isQuery reports whether the message is a query, and not the start of a link.
func (h hello) isQuery() bool { return h.Subject != 0 }

// answer is the reply to a query.
type answer struct {
	_     struct{} `cbor:",toarray"`
	Body  []byte
	Error string
}

// noHandler is the error of a query on a subject that a node doesn't know.
const noHandler = "no handler for this subject"

// Unhandled reports whether a message is the answer of a node that doesn't know the subject
// of a query, and so has done nothing for it.
func Unhandled(message []byte) bool {
	a, err := encoder.FromCBOR[answer](message)
	return err == nil && a.Error == noHandler
}

// maintainLink keeps one link to address up until ctx ends.
func (l *Linker) maintainLink(ctx context.Context, address string) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = minRedialBackoff
	redial.MaxInterval = maxRedialBackoff / 2
	redial.RandomizationFactor = 1
	failures := 0
	for ctx.Err() == nil {
		if l.linked(address) {
			failures = 0
			grouper.Sleep(ctx, heartbeatInterval)
			continue
		}
		s, err := l.open(ctx, address)
		if err == nil {
			failures = 0
			redial.Reset()
			s.run(ctx)
		} else if ctx.Err() == nil {
			failures++
			l.cfg.Counters.Fleet.Add("dials_failed", 1)
			l.reportUnreachable(address, failures)
		}
		grouper.Sleep(ctx, redial.NextBackOff())
	}
}

// reportUnreachable notifies the topics that a node could not be dialled.
func (l *Linker) reportUnreachable(address string, failures int) {
	if failures < unreachableThreshold {
		return
	}
	for _, topic := range l.topics {
		if topic.Unreachable != nil {
			topic.Unreachable(address)
		}
	}
}

// open dials a node and registers the link.
func (l *Linker) open(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.cfg.Dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling node %s", address)
	}
	peer, err := exchange[hello](ctx, conn, l.hello())
	if err == nil && peer.Address != address {
		err = trace.BadParameter("dialled node %s, but the peer's address is %s", address, peer.Address)
	}
	if err != nil {
		conn.Close()
		return nil, trace.Wrap(err, "handshake with node %s", address)
	}
	s, err := l.add(conn, peer, true)
	if err != nil {
		conn.Close()
	}
	return s, err
}

// Query sends a query to another node over a connection of its own and returns the
// answer.
func (l *Linker) Query(ctx context.Context, address string, subject Subject, query []byte) ([]byte, error) {
	conn, err := l.cfg.Dial(ctx, address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dialling node %s", address)
	}
	defer conn.Close()
	h := l.hello()
	h.Query, h.Subject = append([]byte{}, query...), subject
	reply, err := exchange[answer](ctx, conn, h)
	if err != nil {
		return nil, trace.Wrap(err, "querying node %s", address)
	}
	if reply.Error != "" {
		return nil, trace.BadParameter("node %s returned an error: %s", address, reply.Error)
	}
	return reply.Body, nil
}

// hello returns the hello message of this process.
func (l *Linker) hello() hello {
	return hello{Address: l.cfg.Address, Incarnation: l.cfg.Incarnation}
}

// exchange sends a hello message and returns the peer's first message. The end of
// ctx closes the connection.
func exchange[T any](ctx context.Context, conn Conn, h hello) (T, error) {
	var none T
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	data, err := encoder.CBOR(h)
	if err != nil {
		return none, err
	}
	if err := conn.Send(data); err != nil {
		return none, trace.ConnectionProblem(err, "sending the hello message")
	}
	data, err = conn.Receive()
	if err != nil {
		return none, trace.ConnectionProblem(err, "receiving the reply to the hello message")
	}
	return encoder.FromCBOR[T](data)
}

// Accept serves a connection that a peer opened, until it ends.
func (l *Linker) Accept(conn Conn) error {
	defer conn.Close()
	ctx := l.enter()
	if ctx == nil {
		return trace.ConnectionProblem(nil, "linker is not running")
	}
	defer l.running.Done()
	peer, err := l.acceptHello(ctx, conn)
	if err != nil {
		return err
	}
	if handler := l.streams[peer.Subject]; handler != nil {
		l.serveStream(ctx, conn, peer, handler)
		return nil
	}
	if peer.isQuery() {
		return nil
	}
	s, err := l.add(conn, peer, false)
	if err != nil {
		return err
	}
	s.run(ctx)
	return nil
}

// acceptHello receives the peer's hello message and replies to it, unless it begins a
// stream.
func (l *Linker) acceptHello(ctx context.Context, conn Conn) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	data, err := conn.Receive()
	if err != nil {
		return hello{}, trace.ConnectionProblem(err, "receiving the hello message")
	}
	peer, err := encoder.FromCBOR[hello](data)
	if err != nil {
		return hello{}, err
	}
	if peer.Address == l.cfg.Address || peer.Address == "" {
		return hello{}, trace.BadParameter("invalid peer address %q", peer.Address)
	}
	switch {
	case l.streams[peer.Subject] != nil:
		return peer, nil
	case peer.isQuery():
		data, err = encoder.CBOR(l.answerQuery(peer))
	default:
		data, err = encoder.CBOR(l.hello())
	}
	if err != nil {
		return hello{}, err
	}
	return peer, trace.Wrap(conn.Send(data), "replying to the hello message")
}

// answerQuery returns the answer to a peer's query.
func (l *Linker) answerQuery(peer hello) answer {
	handler := l.handlers[peer.Subject]
	if handler == nil {
		return answer{Error: noHandler}
	}
	reply := answer{Error: "unexpected error"}
	l.cfg.Recorder.Guard("query", func() {
		body, err := handler(peer.Query)
		reply = answer{Body: body}
		if err != nil {
			reply = answer{Error: err.Error()}
		}
	})
	return reply
}
