// Package planner chooses pipelines: exact covers of a model's layers by the
// ranges that endpoints hold. Its decisions read no clock and open no socket.
package planner

import (
	"slices"
	"sync/atomic"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
)

//go:generate stringer -type=Policy -linecomment -output=policy_string.go

// Policy is the rule by which one of several covers is chosen.
type Policy int

// Policies. The last two are baselines to measure against.
const (
	// LeastCost takes the cover of least expected time.
	LeastCost Policy = iota // least_cost
	// LeastLoad takes the cover of least queued work per slot.
	LeastLoad // least_load
	// RoundRobin takes the next holder in turn.
	RoundRobin // round_robin
)

// ParsePolicy returns the policy of a name, and whether there is one.
func ParsePolicy(name string) (Policy, bool) {
	for policy := LeastCost; policy <= RoundRobin; policy++ {
		if policy.String() == name {
			return policy, true
		}
	}
	return LeastCost, false
}

// Request is what a pipeline is wanted for. It is an immutable value.
type Request struct {
	Model   string
	Version string
	// Adapter must be held by every stage; empty means none.
	Adapter      string
	Organisation string
	// Prefix is the hash of the prompt's first blocks; 0 means no affinity.
	Prefix uint64
	// Cached are the endpoints whose cache events told of the prefix. The
	// events come late and with gaps, so they are a hint only.
	Cached []string
	// Centre is the data centre of the node that drives the stages.
	Centre string
	// Tokens is the expected length of the answer.
	Tokens int
	// Within is the time left for all Tokens; 0 means that it is not bounded,
	// as for a request within its organisation's share.
	Within time.Duration
	// Exclude lists endpoints that must not be used.
	Exclude []string
}

// Stage is one endpoint's part of a pipeline.
type Stage struct {
	Address     string
	Incarnation string
	// First and Last bound the layers as [First, Last).
	First int
	Last  int
	// Work is the time of a token's step by the endpoint's own report.
	Work time.Duration
	// Queue is the steps in progress per slot when the stage was chosen.
	Queue float64
	// Time is the expected time of a step, with its link and queue.
	Time time.Duration
}

// Plan is a pipeline. Its stages join without a gap or an overlap, are of one
// version, and name no endpoint twice.
type Plan []Stage

// Time returns the expected time of a token.
func (p Plan) Time() time.Duration {
	var sum time.Duration
	for _, s := range p {
		sum += s.Time
	}
	return sum
}

// Load is what the node has measured of an endpoint. It is an immutable value.
type Load struct {
	// InFlight counts the node's own steps in progress there.
	InFlight int
	// Limit is how many of them the node allows itself; 0 means no limit.
	Limit int
	// RTT is the smoothed link time of a step; 0 means not yet measured.
	RTT time.Duration
	// Penalty multiplies the expected time by 1+Penalty.
	Penalty float64
	// Open is set while the circuit breaker is open: the endpoint gets work only
	// if no other holds its layers.
	Open bool
}

// withClosed returns the load as if the breaker were closed.
func (l Load) withClosed() Load {
	l.Open = false
	return l
}

// Config tunes a planner. Zero fields take their defaults.
type Config struct {
	Policy Policy
	// LocalRTT and RemoteRTT stand for links that are not yet measured.
	LocalRTT  time.Duration
	RemoteRTT time.Duration
	// Gain is the part of its expected time by which an endpoint that may have
	// the prefix cached is preferred.
	Gain float64
	// Spread bounds affinity: an endpoint loaded over Spread times the mean
	// of its range's holders gets no prefix for affinity's sake.
	Spread float64
	// Seed differs between nodes, so that equal costs are not settled alike.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultLocalRTT  = time.Millisecond
	DefaultRemoteRTT = 5 * time.Millisecond
	DefaultGain      = 0.5
	DefaultSpread    = 2
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.LocalRTT == 0 {
		c.LocalRTT = DefaultLocalRTT
	}
	if c.RemoteRTT == 0 {
		c.RemoteRTT = DefaultRemoteRTT
	}
	if c.Gain == 0 {
		c.Gain = DefaultGain
	}
	if c.Spread == 0 {
		c.Spread = DefaultSpread
	}
	return c
}

