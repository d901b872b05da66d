package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

// recover replaces stage i after cause and runs its newest input at the new
// stages. It returns their output and the index of the stage after them.
func (p *pipeline) recover(ctx context.Context, i int, cause error) (string, int, error) {
	p.lost = i
	p.source = p.cacheSourceOf(i, cause)
	for {
		if err := p.allowReplacement(ctx, p.lost, cause); err != nil {
			return "", 0, err
		}
		output, next, err := p.replaceStage(ctx, p.lost)
		if err == nil {
			p.runner.cfg.Recorder.Info(recorder.StageReplaced,
				zap.String("request", p.job.Request), zap.Int("replaced", p.replaced))
			return output, next, nil
		}
		var refusal refuser.Refusal
		if errors.As(err, &refusal) {
			return "", 0, refusal
		}
		cause = err
	}
}

// allowReplacement reports the failure, checks the limits on replacements, and
// waits before all but the first. prepareReplacement has done that for a silent step.
func (p *pipeline) allowReplacement(ctx context.Context, i int, cause error) error {
	if ctx.Err() != nil {
		return contextRefusal(ctx)
	}
	lost := p.stages[i]
	address := lost.Address
	reason := retrier.StageUnresponsive
	if p.next == nil {
		reason = p.reportFailure(address, cause)
	}
	p.runner.cfg.Recorder.Warn(recorder.StageFailed,
		zap.String("request", p.job.Request), zap.String("endpoint", address),
		zap.Stringer("reason", reason), zap.Error(cause))
	p.replaced++
	if p.next != nil {
		return nil
	}
	if p.replaced > p.runner.cfg.Replacements {
		return refuser.New(refuser.EndpointFailed, "replaced %d stages; the last failure was at %s: %v", p.replaced-1, address, cause)
	}
	delay, err := p.runner.cfg.Retry(retrier.FailedAttempt{
		Organisation: p.job.Route.Organisation,
		Address:      address,
		Reason:       reason,
		Attempt:      p.replaced,
		Placed:       lost.placed,
	})
	if err != nil || p.replaced == 1 {
		return err
	}
	return sleep(ctx, delay)
}

// sleep waits for a delay or the end of the request.
func sleep(ctx context.Context, delay time.Duration) error {
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
}

// retryReasons maps the reasons of endpoints' refusals to reasons for retries.
var retryReasons = map[string]retrier.Reason{
	driver.ReasonLeaving:  retrier.StageLeaving,
	driver.ReasonOverload: retrier.StageOverload,
	driver.ReasonMissing:  retrier.CacheMissing,
	driver.ReasonNotHeld:  retrier.NotHeld,
}

// reportFailure reports the failure to the node and returns the reason for the
// retry.
func (p *pipeline) reportFailure(address string, cause error) retrier.Reason {
	if bounder.Blameless(cause) {
		// This node had no memory for the answer, so that the endpoint isn't suspect.
		return retrier.StageFailed
	}
	var refused *driver.Refused
	if !errors.As(cause, &refused) {
		p.runner.cfg.Engine.Drop(address)
		p.runner.cfg.Failed(address)
		if errors.Is(cause, context.DeadlineExceeded) {
			return retrier.StageUnresponsive
		}
		return retrier.StageFailed
	}
	if refused.Reason == driver.ReasonLeaving {
		p.runner.cfg.Leaving(address)
	}
	if reason, ok := retryReasons[refused.Reason]; ok {
		return reason
	}
	return retrier.StageFailed
}

// replaceStage puts new stages in the place of stage i, rebuilds their caches,
// and runs the newest input.
func (p *pipeline) replaceStage(ctx context.Context, i int) (string, int, error) {
	next, err := p.takeReplacement(i)
	if err != nil {
		return "", 0, err
	}
	p.failed = next.failed
	if next.whole {
		return p.restart(ctx, next.plan)
	}
	return p.installStages(ctx, i, next.plan)
}

