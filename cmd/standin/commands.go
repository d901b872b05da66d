package main

import (
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/standin/booker"
	"banyanquay/internal/standin/generator"
	"banyanquay/internal/standin/server"
)

// shutdownTimeout limits how long requests of an endpoint or a service may continue
// after its stop. The platform has no such time, because its readers wait for
// records that may never come.
const shutdownTimeout = 5 * time.Second

// platformArgs are the arguments of the platform.
type platformArgs struct {
	Listen    string           `arg:"--listen,required" help:"host:port to serve at"`
	VMs       []archiver.Entry `arg:"--vm,separate" help:"entry of the list, role=address@centre; repeatable"`
	ListLag   time.Duration    `arg:"--list-lag" default:"1s" help:"how late changes of the list are shown"`
	Appends   float64          `arg:"--appends" default:"300" help:"appends a second"`
	Retention time.Duration    `arg:"--retention" help:"age at which records are dropped; 0 means never"`
	Count     int              `arg:"--retention-count" help:"records kept of each stream; 0 means all"`
}

func (p *platformArgs) run(ctx context.Context) error {
	vms := make([]provider.VM, 0, len(p.VMs))
	for _, entry := range p.VMs {
		vms = append(vms, entry.VM)
	}
	a := archiver.New(archiver.Config{
		VMs:     vms,
		ListLag: p.ListLag,
		Switches: archiver.Switches{
			RetentionMillis:  p.Retention.Milliseconds(),
			RetentionCount:   p.Count,
			AppendsPerSecond: p.Appends,
		},
	})
	return server.Run(ctx, server.Config{
		Name:    "platform",
		Listen:  p.Listen,
		Handler: a.Handler(),
		Stdout:  os.Stdout,
	})
}

// endpointArgs are the arguments of a model engine.
type endpointArgs struct {
	Listen      string           `arg:"--listen,required" help:"host:port to serve at"`
	Incarnation string           `arg:"--incarnation" help:"name of this process; random if empty"`
	Accelerator string           `arg:"--accelerator" default:"generic" help:"kind of hardware"`
	Hold        []generator.Hold `arg:"--hold,separate" help:"model:version:first-last/layers[:adapter...]; repeatable"`
	StepMillis  float64          `arg:"--step-ms" default:"1" help:"milliseconds of one layer for one position"`
	PrefillMS   float64          `arg:"--prefill-ms" default:"0.02" help:"milliseconds of one layer for each further word"`
	Slots       int              `arg:"--slots" default:"8" help:"steps that run at once"`
	MaxQueue    int              `arg:"--max-queue" default:"1000" help:"steps that may wait"`
	StatusLag   time.Duration    `arg:"--status-lag" default:"500ms" help:"how late the load is reported"`
	Prefixes    int              `arg:"--prefix-blocks" default:"1024" help:"capacity of the prefix cache in blocks of 16 words"`
	EventDelay  time.Duration    `arg:"--event-delay" default:"300ms" help:"how late cache events are published"`
	EventGaps   float64          `arg:"--event-gaps" default:"0.1" help:"share of cache events that are lost, 0 to 1"`
	Seed        uint64           `arg:"--seed" default:"1" help:"seed of the gaps"`
	ChecksFence bool             `arg:"--checks-fence" help:"refuse orders with an old fencing number"`
	Capacity    int              `arg:"--capacity" help:"layers that there is room for; 0 reports none"`
	LoadTime    time.Duration    `arg:"--load-time" default:"1s" help:"how long an order takes to load"`
}

func (e *endpointArgs) run(ctx context.Context) error {
	holdings := make([]driver.Holding, 0, len(e.Hold))
	for _, hold := range e.Hold {
		holdings = append(holdings, hold.Holding)
	}
	g := generator.New(generator.Config{
		Incarnation:  e.Incarnation,
		Accelerator:  e.Accelerator,
		Holdings:     holdings,
		StepTime:     milliseconds(e.StepMillis),
		PrefillTime:  milliseconds(e.PrefillMS),
		Slots:        e.Slots,
		MaxQueue:     e.MaxQueue,
		StatusLag:    e.StatusLag,
		PrefixBlocks: e.Prefixes,
		EventDelay:   e.EventDelay,
		EventGaps:    e.EventGaps,
		Seed:         e.Seed,
		Capacity:     e.Capacity,
		ChecksFence:  e.ChecksFence,
		LoadTime:     e.LoadTime,
	})
	return server.Run(ctx, server.Config{
		Name:    "endpoint",
		Listen:  e.Listen,
		Handler: g.Handler(),
		Silence: g.Silence(),
		Grace:   shutdownTimeout,
		Stdout:  os.Stdout,
	})
}

// serviceArgs are the arguments of a plain service.
type serviceArgs struct {
	Listen      string        `arg:"--listen,required" help:"host:port to serve at"`
	Incarnation string        `arg:"--incarnation" help:"name of this process; random if empty"`
	Names       []string      `arg:"--name,separate" help:"service that it answers for; repeatable"`
	Checks      string        `arg:"--checks" default:"none" help:"none, key or fence"`
	Time        time.Duration `arg:"--time" help:"how long an execution takes"`
}

func (s *serviceArgs) run(ctx context.Context) error {
	switch s.Checks {
	case describer.ChecksNothing, describer.ChecksKey, describer.ChecksFence:
	default:
		return trace.BadParameter("--checks is %q, want none, key or fence", s.Checks)
	}
	b := booker.New(booker.Config{
		Incarnation: s.Incarnation,
		Services:    s.Names,
		Checks:      s.Checks,
		Time:        s.Time,
	})
	return server.Run(ctx, server.Config{
		Name:    "service",
		Listen:  s.Listen,
		Handler: b.Handler(),
		Silence: b.Silence(),
		Grace:   shutdownTimeout,
		Stdout:  os.Stdout,
	})
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
