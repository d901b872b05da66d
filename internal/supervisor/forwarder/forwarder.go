// Package forwarder takes callers' requests to the endpoints of their routes:
// to one of a plain service, or along a path of engines that pass a
// generation among themselves.
package forwarder

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/assessor"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/pather"
	"banyanquay/internal/supervisor/listener"
)

// View is the configuration with the time at which it was last known to be the
// newest. It is an immutable value.
type View struct {
	// Configuration is nil until one has been read.
	Configuration *mapper.Configuration
	// Confirmed is when the question was sent whose answer proved the
	// configuration to be the newest.
	Confirmed time.Time
}

// Config is what a forwarder needs. Its functions are safe for concurrent use.
type Config struct {
	// Decode reads a caller's request.
	Decode func(r *http.Request, arrived time.Time) (Request, error)
	// View returns the configuration in force.
	View func() View
	// Endpoints returns the table of endpoints.
	Endpoints func() *registrar.Table
	// Relay calls endpoints.
	Relay driver.Relay
	// Budget bounds repeats.
	Budget *budgeter.Budgeter
	// Centre is this node's data centre.
	Centre string
	// KeyAge is how old the configuration's confirmation may be for requests
	// with a key.
	KeyAge func() time.Duration
	// Starting tells whether this node may not know the others yet.
	Starting func() bool
	// Few tells whether the loads of nodes in other data centres are known, too.
	Few func() bool
	// Nodes returns how many nodes share the endpoints, and Near how many of
	// them are in this node's data centre.
	Nodes func() int
	Near  func() int
	// Others returns the tokens that other nodes have in progress at an engine,
	// and how many of them have told so of late.
	Others func(endpoint string) (tokens, nodes int)
	// Reported returns this node's tokens at an engine as the others' are known: they
	// are pooled, and late.
	Reported func(endpoint string) int
	// Silent tells the other nodes of an engine that accepts no connection.
	Silent func(endpoint string)
	// Find chooses paths; nil means pather.Find.
	Find     func(req pather.Request) ([]pather.Part, bool)
	Gate     *listener.Gate
	Now      func() time.Time
	Recorder *recorder.Recorder
	Counters *counter.Set
	Latency  *counter.Latencies
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	cfg      Config
	assessor *assessor.Assessor
	prober   *prober
	monitor  *monitor
	current  atomic.Pointer[fleet]
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Find == nil {
		cfg.Find = pather.Find
	}
	f := &Forwarder{cfg: cfg, assessor: assessor.New(cfg.Now)}
	f.monitor = newMonitor(f)
	f.prober = newProber(cfg.Relay.Knock, cfg.Now, f.monitor.ranLate)
	return f
}

// Loads returns the tokens in progress by endpoint.
func (f *Forwarder) Loads() map[string]int { return f.assessor.Tokens() }

// Suspect takes in that another node found an endpoint silent: this node tries
// it too.
func (f *Forwarder) Suspect(id string) {
	if e, ok := f.cfg.Endpoints().Get(id); ok && !f.monitor.foundGone(e.Address) {
		go func() {
			if len(f.prober.gone([]string{e.Address}, 0)) > 0 {
				f.doubt(e.ID, e.Address, silentTime, whySilent)
			}
		}()
	}
}

// elsewhere is when a caller may come back whom this node alone can't serve.
const elsewhere = 10 * time.Millisecond

// call is one caller's request on its way.
type call struct {
	Request
	w     http.ResponseWriter
	r     *http.Request
	route mapper.Route
	// service is the one that the route's split chose.
	service      string
	organisation mapper.Organisation
	members      *members
	// confirmed is the age of the configuration's confirmation at the check.
	confirmed time.Duration
	version   int64
	// need is the tokens that a generation will hold.
	need int
	// after is the ID of the last event that the caller has. Like what follows
	// it belongs to the request's goroutine.
	after string
	// tried holds the IDs of the endpoints that are not asked again.
	tried map[string]bool
	// sends counts what was sent, and runs what an endpoint began to work on
	// or may have.
	sends int
	runs  int
	// failure is the last answer of an engine that ran the request and failed it.
	failure *failure
	// answered is set once the head of an answer has been written.
	answered bool
	// status is that of the answer, and first when its first event or the whole of
	// it was written.
	status int
	first  time.Time
}

// failure is an endpoint's whole answer to a request that it failed.
type failure struct {
	reply driver.Reply
	body  []byte
}

