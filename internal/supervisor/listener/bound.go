package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"banyanquay/internal/refuser"
)

// hardLimitFactor times the connection limit is the hard limit on open
// connections. Between the two limits callers are refused, while operators and
// other nodes are still served.
const hardLimitFactor = 2

// overLimitKey is the context key that marks connections over the limit.
type overLimitKey struct{}

// connectionLimiter counts the open connections that are not links to other
// nodes.
type connectionLimiter struct {
	// limit is the maximum number of connections whose callers are served.
	limit int64
	open  atomic.Int64
}

// connContext is the server's ConnContext hook. It counts a new connection,
// marks it if it is over the limit and closes it if it is over the hard limit.
func (c *connectionLimiter) connContext(ctx context.Context, conn net.Conn) context.Context {
	n := c.open.Add(1)
	if n > c.limit*hardLimitFactor {
		_ = conn.Close()
	}
	if n > c.limit {
		return context.WithValue(ctx, overLimitKey{}, true)
	}
	return ctx
}

// connState is the server's ConnState hook. It stops counting connections that
// were closed or became links.
func (c *connectionLimiter) connState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.open.Add(-1)
	}
}

// keyLimiter limits the requests in progress of each API key.
type keyLimiter struct {
	// limit is the maximum number of requests in progress per key.
	limit int
	mu    sync.Mutex
	// inProgress counts requests by key hash; a key without requests has no
	// entry.
	inProgress map[string]int
}

// acquire admits a request unless its key is at the limit. Every admitted
// request must call release exactly once.
func (c *keyLimiter) acquire(keyHash string) (release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress[keyHash] >= c.limit {
		return nil, refuser.New(refuser.TooManyRequests, "the API key already has %d requests in progress", c.limit).WithWait(time.Second)
	}
	c.inProgress[keyHash]++
	return func() { c.release(keyHash) }, nil
}

// release ends a request of a key.
func (c *keyLimiter) release(keyHash string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress[keyHash]--
	if c.inProgress[keyHash] == 0 {
		delete(c.inProgress, keyHash)
	}
}

// serveWithinLimits runs fn unless the connection is over its limit or the key
// at its limit.
func (l *Listener) serveWithinLimits(w http.ResponseWriter, r request, fn callerFunc) error {
	if r.Context().Value(overLimitKey{}) != nil {
		w.Header().Set("Connection", "close")
		refusal := refuser.New(refuser.NodeOverload, "more than %d connections are open", l.cfg.Limits.Connections)
		return l.withOtherNodes(r, refusal.WithWait(time.Second))
	}
	release, err := l.keyLimiter.acquire(r.keyHash)
	if err != nil {
		return err
	}
	defer release()
	return fn(w, r)
}
