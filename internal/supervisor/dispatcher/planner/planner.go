// Package planner chooses pipelines: exact covers of a model's layers by the
// ranges that endpoints hold. It reads no clock and opens no socket.
package planner

import (
	"slices"
	"sync/atomic"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
)

//go:generate stringer -type=Policy -linecomment -output=policy_string.go

// Policy is the rule for choosing one of several covers.
type Policy int

// Policies. LeastLoad and RoundRobin are baselines for comparison.
const (
	// LeastCost takes the cover with the lowest expected time.
	LeastCost Policy = iota // least_cost
	// LeastLoad takes the cover with the least queued work per slot.
	LeastLoad // least_load
	// RoundRobin takes the next holder in turn.
	RoundRobin // round_robin
)

// ParsePolicy returns the policy with a name, and whether there is one.
func ParsePolicy(name string) (Policy, bool) {
	for policy := LeastCost; policy <= RoundRobin; policy++ {
		if policy.String() == name {
			return policy, true
		}
	}
	return LeastCost, false
}

// Request describes the pipeline that is needed. It is an immutable value.
type Request struct {
	Model   string
	Version string
	// Adapter must be held by every stage; empty means none.
	Adapter      string
	Organisation string
	// Prefix is the hash of the prompt's first blocks; 0 disables affinity.
	Prefix uint64
	// Cached lists the endpoints whose cache events named the prefix. Events
	// arrive late and with gaps, so they are only a hint.
	Cached []string
	// Centre is the data centre of the node that drives the stages.
	Centre string
	// Tokens is the expected length of the answer.
	Tokens int
	// TimeLeft is the time left to generate all Tokens; 0 means no limit, as
	// for a request within its organisation's share.
	TimeLeft time.Duration
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
	// ReportedTime is the time of a token's step without queue, by the
	// endpoint's own report.
	ReportedTime time.Duration
	// Queue is the number of steps in progress per slot when the stage was
	// chosen.
	Queue float64
	// ExpectedTime is the expected time of a step, including its link and
	// queue.
	ExpectedTime time.Duration
}

// Plan is a pipeline. Its stages join without a gap or an overlap, are of one
// version, and name no endpoint twice.
type Plan []Stage

// Time returns the expected time of a token.
func (p Plan) Time() time.Duration {
	var sum time.Duration
	for _, s := range p {
		sum += s.ExpectedTime
	}
	return sum
}

// Load is the state of an endpoint as this node measures it. It is an immutable
// value.
type Load struct {
	// InFlight counts the node's own steps in progress at the endpoint.
	InFlight int
	// Limit is the node's own limit on InFlight; 0 means no limit.
	Limit int
	// RTT is the smoothed link time of a step; 0 until it is measured.
	RTT time.Duration
	// Penalty multiplies the expected time by 1+Penalty.
	Penalty float64
	// BreakerOpen is set while the circuit breaker is open: the endpoint gets work only
	// if no other holds its layers.
	BreakerOpen bool
}

// withClosedBreaker returns the load as if the breaker were closed.
func (l Load) withClosedBreaker() Load {
	l.BreakerOpen = false
	return l
}

// Config tunes a planner. Zero fields take their defaults.
type Config struct {
	Policy Policy
	// LocalRTT and RemoteRTT are assumed for links that are not yet measured:
	// within the node's data centre, and to other ones.
	LocalRTT  time.Duration
	RemoteRTT time.Duration
	// AffinityDiscount is the share by which the cost per layer is lowered for
	// an endpoint that may have the prefix cached.
	AffinityDiscount float64
	// LoadFactor limits affinity: an endpoint loaded over LoadFactor times the
	// mean of its range's holders is not preferred for a prefix.
	LoadFactor float64
	// Seed differs between nodes, so that they choose differently between equal
	// costs.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultLocalRTT         = time.Millisecond
	DefaultRemoteRTT        = 5 * time.Millisecond
	DefaultAffinityDiscount = 0.5
	DefaultLoadFactor       = 2
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.LocalRTT == 0 {
		c.LocalRTT = DefaultLocalRTT
	}
	if c.RemoteRTT == 0 {
		c.RemoteRTT = DefaultRemoteRTT
	}
	if c.AffinityDiscount == 0 {
		c.AffinityDiscount = DefaultAffinityDiscount
	}
	if c.LoadFactor == 0 {
		c.LoadFactor = DefaultLoadFactor
	}
	return c
}

