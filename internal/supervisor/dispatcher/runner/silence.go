package runner

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

// silenceInterval is how often a step that is silent for longer than its timeout asks for a path and a
// retry if it has none. A budget regains one retry in 10 s, and a search for a path takes time that
// grows with the fleet.
const silenceInterval = 500 * time.Millisecond

// stepAnswer is what a call of a step returned.
type stepAnswer struct {
	result driver.StepResult
	err    error
}

// silence is the state of a step that is silent for longer than its timeout.
type silence struct {
	// reported is set when the endpoint has been reported to the node.
	reported bool
	// refused is set when the budgets had no retry.
	refused bool
	// paid is set when a retry has been taken out of the budgets.
	paid bool
}

// awaitStep sends a step and waits for its answer, until the request ends or, after the timeout, until
// another attempt can follow. A sound engine that is only slow would otherwise lose requests for which
// the budgets have no retry.
func (p *pipeline) awaitStep(ctx context.Context, address string, step driver.Step, timeout time.Duration) (driver.StepResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan stepAnswer, 1)
	go func() {
		a := stepAnswer{err: trace.Errorf("the step at %s panicked", address)}
		p.runner.cfg.Recorder.Guard("step", func() { a.result, a.err = p.runner.cfg.Engine.Step(ctx, address, step) })
		answers <- a
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var silent silence
	for {
		select {
		case a := <-answers:
			return a.result, a.err
		case <-timer.C:
		}
		if len(answers) > 0 || ctx.Err() != nil {
			continue
		}
		wait := p.prepareReplacement(address, &silent)
		if p.next == nil {
			timer.Reset(wait)
			continue
		}
		cancel()
		a := <-answers
		if a.err == nil {
			p.next = nil
			return a.result, nil
		}
		return driver.StepResult{}, trace.Wrap(context.DeadlineExceeded, "no answer within %v", timeout)
	}
}

// prepareReplacement sets p.next if the running step of an address can be given up: the budgets have
// granted a retry, its delay is over, and a path exists. Otherwise it returns when to try again.
func (p *pipeline) prepareReplacement(address string, silent *silence) time.Duration {
	if !silent.reported {
		silent.reported = true
		p.runner.cfg.Engine.Drop(address)
		p.runner.cfg.Failed(address)
	}
	if p.replaced >= p.runner.cfg.Replacements {
		return silenceInterval
	}
	i := slices.IndexFunc(p.stages, func(s stage) bool { return s.Address == address })
	next, err := p.findReplacement(p.planWithLost(i))
	if err != nil {
		return silenceInterval
	}
	if !silent.paid {
		delay, err := p.runner.cfg.Retry(retrier.FailedAttempt{
			Organisation: p.job.Route.Organisation,
			Address:      address,
			Reason:       retrier.StageUnresponsive,
			Attempt:      p.replaced + 1,
			Placed:       p.stages[i].placed,
			Repeated:     silent.refused,
		})
		if err != nil {
			silent.refused = true
			return silenceInterval
		}
		silent.paid = true
		if p.replaced > 0 && delay > 0 {
			return delay
		}
	}
	p.next = &next
	return 0
}

// planWithLost returns the plan if stage i fails, and the index of the lost stage in it. A stage that
// fails while several are filled stands for all of them, as in mergeStages.
func (p *pipeline) planWithLost(i int) (planner.Plan, int) {
	plan := p.plan()
	first, last := i, i
	if p.filling.count > 0 {
		first, last = p.filling.first, p.filling.first+p.filling.count-1
	}
	lost := plan[i]
	lost.First, lost.Last = plan[first].First, plan[last].Last
	return slices.Concat(plan[:first], planner.Plan{lost}, plan[last+1:]), first
}
