// Package bencher puts load on running nodes, injects faults, and measures the
// throughput and latency that callers get, with throughput as a ratio to the max
// throughput of the engines.
package bencher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// Process is a running process that the bencher did not start.
type Process struct {
	// Address is host:port.
	Address string
	// PID is the process id.
	PID int
}

// Node is a node that receives requests.
type Node struct {
	Process
	// Policy is the routing policy in its settings.
	Policy string
}

// Organisation is a group of callers.
type Organisation struct {
	// Key is its API key.
	Key string
	// Share is the share of the capacity that its template claims.
	Share float64
	// Offered is its part of the offered load. All parts sum to 1.
	Offered float64
	// At is the number, from 1, of the only node of each policy that its callers
	// send requests to; 0 means all nodes.
	At int
}

// Config says what to load and how.
type Config struct {
	// Nodes are grouped by policy. Faults are injected under the policy of the
	// first node; the last of the default faults kills that node.
	Nodes         []Node
	Endpoints     []Process
	Organisations []Organisation
	// Silenced is the index of the endpoint whose connections go silent, and
	// Frozen of the one that stops answering.
	Silenced, Frozen int
	// Killed are the indexes of the endpoints that are killed one after the
	// other; the remaining endpoints still hold all layers.
	Killed []int
	// Model, Version and Layers are what all organisations use.
	Model, Version string
	Layers         int
	// Rates are the offered loads, as parts of the bound.
	Rates []float64
	// Warm is the warm-up time before each measured window, and Window the length
	// of that window.
	Warm, Window time.Duration
	// Tokens is the length of an answer, and Deadline its caller's time limit.
	Tokens   int
	Deadline time.Duration
	// Seed makes the arrivals and prompts reproducible.
	Seed uint64
	// LoadsOnly leaves the faults out.
	LoadsOnly bool
	// Faults are the kinds of faults to inject and of changes to make, the
	// changes first; empty means defaultFaults.
	Faults []string
	// Degraded is the index of the endpoint whose link is slowed down, and Slowed
	// of the one whose steps are.
	Degraded, Slowed int
	// Added is an endpoint with the same layers and speed as the first of
	// Endpoints that is not on the platform's list yet; AddedCentre is its data
	// centre.
	Added       Process
	AddedCentre string
	// Platform is host:port of the platform's stand-in.
	Platform string
	// OperatorKey is a key of the administration API.
	OperatorKey string
	// Later is the version that the templates are changed to in a roll-out.
	Later string
	// Stderr receives progress messages.
	Stderr io.Writer
}

// Report is everything that was measured.
type Report struct {
	// Bound is the max throughput of the engines in tokens per second.
	Bound  float64 `json:"bound_tokens_per_second"`
	Seed   uint64  `json:"seed"`
	Loads  []Load  `json:"loads"`
	Faults []Fault `json:"faults"`
	// Changes is empty unless Config.Faults names changes.
	Changes []Change `json:"changes,omitempty"`
}

// Bencher measures one fleet.
type Bencher struct {
	cfg  Config
	http *http.Client
	// control opens a new connection for each call of a stand-in, since open
	// connections may be silent.
	control *http.Client
	// bound is the max throughput of the engines in tokens per second.
	bound float64
	// lastTotals are the counters last read from each engine, by its address.
	lastTotals map[string]generator.Totals
}

// maxIdle is the number of connections kept to each node.
const maxIdle = 1024

// controlTimeout bounds a call to a stand-in.
const controlTimeout = 5 * time.Second

// New returns a bencher.
func New(cfg Config) *Bencher {
	return &Bencher{
		cfg:  cfg,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle}},
		control: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
			Timeout:   controlTimeout,
		},
		lastTotals: make(map[string]generator.Totals),
	}
}

// Run takes all measurements.
func (b *Bencher) Run(ctx context.Context) (Report, error) {
	bound, err := b.throughputBound(ctx)
	if err != nil {
		return Report{}, err
	}
	b.bound = bound
	report := Report{Bound: bound, Seed: b.cfg.Seed}
	for _, policy := range b.policies() {
		for _, rate := range b.cfg.Rates {
			load, err := b.load(ctx, policy, rate)
			if err != nil {
				return report, err
			}
			report.Loads = append(report.Loads, load)
		}
	}
	if b.cfg.LoadsOnly {
		return report, nil
	}
	faults, changes, err := b.selectPlans()
	if err != nil {
		return report, err
	}
	if report.Changes, err = b.changes(ctx, changes); err != nil {
		return report, err
	}
	report.Faults, err = b.faults(ctx, faults)
	return report, err
}

// throughputBound computes the max throughput, in tokens per second, from the
// endpoints' holdings.
func (b *Bencher) throughputBound(ctx context.Context) (float64, error) {
	endpoints := make([]driver.Endpoint, 0, len(b.cfg.Endpoints))
	for _, e := range b.cfg.Endpoints {
		status, err := fetch[driver.Status](ctx, b.control, e.Address, "/status")
		if err != nil {
			return 0, err
		}
		endpoints = append(endpoints, driver.Endpoint{Address: e.Address, Status: status})
	}
	bound := planner.MaxThroughput(b.cfg.Model, b.cfg.Version, endpoints).TokensPerSecond
	if bound <= 0 {
		return 0, trace.NotFound("no pipeline for %s %s", b.cfg.Model, b.cfg.Version)
	}
	return bound, nil
}

// policies returns the nodes' policies in order.
func (b *Bencher) policies() []string {
	var policies []string
	for _, n := range b.cfg.Nodes {
		if len(policies) == 0 || policies[len(policies)-1] != n.Policy {
			policies = append(policies, n.Policy)
		}
	}
	return policies
}

// nodes returns the nodes of a policy.
func (b *Bencher) nodes(policy string) []Node {
	var nodes []Node
	for _, n := range b.cfg.Nodes {
		if n.Policy == policy {
			nodes = append(nodes, n)
		}
	}
	return nodes
}