// replacement is where a request goes on after the loss of a stage. It is an immutable value.
type replacement struct {
	plan planner.Plan
	// whole is set if the plan is of a whole new pipeline.
	whole bool
	// failed lists the addresses that are left out from then on.
	failed []string
}

// takeReplacement returns the replacement that was found before stage i was given up, or finds one.
func (p *pipeline) takeReplacement(i int) (replacement, error) {
	if next := p.next; next != nil {
		p.next = nil
		return *next, nil
	}
	return p.findReplacement(p.plan(), i)
}

// findReplacement finds new stages for a lost one. If only endpoints of other stages could take it, it
// is a whole new pipeline; if only endpoints that failed could, they are tried again, including the
// lost one.
func (p *pipeline) findReplacement(plan planner.Plan, lost int) (replacement, error) {
	failed := append(slices.Clone(p.failed), plan[lost].Address)
	route := p.job.Route
	route.Exclude = slices.Concat(route.Exclude, failed)
	if found, err := p.runner.cfg.Replace(route, plan, lost); err == nil {
		return replacement{plan: found, failed: failed}, nil
	}
	if found, err := p.runner.cfg.Plan(route); err == nil {
		return replacement{plan: found, whole: true, failed: failed}, nil
	}
	retried := slices.Clone(plan)
	retried[lost].Incarnation = ""
	found, err := p.runner.cfg.Replace(p.job.Route, retried, lost)
	return replacement{plan: found}, err
}

// installStages installs the part of a plan that replaces stage i.
func (p *pipeline) installStages(ctx context.Context, i int, plan planner.Plan) (string, int, error) {
	inputs := p.stages[i].inputs
	n := len(plan) - len(p.stages) + 1
	p.attempt++
	replacements := p.newStages(plan[i : i+n])
	p.stages = append(p.stages[:i:i], append(replacements, p.stages[i+1:]...)...)
	return p.rebuildCaches(ctx, i, n, inputs)
}

// restart starts a whole new pipeline from the inputs of the first stage.
func (p *pipeline) restart(ctx context.Context, plan planner.Plan) (string, int, error) {
	inputs := p.stages[0].inputs
	p.startStages(plan)
	return p.countSuccess(countPlacedAnew)(p.refill(ctx, 0, len(plan), inputs))
}

// refill rebuilds the caches of stages i to i+n-1 from the lost stage's inputs.
// It returns the output for the newest input and the index after the stages.
func (p *pipeline) refill(ctx context.Context, i, n int, inputs []string) (string, int, error) {
	p.filling = stageRange{first: i, count: n}
	defer func() { p.filling = stageRange{} }()
	last := len(inputs) - 1
	values := inputs
	for j := i; j < i+n; j++ {
		s := &p.stages[j]
		var outputs []string
		if last > 0 {
			filled, err := p.fillCache(ctx, s, values[:last])
			if err != nil {
				return p.mergeStages(i, j, n, inputs, err)
			}
			outputs = filled
		}
		s.inputs = values
		output, err := p.runNewestInput(ctx, s)
		if err != nil {
			return p.mergeStages(i, j, n, inputs, err)
		}
		values = append(outputs[:len(outputs):len(outputs)], output)
	}
	return values[last], i + n, nil
}

// mergeStages merges stages i to i+n-1 back into one lost stage at the address
// that failed, so that the next replacement starts from the same inputs.
func (p *pipeline) mergeStages(i, failed, n int, inputs []string, err error) (string, int, error) {
	lost := stage{Stage: p.stages[failed].Stage, attempt: p.attempt, placed: p.stages[failed].placed, inputs: inputs}
	lost.First = p.stages[i].First
	lost.Last = p.stages[i+n-1].Last
	p.lost = i
	p.stages = append(p.stages[:i:i], append([]stage{lost}, p.stages[i+n:]...)...)
	return "", 0, err
}
