package forwarder

import (
	"expvar"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/forwarder/forecaster"
	"banyanquay/internal/supervisor/forwarder/prioritizer"
)

const (
	// maxWaiting limits how many requests wait for room at this node.
	maxWaiting = 64
	// unexplainedRefusals is the number of consecutive refusals for lack of room after which an
	// engine is suspect if its known load is below unexplainedLoad.
	unexplainedRefusals = 3
	unexplainedLoad     = 0.5
	// minSlotsPerNode is the number of slots of a plain service for each node from which the
	// service's load is taken for that of this node times their number. With fewer, a single
	// request would look like a full service.
	minSlotsPerNode = 4
)

// RoomSettings are the settings of admission. They are an immutable value.
type RoomSettings struct {
	Enabled bool
	prioritizer.Settings
}

// admission holds what this node measures of each service to decide which requests are
// admitted. It is safe for concurrent use.
type admission struct {
	waiting atomic.Int64

	mu       sync.Mutex
	services map[string]*prioritizer.Prioritizer
	// timeouts are those that callers state, by host and prefix of the route.
	timeouts map[string]*prioritizer.Timeouts
}

// verdict is what was decided on a request's admission. The zero value is none.
type verdict struct {
	decided bool
	class   int
	load    float64
	cause   prioritizer.Cause
}

// prioritizer returns the prioritizer of a service.
func (f *Forwarder) prioritizer(service string, nodes func() int) *prioritizer.Prioritizer {
	f.admission.mu.Lock()
	defer f.admission.mu.Unlock()
	if p, ok := f.admission.services[service]; ok {
		return p
	}
	if f.admission.services == nil {
		f.admission.services = make(map[string]*prioritizer.Prioritizer)
		f.cfg.Counters.Room.Set("waiting", expvar.Func(func() any { return f.admission.waiting.Load() }))
	}
	p := prioritizer.New(prioritizer.Config{
		Settings: func() prioritizer.Settings { return f.cfg.Room().Settings },
		Nodes:    nodes, Rand: rand.Float64,
		LevelChanged: func(class int, from, to float64) {
			f.cfg.Recorder.Info(recorder.LevelChanged,
				zap.String("service", service), zap.Int("class", class), zap.Float64("from", from), zap.Float64("to", to))
		},
	})
	f.admission.services[service] = p
	f.cfg.Counters.Room.Set(service+".load", expvar.Func(func() any { return p.State().Load }))
	f.cfg.Counters.Room.Set(service+".levels", expvar.Func(func() any { return p.State().Levels }))
	return p
}

// returning reports whether the request's caller comes back after it was refused, or
// comes back early.
func (f *Forwarder) returning(c *call) (returning, early bool) {
	f.admission.mu.Lock()
	defer f.admission.mu.Unlock()
	if f.admission.timeouts == nil {
		f.admission.timeouts = make(map[string]*prioritizer.Timeouts)
	}
	key := c.route.Host + c.route.Prefix
	t := f.admission.timeouts[key]
	if t == nil {
		t = new(prioritizer.Timeouts)
		f.admission.timeouts[key] = t
	}
	return t.Returning(f.cfg.Now(), c.Timeout)
}

// class returns the class of a request among those of its service: the distinct ranks of
// its requests, most urgent first.
func (c *call) class() int {
	at, _ := slices.BinarySearch(c.members.ranks, c.route.Rank(c.organisation))
	return max(min(at, len(c.members.ranks)-1), 0)
}

// roomRequest returns what the decision on a request depends on.
func (f *Forwarder) roomRequest(c *call) prioritizer.Request {
	left, limited := c.remaining(f.cfg.Now(), c.route.Timeout)
	if !limited {
		left = 0
	}
	req := prioritizer.Request{
		ID: xxhash.Sum64String(c.ID), Class: c.class(), Classes: max(len(c.members.ranks), 1), Organisation: c.organisation.Name,
		Tokens: c.neededTokens, Begun: c.begun(), Arrived: c.Arrived, Target: c.route.Target, Remaining: left, MayWait: true,
	}
	req.Returning, req.Early = f.returning(c)
	if c.members.layered() {
		// The load is corrected in the same way.
		req.Tokens = int(float64(req.Tokens) * f.rooms.correction(c.service).Factor())
	} else {
		req.Tokens = 1
	}
	return req
}

