package runner

import (
	"context"
	"errors"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// pipeline is the state of one running job. It belongs to one goroutine.
type pipeline struct {
	runner *Runner
	job    Job
	// stages cover the model's layers exactly once, in order.
	stages []stage
	// attempt is the newest attempt number given to a stage.
	attempt int
	// lost is the index of the stage that is being replaced.
	lost int
	// source is the source of the lost stage's cache.
	source cacheSource
	// filling are the stages that are filled together; empty while none are.
	filling stageRange
	// next is set from when a silent step is given up until its stage is replaced.
	next *replacement
	// replaced counts the replacements so far.
	replaced int
	// cacheAttempts maps the addresses that may hold a cache of this request to
	// the newest attempt there.
	cacheAttempts map[string]int
	// failed lists the addresses that failed this request.
	failed []string
	// sent is set before the first step is sent.
	sent bool
	// outputs counts the outputs of stages that are kept.
	outputs outputMemory
}

// stageRange is a number of consecutive stages. It is an immutable value.
type stageRange struct {
	first int
	count int
}

// stage is one stage of the pipeline with the inputs that it was given.
type stage struct {
	planner.Stage
	// attempt identifies the cache that the stage builds.
	attempt int
	// placed is when the endpoint was chosen.
	placed time.Time
	// inputs are the inputs of positions 0 to len-1, in order; the stage has
	// run all but the last.
	inputs []string
}

// startStages creates the stages of a plan under one new attempt.
func (p *pipeline) startStages(plan planner.Plan) {
	p.attempt++
	p.stages = p.newStages(plan)
}

// newStages returns empty stages of the newest attempt.
func (p *pipeline) newStages(plan planner.Plan) []stage {
	stages := make([]stage, 0, len(plan))
	now := time.Now()
	for _, s := range plan {
		stages = append(stages, stage{Stage: s, attempt: p.attempt, placed: now})
		p.cacheAttempts[s.Address] = p.attempt
	}
	return stages
}

// plan returns the stages without their state.
func (p *pipeline) plan() planner.Plan {
	plan := make(planner.Plan, 0, len(p.stages))
	for _, s := range p.stages {
		plan = append(plan, s.Stage)
	}
	return plan
}

func (p *pipeline) addresses() []string {
	addresses := make([]string, 0, len(p.stages))
	for _, s := range p.stages {
		addresses = append(addresses, s.Address)
	}
	return addresses
}

// generate emits the tokens that the caller does not have yet.
func (p *pipeline) generate(ctx context.Context, emit Emit) error {
	token, err := p.start(ctx)
	for position := len(p.job.Resume); ; position++ {
		if err != nil {
			return p.completeRefusal(err)
		}
		if err := emit(position, token); err != nil {
			return err
		}
		if position+1 >= p.job.Tokens {
			return nil
		}
		token, err = p.nextToken(ctx, token)
	}
}

// start runs the prompt, and the tokens that the caller already has, through
// every stage.
func (p *pipeline) start(ctx context.Context) (string, error) {
	inputs := append([]string{p.job.Prompt}, p.job.Resume...)
	output, _, err := p.refill(ctx, 0, len(p.stages), inputs)
	if err != nil {
		output, _, err = p.recover(ctx, 0, err)
	}
	return output, err
}

// retryDelay is how long callers should wait before they retry after endpoints
// failed: by then the endpoints have been probed again.
const retryDelay = time.Second

// completeRefusal adds to a refusal that the request may have run, if a step
// was sent, and when to retry.
func (p *pipeline) completeRefusal(err error) error {
	var refusal refuser.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	if p.sent {
		refusal = refusal.WithRan(refuser.Maybe)
	}
	return withRetryDelay(refusal)
}

// withRetryDelay adds the retry delay to a refusal that may be retried and has
// none.
func withRetryDelay(refusal refuser.Refusal) refuser.Refusal {
	if refusal.Wait > 0 || !refuser.Lookup(refusal.Code).Retry {
		return refusal
	}
	return refusal.WithWait(retryDelay)
}

// nextToken runs one input through every stage, in order, and replaces the
// stages that fail.
func (p *pipeline) nextToken(ctx context.Context, input string) (string, error) {
	value := input
	for i := 0; i < len(p.stages); {
		s := &p.stages[i]
		s.inputs = append(s.inputs, value)
		output, err := p.runNewestInput(ctx, s)
		if err == nil {
			value = output
			i++
			continue
		}
		output, next, err := p.recover(ctx, i, err)
		if err != nil {
			return "", err
		}
		value, i = output, next
	}
	return value, nil
}

// cancelTimeout limits the calls that tell stages that their request has ended.
const cancelTimeout = 2 * time.Second

// cancelStages frees this request's caches at every endpoint that was used. It
// doesn't wait for the answers.
func (p *pipeline) cancelStages() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	for address, attempt := range p.cacheAttempts {
		go func() {
			_ = p.runner.cfg.Engine.Cancel(ctx, address, driver.Cancel{Request: p.job.Request, Attempt: attempt})
		}()
	}
	time.AfterFunc(cancelTimeout, cancel)
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuser.New(refuser.DeadlinePassed, "the pipeline did not finish in time")
	}
	return refuser.New(refuser.CallerLeft, "the caller closed the connection")
}
