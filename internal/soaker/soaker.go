// Package soaker runs real nodes as processes before a site in memory, harms them
// from outside, and checks what callers and endpoints see.
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
	// siteIP is where the site listens and frontIP where the proxies of its
	// endpoints do. Nodes and their proxies of the store have addresses of their
	// own, after nodeIP and storeIP.
	siteIP  = "127.0.43.1"
	frontIP = "127.0.43.2"
	nodeIP  = "127.0.44.%d"
	storeIP = "127.0.45.%d"
	// sitePort is the port of the store, counted from the first; nodes take the
	// first ones.
	sitePort = 10
	// startTime bounds the start, until a stream is served.
	startTime = 20 * time.Second
	// calmTime is how long the run goes on without faults, and provenTime the end of
	// it, in which servedShare of the requests must be served.
	calmTime    = 9 * time.Second
	provenTime  = 3 * time.Second
	servedShare = 0.95
	// revokeTime is how long a key that was taken away may work, and revokeSlack the
	// time that a request takes from its caller to the node.
	revokeTime  = 5 * time.Second
	revokeSlack = 200 * time.Millisecond
	// leaveTime is how long an endpoint that leaves may get requests: a node that knows
	// nothing new from the store for revokeTime refuses all requests with a key, and what
	// it knows of endpoints comes with the rest; it may be some seconds behind.
	leaveTime = 8 * time.Second
	// stopTime bounds a planned stop.
	stopTime = 10 * time.Second
	// auditInterval is the time between two checks during the run.
	auditInterval = 500 * time.Millisecond
	// nameLength is how much of a random name makes runs differ.
	nameLength = 8
	// lent is the key that is taken away at times.
	lent = "lent-key"
)

// centres are the site's data centres.
var centres = []string{"a", "b", "c"}

// Config says what to run.
type Config struct {
	// Daemon is the program of a node.
	Daemon string
	// Dir takes settings and logs.
	Dir     string
	Seed    uint64
	Time    time.Duration
	Nodes   int
	Callers int
	// Engines are those of each data centre.
	Engines int
	// Port is the first of some hundred that are free on loopback; 0 means any.
	Port int
	Only []scheduler.Kind
}

// Report is what came of a run. It is an immutable value.
type Report struct {
	Faults []scheduler.Fault
	// Served and Requests are over the whole run.
	Served   int
	Requests int
	// Ends counts the requests by kind and end.
	Ends map[string]int
	// Broken are the promises that were broken; each is there once.
	Broken []string
}

// run is one run of a seed.
type run struct {
	cfg Config
	// name begins the IDs of the run's requests, so that they are its own.
	name    string
	site    *imitator.Site
	stores  []*proxier.Proxy
	fronts  []*proxier.Proxy
	nodes   []*spawner.Process
	auditor *auditor.Auditor
	// down counts the causes for which the store is down or loses answers.
	mu   sync.Mutex
	down map[scheduler.Kind]int
}

// Run runs a seed.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Port == 0 {
		port, err := freePort(ctx, cfg)
		if err != nil {
			return Report{}, err
		}
		cfg.Port = port
	}
	r := newRun(cfg)
	ctx, cancel := context.WithCancel(ctx)
	steps := []grouper.Step{r.site.Step()}
	for _, p := range append(append([]*proxier.Proxy{}, r.stores...), r.fronts...) {
		steps = append(steps, p.Step())
	}
	done := make(chan error, 1)
	go func() { done <- grouper.Group("soak", steps...).Run(ctx) }()
	report, err := r.play(ctx)
	for _, n := range r.nodes {
		n.End()
	}
	cancel()
	return report, trace.NewAggregate(err, <-done)
}

// newRun makes the parts of a run.
func newRun(cfg Config) *run {
	r := &run{cfg: cfg, name: uuid.NewString()[:nameLength], down: make(map[scheduler.Kind]int)}
	r.site = imitator.New(imitator.Config{
		IP: siteIP, Port: cfg.Port + sitePort, Centres: centres, Engines: cfg.Engines, Front: r.front,
	})
	r.site.Configure(imitator.Key, lent)
	r.auditor = auditor.New(auditor.Config{
		Revoke: revokeTime + revokeSlack, Runs: r.site.RunTimes, Leave: leaveTime, Visits: r.site.Visits,
	})
	_, storePort, _ := net.SplitHostPort(r.site.Address())
	for n := range cfg.Nodes {
		r.stores = append(r.stores, proxier.New(net.JoinHostPort(fmt.Sprintf(storeIP, n+1), storePort), r.site.Address()))
		r.nodes = append(r.nodes, spawner.New(spawner.Config{
			Name: fmt.Sprintf("node %d", n), Program: cfg.Daemon, Args: []string{r.settingsPath(n)},
			Log: filepath.Join(cfg.Dir, fmt.Sprintf("node%d.log", n)),
		}))
	}
	return r
}

// front puts a proxy before an endpoint and returns its address.
func (r *run) front(address string) string {
	_, port, _ := net.SplitHostPort(address)
	p := proxier.New(net.JoinHostPort(frontIP, port), address)
	r.fronts = append(r.fronts, p)
	return p.Address()
}

