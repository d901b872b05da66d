// Package mapper maps requests to routes and API keys to organisations. A
// configuration is complete and immutable; its lookups don't read the clock.
package mapper

import (
	"crypto/sha256"
	"strings"
	"time"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says whether the requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota // non_idempotent
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Streaming requests are answered by a stream of events; they may be repeated
	// only if the route is resumable.
	Streaming // streaming
)

// WeightedService is one service of a route and its weight in the traffic split.
type WeightedService struct {
	Service string
	// Weight is the service's share of the sum of the route's weights; always
	// positive.
	Weight int
}

// Route maps the requests for a host and path prefix to services. It is an
// immutable value.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Offers has at least one entry.
	Offers []WeightedService
	// Timeout is the max time until an answer; 0 means no limit.
	Timeout time.Duration
	// Target is the target latency of an answer.
	Target time.Duration
	// Gap is the target for the longest pause between two events of a stream.
	Gap time.Duration
	// Attempts is the max number of endpoints to which one request is sent; at
	// least 1.
	Attempts int
	// Priority orders requests by route; 0 goes first.
	Priority int
	// Anonymous is set if requests without an API key are accepted.
	Anonymous bool
	// Resumable is set if streams can be continued after a given event.
	Resumable bool
}

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service selects a service by weight from a hash of the request.
func (r Route) Service(hash uint64) string {
	sum := 0
	for _, o := range r.Offers {
		sum += o.Weight
	}
	at := int(hash % uint64(max(sum, 1)))
	for _, o := range r.Offers {
		if at -= o.Weight; at < 0 {
			return o.Service
		}
	}
	return r.Offers[0].Service
}

// Organisation is the owner of an API key. It is an immutable value.
type Organisation struct {
	Name string
	// Priority takes precedence over the route's if HasPriority is set; 0 goes first.
	Priority    int
	HasPriority bool
}

// Service is a set of interchangeable endpoints. It is an immutable value.
type Service struct {
	Name string
	// Connections is the max number of connections that one endpoint accepts from all
	// callers.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the performance of a service's model servers. It is an immutable
// value.
type Engine struct {
	// Slots is the max number of requests that one engine accepts as the first of
	// their paths.
	Slots int
	// Layers is the number of layers of the model, and LayerMB the size of a layer.
	Layers  int
	LayerMB float64
	// CacheBytes is the size of one token's KV cache over all layers.
	CacheBytes float64
	// Step is the duration of one token's step over all layers at pace 1.
	Step time.Duration
	// PrefillRate is the prefill rate at pace 1, in prompt tokens per millisecond
	// over all layers; 0 if unknown. PrefillChunk is the number of prompt tokens in
	// one prefill pass.
	PrefillRate  float64
	PrefillChunk int
	// MaxParallelLoads is the number of concurrent loads that don't slow each other
	// down, and LoadTime the time to load all layers.
	MaxParallelLoads int
	LoadTime         time.Duration
	// Prompt and Answer are the typical token counts of a request.
	Prompt int
	Answer int
	// TokensPerEvent is the number of tokens in an event.
	TokensPerEvent int
	// Accelerators are the kinds of hardware that the service's engines run on.
	Accelerators []Accelerator
}

// Accelerator is a kind of hardware.
type Accelerator struct {
	Name string
	// MB is the memory for layers and KV caches.
	MB float64
	// Pace multiplies the duration of steps, and PrefillPace that of the prefill.
	Pace        float64
	PrefillPace float64
}

// Accelerator returns the accelerator with the given name, and whether it exists.
func (e *Engine) Accelerator(name string) (Accelerator, bool) {
	for _, a := range e.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return Accelerator{}, false
}

// FreeTokens returns the number of tokens whose KV caches fit into the memory that a
// number of layers leaves free.
func (e *Engine) FreeTokens(a Accelerator, layers int) int {
	if layers <= 0 || e.Layers <= 0 || e.CacheBytes <= 0 {
		return 0
	}
	free := (a.MB - float64(layers)*e.LayerMB) * 1e6
	return int(free / (e.CacheBytes / float64(e.Layers) * float64(layers)))
}

// PrefillTime returns the time that an engine which is also decoding takes to prefill a
// number of prompt tokens through some layers: each pass prefills a chunk and runs the
// decode steps of one event.
func (e *Engine) PrefillTime(a Accelerator, layers, tokens int) time.Duration {
	if e.PrefillRate <= 0 || e.PrefillChunk <= 0 || e.Layers <= 0 {
		return 0
	}
	token := a.PrefillPace/e.PrefillRate*float64(time.Millisecond) + a.Pace*float64(e.Step)*float64(e.TokensPerEvent)/float64(e.PrefillChunk)
	return time.Duration(token * float64(tokens) * float64(layers) / float64(e.Layers))
}

// Limits are the limits on callers' requests and connections; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Draft holds the parts from which New builds a configuration.
type Draft struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations map[string]Organisation // by API key
	// KeyRequired is set if requests need an API key.
	KeyRequired bool
}

// Configuration is a complete configuration, indexed for lookups. It is immutable.
type Configuration struct {
	version  int64
	routes   map[routeKey]Route
	services map[string]Service
	limits   Limits
	// keys is keyed by the SHA-256 hash of each API key, so that a lookup compares no
	// secret bytes.
	keys        map[[sha256.Size]byte]Organisation
	keyRequired bool
	// priorities are computed once: the forwarder needs them whenever endpoints change, and
	// a configuration may have thousands of routes.
	priorities map[string]Priorities
}

// routeKey identifies a route by its host, in lower case, and its prefix.
type routeKey struct {
	host   string
	prefix string
}

// New builds a configuration from its parts.
func New(d Draft) *Configuration {
	c := &Configuration{
		version:     d.Version,
		routes:      make(map[routeKey]Route, len(d.Routes)),
		services:    make(map[string]Service, len(d.Services)),
		limits:      d.Limits,
		keys:        make(map[[sha256.Size]byte]Organisation, len(d.Organisations)),
		keyRequired: d.KeyRequired,
	}
	for _, r := range d.Routes {
		c.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	for key, o := range d.Organisations {
		c.keys[sha256.Sum256([]byte(key))] = o
	}
	c.priorities = c.rank()
	return c
}

// Version returns the configuration's version; a higher one is newer.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns the limits on callers.
func (c *Configuration) Limits() Limits { return c.limits }

// KeyRequired reports whether requests need an API key.
func (c *Configuration) KeyRequired() bool { return c.keyRequired }

// Service returns the service with the given name, and whether it exists.
func (c *Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services in unspecified order.
func (c *Configuration) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// Route returns the route of a host with the longest matching prefix of the path, and
// whether there is one.
func (c *Configuration) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		at := strings.LastIndexByte(path[:end], '/')
		if at < 0 {
			break
		}
		if r, ok := c.routes[routeKey{host, path[:at+1]}]; ok {
			return r, true
		}
		end = at
	}
	return Route{}, false
}

// Organisation returns the owner of an API key, and whether there is one.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	o, ok := c.keys[sha256.Sum256([]byte(key))]
	return o, ok
}
