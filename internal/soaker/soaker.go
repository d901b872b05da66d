// Package soaker runs real nodes as processes against an in-memory site, injects
// faults from outside, and checks what callers and endpoints observe.
package soaker

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"banyanquay/internal/grouper"
	"banyanquay/internal/soaker/auditor"
	"banyanquay/internal/soaker/proxier"
	"banyanquay/internal/soaker/scheduler"
	"banyanquay/internal/soaker/spawner"
	"banyanquay/platform/imitator"
)

const (
	// siteIP is where the site listens, and proxyIP where the proxies of its
	// endpoints do. Each node, and each node's proxy of the store, has an address of
	// its own, from nodeIPFormat and storeProxyIPFormat.
	siteIP             = "127.0.43.1"
	proxyIP            = "127.0.43.2"
	nodeIPFormat       = "127.0.44.%d"
	storeProxyIPFormat = "127.0.45.%d"
	// sitePortOffset is the store's port, counted from the run's first; nodes use
	// the ports before it.
	sitePortOffset = 10
	// startTimeout bounds the start, until a stream is served.
	startTimeout = 20 * time.Second
	// recoveryPeriod is how long the run goes on without faults, and measuredPeriod
	// its last part, in which minServedShare of the requests must be served.
	recoveryPeriod = 9 * time.Second
	measuredPeriod = 3 * time.Second
	minServedShare = 0.95
	// maxRevokeDelay is how long a revoked key may still work, and revokeTolerance
	// the time that a request takes from its caller to the node.
	maxRevokeDelay  = 5 * time.Second
	revokeTolerance = 200 * time.Millisecond
	// maxLeaveDelay is how long a leaving endpoint may still get requests: a node
	// that gets nothing new from the store for maxRevokeDelay refuses all requests
	// with a key, and its table of endpoints, which it reads with the rest, may be
	// some seconds behind.
	maxLeaveDelay = 8 * time.Second
	// grace is the time from a node's SIGTERM to its SIGKILL, as on the platform.
	grace = 8 * time.Second
	// plainSlots is the number of slots of a plain endpoint, so that slow requests leave
	// some for others.
	plainSlots = 32
	// auditInterval is the time between two checks during the run.
	auditInterval = 500 * time.Millisecond
	// idPrefixLength is the length of the part of a random UUID that distinguishes the
	// request IDs of different runs.
	idPrefixLength = 8
	// revocableKey is the API key that Revoke faults revoke for their duration.
	revocableKey = "lent-key"
)

// centres are the site's data centres.
var centres = []string{"a", "b", "c"}

// Config configures a run.
type Config struct {
	// Daemon is the path of a node's program.
	Daemon string
	// Dir is the directory for settings and logs.
	Dir     string
	Seed    uint64
	Time    time.Duration
	Nodes   int
	Callers int
	// Engines is the number of engines in each data centre.
	Engines int
	// RetrySlack is the slack of the nodes' retry budget. A smaller one gives each of a
	// few nodes the part that it would have of many.
	RetrySlack float64
	// SlowShare is the share of requests whose endpoint works for long, and that of
	// requests whose body is sent slowly.
	SlowShare float64
	// AddressTTL is the TTL of answers with addresses.
	AddressTTL time.Duration
	// MemoryMB is the memory limit of a node, in MB of 2^20 bytes.
	MemoryMB int
	// Port is the first of the consecutive ports that the run uses, which must be free
	// on loopback; 0 means any.
	Port int
	Only []scheduler.Kind
}

// Report is the result of a run. It is an immutable value.
type Report struct {
	Faults []scheduler.Fault
	// Served and Requests cover the whole run.
	Served   int
	Requests int
	// Outcomes counts the requests by kind and outcome.
	Outcomes map[string]int
	// PeakMemory is the largest resident memory of a node, in bytes, and PeakNode that
	// node's name.
	PeakMemory int64
	PeakNode   string
	// Violations lists the violated guarantees, each violation once.
	Violations []string
}

// run is one run of a seed.
type run struct {
	cfg Config
	// idPrefix starts the IDs of the run's requests, so that they differ from those
	// of other runs.
	idPrefix        string
	site            *imitator.Site
	storeProxies    []*proxier.Proxy
	endpointProxies []*proxier.Proxy
	nodes           []*spawner.Process
	frontends       []string
	auditor         *auditor.Auditor
	// mu guards storeFaults, which counts the active faults, by kind, that make the
	// store unavailable or lose its answers.
	mu          sync.Mutex
	storeFaults map[scheduler.Kind]int
	// restoring is held while a copy of the store is waiting to be restored.
	restoring sync.Mutex
	// crowd waits for the callers that faults bring.
	crowd sync.WaitGroup
}

