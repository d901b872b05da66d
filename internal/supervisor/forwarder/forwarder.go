// Package forwarder forwards callers' requests to the endpoints of their routes: to
// one endpoint of a plain service, or along a path of engines that pass a
// generation on to each other.
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"banyanquay/internal/bounder"
	"banyanquay/internal/counter"
	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/mapper"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/assessor"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/pacer"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
	"banyanquay/internal/supervisor/forwarder/prioritizer"
	"banyanquay/internal/supervisor/forwarder/throttler"
	"banyanquay/internal/supervisor/listener"
	"banyanquay/internal/supervisor/quarantiner"
)

// View is a configuration with the time at which it was last known to be the
// newest. It is an immutable value.
type View struct {
	// Configuration is nil until one has been read.
	Configuration *mapper.Configuration
	// Confirmed is the time of the last query that confirmed the configuration as the
	// newest. It is the time at which the query was sent.
	Confirmed time.Time
}

// Config configures a forwarder. Its functions are safe for concurrent use.
type Config struct {
	// Decode decodes a caller's request, whose body has been read.
	Decode func(r *http.Request, body []byte, arrived time.Time) (Request, error)
	// View returns the current configuration.
	View func() View
	// Endpoints returns the table of endpoints.
	Endpoints func() *registrar.Table
	// Ready reports whether the configuration and the table of endpoints have been
	// read since this process began.
	Ready func() bool
	// Relay calls endpoints.
	Relay driver.Relay
	// Memory is the budget for callers' bodies and for endpoints' answers; the zero value means
	// that of a process of defaultMemoryBytes.
	Memory bounder.Budget
	// Budget is the retry budget.
	Budget *budgeter.Budgeter
	// Quarantine knows the requests, and the parts of prompts, under which endpoints crash;
	// nil means one that learns from this node alone.
	Quarantine *quarantiner.Quarantiner
	// Throttler keeps to the limits that endpoints name; nil means one for this node
	// alone.
	Throttler *throttler.Throttler
	// Centre is this node's data centre.
	Centre string
	// MaxConfirmationAge returns the maximum age of the configuration's confirmation
	// for requests with a key.
	MaxConfirmationAge func() time.Duration
	// Starting reports whether this node may not know the other nodes yet.
	Starting func() bool
	// Room returns the settings of admission; nil means the defaults.
	Room func() RoomSettings
	// RemoteLoadsKnown reports whether the loads of nodes in other data centres are
	// known, too.
	RemoteLoadsKnown func() bool
	// Nodes returns how many nodes share the endpoints, and CentreNodes how many of
	// them are in this node's data centre.
	Nodes       func() int
	CentreNodes func() int
	// OtherTokens returns the tokens that other nodes have in progress at an engine,
	// and how many nodes have reported theirs recently.
	OtherTokens func(endpoint string) (tokens, nodes int)
	// ReportedTokens returns this node's tokens in progress at an engine as of its
	// last report. Where loads are pooled, OtherTokens is as old as that report.
	ReportedTokens func(endpoint string) int
	// LoadGrowth returns the factor by which OtherTokens has changed since the reports,
	// where loads are pooled; nil means 1.
	LoadGrowth func() float64
	// CentreLoad returns the load that nodes of other data centres put on the engines of a
	// service in one, and whether that of its own nodes is in it; nil means that nothing is
	// known of them.
	CentreLoad func(centre, service string) (load float64, known bool)
	// MarkLeaving takes a start of an endpoint that said itself that it leaves; nil means
	// that nothing is done with that.
	MarkLeaving func(endpoint string, born int64)
	// BroadcastUnreachable reports to the other nodes that an engine accepts no
	// connection.
	BroadcastUnreachable func(endpoint string)
	// LongPrompts returns how many times a service's usual prompt a long one exceeds, with
	// 0 for none; nil means pacer.DefaultFactor.
	LongPrompts func() float64
	// Find chooses paths; nil means pathfinder.Find.
	Find     func(req pathfinder.Request) ([]pathfinder.Stage, bool)
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
	pacer    *pacer.Pacer
	prober   *prober
	monitor  *monitor
	plain    plainAttempts
	endings  endings
	ends     ends
	rooms    rooms
	// admission decides which requests are admitted while capacity is short.
	admission admission
	current   atomic.Pointer[endpointIndex]
	started   time.Time
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Find == nil {
		cfg.Find = pathfinder.Find
	}
	if cfg.Memory.Calls == nil {
		cfg.Memory = bounder.NewBudget(defaultMemoryBytes, nil)
	}
	if cfg.LoadGrowth == nil {
		cfg.LoadGrowth = func() float64 { return 1 }
	}
	if cfg.CentreLoad == nil {
		cfg.CentreLoad = func(string, string) (float64, bool) { return 0, false }
	}
	if cfg.Room == nil {
		cfg.Room = func() RoomSettings { return RoomSettings{Enabled: true, Settings: prioritizer.Defaults()} }
	}
	if cfg.MarkLeaving == nil {
		cfg.MarkLeaving = func(string, int64) {}
	}
	if cfg.Throttler == nil {
		cfg.Throttler = throttler.New(throttler.Config{
			Homes: func(string) []string { return nil }, Nodes: cfg.Nodes, Now: cfg.Now, Recorder: cfg.Recorder, Counters: cfg.Counters,
		})
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantiner.New(quarantiner.Config{Nodes: func() int { return 1 }, Now: cfg.Now, Recorder: cfg.Recorder, Counters: cfg.Counters})
	}
	f := &Forwarder{cfg: cfg, assessor: assessor.New(cfg.Now), pacer: pacer.New(cfg.LongPrompts), started: cfg.Now()}
	f.monitor = newMonitor(f)
	f.prober = newProber(cfg.Relay.Probe, cfg.Now, f.monitor.pausedSince)
	f.prober.refused = f.endpointRefused
	return f
}

