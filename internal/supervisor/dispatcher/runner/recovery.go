package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

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
	p.source = p.sourceOf(i, cause)
	for {
		if err := p.mayReplace(ctx, p.lost, cause); err != nil {
			return "", 0, err
		}
		output, next, err := p.replace(ctx, p.lost)
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

// mayReplace notes the failure, checks what limits replacements, and waits
// before all but the first.
func (p *pipeline) mayReplace(ctx context.Context, i int, cause error) error {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	lost := p.stages[i]
	address := lost.Address
	reason := p.report(address, cause)
	p.runner.cfg.Recorder.Warn(recorder.StageFailed,
		zap.String("request", p.job.Request), zap.String("endpoint", address),
		zap.Stringer("reason", reason), zap.Error(cause))
	p.replaced++
	if p.replaced > p.runner.cfg.Replacements {
		return refuser.New(refuser.EndpointFailed, "replaced %d stages; last at %s: %v", p.replaced-1, address, cause)
	}
	delay, err := p.runner.cfg.Retry(retrier.Try{
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
		return ended(ctx)
	}
}

// reasons maps what endpoints say to reasons of retries.
var reasons = map[string]retrier.Reason{
	driver.ReasonLeaving:  retrier.StageLeaving,
	driver.ReasonOverload: retrier.StageOverload,
	driver.ReasonMissing:  retrier.CacheMissing,
	driver.ReasonNotHeld:  retrier.NotHeld,
}

// report passes the failure on and names the retry's reason.
func (p *pipeline) report(address string, cause error) retrier.Reason {
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
	if reason, ok := reasons[refused.Reason]; ok {
		return reason
	}
	return retrier.StageFailed
}

// replace puts new stages in the place of stage i, feeds them what it was
// fed, and runs the newest input. Where only the endpoints of other stages
// could take it, the whole pipeline is placed anew; where only endpoints that
// failed could, they are tried again, the lost one included.
func (p *pipeline) replace(ctx context.Context, i int) (string, int, error) {
	p.failed = append(p.failed, p.stages[i].Address)
	route := p.job.Route
	route.Exclude = append(slices.Clone(route.Exclude), p.failed...)
	plan, err := p.runner.cfg.Replace(route, p.plan(), i)
	if err == nil {
		return p.put(ctx, i, plan)
	}
	whole, err := p.runner.cfg.Plan(route)
	if err == nil {
		return p.restart(ctx, whole)
	}
	p.failed = nil
	again := p.plan()
	again[i].Incarnation = ""
	plan, err = p.runner.cfg.Replace(p.job.Route, again, i)
	if err != nil {
		return "", 0, err
	}
	return p.put(ctx, i, plan)
}

// put takes over the part of a plan that replaces stage i.
func (p *pipeline) put(ctx context.Context, i int, plan planner.Plan) (string, int, error) {
	inputs := p.stages[i].inputs
	n := len(plan) - len(p.stages) + 1
	p.attempt++
	fresh := p.newStages(plan[i : i+n])
	p.stages = append(p.stages[:i:i], append(fresh, p.stages[i+1:]...)...)
	return p.rebuild(ctx, i, n, inputs)
}

// restart places the whole pipeline anew from what the first stage was fed.
func (p *pipeline) restart(ctx context.Context, plan planner.Plan) (string, int, error) {
	inputs := p.stages[0].inputs
	p.place(plan)
	return p.counted(countPlacedAnew)(p.refill(ctx, 0, len(plan), inputs))
}

// refill rebuilds the caches of stages i to i+n-1 from the lost stage's
// inputs. It returns the output of the newest and the index after the stages.
func (p *pipeline) refill(ctx context.Context, i, n int, inputs []string) (string, int, error) {
	last := len(inputs) - 1
	values := inputs
	for j := i; j < i+n; j++ {
		s := &p.stages[j]
		var outputs []string
		if last > 0 {
			filled, err := p.fill(ctx, s, values[:last])
			if err != nil {
				return p.again(i, j, n, inputs, err)
			}
			outputs = filled
		}
		s.inputs = values
		output, err := p.step(ctx, s)
		if err != nil {
			return p.again(i, j, n, inputs, err)
		}
		values = append(outputs[:len(outputs):len(outputs)], output)
	}
	return values[last], i + n, nil
}

// again folds stages i to i+n-1 back into one lost stage at the address that
// failed, so that the next replacement starts from the same inputs.
func (p *pipeline) again(i, failed, n int, inputs []string, err error) (string, int, error) {
	lost := stage{Stage: p.stages[failed].Stage, attempt: p.attempt, placed: p.stages[failed].placed, inputs: inputs}
	lost.First = p.stages[i].First
	lost.Last = p.stages[i+n-1].Last
	p.lost = i
	p.stages = append(p.stages[:i:i], append([]stage{lost}, p.stages[i+n:]...)...)
	return "", 0, err
}
