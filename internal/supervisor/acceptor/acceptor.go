// Package acceptor serves HTTP on an address while its step runs.
package acceptor

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
	"banyanquay/internal/grouper"
)

// Config holds the handler, its address and the limits of its connections.
type Config struct {
	// Name appears in errors.
	Name    string
	Address string
	Handler http.Handler
	// HeaderTimeout limits the time for reading a request's header, and IdleTimeout
	// the time that a connection may stay idle. 0 means no limit.
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// Memory is the pool for the heads of requests; nil means that they aren't counted.
	Memory *bounder.Pool
	// lateTimeout replaces LateTimeout in tests; 0 means LateTimeout.
	lateTimeout time.Duration
}

// drainTimeout is how long a stop waits for requests in flight. Longer ones have to be
// waited for before the context is cancelled; this covers those that were accepted
// just then.
const drainTimeout = 100 * time.Millisecond

// Step serves until its context ends. It then accepts no more, answers the requests that arrive
// on open connections, for at most LateTimeout, and those that it has accepted, for at most
// drainTimeout more, and closes all connections.
func Step(cfg Config) grouper.Step {
	return grouper.Step{Name: cfg.Name, Run: func(ctx context.Context) error {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", cfg.Address)
		if err != nil {
			return trace.Wrap(err, "listening on %s for %s", cfg.Address, cfg.Name)
		}
		return serve(ctx, cfg, ln)
	}}
}

// serve serves the connections of ln until ctx ends, then stops as Step says.
func serve(ctx context.Context, cfg Config, ln net.Listener) error {
	server := &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
	}
	if cfg.Memory != nil {
		ln = CountHeads(server, ln, cfg.Memory, writeRefusal)
	}
	conns := CountConnections(server)
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	if err := server.Serve(ln); ctx.Err() == nil || !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err, "serving %s on %s", cfg.Name, cfg.Address)
	}
	conns.AwaitLate(cmp.Or(cfg.lateTimeout, LateTimeout))
	drain(server)
	return nil
}

// drain waits for the requests in flight, then closes all connections.
func drain(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // what is left doesn't end by itself
	}
}
