// Package acceptor serves HTTP on an address while its step runs.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

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
}

// Step serves until its context ends, then closes all connections at once. Requests
// in flight have to be waited for before the context is cancelled.
func Step(cfg Config) grouper.Step {
	return grouper.Step{Name: cfg.Name, Run: func(ctx context.Context) error {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", cfg.Address)
		if err != nil {
			return trace.Wrap(err, "listening on %s for %s", cfg.Address, cfg.Name)
		}
		server := &http.Server{
			Handler:           cfg.Handler,
			ReadHeaderTimeout: cfg.HeaderTimeout,
			IdleTimeout:       cfg.IdleTimeout,
			MaxHeaderBytes:    cfg.MaxHeaderBytes,
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serving %s on %s", cfg.Name, cfg.Address)
		}
		return nil
	}}
}
