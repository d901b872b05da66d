// Package mapper maps requests to routes and API keys to organisations. A
// configuration is whole and immutable; its lookups read no clock.
package mapper

import (
	"crypto/sha256"
	"strings"
	"time"
)

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what may be repeated.
type Kind int

// Kinds.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota // non_idempotent
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Streaming requests are answered by events; they may be repeated only
	// where the route is resumable.
	Streaming // streaming
)

// Offer is one service of a route with its share of the traffic.
type Offer struct {
	Service string
	// Weight is the share against the sum of the route's weights; over 0.
	Weight int
}

// Route says where the requests of a host and path prefix go. It is an
// immutable value.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Offers has one entry or more.
	Offers []Offer
	// Timeout is the longest time to an answer; 0 means no limit.
	Timeout time.Duration
	// Target is the time within which an answer is on time.
	Target time.Duration
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration
	// Attempts is the most endpoints that one request may be sent to, at
	// least 1.
	Attempts int
	// Priority orders routes; 0 goes first.
	Priority int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams go on after a given event.
	Resumable bool
}

// Repeatable tells whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service returns the service for a hash of the request.
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

// Organisation is the holder of an API key. It is an immutable value.
type Organisation struct {
	Name string
	// Priority goes before the route's where Ranked is set; 0 goes first.
	Priority int
	Ranked   bool
}

// Service is a set of endpoints that answer alike. It is an immutable value.
type Service struct {
	Name string
	// Connections is the most that one endpoint accepts from all callers.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine is how a service's model servers compute. It is an immutable value.
type Engine struct {
	// Slots is the most requests that one engine takes in as the first of a
	// path.
	Slots int
	// Layers is the layer count of the model and LayerMB the size of one.
	Layers  int
	LayerMB float64
	// CacheBytes is the KV cache of one token over all layers.
	CacheBytes float64
	// Step is the time of a token's step over all layers at pace 1.
	Step time.Duration
	// Read is how many prompt tokens are read over all layers in a millisecond at
	// pace 1; 0 if it is not known. Chunk is how many are read in one pass.
	Read  float64
	Chunk int
	// LoadsAtOnce is how many loads run before they slow each other down, and
	// Load the time of loading all layers.
	LoadsAtOnce int
	Load        time.Duration
	// Prompt and Answer are the usual token counts of a request.
	Prompt int
	Answer int
	// Stride is the number of tokens in an event.
	Stride int
	// Accelerators are the kinds that the service's engines run on.
	Accelerators []Accelerator
}

// Accelerator is a kind of hardware.
type Accelerator struct {
	Name string
	// MB is the memory for layers and requests.
	MB float64
	// Pace multiplies the time of steps, and ReadPace that of reading.
	Pace     float64
	ReadPace float64
}

// Accelerator returns the kind of a name, and whether there is one.
func (e *Engine) Accelerator(name string) (Accelerator, bool) {
	for _, a := range e.Accelerators {
		if a.Name == name {
			return a, true
		}
	}
	return Accelerator{}, false
}

// Room returns how many tokens fit beside a number of layers.
func (e *Engine) Room(a Accelerator, layers int) int {
	if layers <= 0 || e.Layers <= 0 || e.CacheBytes <= 0 {
		return 0
	}
	free := (a.MB - float64(layers)*e.LayerMB) * 1e6
	return int(free / (e.CacheBytes / float64(e.Layers) * float64(layers)))
}

// ReadTime returns how long an engine that also writes takes to read a number of
// prompt tokens through some layers: each pass reads a chunk and makes the steps of
// an event.
func (e *Engine) ReadTime(a Accelerator, layers, tokens int) time.Duration {
	if e.Read <= 0 || e.Chunk <= 0 || e.Layers <= 0 {
		return 0
	}
	token := a.ReadPace/e.Read*float64(time.Millisecond) + a.Pace*float64(e.Step)*float64(e.Stride)/float64(e.Chunk)
	return time.Duration(token * float64(tokens) * float64(layers) / float64(e.Layers))
}

// Limits bounds what a caller may send; 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Draft is the parts of a configuration.
type Draft struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations map[string]Organisation // by API key
	// Keyed is set if requests need a key.
	Keyed bool
}

// Configuration is a whole configuration, ready for lookups. It is immutable.
type Configuration struct {
	version  int64
	routes   map[place]Route
	services map[string]Service
	limits   Limits
	// keys has the SHA-256 hash of each key, so that a lookup compares no
	// secret bytes.
	keys  map[[sha256.Size]byte]Organisation
	keyed bool
}

// place is a route's host and prefix.
type place struct {
	host   string
	prefix string
}

// New builds a configuration.
func New(d Draft) *Configuration {
	c := &Configuration{
		version:  d.Version,
		routes:   make(map[place]Route, len(d.Routes)),
		services: make(map[string]Service, len(d.Services)),
		limits:   d.Limits,
		keys:     make(map[[sha256.Size]byte]Organisation, len(d.Organisations)),
		keyed:    d.Keyed,
	}
	for _, r := range d.Routes {
		c.routes[place{strings.ToLower(r.Host), r.Prefix}] = r
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	for key, o := range d.Organisations {
		c.keys[sha256.Sum256([]byte(key))] = o
	}
	return c
}

// Version orders configurations; a higher one is newer.
func (c *Configuration) Version() int64 { return c.version }

// Limits returns what callers are held to.
func (c *Configuration) Limits() Limits { return c.limits }

// Keyed tells whether requests need a key.
func (c *Configuration) Keyed() bool { return c.keyed }

// Service returns the service of a name, and whether there is one.
func (c *Configuration) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, in no order.
func (c *Configuration) Services() []Service {
	all := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		all = append(all, s)
	}
	return all
}

// Route returns the route of the longest prefix of the path at a host, and
// whether there is one.
func (c *Configuration) Route(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		at := strings.LastIndexByte(path[:end], '/')
		if at < 0 {
			break
		}
		if r, ok := c.routes[place{host, path[:at+1]}]; ok {
			return r, true
		}
		end = at
	}
	return Route{}, false
}

// Organisation returns the holder of a key, and whether there is one.
func (c *Configuration) Organisation(key string) (Organisation, bool) {
	o, ok := c.keys[sha256.Sum256([]byte(key))]
	return o, ok
}