// Loads returns this node's tokens in progress by endpoint.
func (f *Forwarder) Loads() map[string]int { return f.assessor.Tokens() }

// PausedSince reports whether this process has been paused after the given time.
func (f *Forwarder) PausedSince(since time.Time) bool { return f.monitor.pausedSince(since) }

// start runs a function in the background. A panic in it ends nothing else.
func (f *Forwarder) start(name string, run func()) {
	go f.cfg.Recorder.Guard(name, run)
}

// otherNodeDelay is the Retry-After of a request that another node can serve, but
// not this one.
const otherNodeDelay = 10 * time.Millisecond

// call is one caller's request in progress.
type call struct {
	Request
	w http.ResponseWriter
	r *http.Request
	// unsent is the context of the request's waits until it is sent. It ends when the gate
	// closes.
	unsent context.Context
	route  mapper.Route
	// service is the name of the service that the route's traffic split selected.
	service      string
	organisation mapper.Organisation
	members      *members
	// confirmed is how long before the check of the key the configuration had last
	// been confirmed as the newest.
	confirmed time.Duration
	version   int64
	// neededTokens is the number of tokens that a generation is expected to hold.
	neededTokens int
	// level is the load of the engines up to which the request is admitted; 0 if that is
	// not decided.
	level float64
	// room is what was decided on the request's admission.
	room verdict
	// content is what the request may have in common with others.
	content quarantiner.Request
	// lastEventID is the ID of the last event that the caller has. This field and
	// those below belong to the request's goroutine.
	lastEventID string
	// numbering is how the IDs of the events rise that the caller got.
	numbering numbering
	// ended is set if this node ended the last attempt that was answered. Its stream may have lacked
	// nothing but its end then, which only the endpoint of the next attempt can tell.
	ended bool
	// presumedEnd is the ID of the last event behind which the stream may have ended, since its endpoint left and has
	// stopped; empty if none. presumedAt is when that was found.
	presumedEnd string
	presumedAt  time.Time
	// provenFrom is the number of events of an attempt that came further than those during which an engine stopped.
	provenFrom int
	// tried holds the IDs of the endpoints that are not tried again.
	tried map[string]bool
	// paid is set while a retry has been taken from the budget for the next attempt at a plain
	// service.
	paid atomic.Bool
	// refusedBy holds those of them that refused the request, or took no connection, and may take it
	// later.
	refusedBy []string
	// limited holds the IDs of the endpoints that took no more requests when an endpoint
	// was last chosen.
	limited map[string]bool
	// sends counts the sends of the request, and runs those that an endpoint has or
	// may have started to run.
	sends int
	runs  int
	// detoured is set if the last attempt at a plain service was sent by way of another node.
	detoured bool
	// arrived is set once an endpoint may have got the request. Only further sends draw on
	// the retry budget.
	arrived bool
	// behind is set for the send of a long prompt that goes behind short ones of its class,
	// and held is how long the prompt was held before.
	behind bool
	held   time.Duration
	// full is set once an engine has refused the request for lack of room.
	full bool
	// failure is the last reply of an engine that ran the request and failed.
	failure *failure
	// reservations hold the memory of the request's body and of the answers that were buffered
	// for it, until it is answered.
	reservations []*bounder.Reservation
	// unread is set if the body was not read to its end for lack of memory.
	unread bool
	// answered is set once the head of an answer has been written.
	answered bool
	// status is the HTTP status of the answer. firstWrite is when the first event of a
	// stream, or the whole of another answer, was written.
	status     int
	firstWrite time.Time
	// lastWrite is when the last event of a stream was written.
	lastWrite time.Time
}

// failure is an endpoint's complete reply to a request that it failed.
type failure struct {
	reply driver.Reply
	body  []byte
}

