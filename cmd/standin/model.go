package main

import (
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"banyanquay/internal/recorder"
	"banyanquay/internal/standin/simulator"
)

// modelArgs are the arguments of the simulation.
type modelArgs struct {
	Patterns []string `arg:"--pattern,separate" help:"a pattern's name, or a file that ends in .toml; repeatable (default: quiet)"`
	Policies []string `arg:"--policy,separate" help:"policy to play; repeatable (default: all)"`
	Seed     uint64   `arg:"--seed" default:"1" help:"seed of the first play"`
	Runs     int      `arg:"--plays" default:"1" help:"plays of each, with seeds that follow"`
	JSON     string   `arg:"--json" help:"file for the results as JSON"`
	Plot     string   `arg:"--plot" help:"file for a plot, .svg or .png"`
	Log      string   `arg:"--log" help:"file for the log lines of all nodes"`
}

// run simulates the patterns and ends the process.
func (m *modelArgs) run() error {
	if len(m.Patterns) == 0 {
		m.Patterns = []string{"quiet"}
	}
	policies, err := selectPolicies(m.Policies)
	if err != nil {
		return err
	}
	log := recorder.Nop()
	if m.Log != "" {
		cfg := zap.NewProductionConfig()
		cfg.OutputPaths, cfg.Sampling = []string{m.Log}, nil
		cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
		logger, err := cfg.Build(zap.WithCaller(false))
		if err != nil {
			return trace.Wrap(err, "log file %s", m.Log)
		}
		log = recorder.New(logger)
	}
	var setups []simulator.Setup
	for _, name := range m.Patterns {
		pattern, err := simulator.Load(name)
		if err != nil {
			return err
		}
		for n := range max(m.Runs, 1) {
			for _, policy := range policies {
				setups = append(setups, simulator.Setup{Pattern: pattern, Policy: policy, Seed: m.Seed + uint64(n), Recorder: log})
			}
		}
	}
	return simulator.SimulateAll(setups, m.write)
}

// write writes the results to the requested files and prints the table.
func (m *modelArgs) write(results []simulator.Result) error {
	if m.JSON != "" {
		f, err := os.Create(m.JSON)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := trace.NewAggregate(simulator.JSON(f, results), f.Close()); err != nil {
			return err
		}
	}
	if m.Plot != "" {
		if err := simulator.Plot(m.Plot, results); err != nil {
			return err
		}
	}
	return simulator.Table(os.Stdout, results)
}

// selectPolicies returns the policies with the given names, or all if there are
// none.
func selectPolicies(names []string) ([]simulator.Policy, error) {
	all := simulator.Policies()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []simulator.Policy
	for _, name := range names {
		at := slices.IndexFunc(all, func(p simulator.Policy) bool { return p.Name == name })
		if at < 0 {
			known := make([]string, 0, len(all))
			for _, p := range all {
				known = append(known, p.Name+" ("+p.About+")")
			}
			return nil, trace.BadParameter("unknown policy %q; available: %s", name, strings.Join(known, "; "))
		}
		chosen = append(chosen, all[at])
	}
	return chosen, nil
}