// Planner chooses pipelines. It is safe for concurrent use.
type Planner struct {
	cfg Config
	// turn counts the choices made. RoundRobin rotates by it, and it varies the
	// jitter.
	turn atomic.Uint64
}

// New returns a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults()}
}

// Choose returns a pipeline over all layers of the request's model, or a
// refusal: NoPipeline if there is none, and, under LeastCost, DeadlineTooClose
// if the chosen one is not expected to finish in time.
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
	expected := plan.Time() * time.Duration(max(req.Tokens, 0))
	if overrun := expected - req.TimeLeft; p.cfg.Policy == LeastCost && req.TimeLeft > 0 && overrun > 0 {
		return nil, refuser.New(refuser.DeadlineTooClose,
			"%d tokens are expected to take %v, but only %v are left", req.Tokens, expected, req.TimeLeft).WithWait(overrun)
	}
	return plan, nil
}

// Replace returns the plan with a new cover in place of the lost stage; all
// other stages stay as they are. The lost process is not chosen again.
func (p *Planner) Replace(
	req Request, plan Plan, lost int, endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	if lost < 0 || lost >= len(plan) {
		return nil, refuser.New(refuser.InternalError, "cannot replace stage %d of a plan of %d stages", lost, len(plan))
	}
	lostStage := plan[lost]
	remaining := make([]driver.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !plan.conflictsWith(e, lostStage) {
			remaining = append(remaining, e)
		}
	}
	layers := plan[len(plan)-1].Last
	replacement, err := p.cover(req, span{lostStage.First, lostStage.Last}, layers, remaining, loads)
	if err != nil {
		return nil, err
	}
	return slices.Concat(plan[:lost], replacement, plan[lost+1:]), nil
}

// conflictsWith reports whether a remaining stage runs on the endpoint's address,
// or whether the endpoint is the process of the lost stage.
func (p Plan) conflictsWith(e driver.Endpoint, lostStage Stage) bool {
	if e.Address == lostStage.Address && e.Status.Incarnation == lostStage.Incarnation {
		return true
	}
	for _, s := range p {
		if s.Address == e.Address && s != lostStage {
			return true
		}
	}
	return false
}

// cover returns a cover of want. Endpoints that only this node suspects are
// used if the others don't cover it, and those whose breaker is open as a last
// resort.
func (p *Planner) cover(
	req Request, want span, layers int, endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	plan, err := p.coverWith(driver.Endpoint.Serving, req, want, layers, endpoints, loads)
	if err == nil {
		return plan, nil
	}
	if slices.ContainsFunc(endpoints, func(e driver.Endpoint) bool { return e.Suspect }) {
		if plan, err = p.coverWith(driver.Endpoint.Usable, req, want, layers, endpoints, loads); err == nil {
			return plan, nil
		}
	}
	if !slices.ContainsFunc(endpoints, func(e driver.Endpoint) bool { return loads(e.Address).BreakerOpen }) {
		return nil, err
	}
	closed := func(address string) Load { return loads(address).withClosedBreaker() }
	return p.coverWith(driver.Endpoint.Usable, req, want, layers, endpoints, closed)
}

// coverWith returns a cover of want by the eligible endpoints.
func (p *Planner) coverWith(
	eligible func(driver.Endpoint) bool, req Request, want span, layers int,
	endpoints []driver.Endpoint, loads func(address string) Load,
) (Plan, error) {
	turn := p.turn.Add(1)
	holders := p.collectHolders(eligible, req, want, layers, endpoints, loads)
	if p.cfg.Policy == RoundRobin {
		if plan := roundRobinCover(want, holders, turn); plan != nil {
			return plan, nil
		}
	}
	p.setCosts(req, holders, turn)
	if plan := cheapestCover(want, holders); plan != nil {
		return plan, nil
	}
	if plan := searchCover(want, holders); plan != nil {
		return plan, nil
	}
	if gap := firstUncovered(want, holders); gap.first < gap.last {
		return nil, refuser.New(refuser.NoPipeline,
			"no usable endpoint holds layers %d to %d of %s %s with adapter %q",
			gap.first, gap.last, req.Model, req.Version, req.Adapter)
	}
	return nil, refuser.New(refuser.NoPipeline,
		"no cover of layers %d to %d of %s %s with adapter %q by %d ranges",
		want.first, want.last, req.Model, req.Version, req.Adapter, len(holders))
}
