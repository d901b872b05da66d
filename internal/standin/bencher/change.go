package bencher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// Change holds the measurements around a change of the fleet under load.
type Change struct {
	// In Fault, Streams, Resumed, ResumedInTime and the waits (P50, P95 and Max)
	// cover only the streams that were open at the time of the change and had used
	// the part of the fleet that it changed.
	Fault
	Offered float64 `json:"offered"`
	// Before, During and After are the throughput in the window before the
	// change, while it lasts, and in the window after it, over the bound.
	Before float64 `json:"before"`
	During float64 `json:"during"`
	After  float64 `json:"after"`
	// BoundLeft is the bound without the changed engine over the bound; 0 if no
	// engine changed.
	BoundLeft float64 `json:"left"`
	// NewBefore and NewDuring are how many requests were routed to the engine for
	// the first time: in an equally long time before the change, and while it
	// lasted.
	NewBefore int `json:"new_before"`
	NewDuring int `json:"new_during"`
	// LastNew is the time from the change to the last of NewDuring, in
	// milliseconds.
	LastNew float64 `json:"last_new_ms"`
	// NewAfter counts them from the revert to the end of the load, and
	// FirstNewAfter is the time in milliseconds from the revert to the first of
	// them; negative means none.
	NewAfter      int     `json:"new_after"`
	FirstNewAfter float64 `json:"back_ms"`
	// Joining is set for an added endpoint.
	Joining *Joining `json:"joining,omitempty"`
	// Versions counts the whole answers of each version, in a roll-out. An answer
	// that mixes versions counts as Wrong.
	Versions []Version `json:"versions,omitempty"`
}

// Version counts the whole answers of one version.
type Version struct {
	Name  string `json:"name"`
	Whole int    `json:"whole"`
}

// changePlan is a change to be made under load.
type changePlan struct {
	faultPlan
	// engine is the address of the changed engine, or empty.
	engine string
	// adds is set if the change adds the engine to the fleet.
	adds bool
	// windows is the time from the change to its revert, in windows.
	windows int
	// later is a second version whose answers are also correct.
	later string
	// undo is called when the load has ended; it may be nil.
	undo func(ctx context.Context) error
}

// Kinds of changes.
const (
	kindDegraded  = "link_degraded"
	kindSlowed    = "engine_slowed"
	kindAdded     = "endpoint_added"
	kindRolledOut = "version_rolled_out"
	// kindRolledOutKilled is a roll-out in which a node is killed after the
	// templates have changed.
	kindRolledOutKilled = "version_rolled_out_node_killed"
)

// changeRate is the offered load around changes, as a part of the bound.
const changeRate = 0.7

// Slowdown factors of a degraded link and of a slowed engine.
const (
	// linkFactor is the delay of a degraded link as a multiple of the time of one
	// layer.
	linkFactor = 100
	stepFactor = 10
)

// changePlan returns the change of a kind.
func (b *Bencher) changePlan(kind string) (changePlan, bool) {
	switch kind {
	case kindDegraded:
		return b.degrade(b.cfg.Degraded), true
	case kindSlowed:
		return b.slow(b.cfg.Slowed), true
	case kindAdded:
		return b.addEndpoint(), true
	case kindRolledOut:
		return b.rollOut(), true
	case kindRolledOutKilled:
		return b.rollOutAndKill(), true
	}
	return changePlan{}, false
}

// degrade delays every call to an engine.
func (b *Bencher) degrade(i int) changePlan {
	address := b.cfg.Endpoints[i].Address
	cause := func(ctx context.Context) error {
		status, err := fetch[driver.Status](ctx, b.control, address, "/status")
		if err != nil {
			return err
		}
		return b.setSwitches(i, generator.Switches{DelayMillis: int64(linkFactor * status.StepMillis)})(ctx)
	}
	return changePlan{
		faultPlan: faultPlan{
			kind:    kindDegraded,
			affects: b.requestsUsing(i),
			cause:   cause,
			revert:  b.setSwitches(i, generator.Switches{}),
		},
		engine:  address,
		windows: 1,
	}
}

// slow makes every step of an engine take longer.
func (b *Bencher) slow(i int) changePlan {
	return changePlan{
		faultPlan: faultPlan{
			kind:    kindSlowed,
			affects: b.requestsUsing(i),
			cause:   b.setSwitches(i, generator.Switches{SlowFactor: stepFactor}),
			revert:  b.setSwitches(i, generator.Switches{SlowFactor: 1}),
		},
		engine:  b.cfg.Endpoints[i].Address,
		windows: 1,
	}
}

// changes makes each change under load.
func (b *Bencher) changes(ctx context.Context, plans []changePlan) ([]Change, error) {
	var changes []Change
	for _, a := range plans {
		c, err := b.change(ctx, a)
		if err != nil {
			return changes, trace.Wrap(err, "making the change %s", a.kind)
		}
		changes = append(changes, c)
		time.Sleep(recoveryDelay)
	}
	return changes, nil
}