// admitForRoom decides whether the request is admitted, and waits for that if room is
// expected soon. It returns a function that is called at the request's end, or a refusal.
func (f *Forwarder) admitForRoom(c *call) (end func(), r refuser.Refusal, ok bool) {
	nodes, room, limited := f.admissionRoom(c)
	if !limited || !f.cfg.Room().Enabled {
		return func() {}, r, true
	}
	p, req := f.prioritizer(c.service, nodes), f.roomRequest(c)
	c.room = verdict{decided: true, class: req.Class}
	defer func() {
		if req.Again && req.MayWait {
			f.admission.waiting.Add(-1)
		}
	}()
	for {
		d := p.Decide(f.cfg.Now(), req, room)
		c.level, c.room.load, c.room.cause = d.Level, room.Load, d.Cause
		switch d.Action {
		case prioritizer.Admit:
			return f.recordAdmitted(p, c, req), r, true
		case prioritizer.Reject:
			return nil, f.noRoom(c, d), false
		}
		if !req.Again && f.admission.waiting.Add(1) > maxWaiting {
			f.admission.waiting.Add(-1)
			req.MayWait = false
		}
		req.Again = true
		if req.MayWait && !c.sleep(prioritizer.WaitInterval) {
			r, _ := f.interruption(c)
			return nil, r, false
		}
		if _, room, limited = f.admissionRoom(c); !limited {
			return func() {}, r, true
		}
	}
}

// admissionRoom returns the room for a request, the number of nodes that share it, and
// whether admission is to be decided by it: by the engines of all data centres, or at a
// plain service with several classes by its slots.
func (f *Forwarder) admissionRoom(c *call) (nodes func() int, room forecaster.Room, limited bool) {
	members, ok := f.members(c.service)
	if !ok {
		return nil, room, false
	}
	if !members.limitsByRoom() {
		return nil, room, false
	}
	if members.layered() {
		if len(members.versions) == 0 {
			return nil, room, false
		}
		room = f.fleetRoom(members)
		return f.cfg.Nodes, room, room.Capacity > 0
	}
	for _, e := range members.entries {
		if e.Slots <= 0 {
			return nil, room, false
		}
		room.Capacity += e.Slots
		room.Used += f.assessor.Record(e.ID).Requests
	}
	nodeCount := max(f.cfg.Nodes(), 1)
	if room.Capacity < minSlotsPerNode*nodeCount {
		return nil, room, false
	}
	room.Used *= nodeCount
	room.Load = float64(room.Used) / float64(max(room.Capacity, 1))
	return f.cfg.Nodes, room, room.Capacity > 0
}

// recordAdmitted counts a request as admitted until the returned function is called. One that
// was refused or failed says nothing about how long requests hold their tokens.
func (f *Forwarder) recordAdmitted(p *prioritizer.Prioritizer, c *call, req prioritizer.Request) (end func()) {
	began := f.cfg.Now()
	p.Began(began, req.Class, req.Organisation, req.Tokens)
	return func() {
		if c.answered {
			now := f.cfg.Now()
			p.Ended(now, req.Tokens, now.Sub(began))
		}
	}
}

// noRoom returns the refusal of a request for lack of room.
func (f *Forwarder) noRoom(c *call, d prioritizer.Decision) refuser.Refusal {
	c.room.cause = d.Cause
	f.cfg.Counters.Room.Add(c.service+".refused."+d.Cause.String()+"."+strconv.Itoa(c.room.class), 1)
	return refuser.New(refuser.NoRoom, "service %s has no room for class %d: load %.2f, level %.2f, %v",
		c.service, c.room.class, c.room.load, d.Level, d.Cause).WithWait(d.RetryAfter)
}

// noPathRoom returns the refusal of a generation that no path has room for.
func (f *Forwarder) noPathRoom(c *call) refuser.Refusal {
	req := f.roomRequest(c)
	c.room.decided, c.room.class = true, req.Class
	return f.noRoom(c, f.prioritizer(c.service, f.cfg.Nodes).RejectPath(f.cfg.Now(), req))
}

// needsRoom reports whether a request's path must leave out engines without room for it.
func (f *Forwarder) needsRoom(c *call) bool {
	return !c.begun() && f.cfg.Room().Enabled && c.members != nil && c.members.limitsByRoom()
}

// limitsByRoom reports whether requests to a service are admitted by room: where its routes
// have several priorities, since the operator then expects demand above capacity. Elsewhere
// nodes try engines until one accepts, which finds room also where the forecast sees none.
func (m *members) limitsByRoom() bool { return m.routePriorities > 1 }

// handleRefused handles an engine that refused a request. One that refuses for lack of room
// counts as full and isn't suspect, unless it refuses again and again although this node knows
// no reason: it may be leaving.
func (f *Forwarder) handleRefused(c *call, id string, reply driver.Reply, took time.Duration) {
	switch full := reply.Status == http.StatusServiceUnavailable && f.cfg.Room().Enabled && c.members.layered() && c.members.limitsByRoom(); {
	case reply.Status == http.StatusMisdirectedRequest, took > time.Second:
		f.markSuspect(id, reply.Fault, failureBackoff, "refused")
	case !full:
		f.markSuspect(id, reply.Fault, overloadBackoff<<min(f.assessor.Rejected(id)-1, maxOverloadDoublings), "refused")
	default:
		c.full = true
		load := f.expectedLoad(c, id)
		f.assessor.Underestimated(id, 1/max(load, unexplainedLoad))
		if count := f.assessor.MarkFull(id); count >= unexplainedRefusals && load < unexplainedLoad {
			f.markSuspect(id, reply.Fault, overloadBackoff<<min(count-1, maxOverloadDoublings), "refused")
		}
	}
}