// Planner chooses pipelines. It is safe for concurrent use.
type Planner struct {
	cfg Config
	// turn counts the choices made; it rotates RoundRobin and settles ties.
	turn atomic.Uint64
}

// New returns a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults()}
}

// Choose returns a pipeline over all layers of the request's model, or a
// refusal: of code NoPipeline if there is none, and DeadlineTooClose if the one
// chosen is not expected to finish in time.
func (p *Planner) Choose(
	req Request, endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	layers := countLayers(req.Model, req.Version, endpoints)
	if layers == 0 {
		return nil, refuser.New(refuser.NoPipeline, "no endpoint holds layers of %s %s", req.Model, req.Version)
	}
	plan, err := p.cover(req, span{0, layers}, layers, endpoints, loads)
	if err != nil {
		return nil, err
	}
	need := plan.Time() * time.Duration(max(req.Tokens, 0))
	if late := need - req.Within; p.cfg.Policy == LeastCost && req.Within > 0 && late > 0 {
		return nil, refuser.New(refuser.DeadlineTooClose,
			"%d tokens take %v, of which %v are left", req.Tokens, need, req.Within).WithWait(late)
	}
	return plan, nil
}

// Replace returns the plan with a new cover in place of the lost stage; every
// other stage stays as it is. The lost process is not chosen again.
func (p *Planner) Replace(
	req Request, plan Plan, lost int, endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	if lost < 0 || lost >= len(plan) {
		return nil, refuser.New(refuser.InternalError, "replacing stage %d of %d", lost, len(plan))
	}
	gone := plan[lost]
	left := make([]driver.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !plan.uses(e, gone) {
			left = append(left, e)
		}
	}
	layers := plan[len(plan)-1].Last
	part, err := p.cover(req, span{gone.First, gone.Last}, layers, left, loads)
	if err != nil {
		return nil, err
	}
	return slices.Concat(plan[:lost], part, plan[lost+1:]), nil
}

// uses tells whether a kept stage runs on the endpoint's address, or whether
// the endpoint is the very process that is gone.
func (p Plan) uses(e driver.Endpoint, gone Stage) bool {
	if e.Address == gone.Address && e.Status.Incarnation == gone.Incarnation {
		return true
	}
	for _, s := range p {
		if s.Address == e.Address && s != gone {
			return true
		}
	}
	return false
}

// cover returns a cover of want. Endpoints that only this node doubts are used
// where the others don't cover it, and those whose breaker is open last.
func (p *Planner) cover(
	req Request, want span, layers int, endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	plan, err := p.coverBy(driver.Endpoint.Serving, req, want, layers, endpoints, loads)
	if err == nil {
		return plan, nil
	}
	if slices.ContainsFunc(endpoints, func(e driver.Endpoint) bool { return e.Doubted }) {
		if plan, err = p.coverBy(driver.Endpoint.Usable, req, want, layers, endpoints, loads); err == nil {
			return plan, nil
		}
	}
	if !slices.ContainsFunc(endpoints, func(e driver.Endpoint) bool { return loads(e.Address).Open }) {
		return nil, err
	}
	closed := func(address string) Load { return loads(address).withClosed() }
	return p.coverBy(driver.Endpoint.Usable, req, want, layers, endpoints, closed)
}

// coverBy returns a cover of want by the endpoints that may be used.
func (p *Planner) coverBy(
	may func(driver.Endpoint) bool, req Request, want span, layers int,
	endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	turn := p.turn.Add(1)
	holders := p.gather(may, req, want, layers, endpoints, loads)
	if p.cfg.Policy == RoundRobin {
		if plan := rotate(want, holders, turn); plan != nil {
			return plan, nil
		}
	}
	p.price(req, holders, turn)
	if plan := cheapest(want, holders); plan != nil {
		return plan, nil
	}
	if plan := search(want, holders); plan != nil {
		return plan, nil
	}
	if gap := missing(want, holders); gap.first < gap.last {
		return nil, refuser.New(refuser.NoPipeline,
			"no endpoint that can be used holds layers %d to %d of %s %s with adapter %q",
			gap.first, gap.last, req.Model, req.Version, req.Adapter)
	}
	return nil, refuser.New(refuser.NoPipeline,
		"no cover of layers %d to %d of %s %s with adapter %q by %d ranges",
		want.first, want.last, req.Model, req.Version, req.Adapter, len(holders))
}