// ServeHTTP serves a caller's request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.cfg.Now()
	ctx, release := f.cfg.Gate.Context(r.Context())
	defer release()
	r = r.WithContext(ctx)
	unsent, releaseUnsent := f.cfg.Gate.UntilClosed(ctx)
	defer releaseUnsent()
	c := &call{w: w, r: r, unsent: unsent, Request: Request{Arrived: arrived}, tried: make(map[string]bool)}
	defer c.releaseMemory()
	defer f.answerPanic(c)
	f.serve(c)
	if c.unread {
		c.discardBody()
	}
}

// serve serves a caller's request.
func (f *Forwarder) serve(c *call) {
	w := c.w
	leave, err := f.cfg.Gate.Acquire()
	defer leave()
	if err == nil {
		f.awaitReady(c.unsent)
		err = f.admit(c)
	}
	if err != nil {
		r := asRefusal(err)
		if r.Code == refuser.NotCaughtUp || r.Code == refuser.Leaving {
			// Another node can serve the caller, so the connection to this one is closed.
			w.Header().Set("Connection", "close")
			r = r.WithWait(otherNodeDelay)
		}
		if c.unread {
			// The rest of the body must not be taken for the next request. net/http would read
			// some of it before it sends the answer otherwise.
			w.Header().Set("Connection", "close")
		}
		f.refuse(c, r)
		return
	}
	f.cfg.Budget.Request(c.service)
	if c.route.Kind == mapper.Streaming || c.members.layered() {
		f.generate(c)
		return
	}
	f.servePlain(c)
}

const (
	// readyTimeout is how long a request waits at a node that has just started and has
	// not read the store. It is shorter than the time in which callers want the first
	// byte, and leaves them enough to try another node.
	readyTimeout = 400 * time.Millisecond
	// readyPeriod is how long after its start a node lets requests wait: if it still
	// isn't ready then, the store rejects it, and other nodes can serve the caller.
	readyPeriod = 600 * time.Millisecond
	// readyPollInterval is how often the request checks meanwhile.
	readyPollInterval = 5 * time.Millisecond
)

// awaitReady waits until this node is ready, for at most readyTimeout and until
// readyPeriod after its start. After a restart of all nodes a refusal would send the
// caller to another one that isn't ready, either.
func (f *Forwarder) awaitReady(ctx context.Context) {
	deadline := f.cfg.Now().Add(readyTimeout)
	if end := f.started.Add(readyPeriod); end.Before(deadline) {
		deadline = end
	}
	for !f.cfg.Ready() && f.cfg.Now().Before(deadline) && grouper.Sleep(ctx, readyPollInterval) {
	}
}

// admit reads the request, checks it against the configuration and selects its
// service.
func (f *Forwarder) admit(c *call) error {
	view := f.cfg.View()
	if view.Configuration == nil || !f.cfg.Ready() {
		return refuser.New(refuser.NotCaughtUp, "no configuration or no endpoints have been read")
	}
	if err := f.readRequest(c, view.Configuration.Limits()); err != nil {
		return err
	}
	view = f.cfg.View()
	cfg := view.Configuration
	c.version = cfg.Version()
	c.content = content(c.Request, cfg)
	route, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return refuser.New(refuser.NoSuchPath, "no route of host %s matches path %s", c.Host, c.Path)
	}
	c.route = route
	if cfg.KeyRequired() && !route.Anonymous {
		o, ok := cfg.Organisation(c.Key)
		// The age is taken after the look-up: the caller sent the request before this
		// moment, so a pause of this process from here on doesn't matter.
		c.confirmed = f.cfg.Now().Sub(view.Confirmed)
		if c.confirmed > f.cfg.MaxConfirmationAge() {
			return refuser.New(refuser.NotCaughtUp,
				"the configuration was last confirmed %v ago", c.confirmed)
		}
		if !ok {
			return refuser.New(refuser.UnknownKey, "the key is not in configuration %d", c.version)
		}
		c.organisation = o
	} else if o, ok := cfg.Organisation(c.Key); ok && f.cfg.Now().Sub(view.Confirmed) <= f.cfg.MaxConfirmationAge() {
		c.organisation = o
	}
	c.service = route.Service(xxhash.Sum64String(c.ID))
	index := f.index(cfg)
	c.members = index.services[c.service]
	if c.members == nil {
		return refuser.New(refuser.NoEndpoint, "service %s has no endpoint", c.service).WithWait(time.Second)
	}
	return nil
}

// forward returns the request as it is sent to an endpoint.
func (f *Forwarder) forward(c *call, endpoint string) driver.Forward {
	left, _ := c.remaining(f.cfg.Now(), c.route.Timeout)
	return driver.Forward{
		ID: c.ID, Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body,
		Endpoint: endpoint, Organisation: c.organisation.Name, Remaining: left,
		After: c.lastEventID, Priority: c.priority(),
	}
}