// Run executes the run of a seed and returns its report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Port == 0 {
		port, err := findPorts(ctx, cfg)
		if err != nil {
			return Report{}, err
		}
		cfg.Port = port
	}
	r := newRun(cfg)
	ctx, cancel := context.WithCancel(ctx)
	steps := []grouper.Step{r.site.Step()}
	for _, p := range append(append([]*proxier.Proxy{}, r.storeProxies...), r.endpointProxies...) {
		steps = append(steps, p.Step())
	}
	done := make(chan error, 1)
	go func() { done <- grouper.Group("soak", steps...).Run(ctx) }()
	report, err := r.execute(ctx)
	for _, n := range r.nodes {
		n.Kill()
	}
	cancel()
	return report, trace.NewAggregate(err, <-done)
}

// newRun creates a run with its site, proxies and processes, none of which is
// started.
func newRun(cfg Config) *run {
	r := &run{cfg: cfg, idPrefix: uuid.NewString()[:idPrefixLength], storeFaults: make(map[scheduler.Kind]int)}
	r.site = imitator.New(imitator.Config{
		IP: siteIP, Port: cfg.Port + sitePortOffset, Centres: centres, Engines: cfg.Engines, Slots: plainSlots, AdvertisedAddress: r.addEndpointProxy,
	})
	r.site.Configure(imitator.Key, revocableKey)
	r.auditor = auditor.New(auditor.Config{
		MaxRevokeDelay: maxRevokeDelay + revokeTolerance, Runs: r.site.RunTimes, MaxLeaveDelay: maxLeaveDelay, Arrivals: r.site.Arrivals, Grace: grace,
	})
	_, storePort, _ := net.SplitHostPort(r.site.Address())
	for n := range cfg.Nodes {
		r.storeProxies = append(r.storeProxies, proxier.New(net.JoinHostPort(fmt.Sprintf(storeProxyIPFormat, n+1), storePort), r.site.Address()))
		r.nodes = append(r.nodes, spawner.New(spawner.Config{
			Name: fmt.Sprintf("node %d", n), Program: cfg.Daemon, Args: []string{r.settingsPath(n)},
			Log: filepath.Join(cfg.Dir, fmt.Sprintf("node%d.log", n)), MemoryLimit: int64(cfg.MemoryMB) << 20,
		}))
		r.frontends = append(r.frontends, r.nodeAddress(n, 1))
	}
	return r
}

// addEndpointProxy adds a proxy of an endpoint and returns its address.
func (r *run) addEndpointProxy(address string) string {
	_, port, _ := net.SplitHostPort(address)
	p := proxier.New(net.JoinHostPort(proxyIP, port), address)
	r.endpointProxies = append(r.endpointProxies, p)
	return p.Address()
}

func (r *run) settingsPath(n int) string {
	return filepath.Join(r.cfg.Dir, fmt.Sprintf("node%d.toml", n))
}

// nodeAddress returns an address of a node; the offset is 0 for its links, 1 for the
// frontend, 2 for readiness and 3 for discovery.
func (r *run) nodeAddress(n, offset int) string {
	return net.JoinHostPort(fmt.Sprintf(nodeIPFormat, n+1), fmt.Sprint(r.cfg.Port+offset))
}

// writeSettings writes a node's settings.
func (r *run) writeSettings(n int) error {
	text := fmt.Sprintf(`address = %q
centre = %q
platform = %q
fleet_secret = "only-for-the-soak-on-loopback"

[log]
rate = 2000

[stop]
address_ttl = %q
deadline = %q

[relay]
enabled = true
memory_mb = %d
frontend = %q
readiness = %q
discovery = %q
retry_slack = %g
`, r.nodeAddress(n, 0), centres[n%len(centres)], r.storeProxies[n].Address(), r.cfg.AddressTTL.String(), grace.String(), r.cfg.MemoryMB,
		r.nodeAddress(n, 1), r.nodeAddress(n, 2), r.nodeAddress(n, 3), r.cfg.RetrySlack)
	return trace.ConvertSystemError(os.WriteFile(r.settingsPath(n), []byte(text), 0o600))
}

