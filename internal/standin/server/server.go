// Package server holds the code shared by the stand-ins: an HTTP server, JSON
// bodies, switches that are set at run time, connections that become
// unresponsive, and values whose changes are seen after a delay.
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
)

// Limits of the stand-ins' servers.
const (
	maxBodyBytes  = 64 << 20
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the idle timeout of the router's connection
	// pools.
	idleTimeout = 2 * time.Minute
)

// Config configures a server.
type Config struct {
	// Listen is the host:port to serve at.
	Listen string
	// Handler answers the requests.
	Handler http.Handler
	// Silence makes open connections unresponsive on demand; nil means never.
	Silence *Silence
	// Stdout receives one line once the server listens.
	Stdout io.Writer
	// Name is written in that line.
	Name string
	// Grace is the time limit for requests in progress once the context has
	// ended.
	Grace time.Duration
}

// Run serves until the context ends.
func Run(ctx context.Context, cfg Config) error {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return trace.Wrap(err, "listening at %s", cfg.Listen)
	}
	if cfg.Silence != nil {
		listener = cfg.Silence.Listener(listener)
	}
	srv := &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnContext:       connContext,
	}
	_, err = fmt.Fprintf(cfg.Stdout, "%s listening at %s\n", cfg.Name, listener.Addr())
	if err != nil {
		return trace.NewAggregate(err, listener.Close())
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutDown(srv, cfg.Grace)
	})
	err = srv.Serve(listener)
	if stop() {
		return trace.Wrap(err, "serving at %s", cfg.Listen)
	}
	<-stopped
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "serving at %s", cfg.Listen)
}

// shutDown waits for requests in progress for up to the grace period, then closes
// the remaining connections.
func shutDown(srv *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = srv.Shutdown(ctx)
	_ = srv.Close()
}

// Answer writes a value as the JSON body of a response.
func Answer[T any](w http.ResponseWriter, status int, v T) {
	body, err := encoder.JSON(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Body reads a request's whole body.
func Body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return body, trace.Wrap(err, "reading the body")
}

// Decode reads a request's JSON body.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	body, err := Body(w, r)
	if err != nil {
		var zero T
		return zero, err
	}
	return encoder.FromStrictJSON[T](body)
}

// Hang reads the request and leaves it unanswered until the caller disconnects.
func Hang(r *http.Request) {
	// The context ends with the connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	Abort()
}

// Var returns an unescaped path variable of a router that uses encoded paths.
func Var(r *http.Request, name string) string {
	text := mux.Vars(r)[name]
	if unescaped, err := url.PathUnescape(text); err == nil {
		return unescaped
	}
	return text
}

// Abort closes the connection without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Pause waits, and returns false if the context ended first.
func Pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
