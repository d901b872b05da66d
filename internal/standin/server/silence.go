package server

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Silence makes open connections permanently unresponsive while new ones work, as
// when a middlebox between the peers has lost their state.
type Silence struct {
	mu sync.Mutex
	// epoch is shared by the connections accepted since it was created; closing
	// it makes them silent.
	epoch chan struct{}
	// heldOpen are the silent connections that this side has closed; holding them
	// keeps them open towards the peer.
	heldOpen []net.Conn
}

// NewSilence returns a Silence that affects no connection yet.
func NewSilence() *Silence {
	return &Silence{epoch: make(chan struct{})}
}

// Begin silences all connections that are open now.
func (s *Silence) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.epoch)
	s.epoch = make(chan struct{})
}

// currentEpoch returns the epoch of newly accepted connections.
func (s *Silence) currentEpoch() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// holdOpen keeps a connection open towards the peer.
func (s *Silence) holdOpen(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldOpen = append(s.heldOpen, conn)
}

// Listener wraps a listener so that its connections can be silenced.
func (s *Silence) Listener(inner net.Listener) net.Listener {
	return &silentListener{Listener: inner, silence: s}
}

// silentListener accepts connections that can be silenced.
type silentListener struct {
	net.Listener
	silence *Silence
}

// Accept returns the next connection.
func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{
		Conn:    conn,
		silence: l.silence,
		silent:  l.silence.currentEpoch(),
		closed:  make(chan struct{}),
		expired: make(chan struct{}, 1),
	}, nil
}

// silentConn is a connection that can go silent.
type silentConn struct {
	net.Conn
	silence *Silence
	// silent is closed when the connection goes silent.
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
	// expired receives a value when a read deadline in the past is set; it holds
	// at most one.
	expired chan struct{}
	// exempt is set on a connection that never goes silent.
	exempt atomic.Bool
}

// Read discards received data once the connection is silent, and returns only
// when the connection is closed or its deadline has passed.
func (c *silentConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if !c.isSilent() {
		return n, err
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case <-c.expired:
		return 0, os.ErrDeadlineExceeded
	}
}

// Write discards the data once the connection is silent.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close keeps a silent connection open towards the peer: it only ends this
// side's reads.
func (c *silentConn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		if c.isSilent() {
			c.silence.holdOpen(c.Conn)
			return
		}
		err = c.Conn.Close()
	})
	return err
}

// SetReadDeadline also ends a pending read of a silent connection if the deadline
// has passed: the HTTP server sets such a deadline after each request.
func (c *silentConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if t.IsZero() || t.After(time.Now()) {
		return err
	}
	select {
	case c.expired <- struct{}{}:
	default:
	}
	return err
}

func (c *silentConn) isSilent() bool {
	if c.exempt.Load() {
		return false
	}
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connContext stores a request's connection in its context.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Exempt keeps a request's connection from going silent, so that the request that
// triggers the silence is answered.
func Exempt(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*silentConn); ok {
		conn.exempt.Store(true)
	}
}