// execute starts the nodes, injects the faults, and checks.
func (r *run) execute(ctx context.Context) (Report, error) {
	for n, p := range r.nodes {
		if err := r.writeSettings(n); err != nil {
			return Report{}, err
		}
		if err := p.Start(); err != nil {
			return Report{}, err
		}
	}
	if err := r.awaitStream(ctx); err != nil {
		return Report{}, err
	}
	faults := scheduler.Draw(scheduler.Config{
		Seed: r.cfg.Seed, Time: r.cfg.Time, Nodes: r.cfg.Nodes, Endpoints: len(r.endpointProxies), Only: r.cfg.Only,
	})
	callerCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for n := range r.cfg.Callers {
		callers.Go(func() { r.runCaller(callerCtx, n) })
	}
	go r.printViolations(callerCtx)
	r.injectFaults(ctx, faults)
	grouper.Sleep(ctx, recoveryPeriod-measuredPeriod)
	since := time.Now()
	grouper.Sleep(ctx, measuredPeriod)
	stop()
	callers.Wait()
	r.crowd.Wait()
	return r.report(faults, since), nil
}

// awaitStream waits until a node serves a stream.
func (r *run) awaitStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := imitator.Caller{Discovery: r.nodeAddress(0, 3), Centre: centres[0], Key: imitator.Key}
	var err error
	for ok := true; ok; ok = grouper.Sleep(ctx, 100*time.Millisecond) {
		if _, err = c.Stream(ctx, "start", eventsPerStream); err == nil {
			return nil
		}
	}
	return trace.Wrap(err, "no stream was served within %v", startTimeout)
}

// printViolations prints violations as they are found.
func (r *run) printViolations(ctx context.Context) {
	printed := make(map[string]bool)
	for grouper.Sleep(ctx, auditInterval) {
		for _, violation := range r.auditor.Violations() {
			if !printed[violation] {
				fmt.Println("  violation:", violation)
			}
			printed[violation] = true
		}
	}
}

// report builds the run's report; since is the start of measuredPeriod.
func (r *run) report(faults []scheduler.Fault, since time.Time) Report {
	rep := Report{Faults: faults, Violations: r.auditor.Violations()}
	rep.Served, rep.Requests = r.auditor.Count()
	rep.Outcomes = r.auditor.Outcomes()
	if served, all := r.auditor.CountSince(imitator.Key, since); float64(served) < minServedShare*float64(all) || all == 0 {
		rep.Violations = append(rep.Violations, fmt.Sprintf("recovery: %d of %d requests served after %v without faults", served, all, recoveryPeriod-measuredPeriod))
	}
	for _, n := range r.nodes {
		rep.Violations = append(rep.Violations, n.Failures()...)
		if peak := n.PeakMemory(); peak > rep.PeakMemory {
			rep.PeakMemory, rep.PeakNode = peak, n.Name()
		}
	}
	return rep
}

// ParseKinds returns the kinds of faults with the given names.
func ParseKinds(names []string) ([]scheduler.Kind, error) {
	var kinds []scheduler.Kind
	for _, name := range names {
		found := false
		for k := range scheduler.Kind(scheduler.Kinds) {
			if k.String() == name {
				kinds, found = append(kinds, k), true
			}
		}
		if !found {
			return nil, trace.BadParameter("unknown kind of fault %q", name)
		}
	}
	return kinds, nil
}

// Summary returns the report in one line.
func (rep Report) Summary() string {
	kinds := make(map[string]bool)
	for _, f := range rep.Faults {
		kinds[f.Kind.String()] = true
	}
	return fmt.Sprintf("%d faults of %d kinds, %d of %d requests served, %d guarantees violated, peak memory %.1f MB at %s (%s)",
		len(rep.Faults), len(kinds), rep.Served, rep.Requests, len(rep.Violations), float64(rep.PeakMemory)/(1<<20), rep.PeakNode, rep.outcomes())
}

// outcomes lists the counts of the outcomes.
func (rep Report) outcomes() string {
	all := make([]string, 0, len(rep.Outcomes))
	for _, outcome := range slices.Sorted(maps.Keys(rep.Outcomes)) {
		all = append(all, fmt.Sprintf("%s: %d", outcome, rep.Outcomes[outcome]))
	}
	return strings.Join(all, ", ")
}

// Details lists a report's faults and violations.
func (rep Report) Details() string {
	var b strings.Builder
	for _, f := range rep.Faults {
		fmt.Fprintln(&b, "  fault:", f)
	}
	for _, violation := range rep.Violations {
		fmt.Fprintln(&b, "  violation:", violation)
	}
	return b.String()
}
