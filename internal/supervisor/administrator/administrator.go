// Package administrator serves the administration API.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
	"banyanquay/internal/responder"
	"banyanquay/internal/supervisor/follower"
)

// Prefix is the path of the administration API.
const Prefix = "/v1/admin"

// maxTemplateBytes bounds the body of a template.
const maxTemplateBytes = 1 << 20

// Operator is someone who may use the administration API.
type Operator struct {
	// Name appears in the history of what the operator changes.
	Name string
	// KeyHash is the SHA-256 hash of the operator's key in hexadecimal.
	KeyHash string
}

// NodeView is what the API tells of a node.
type NodeView struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// State is the membership state's name.
	State string `json:"state"`
	// Incarnation differs between two processes on the same address.
	Incarnation string `json:"incarnation,omitempty"`
	// Applied is the offset before which every change is in force there.
	Applied provider.Offset `json:"applied"`
	// CaughtUp tells whether the node serves the whole configuration.
	CaughtUp bool `json:"caught_up"`
	// Down nodes are not waited for.
	Down bool `json:"down"`
}

// Config gives an administrator what it works with.
type Config struct {
	// View returns the node's configuration.
	View func() follower.View
	// Publish changes an organisation.
	Publish func(ctx context.Context, change follower.Change) (follower.Outcome, error)
	// Restore puts this node's last known configuration in force.
	Restore func(ctx context.Context) (follower.Outcome, error)
	// Operators may use the API; their keys are none of the callers'.
	Operators []Operator
	Counters  *counter.Set
	Now       func() time.Time
	// Nodes returns the live nodes, this one included.
	Nodes func() []NodeView
	// Endpoints returns the endpoints that the node knows.
	Endpoints func() []driver.Endpoint
	// Drain makes a node leave.
	Drain func(ctx context.Context, address string) error
	// Bound returns the throughput that the hardware allows.
	Bound func() Bound
}

// Bound is the throughput that the hardware allows, by model.
type Bound struct {
	Models []ModelBound `json:"models"`
}

// ModelBound is one model version's bound.
type ModelBound struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Tokens is in tokens a second.
	Tokens float64 `json:"tokens_per_second"`
}

// Administrator holds the handlers.
type Administrator struct {
	cfg       Config
	responder *responder.Responder
}

// New returns an administrator.
func New(cfg Config) *Administrator {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Nodes == nil {
		cfg.Nodes = func() []NodeView { return nil }
	}
	if cfg.Endpoints == nil {
		cfg.Endpoints = func() []driver.Endpoint { return nil }
	}
	if cfg.Drain == nil {
		cfg.Drain = func(context.Context, string) error {
			return refuser.New(refuser.BadRequest, "this node can't drain others")
		}
	}
	if cfg.Restore == nil {
		cfg.Restore = func(context.Context) (follower.Outcome, error) {
			return follower.Outcome{}, refuser.New(refuser.BadRequest, "this node can't restore")
		}
	}
	if cfg.Bound == nil {
		cfg.Bound = func() Bound { return Bound{} }
	}
	return &Administrator{cfg: cfg, responder: responder.New(cfg.Counters)}
}

// Routes adds the API's routes.
func (a *Administrator) Routes(r *mux.Router) {
	s := r.PathPrefix(Prefix).Subrouter()
	s.Use(a.authenticate)
	s.Handle("/organisations", bodyless(a, a.list)).Methods(http.MethodGet)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, responder.NoBody, a.get)).Methods(http.MethodGet)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, readTemplate, a.put)).Methods(http.MethodPut)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, responder.NoBody, a.remove)).Methods(http.MethodDelete)
	s.Handle("/organisations/{name}/history", bodyless(a, a.history)).Methods(http.MethodGet)
	s.Handle("/restore", bodyless(a, a.restore)).Methods(http.MethodPost)
	s.Handle("/nodes", bodyless(a, a.nodes)).Methods(http.MethodGet)
	s.Handle("/nodes/{address}/drain", bodyless(a, a.drain)).Methods(http.MethodPost)
	s.Handle("/endpoints", bodyless(a, a.endpoints)).Methods(http.MethodGet)
	s.Handle("/offsets", bodyless(a, a.offsets)).Methods(http.MethodGet)
	s.Handle("/bound", bodyless(a, a.bound)).Methods(http.MethodGet)
}

// bodyless makes a handler of a function that needs no body.
func bodyless[Out any](a *Administrator, fn func(ctx context.Context, r *http.Request) (Out, error)) http.Handler {
	return responder.JSON(a.responder, 0, func(ctx context.Context, r *http.Request, _ responder.Empty) (Out, error) {
		return fn(ctx, r)
	})
}

// Protect gives a handler of another package to operators only.
func (a *Administrator) Protect(next http.Handler) http.Handler {
	return a.authenticate(next)
}

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// authenticate lets operators through and notes who asks.
func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || key == "" {
			a.responder.Refuse(w, refuser.New(refuser.NoCredential, "the administration API takes operators' keys"))
			return
		}
		name, ok := a.operator(key)
		if !ok {
			a.responder.Refuse(w, refuser.New(refuser.WrongCredential, "this is no operator's key"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// operator finds the owner of a key. It compares with every operator, so that
// the time taken tells nothing.
func (a *Administrator) operator(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	name, found := "", false
	for _, op := range a.cfg.Operators {
		want, err := hex.DecodeString(op.KeyHash)
		same := subtle.ConstantTimeCompare(sum[:], want) == 1
		if err == nil && same {
			name, found = op.Name, true
		}
	}
	return name, found
}

// operatorOf returns the operator who sent a request.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// ready refuses while the node may miss configuration.
func (a *Administrator) ready() (follower.View, error) {
	v := a.cfg.View()
	if !v.Ready() {
		return v, refuser.New(refuser.NotCaughtUp, "this node has not read the whole configuration")
	}
	return v, nil
}

// tag is a revision as an entity tag.
func tag(rev describer.Revision) string {
	return `"` + revisionText(rev) + `"`
}
