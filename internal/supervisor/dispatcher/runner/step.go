package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// runNewestInput runs a stage's newest input, which is the prompt at position
// 0.
func (p *pipeline) runNewestInput(ctx context.Context, s *stage) (string, error) {
	last := len(s.inputs) - 1
	run := p.decode
	if last == 0 {
		run = p.runPrompt
	}
	outputs, err := run(ctx, s, last, s.inputs[last:])
	if err != nil {
		return "", err
	}
	return outputs[0], nil
}

// runPrompt runs a prompt. It has the signature of decode.
func (p *pipeline) runPrompt(ctx context.Context, s *stage, _ int, inputs []string) ([]string, error) {
	return p.runPrefill(ctx, s, inputs, false)
}

// fillCache rebuilds a cache from its first position on.
func (p *pipeline) fillCache(ctx context.Context, s *stage, inputs []string) ([]string, error) {
	return p.runPrefill(ctx, s, inputs, true)
}

// runPrefill runs a prompt and the positions after it with the timeout
// estimated for the endpoint, and updates the estimate.
func (p *pipeline) runPrefill(ctx context.Context, s *stage, inputs []string, fill bool) ([]string, error) {
	prefills := p.runner.prefillEstimates
	limit := p.runner.cfg.FillTimeout
	work := newWorkload(s, countTokens(p.job.Prompt)+len(inputs)-1)
	timeout := prefills.get(s.Address).timeout(work, limit)
	start := time.Now()
	outputs, err := p.sendStep(ctx, s, 0, inputs, fill, timeout)
	took := time.Since(start)
	switch {
	case err == nil:
		prefills.update(s.Address, func(p prefillEstimate) prefillEstimate { return p.withSample(work, took) })
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		prefills.update(s.Address, func(p prefillEstimate) prefillEstimate { return p.withTimeout(work, timeout, limit) })
	}
	return outputs, err
}

// decode runs one position with the timeout estimated for the endpoint, and
// updates the estimate.
func (p *pipeline) decode(ctx context.Context, s *stage, position int, inputs []string) ([]string, error) {
	latencies := p.runner.decodeLatencies
	limit := p.runner.cfg.StepTimeout
	start := time.Now()
	outputs, err := p.sendStep(ctx, s, position, inputs, false, latencies.get(s.Address).timeout(limit))
	took := time.Since(start)
	switch {
	case err == nil:
		p.runner.cfg.Observe(s.Address, took-s.ReportedTime)
		latencies.update(s.Address, func(l latencyEstimate) latencyEstimate { return l.withSample(took) })
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		latencies.update(s.Address, func(l latencyEstimate) latencyEstimate { return l.withTimeout(limit) })
	}
	return outputs, err
}

// sendStep sends one step to a stage and checks that the answer belongs to it. A step that isn't
// answered within the timeout is given up only if another attempt can follow at once.
func (p *pipeline) sendStep(ctx context.Context, s *stage, position int, inputs []string, fill bool, timeout time.Duration) ([]string, error) {
	step := driver.Step{
		Request:  p.job.Request,
		Attempt:  s.attempt,
		Model:    p.job.Route.Model,
		Version:  p.job.Route.Version,
		Adapter:  p.job.Route.Adapter,
		First:    s.First,
		Last:     s.Last,
		Position: position,
		Inputs:   inputs,
		Fill:     fill,
		Priority: p.job.Priority,
	}
	p.sent = true
	end := p.runner.cfg.Begin(s.Address)
	start := time.Now()
	result, err := p.awaitStep(ctx, s.Address, step, timeout)
	end(time.Since(start), err)
	if err != nil {
		return nil, trace.Wrap(err, "running layers %d to %d at %s", s.First, s.Last, s.Address)
	}
	if !resultMatches(result, step) {
		return nil, trace.BadParameter("%s returned the result of another step", s.Address)
	}
	if err := p.keepOutputs(result.Outputs); err != nil {
		return nil, trace.Wrap(err, "keeping the outputs of %s", s.Address)
	}
	return result.Outputs, nil
}

// resultMatches reports whether a result belongs to the step.
func resultMatches(result driver.StepResult, step driver.Step) bool {
	return result.Request == step.Request &&
		result.Attempt == step.Attempt &&
		result.Position == step.Position &&
		len(result.Outputs) == len(step.Inputs)
}