// change makes one change under load, with one window before the change and one
// after its revert.
func (b *Bencher) change(ctx context.Context, a changePlan) (Change, error) {
	extended := *b
	extended.cfg.Window = time.Duration(2+a.windows) * b.cfg.Window
	if a.adds {
		extended.cfg.Endpoints = append(slices.Clone(b.cfg.Endpoints), b.cfg.Added)
	}
	nodes := b.nodes(b.cfg.Nodes[0].Policy)
	r := &run{b: &extended, nodes: addresses(nodes), tokens: b.cfg.Tokens, maxAttempts: len(nodes) + 1, later: a.later}
	before, err := extended.engineTotals(ctx)
	if err != nil {
		return Change{}, err
	}
	var injected injection
	var revertedAt time.Duration
	r.sendAll(ctx, extended.arrivals(changeRate, len(nodes), r.tokens), func(ctx context.Context) {
		injected, revertedAt, err = r.applyChange(ctx, a)
	})
	if err != nil {
		return Change{}, err
	}
	after, err := extended.engineTotals(ctx)
	if err != nil {
		return Change{}, err
	}
	c := Change{Fault: r.measureRecovery(injected), Offered: changeRate}
	c.Kind = a.kind
	c.Amplification = extended.amplification(after.Sub(before), r.done)
	c = c.withOutcomes(extended.summarise(r.done, changeRate, len(nodes)))
	r.logFailures(a.kind)
	c.Before = r.throughput(injected.at-b.cfg.Window, injected.at)
	c.During = r.throughput(injected.at, revertedAt)
	c.After = r.throughput(revertedAt, revertedAt+b.cfg.Window)
	c.Versions = r.versions()
	if err := r.measureEngine(ctx, a, injected.at, revertedAt, &c); err != nil {
		return c, err
	}
	_, _ = fmt.Fprintf(b.cfg.Stderr, "%s: %.2f, %.2f, %.2f of the bound\n", c.Kind, c.Before, c.During, c.After)
	if a.undo != nil {
		return c, a.undo(ctx)
	}
	return c, nil
}

// withOutcomes copies the counts of the requests' outcomes from a load.
func (c Change) withOutcomes(l Load) Change {
	c.Requests, c.Whole, c.Wrong, c.Failures = l.Requests, l.Whole, l.Wrong, l.Failures
	return c
}

// applyChange makes a change after one window and reverts it after the planned
// number of windows. It returns the times of both.
func (r *run) applyChange(ctx context.Context, a changePlan) (injection, time.Duration, error) {
	window := r.b.cfg.Window / time.Duration(2+a.windows)
	time.Sleep(r.b.cfg.Warm + window - r.elapsed())
	injected, err := r.inject(ctx, a.faultPlan)
	if err != nil {
		return injected, 0, err
	}
	time.Sleep(injected.at + time.Duration(a.windows)*window - r.elapsed())
	revertedAt := r.elapsed()
	if a.revert == nil {
		return injected, revertedAt, nil
	}
	return injected, revertedAt, a.revert(ctx)
}

// throughput returns the rate of tokens received in a part of the run, over the
// bound.
func (r *run) throughput(from, to time.Duration) float64 {
	n := 0
	for _, o := range r.done {
		for _, at := range o.tokens {
			if at >= from && at < to {
				n++
			}
		}
	}
	return ratio(float64(n), r.b.bound*(to-from).Seconds())
}

// measureEngine reads from the changed engine at what times it was asked for
// steps.
func (r *run) measureEngine(ctx context.Context, a changePlan, at, revertedAt time.Duration, c *Change) error {
	if a.engine == "" {
		return nil
	}
	var err error
	if c.BoundLeft, err = r.b.boundWithout(ctx, a.engine); err != nil {
		return err
	}
	asks, err := r.stepRequests(ctx, a.engine)
	if err != nil {
		return err
	}
	if a.adds {
		peer, err := r.stepRequests(ctx, r.b.cfg.Endpoints[0].Address)
		c.Joining = measureJoining(asks, peer, at, 2*revertedAt-at)
		return err
	}
	c.countNew(firstSteps(asks), at, revertedAt)
	return nil
}

// countNew counts the requests that were routed to the engine for the first time
// before, during and after the change.
func (c *Change) countNew(firstTimes []time.Duration, at, revertedAt time.Duration) {
	c.FirstNewAfter = -1
	for _, first := range firstTimes {
		switch {
		case first < 2*at-revertedAt:
		case first < at:
			c.NewBefore++
		case first < revertedAt:
			c.NewDuring++
			c.LastNew = float64(first-at) / float64(time.Millisecond)
		default:
			if c.NewAfter++; c.NewAfter == 1 {
				c.FirstNewAfter = float64(first-revertedAt) / float64(time.Millisecond)
			}
		}
	}
}

// boundWithout returns the bound of the fleet without an engine, over the whole
// bound.
func (b *Bencher) boundWithout(ctx context.Context, engine string) (float64, error) {
	endpoints := make([]driver.Endpoint, 0, len(b.cfg.Endpoints))
	for _, e := range b.cfg.Endpoints {
		if e.Address == engine {
			continue
		}
		status, err := fetch[driver.Status](ctx, b.control, e.Address, "/status")
		if err != nil {
			return 0, err
		}
		endpoints = append(endpoints, driver.Endpoint{Address: e.Address, Status: status})
	}
	return ratio(planner.MaxThroughput(b.cfg.Model, b.cfg.Version, endpoints).TokensPerSecond, b.bound), nil
}

// stepRequest is a request for a step; at is the time from the start of the run.
type stepRequest struct {
	request string
	at      time.Duration
}

// stepRequests returns the requests for steps that an engine received.
func (r *run) stepRequests(ctx context.Context, engine string) ([]stepRequest, error) {
	list, err := fetch[[]generator.StepCall](ctx, r.b.control, engine, "/asks")
	asks := make([]stepRequest, 0, len(list))
	for _, a := range list {
		asks = append(asks, stepRequest{request: a.Request, at: a.At.Sub(r.started)})
	}
	return asks, err
}

// firstSteps returns the time of each request's first step request, in order.
func firstSteps(asks []stepRequest) []time.Duration {
	seen := make(map[string]bool)
	var times []time.Duration
	for _, a := range asks {
		if !seen[a.request] {
			seen[a.request] = true
			times = append(times, a.at)
		}
	}
	return times
}
