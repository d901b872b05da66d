// Package listener serves callers, operators and other nodes over HTTP.
package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/acceptor"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// Timeouts of the HTTP server. A whole request has none, as it may stream for
// long; each write has its own.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	bodyTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	// refusalTimeout limits the time to send a refusal, before which the server
	// waits for the rest of an unread body.
	refusalTimeout = bodyTimeout + writeTimeout
	// shutdownTimeout limits how long a stopping node waits for callers to read
	// its last answers.
	shutdownTimeout = 5 * time.Second
)

// Path of the state of an idempotency key.
const (
	keyPrefix = "/v1/keys/"
	keyPath   = keyPrefix + "{key}"
)

// Config configures a listener. Its functions must be safe for concurrent use.
type Config struct {
	// Address is the host:port to listen on.
	Address string
	Limits  loader.Limits
	Stop    loader.Stop
	// ByKeyHash returns the organisation that owns the API key with this hash.
	ByKeyHash func(hash string) (describer.Organisation, bool)
	// Ready returns why the node can't serve yet; empty if it can.
	Ready func() string
	// Addresses returns the nodes that an organisation's callers may use, best
	// first.
	Addresses func(organisation string) []string
	// Lookup returns what the ledger records of an idempotency key, and false
	// if this node knows nothing of it.
	Lookup func(organisation, key string) (claimer.Outcome, bool)
	// Chat and Call run requests. RefuseChat and RefuseCall complete the
	// refusal of requests that the closed gate did not admit.
	Chat       func(ctx context.Context, chat dispatcher.Chat, emit runner.Emit) error
	Call       func(ctx context.Context, call dispatcher.Call) (dispatcher.Result, error)
	RefuseChat func(ctx context.Context, chat dispatcher.Chat, r refuser.Refusal) error
	RefuseCall func(ctx context.Context, call dispatcher.Call, r refuser.Refusal) error
	// Budget is the memory for what callers send; an empty one means one of its own.
	Budget bounder.Budget
	// Mounts add the routes of other packages.
	Mounts []func(r *mux.Router)
	// Gate admits requests until it is closed.
	Gate     *Gate
	Centre   string
	Recorder *recorder.Recorder
	Counters *counter.Set
}

// Listener is the node's HTTP server.
type Listener struct {
	cfg        Config
	server     *http.Server
	conns      *connectionLimiter
	keyLimiter *keyLimiter
}

// New returns a listener that is not listening yet.
func New(cfg Config) *Listener {
	cfg.Budget = cfg.Budget.OrDefault()
	l := &Listener{
		cfg:        cfg,
		conns:      &connectionLimiter{limit: int64(cfg.Limits.Connections)},
		keyLimiter: &keyLimiter{limit: cfg.Limits.PerKey, inProgress: make(map[string]int)},
	}
	l.server = &http.Server{
		Handler:           l.limitRequests(l.routes()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    cfg.Limits.HeaderBytes + headerMarginBytes,
		ConnContext:       l.conns.connContext,
		ConnState:         l.conns.connState,
	}
	return l
}

// Step returns the step that serves until its context ends.
func (l *Listener) Step() grouper.Step {
	return grouper.Step{Name: "listener", Run: l.run}
}

// run listens and serves until ctx ends, then closes the remaining connections.
// Before that, the node has waited for the work in progress.
func (l *Listener) run(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.cfg.Address)
	if err != nil {
		return trace.Wrap(err, "listening on %s", l.cfg.Address)
	}
	return l.serve(ctx, ln)
}

// serve serves the connections of ln until ctx ends, then waits for the
// shutdown. The requests in progress then end, as the ledger and the links to other
// nodes stop at the same time; those that still arrive are refused, for at most
// acceptor.LateTimeout.
func (l *Listener) serve(ctx context.Context, ln net.Listener) error {
	ln = acceptor.CountHeads(l.server, ln, l.cfg.Budget.Requests, l.refuseHead)
	conns := acceptor.CountConnections(l.server)
	stop := context.AfterFunc(ctx, func() {
		l.cfg.Gate.Expire()
		_ = ln.Close()
	})
	defer stop()
	if err := l.server.Serve(ln); ctx.Err() == nil || !errors.Is(err, net.ErrClosed) {
		return trace.Wrap(err, "serving on %s", l.cfg.Address)
	}
	conns.AwaitLate(acceptor.LateTimeout)
	l.close()
	return nil
}

// close gives callers up to shutdownTimeout to read answers that are still being written,
// then closes the remaining connections.
func (l *Listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close()
	}
}

// Handler returns the handler of all the node's routes.
func (l *Listener) Handler() http.Handler {
	return l.server.Handler
}

// routes returns the router of every path of the node.
func (l *Listener) routes() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.Handle("/v1/addresses", l.callerHandler(l.addresses)).Methods(http.MethodGet)
	r.Handle("/v1/chat/completions", l.callerHandler(l.chat)).Methods(http.MethodPost)
	r.Handle("/v1/completions", l.callerHandler(l.completion)).Methods(http.MethodPost)
	r.Handle("/v1/services/{service}/{path:.*}", l.callerHandler(l.service))
	r.Handle(keyPath, l.callerHandler(l.lookupKey)).Methods(http.MethodGet)
	r.HandleFunc("/healthz", l.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", l.readyz).Methods(http.MethodGet)
	for _, mount := range l.cfg.Mounts {
		mount(r)
	}
	r.NotFoundHandler = l.refuseAll(refuser.NoSuchPath)
	r.MethodNotAllowedHandler = l.refuseAll(refuser.MethodNotAllowed)
	return r
}

// refuseAll returns a handler that refuses every request with one code.
func (l *Listener) refuseAll(code refuser.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.refuse(w, r, includeEarlierAttempts(r, refuser.New(code, "%s %s", r.Method, loggedPath(r))))
	})
}

// refuse sends, counts and logs a refusal. A node that refuses since it is leaving also
// closes the connection, so that the caller connects to another node.
func (l *Listener) refuse(w http.ResponseWriter, r *http.Request, refusal refuser.Refusal) {
	l.recordRefusal(r, refusal)
	if l.sendsElsewhere(refusal) {
		w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout))
	refusal.Write(w)
}

// sendsElsewhere reports whether the caller is to use another node from now on.
func (l *Listener) sendsElsewhere(refusal refuser.Refusal) bool {
	return refusal.Code == refuser.Leaving || l.cfg.Gate.Closed()
}

// recordRefusal counts and logs a refusal.
func (l *Listener) recordRefusal(r *http.Request, refusal refuser.Refusal) {
	l.cfg.Counters.Refusals.Add(refusal.Code.String(), 1)
	l.cfg.Recorder.Info(recorder.RequestRefused,
		zap.String("path", loggedPath(r)),
		zap.Int("code", int(refusal.Code)),
		zap.Stringer("ran", refusal.Ran),
		zap.String("detail", refusal.Detail))
}

// loggedPath returns a request's path without idempotency keys, which must not
// be logged.
func loggedPath(r *http.Request) string {
	if strings.HasPrefix(r.URL.Path, keyPrefix) {
		return keyPath
	}
	return r.URL.Path
}

// healthz reports that the process is serving.
func (l *Listener) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// readyz reports whether the node may be given work.
func (l *Listener) readyz(w http.ResponseWriter, r *http.Request) {
	if reason := l.cfg.Ready(); reason != "" {
		refuser.New(refuser.NotCaughtUp, "%s", reason).Write(w)
		return
	}
	if l.cfg.Gate.Leaving() {
		refuser.New(refuser.Leaving, "the node is leaving").Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}
