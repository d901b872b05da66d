// Package acceptor serves HTTP on an address for as long as its group runs.
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

// Config says what to serve where.
type Config struct {
	// Name appears in errors.
	Name    string
	Address string
	Handler http.Handler
	// HeaderTimeout and IdleTimeout bound how long a caller may take for a
	// request's header and stay idle; 0 means no bound.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	HeaderBytes   int
}

// Step serves until its context ends. Work in progress is waited for before
// that; what is left is cut.
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
			MaxHeaderBytes:    cfg.HeaderBytes,
		}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serving %s on %s", cfg.Name, cfg.Address)
		}
		return nil
	}}
}
