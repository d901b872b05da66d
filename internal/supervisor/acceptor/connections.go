package acceptor

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// LateTimeout is how long a stopping server answers what arrives on connections that are open. It
// covers requests that were on their way when the gate closed.
const LateTimeout = 100 * time.Millisecond

// latePollInterval is the time between two looks at the number of open connections.
const latePollInterval = 5 * time.Millisecond

// Connections counts the open connections of a server.
type Connections struct{ open atomic.Int64 }

// CountConnections counts the connections of a server that doesn't serve yet.
func CountConnections(server *http.Server) *Connections {
	c := new(Connections)
	next := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			c.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			c.open.Add(-1)
		}
		if next != nil {
			next(conn, state)
		}
	}
	return c
}

// AwaitLate waits until no connection is open, for at most a timeout. It is to be called between
// the end of the listener and Shutdown, from which on net/http closes idle connections and drops,
// without an answer, the requests that it reads from new ones.
func (c *Connections) AwaitLate(timeout time.Duration) {
	for end := time.Now().Add(timeout); c.open.Load() > 0 && time.Now().Before(end); {
		time.Sleep(latePollInterval)
	}
}
