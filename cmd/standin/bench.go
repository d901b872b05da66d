package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/standin/bencher"
)

// benchArgs are the arguments of the load generator.
type benchArgs struct {
	Nodes         []policyNode   `arg:"--node,separate,required" help:"policy=address@pid; repeatable"`
	Endpoints     []process      `arg:"--endpoint,separate,required" help:"address@pid; repeatable"`
	Organisations []organisation `arg:"--organisation,separate,required" help:"key:share:part of the load, with :node if its callers ask one only; repeatable"`
	Silenced      int            `arg:"--silenced" help:"index of the endpoint whose connections go silent"`
	Frozen        int            `arg:"--frozen" help:"index of the endpoint that stops answering"`
	Killed        []int          `arg:"--killed,separate" help:"index of an endpoint that is killed; repeatable"`
	Model         string         `arg:"--model,required" help:"the organisations' model"`
	Version       string         `arg:"--version,required" help:"the model's version"`
	Layers        int            `arg:"--layers,required" help:"layers of the model"`
	Rates         []float64      `arg:"--rate,separate" help:"offered load as a part of the bound; repeatable"`
	Warm          time.Duration  `arg:"--warm" default:"2s" help:"time before each window"`
	Window        time.Duration  `arg:"--window" default:"4s" help:"time that is measured"`
	Tokens        int            `arg:"--tokens" default:"20" help:"tokens of each answer"`
	Deadline      time.Duration  `arg:"--deadline" default:"4s" help:"time limit of each answer"`
	Seed          uint64         `arg:"--seed" default:"1" help:"seed of arrivals and prompts"`
	LoadsOnly     bool           `arg:"--loads-only" help:"cause no faults"`
	Faults        []string       `arg:"--fault,separate" help:"kind of fault or change to cause in place of the usual faults; repeatable"`
	Degraded      int            `arg:"--degraded" help:"index of the endpoint whose link gets slow"`
	Slowed        int            `arg:"--slowed" help:"index of the endpoint whose steps get slow"`
	Added         process        `arg:"--added" help:"address@pid of an endpoint like the first that the list gets in mid-load"`
	AddedCentre   string         `arg:"--added-centre" help:"its data centre"`
	Platform      string         `arg:"--platform" help:"host:port of the platform, for --added"`
	OperatorKey   string         `arg:"--operator-key" help:"key of the administration API, for a roll-out"`
	Later         string         `arg:"--later" help:"version that a roll-out moves to"`
	JSON          string         `arg:"--json" help:"file that gets the figures"`
}

func (b *benchArgs) run(ctx context.Context) error {
	cfg := bencher.Config{
		Silenced:  b.Silenced,
		Frozen:    b.Frozen,
		Killed:    b.Killed,
		Model:     b.Model,
		Version:   b.Version,
		Layers:    b.Layers,
		Rates:     b.Rates,
		Warm:      b.Warm,
		Window:    b.Window,
		Tokens:    b.Tokens,
		Deadline:  b.Deadline,
		Seed:      b.Seed,
		LoadsOnly: b.LoadsOnly,
		Faults:    b.Faults,

		Degraded:    b.Degraded,
		Slowed:      b.Slowed,
		Added:       b.Added.Process,
		AddedCentre: b.AddedCentre,
		Platform:    b.Platform,
		OperatorKey: b.OperatorKey,
		Later:       b.Later,
		Stderr:      os.Stderr,
	}
	for _, n := range b.Nodes {
		cfg.Nodes = append(cfg.Nodes, n.Node)
	}
	for _, e := range b.Endpoints {
		cfg.Endpoints = append(cfg.Endpoints, e.Process)
	}
	for _, o := range b.Organisations {
		cfg.Organisations = append(cfg.Organisations, o.Organisation)
	}
	report, err := bencher.New(cfg).Run(ctx)
	return trace.NewAggregate(err, report.Table(os.Stdout), b.write(report))
}

// write writes the report to the JSON file, if one is set.
func (b *benchArgs) write(report bencher.Report) error {
	if b.JSON == "" {
		return nil
	}
	data, err := encoder.JSON(report)
	if err != nil {
		return err
	}
	return trace.ConvertSystemError(os.WriteFile(b.JSON, data, 0o644))
}

// process parses a process written as address@pid.
type process struct {
	bencher.Process
}

// UnmarshalText parses address@pid.
func (p *process) UnmarshalText(text []byte) error {
	address, pid, ok := strings.Cut(string(text), "@")
	if !ok {
		return trace.BadParameter("%q is not of the form address@pid", text)
	}
	n, err := strconv.Atoi(pid)
	p.Process = bencher.Process{Address: address, PID: n}
	return trace.Wrap(err)
}

// policyNode parses a node written as policy=address@pid.
type policyNode struct {
	bencher.Node
}

// UnmarshalText parses policy=address@pid.
func (n *policyNode) UnmarshalText(text []byte) error {
	policy, rest, ok := strings.Cut(string(text), "=")
	if !ok {
		return trace.BadParameter("%q is not of the form policy=address@pid", text)
	}
	var p process
	err := p.UnmarshalText([]byte(rest))
	n.Node = bencher.Node{Process: p.Process, Policy: policy}
	return err
}

// organisation parses an organisation written as key:share:part, with :node if its
// callers use only one node.
type organisation struct {
	bencher.Organisation
}

// UnmarshalText parses key:share:part[:node].
func (o *organisation) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ":")
	if len(parts) != 3 && len(parts) != 4 {
		return trace.BadParameter("%q is not of the form key:share:part[:node]", text)
	}
	share, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return trace.Wrap(err)
	}
	offered, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return trace.Wrap(err)
	}
	o.Organisation = bencher.Organisation{Key: parts[0], Share: share, Offered: offered}
	if len(parts) == 4 {
		o.At, err = strconv.Atoi(parts[3])
	}
	return trace.Wrap(err)
}