// ServeHTTP answers a caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.cfg.Now()
	c := &call{w: w, r: r, Request: Request{Arrived: arrived}, tried: make(map[string]bool)}
	leave, err := f.cfg.Gate.Enter()
	defer leave()
	if f.cfg.Gate.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if err == nil {
		err = f.admit(c)
	}
	if err != nil {
		r := asRefusal(err)
		if r.Code == refuser.NotCaughtUp || r.Code == refuser.Leaving {
			// Another node can serve the caller: it shouldn't stay here.
			w.Header().Set("Connection", "close")
			r = r.WithWait(elsewhere)
		}
		f.refuse(c, r)
		return
	}
	f.cfg.Budget.Request(c.service)
	if c.route.Kind == mapper.Streaming || c.members.layered() {
		f.generate(c)
		return
	}
	f.plain(c)
}

// admit reads the request and checks it against the configuration.
func (f *Forwarder) admit(c *call) error {
	view := f.cfg.View()
	if view.Configuration == nil {
		return refuser.New(refuser.NotCaughtUp, "no configuration has been read")
	}
	if err := f.read(c, view.Configuration.Limits()); err != nil {
		return err
	}
	view = f.cfg.View()
	cfg := view.Configuration
	c.version = cfg.Version()
	route, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return refuser.New(refuser.NoSuchPath, "no route of %s begins %s", c.Host, c.Path)
	}
	c.route = route
	if cfg.Keyed() && !route.Anonymous {
		o, ok := cfg.Organisation(c.Key)
		// The age is taken after the look-up: the caller sent the request
		// before this moment, whatever happens to this process from here on.
		c.confirmed = f.cfg.Now().Sub(view.Confirmed)
		if c.confirmed > f.cfg.KeyAge() {
			return refuser.New(refuser.NotCaughtUp,
				"the configuration was last confirmed %v ago", c.confirmed)
		}
		if !ok {
			return refuser.New(refuser.UnknownKey, "the key is not in configuration %d", c.version)
		}
		c.organisation = o
	} else if o, ok := cfg.Organisation(c.Key); ok && f.cfg.Now().Sub(view.Confirmed) <= f.cfg.KeyAge() {
		c.organisation = o
	}
	c.service = route.Service(xxhash.Sum64String(c.ID))
	fleet := f.fleet(cfg)
	c.members = fleet.services[c.service]
	if c.members == nil {
		return refuser.New(refuser.NoEndpoint, "service %s has no endpoint", c.service).WithWait(time.Second)
	}
	return nil
}

// read reads the request within the limits.
func (f *Forwarder) read(c *call, limits mapper.Limits) error {
	if limits.HeaderBytes > 0 && listener.HeaderBytes(c.r) > limits.HeaderBytes {
		return refuser.New(refuser.HeaderTooLarge, "the limit is %d bytes", limits.HeaderBytes)
	}
	if limits.BodyBytes > 0 {
		if c.r.ContentLength > limits.BodyBytes {
			return refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
		}
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limits.BodyBytes)
	}
	req, err := f.cfg.Decode(c.r, c.Arrived)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuser.New(refuser.BodyTooLarge, "the limit is %d bytes", limits.BodyBytes)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return refuser.New(refuser.CallerLeft, "%v", err)
	case err != nil:
		return refuser.New(refuser.BadRequest, "%v", err)
	}
	c.Request, c.need, c.after = req, req.tokens(), req.After
	return nil
}

// rank is the request's rank among those that wait at an endpoint. A stream
// that goes on elsewhere is the most urgent: its caller waits for the next
// event, not for the first.
func (c *call) rank() int {
	if c.answered {
		// Many move at once: the short ones first lets most be in time.
		return min(c.Prompt/rankTokens, firstNew-1)
	}
	rank := c.route.Priority
	if c.organisation.HasPriority {
		rank = c.organisation.Priority
	}
	return min(firstNew+max(rank, 0), lastRank)
}

const (
	// firstNew is the first rank of requests that have not begun, and lastRank
	// the last that endpoints know.
	firstNew = 4
	lastRank = 9
	// rankTokens is the prompt tokens of one rank among streams that move.
	rankTokens = 450
)

// forward returns what goes to an endpoint.
func (f *Forwarder) forward(c *call, endpoint string) driver.Forward {
	left, _ := c.remaining(f.cfg.Now(), c.route.Timeout)
	return driver.Forward{
		ID: c.ID, Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body,
		Endpoint: endpoint, Organisation: c.organisation.Name, Remaining: left,
		After: c.after, Priority: c.rank(),
	}
}

// asRefusal returns an error as a refusal.
func asRefusal(err error) refuser.Refusal {
	var r refuser.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refuser.New(refuser.InternalError, "%v", err).WithRan(refuser.Maybe)
}