func (r *run) settingsPath(n int) string {
	return filepath.Join(r.cfg.Dir, fmt.Sprintf("node%d.toml", n))
}

// at is an address of a node: its links, frontend, readiness or discovery.
func (r *run) at(n, offset int) string {
	return net.JoinHostPort(fmt.Sprintf(nodeIP, n+1), fmt.Sprint(r.cfg.Port+offset))
}

// write writes a node's settings.
func (r *run) write(n int) error {
	text := fmt.Sprintf(`address = %q
centre = %q
platform = %q
fleet_secret = "only-for-the-soak-on-loopback"

[log]
rate = 2000

[stop]
address_ttl = "1s"
deadline = "8s"

[relay]
enabled = true
frontend = %q
readiness = %q
discovery = %q
`, r.at(n, 0), centres[n%len(centres)], r.stores[n].Address(), r.at(n, 1), r.at(n, 2), r.at(n, 3))
	return trace.ConvertSystemError(os.WriteFile(r.settingsPath(n), []byte(text), 0o600))
}

// play starts the nodes, causes the faults, and checks.
func (r *run) play(ctx context.Context) (Report, error) {
	for n, p := range r.nodes {
		if err := r.write(n); err != nil {
			return Report{}, err
		}
		if err := p.Start(); err != nil {
			return Report{}, err
		}
	}
	if err := r.await(ctx); err != nil {
		return Report{}, err
	}
	faults := scheduler.Draw(scheduler.Config{
		Seed: r.cfg.Seed, Time: r.cfg.Time, Nodes: r.cfg.Nodes, Endpoints: len(r.fronts), Only: r.cfg.Only,
	})
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var callers sync.WaitGroup
	for n := range r.cfg.Callers {
		callers.Go(func() { r.call(asking, n) })
	}
	go r.watch(asking)
	r.cause(ctx, faults)
	grouper.Sleep(ctx, calmTime-provenTime)
	since := time.Now()
	grouper.Sleep(ctx, provenTime)
	stop()
	callers.Wait()
	return r.report(faults, since), nil
}

// await waits until a node serves a stream.
func (r *run) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	v := imitator.Visitor{Discovery: r.at(0, 3), Centre: centres[0], Key: imitator.Key}
	var err error
	for ok := true; ok; ok = grouper.Sleep(ctx, 100*time.Millisecond) {
		if _, err = v.Stream(ctx, "start", events); err == nil {
			return nil
		}
	}
	return trace.Wrap(err, "no stream was served within %v", startTime)
}

// watch prints broken promises as they are seen.
func (r *run) watch(ctx context.Context) {
	for told := 0; grouper.Sleep(ctx, auditInterval); {
		broken := r.auditor.Broken()
		for ; told < len(broken); told++ {
			fmt.Println("  broken:", broken[told])
		}
	}
}

// report sums a run up.
func (r *run) report(faults []scheduler.Fault, since time.Time) Report {
	rep := Report{Faults: faults, Broken: r.auditor.Broken()}
	rep.Served, rep.Requests = r.auditor.Count()
	rep.Ends = r.auditor.Ends()
	if served, all := r.auditor.Share(imitator.Key, since); float64(served) < servedShare*float64(all) || all == 0 {
		rep.Broken = append(rep.Broken, fmt.Sprintf("recovery: %d of %d requests served after %v without faults", served, all, calmTime-provenTime))
	}
	for _, n := range r.nodes {
		rep.Broken = append(rep.Broken, n.Faults()...)
	}
	return rep
}

// Kinds returns the kinds of faults by their names.
func Kinds(names []string) ([]scheduler.Kind, error) {
	var kinds []scheduler.Kind
	for _, name := range names {
		found := false
		for k := scheduler.Kill; k <= scheduler.Leave; k++ {
			if k.String() == name {
				kinds, found = append(kinds, k), true
			}
		}
		if !found {
			return nil, trace.BadParameter("there is no fault %q", name)
		}
	}
	return kinds, nil
}

// Summary is a report in one line.
func (rep Report) Summary() string {
	kinds := make(map[string]bool)
	for _, f := range rep.Faults {
		kinds[f.Kind.String()] = true
	}
	return fmt.Sprintf("%d faults of %d kinds, %d of %d requests served, %d promises broken (%s)",
		len(rep.Faults), len(kinds), rep.Served, rep.Requests, len(rep.Broken), rep.ends())
}

// ends lists how requests ended.
func (rep Report) ends() string {
	all := make([]string, 0, len(rep.Ends))
	for _, end := range slices.Sorted(maps.Keys(rep.Ends)) {
		all = append(all, fmt.Sprintf("%s: %d", end, rep.Ends[end]))
	}
	return strings.Join(all, ", ")
}

// Details lists a report's faults and broken promises.
func (rep Report) Details() string {
	var b strings.Builder
	for _, f := range rep.Faults {
		fmt.Fprintln(&b, "  fault:", f)
	}
	for _, broken := range rep.Broken {
		fmt.Fprintln(&b, "  broken:", broken)
	}
	return b.String()
}
