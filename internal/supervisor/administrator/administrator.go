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

	"banyanquay/internal/bounder"
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

// maxTemplateBytes is the maximum size of a request body with a template.
const maxTemplateBytes = 1 << 20

// Operator is an account that may use the administration API.
type Operator struct {
	// Name appears in the history of the operator's changes.
	Name string
	// KeyHash is the SHA-256 hash of the operator's key in hexadecimal.
	KeyHash string
}

// NodeView describes a node in the API's answers.
type NodeView struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// State is the membership state's name.
	State string `json:"state"`
	// Incarnation differs between two processes at the same address.
	Incarnation string `json:"incarnation,omitempty"`
	// Applied is the offset before which every change is in force on the node.
	Applied provider.Offset `json:"applied"`
	// CaughtUp is set if the node serves the whole configuration.
	CaughtUp bool `json:"caught_up"`
	// Down is set for nodes that publishing doesn't wait for.
	Down bool `json:"down"`
}

// Config configures an administrator.
type Config struct {
	// View returns the configuration that the node serves.
	View func() follower.View
	// Publish publishes a change of an organisation.
	Publish func(ctx context.Context, change follower.Change) (follower.Outcome, error)
	// Restore puts this node's last known configuration in force.
	Restore func(ctx context.Context) (follower.Outcome, error)
	// Operators may use the API. Operators and callers have separate keys.
	Operators []Operator
	Counters  *counter.Set
	// Budget is the memory for what operators send; an empty one means one of its own.
	Budget bounder.Budget
	Now    func() time.Time
	// Nodes returns the nodes known to this node, itself included.
	Nodes func() []NodeView
	// Endpoints returns the endpoints that the node knows.
	Endpoints func() []driver.Endpoint
	// Drain asks a node to leave the fleet.
	Drain func(ctx context.Context, address string) error
	// Bound returns the maximum throughput that the hardware allows.
	Bound func() ThroughputBound
}

// ThroughputBound is the maximum throughput that the hardware allows, by model version.
type ThroughputBound struct {
	Models []ModelBound `json:"models"`
}

// ModelBound is the bound of one model version.
type ModelBound struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Tokens is in tokens a second.
	Tokens float64 `json:"tokens_per_second"`
}

// Administrator serves the administration API.
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
			return refuser.New(refuser.BadRequest, "this node can't drain other nodes")
		}
	}
	if cfg.Restore == nil {
		cfg.Restore = func(context.Context) (follower.Outcome, error) {
			return follower.Outcome{}, refuser.New(refuser.BadRequest, "this node can't restore")
		}
	}
	if cfg.Bound == nil {
		cfg.Bound = func() ThroughputBound { return ThroughputBound{} }
	}
	return &Administrator{cfg: cfg, responder: responder.New(cfg.Counters).WithBudget(cfg.Budget)}
}

// Routes adds the API's routes to r.
func (a *Administrator) Routes(r *mux.Router) {
	s := r.PathPrefix(Prefix).Subrouter()
	s.Use(a.authenticate)
	s.Handle("/organisations", withoutBody(a, a.list)).Methods(http.MethodGet)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, responder.NoBody, a.get)).Methods(http.MethodGet)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, a.readTemplate, a.put)).Methods(http.MethodPut)
	s.Handle("/organisations/{name}", responder.Handle(a.responder, responder.NoBody, a.remove)).Methods(http.MethodDelete)
	s.Handle("/organisations/{name}/history", withoutBody(a, a.history)).Methods(http.MethodGet)
	s.Handle("/restore", withoutBody(a, a.restore)).Methods(http.MethodPost)
	s.Handle("/nodes", withoutBody(a, a.nodes)).Methods(http.MethodGet)
	s.Handle("/nodes/{address}/drain", withoutBody(a, a.drain)).Methods(http.MethodPost)
	s.Handle("/endpoints", withoutBody(a, a.endpoints)).Methods(http.MethodGet)
	s.Handle("/offsets", withoutBody(a, a.offsets)).Methods(http.MethodGet)
	s.Handle("/bound", withoutBody(a, a.bound)).Methods(http.MethodGet)
}

// withoutBody returns a handler that does not read the request's body.
func withoutBody[Out any](a *Administrator, fn func(ctx context.Context, r *http.Request) (Out, error)) http.Handler {
	return responder.JSON(a.responder, 0, func(ctx context.Context, r *http.Request, _ responder.Empty) (Out, error) {
		return fn(ctx, r)
	})
}

// Protect restricts a handler of another package to operators.
func (a *Administrator) Protect(next http.Handler) http.Handler {
	return a.authenticate(next)
}

// operatorNameKey is the context key of the operator's name.
type operatorNameKey struct{}

// authenticate admits only operators and puts their name into the request's
// context.
func (a *Administrator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || key == "" {
			a.responder.Refuse(w, refuser.New(refuser.NoCredential, "the administration API requires an operator's key"))
			return
		}
		name, ok := a.operatorByKey(key)
		if !ok {
			a.responder.Refuse(w, refuser.New(refuser.WrongCredential, "the key belongs to no operator"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	})
}

// operatorByKey returns the name of the operator who owns a key. It always
// compares the key with those of all operators in constant time, so that the
// time taken reveals nothing.
func (a *Administrator) operatorByKey(key string) (string, bool) {
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

// operatorName returns the name of the operator who sent a request.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorNameKey{}).(string)
	return name
}

// readyView returns the node's configuration, or a refusal while parts of it
// may be missing.
func (a *Administrator) readyView() (follower.View, error) {
	v := a.cfg.View()
	if !v.Ready() {
		return v, refuser.New(refuser.NotCaughtUp, "this node has not read the whole configuration")
	}
	return v, nil
}

// entityTag returns a revision as an entity tag.
func entityTag(rev describer.Revision) string {
	return `"` + formatRevision(rev) + `"`
}
